"""Assigns endpoints to routers that track them, and exchanges their datagrams.

What a router sends for this grows with its own requests, not with the fleet:
it queries the trackers of the few endpoints that a request may go to, and
reports to the trackers of the chosen one. Each endpoint has two trackers, so
that one may fail.
"""

from collections.abc import Iterable
import itertools
import json
import logging
from typing import NamedTuple

import anyio

from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from mustardfall.routing import engine_memory
from mustardfall.routing import server_speed
from mustardfall.routing import tracking
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_TRACKER_COUNT = 2
"""Routers that track an endpoint; the first of them is queried."""
_ANSWER_TIMEOUT_S = 0.025
"""How long to wait for answers. One usually takes 1 to 5 ms; on a host of half
a core that is parsing a request it takes 15."""
_MEASURED_FIELDS = 4
"""Fields of a report of a first token that says something of the speed."""
_SPEED_FIELDS = 2
"""Fields of a status that say what was learned of the speed."""
_MEMORY_FIELDS = 4
"""The same, and those that say what runs hold of the endpoint's memory."""
_RUN_FIELDS = 4
"""Fields of a report of a sent request that say what it needs of the endpoint's
memory: shared and own tokens, expected output tokens, rank."""
_LOGGED_WEIGHT_S = 1.0
"""Nominal seconds of measured work from which a learned speed is logged."""
_LOGGED_CHANGE = 0.25
"""Change of a learned speed, relative to the one before, that is logged."""
_AVOID_S = 1.0
"""How long a router that gave no answer is queried only as a last resort."""


class _Survey:
  """A query to several trackers, and the answers received so far."""

  def __init__(self, endpoints: set[str]) -> None:
    self.missing = endpoints
    """Endpoints without an answer."""
    self.standings: dict[str, tracking.EndpointStatus] = {}
    self.done = anyio.Event()

  def add(self, endpoint: str, standing: tracking.EndpointStatus) -> None:
    """Adds the answer about one endpoint."""
    if endpoint not in self.missing:
      return
    self.missing.discard(endpoint)
    self.standings[endpoint] = standing
    if not self.missing:
      self.done.set()


class TrackedRequest(NamedTuple):
  """Identifies a request to the trackers of its endpoint."""

  endpoint: str
  """The endpoint's life (one run of its process), see `endpoints.Row.life`."""
  request: str
  """The request's id, unique in the fleet."""


