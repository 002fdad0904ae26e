"""Which router tracks which endpoint, and the datagrams to and from it.

What a router sends for this grows with its own requests, not with the fleet:
it asks those who track the few endpoints that a request may go to, and tells
those who track the one that was chosen. Each endpoint is tracked by two, so
that one may be gone.
"""

from collections.abc import Iterable
import itertools
import json
from typing import NamedTuple

import anyio

from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from mustardfall.routing import tracking
from mustardfall.util import clock as clock_lib

_TRACKERS = 2
"""Routers that track an endpoint; the first one is asked."""
_ANSWER_S = 0.025
"""How long answers are waited for. One comes in 1 to 5 ms; a host of half a
core that is parsing a request takes 15."""
_SILENT_S = 1.0
"""A router that gave no answer is passed over for this long."""


class _Survey:
  """Questions whose answers are still out."""

  def __init__(self, asked: set[str]) -> None:
    self.missing = asked
    """Endpoints that nothing was heard of."""
    self.found: dict[str, tracking.EndpointStatus] = {}
    self.done = anyio.Event()

  def take(self, endpoint: str, standing: tracking.EndpointStatus) -> None:
    """Takes one endpoint's answer in."""
    if endpoint not in self.missing:
      return
    self.missing.discard(endpoint)
    self.found[endpoint] = standing
    if not self.missing:
      self.done.set()


class Sent(NamedTuple):
  """A request as those who track its endpoint know it."""

  endpoint: str
  """The endpoint's life."""
  request: str


class Trackers:
  """Asks and tells the routers that track endpoints, and is one of them.

  Args:
    members: who is up.
    datagrams: carries questions, answers and notes.
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
    self._numbers = itertools.count()
    self._surveys: dict[int, _Survey] = {}
    self._silent_until: dict[str, float] = {}
    datagrams.connect_with_sender(datagrams_lib.Kind.SURVEY, self._answer)
    datagrams.connect(datagrams_lib.Kind.STANDING, self._take_answer)
    datagrams.connect(datagrams_lib.Kind.TRACK, self._take_note)

  @property
  def is_used(self) -> bool:
    """Whether endpoints are tracked: in a small fleet all tell all."""
    return self._members.is_large and self._datagrams.is_open

  def _trackers(self, endpoint: str) -> list[members_lib.Member]:
    """Returns who tracks an endpoint, those that answer first."""
    now = self._clock.monotonic()
    found = self._members.candidates(endpoint)[:_TRACKERS]
    found.sort(key=lambda m: self._silent_until.get(m.life, 0.0) > now)
    return found

  async def survey(
      self, endpoints: Iterable[str], prefix: str
  ) -> dict[str, tracking.EndpointStatus]:
    """Returns how endpoints stand, as far as that is answered in time.

    Args:
      endpoints: their lives.
      prefix: the prefix of the request that is to be placed.
    """
    now = self._clock.monotonic()
    survey = _Survey(set(endpoints))
    asked: dict[members_lib.Member, list[str]] = {}
    for endpoint in sorted(survey.missing):
      tracker = self._trackers(endpoint)[0]
      if tracker.life == self._members.me.life:
        survey.take(endpoint, self._tracker.status_of(endpoint, prefix, now))
      else:
        asked.setdefault(tracker, []).append(endpoint)
    if asked:
      await self._ask(survey, asked, prefix)
    return survey.found

  async def _ask(
      self,
      survey: _Survey,
      asked: dict[members_lib.Member, list[str]],
      prefix: str,
  ) -> None:
    """Asks others and waits a moment for what they know."""
    number = next(self._numbers)
    self._surveys[number] = survey
    try:
      for tracker, endpoints in asked.items():
        content = _encode([number, prefix, endpoints])
        self._datagrams.post(datagrams_lib.Kind.SURVEY, content, tracker)
      with anyio.move_on_after(_ANSWER_S):
        await survey.done.wait()
    finally:
      del self._surveys[number]
    until = self._clock.monotonic() + _SILENT_S
    for tracker, endpoints in asked.items():
      if survey.missing.issuperset(endpoints):
        self._silent_until[tracker.life] = until

  def _answer(self, raw: bytes, sender: str) -> None:
    """Answers another router's question."""
    number, prefix, endpoints = json.loads(raw)
    now = self._clock.monotonic()
    found = [
        [endpoint, *self._tracker.status_of(str(endpoint), str(prefix), now)]
        for endpoint in endpoints
    ]
    content = _encode([int(number), found])
    self._datagrams.post_to(datagrams_lib.Kind.STANDING, content, sender)

  def _take_answer(self, raw: bytes) -> None:
    number, found = json.loads(raw)
    survey = self._surveys.get(number)
    if survey is None:
      return  # it came too late
    for endpoint, in_flight, prefill_s, held, slowness, failures in found:
      standing = tracking.EndpointStatus(
          int(in_flight),
          float(prefill_s),
          bool(held),
          float(slowness),
          float(failures),
      )
      survey.take(endpoint, standing)

  def note_sent(self, endpoint: str, prefix: str, prefill_s: float) -> Sent:
    """Tells that a request is on its way to an endpoint."""
    request = f"{next(self._numbers):x}.{self._members.me.name}"
    self._tell(["sent", endpoint, request, prefix, round(prefill_s, 4)])
    return Sent(endpoint, request)

  def note_first_token(
      self, sent: Sent, expected_s: float, took_s: float
  ) -> None:
    """Tells how long an endpoint's first token took."""
    times = [round(expected_s, 4), round(took_s, 4)]
    self._tell(["first", sent.endpoint, *times])

  def note_end(self, sent: Sent, failed: bool) -> None:
    """Tells that a request has left an endpoint."""
    self._tell(["end", sent.endpoint, sent.request, failed])

  def _tell(self, note: list) -> None:
    content = _encode(note)
    for tracker in self._trackers(note[1]):
      if tracker.life == self._members.me.life:
        self._take_note(content)
      else:
        self._datagrams.post(datagrams_lib.Kind.TRACK, content, tracker)

  def _take_note(self, raw: bytes) -> None:
    step, endpoint, *facts = json.loads(raw)
    now = self._clock.monotonic()
    if step == "sent":
      request, prefix, prefill_s = facts
      self._tracker.note_sent(endpoint, request, prefix, float(prefill_s), now)
    elif step == "first":
      expected_s, took_s = facts
      self._tracker.note_first_token(
          endpoint, float(expected_s), float(took_s), now
      )
    elif step == "end":
      request, failed = facts
      self._tracker.note_end(endpoint, request, bool(failed), now)
    else:
      raise ValueError(f"unknown step {step!r}")

  def forget(self) -> None:
    """Drops what was noted of routers that are passed over no more."""
    now = self._clock.monotonic()
    for life, until in list(self._silent_until.items()):
      if until <= now:
        del self._silent_until[life]


def _encode(value: list) -> bytes:
  return json.dumps(value, separators=(",", ":")).encode()