class Trackers:
  """Queries and updates the trackers of endpoints, and acts as one of them.

  Args:
    members: the routers that are up.
    datagrams: carries queries, answers and updates.
    clock: the time source.
  """

  def __init__(
      self,
      members: members_lib.Members,
      datagrams: datagrams_lib.Datagrams,
      clock: clock_lib.Clock,
  ) -> None:
    self._members = members
    self._datagrams = datagrams
    self._clock = clock
    self._tracker = tracking.Tracker()
    self._ids = itertools.count()
    self._surveys: dict[int, _Survey] = {}
    self._avoided_until: dict[str, float] = {}
    self._logged_ratios: dict[str, float] = {}
    """The learned speed that was last logged, by endpoint."""
    datagrams.connect_with_sender(datagrams_lib.Kind.SURVEY, self._handle_query)
    datagrams.connect(datagrams_lib.Kind.STANDING, self._handle_answer)
    datagrams.connect(datagrams_lib.Kind.TRACK, self._handle_update)

  @property
  def is_used(self) -> bool:
    """Whether endpoints are tracked; a small fleet only sends load reports."""
    return self._members.is_large and self._datagrams.is_open

  def _trackers(self, endpoint: str) -> list[members_lib.Member]:
    """Returns the trackers of an endpoint, those that gave no answer last."""
    now = self._clock.monotonic()
    trackers = self._members.candidates(endpoint)[:_TRACKER_COUNT]
    trackers.sort(key=lambda m: self._avoided_until.get(m.life, 0.0) > now)
    return trackers

  async def survey(
      self, endpoints: Iterable[str], prefix: str
  ) -> dict[str, tracking.EndpointStatus]:
    """Returns the standings of endpoints, as far as answers arrive in time.

    Args:
      endpoints: their lives.
      prefix: the prompt prefix of the request to be placed.
    """
    now = self._clock.monotonic()
    survey = _Survey(set(endpoints))
    endpoints_by_tracker: dict[members_lib.Member, list[str]] = {}
    for endpoint in sorted(survey.missing):
      tracker = self._trackers(endpoint)[0]
      if tracker.life == self._members.me.life:
        survey.add(endpoint, self._tracker.status_of(endpoint, prefix, now))
      else:
        endpoints_by_tracker.setdefault(tracker, []).append(endpoint)
    if endpoints_by_tracker:
      await self._query(survey, endpoints_by_tracker, prefix)
    return survey.standings

  async def _query(
      self,
      survey: _Survey,
      endpoints_by_tracker: dict[members_lib.Member, list[str]],
      prefix: str,
  ) -> None:
    """Queries other trackers and waits briefly for their answers."""
    query_id = next(self._ids)
    self._surveys[query_id] = survey
    try:
      for tracker, endpoints in endpoints_by_tracker.items():
        content = _encode([query_id, prefix, endpoints])
        self._datagrams.enqueue(datagrams_lib.Kind.SURVEY, content, tracker)
      with anyio.move_on_after(_ANSWER_TIMEOUT_S):
        await survey.done.wait()
    finally:
      del self._surveys[query_id]
    until = self._clock.monotonic() + _AVOID_S
    for tracker, endpoints in endpoints_by_tracker.items():
      if survey.missing.issuperset(endpoints):
        self._avoided_until[tracker.life] = until

  def _handle_query(self, raw: bytes, sender: str) -> None:
    """Answers another router's query."""
    query_id, prefix, endpoints = json.loads(raw)
    now = self._clock.monotonic()
    standings = [
        [
            endpoint,
            *encode_status(
                self._tracker.status_of(str(endpoint), str(prefix), now)
            ),
        ]
        for endpoint in endpoints
    ]
    content = _encode([int(query_id), standings])
    self._datagrams.enqueue_to(datagrams_lib.Kind.STANDING, content, sender)

  def _handle_answer(self, raw: bytes) -> None:
    query_id, standings = json.loads(raw)
    survey = self._surveys.get(query_id)
    if survey is None:
      return  # the answer is late: the query has timed out
    for endpoint, *fields in standings:
      survey.add(endpoint, decode_status(fields))

  def note_sent(
      self,
      endpoint: str,
      prefix: str,
      prefill_s: float,
      run: engine_memory.Run | None = None,
  ) -> TrackedRequest:
    """Reports to the trackers that a request is being sent to an endpoint.

    Args:
      endpoint: the endpoint's life (one run of its process).
      prefix: the prompt's prefix; empty: none.
      prefill_s: expected time to prefill its prompt there.
      run: what it needs of the endpoint's memory; None: that is not counted.
    """
    request = f"{next(self._ids):x}.{self._members.me.name}"
    update = ["sent", endpoint, request, prefix, round(prefill_s, 4)]
    if run is not None:
      update += [run.shared_tokens, run.own_tokens, run.output_tokens, run.rank]
    self._send_update(update)
    return TrackedRequest(endpoint, request)

  def note_first_token(
      self,
      sent: TrackedRequest,
      expected_s: float,
      took_s: float,
      measured: server_speed.Measurement | None = None,
  ) -> None:
    """Reports the expected and actual time to the first token.

    Args:
      sent: the request.
      expected_s: the time that was expected.
      took_s: the actual time.
      measured: what the time says of the endpoint's speed; None: nothing.
    """
    update = ["first", sent.endpoint, round(expected_s, 4), round(took_s, 4)]
    if measured is not None:
      update += [round(measured.nominal_s, 4), round(measured.moment, 2)]
    self._send_update(update)

  def note_end(self, sent: TrackedRequest, failed: bool) -> None:
    """Reports that a request has ended at an endpoint."""
    self._send_update(["end", sent.endpoint, sent.request, failed])

  def _send_update(self, update: list) -> None:
    content = _encode(update)
    for tracker in self._trackers(update[1]):
      if tracker.life == self._members.me.life:
        self._handle_update(content)
      else:
        self._datagrams.enqueue(datagrams_lib.Kind.TRACK, content, tracker)

  def _handle_update(self, raw: bytes) -> None:
    step, endpoint, *facts = json.loads(raw)
    now = self._clock.monotonic()
    if step == "sent":
      request, prefix, prefill_s, *need = facts
      run = None
      if len(need) >= _RUN_FIELDS:
        run = engine_memory.make_run(prefix, *need[:_RUN_FIELDS], prefill_s)
      self._tracker.note_sent(
          endpoint, request, prefix, float(prefill_s), now, run
      )
    elif step == "first":
      expected_s, took_s = float(facts[0]), float(facts[1])
      measured = None
      if len(facts) >= _MEASURED_FIELDS:
        measured = server_speed.Measurement(
            float(facts[2]), took_s, float(facts[3])
        )
      self._tracker.note_first_token(
          endpoint, expected_s, took_s, now, measured
      )
    elif step == "end":
      request, failed = facts
      self._tracker.note_end(endpoint, request, bool(failed), now)
    else:
      raise ValueError(f"unknown step {step!r}")

  def prune(self) -> None:
    """Removes expired entries for routers that gave no answer."""
    now = self._clock.monotonic()
    for life, until in list(self._avoided_until.items()):
      if until <= now:
        del self._avoided_until[life]
    self._log_speeds(now)

  def _log_speeds(self, now: float) -> None:
    """Logs the learned speeds that have changed much."""
    speeds = self._tracker.speeds(now)
    for endpoint in self._logged_ratios.keys() - speeds.keys():
      del self._logged_ratios[endpoint]
    for endpoint, speed in speeds.items():
      before = self._logged_ratios.get(endpoint)
      if speed.weight_s < _LOGGED_WEIGHT_S:
        continue
      if before and abs(speed.ratio - before) <= _LOGGED_CHANGE * before:
        continue
      self._logged_ratios[endpoint] = speed.ratio
      extra = {
          "endpoint": endpoint,
          "time_ratio": round(speed.ratio, 2),
          "measured_s": round(speed.weight_s, 2),
          "before": before and round(before, 2),
      }
      logger.info("endpoint speed learned", extra=extra)


def encode_status(status: tracking.EndpointStatus) -> list:
  """Returns the fields of a status.

  Those of its speed are left out if it is not known and none follow, those of
  its memory if no run there is known.
  """
  *fields, speed, usage, holds_prefix = status
  if speed.weight_s > 0.0 or usage.ranks:
    fields += [round(speed.ratio, 3), round(speed.weight_s, 3)]
  if usage.ranks:
    fields += [engine_memory.encode(usage, with_parts=False), int(holds_prefix)]
  return fields


def decode_status(fields: list) -> tracking.EndpointStatus:
  """Decodes the fields of a status.

  Raises:
    TypeError, ValueError: they are not those of a status.
  """
  in_flight, prefill_s, cached, slowness, failures, *more = fields
  speed = server_speed.UNKNOWN_SPEED
  if len(more) >= _SPEED_FIELDS:
    speed = server_speed.decode(float(more[0]), float(more[1]))
  usage, holds_prefix = engine_memory.EMPTY, False
  if len(more) >= _MEMORY_FIELDS:
    usage, holds_prefix = engine_memory.decode(more[2]), bool(more[3])
  return tracking.EndpointStatus(
      int(in_flight),
      float(prefill_s),
      bool(cached),
      float(slowness),
      float(failures),
      speed,
      usage,
      holds_prefix,
  )


def _encode(value: list) -> bytes:
  return json.dumps(value, separators=(",", ":")).encode()
