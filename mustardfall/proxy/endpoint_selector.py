"""Chooses a request's endpoint and reports its load to other routers."""

import collections
from collections.abc import Mapping
import itertools
import random
from typing import NamedTuple

from mustardfall import metrics
from mustardfall import settings
from mustardfall.membership import loadshare as loadshare_lib
from mustardfall.membership import trackers as trackers_lib
from mustardfall.proxy import cold_start_limiter as cold_start_limiter_lib
from mustardfall.proxy import endpoint_limiter as endpoint_limiter_lib
from mustardfall.proxy import engine_room
from mustardfall.proxy import load_shedder as load_shedder_lib
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import overload
from mustardfall.routing import placement as placement_lib
from mustardfall.routing import server_speed
from mustardfall.routing import statements as statements_lib
from mustardfall.routing import tracking
from mustardfall.routing import work_times as work_times_lib
from mustardfall.util import clock as clock_lib

_DRAWN_ENDPOINTS = 2
"""Limited endpoints that are compared after another had no permit."""
_MAX_PERMITS_ASKED = 3
"""Limited endpoints whose permits are asked for in turn for one request."""


class _Choice(NamedTuple):
  """An endpoint chosen for a request."""

  placement: placement_lib.Placement
  status: tracking.EndpointStatus | None = None
  """Its status at its trackers, if they were asked and have answered."""


class EndpointAttempt:
  """One attempt at an endpoint: accounts for its load from start to end.

  Args:
    context: the request.
    placement: the chosen endpoint and the expected times.
    directory: learns the endpoint's speed.
    work_times: learns how long plain requests take; None: speeds are not
      learned.
    shedder: learns how long requests take; None: admission does not need it.
    clock: the time source.
    load_share: reports load to all routers of a small fleet.
    trackers: reports load to the endpoint's trackers in a large fleet.
  """

  def __init__(
      self,
      context: request_context_lib.RequestContext,
      placement: placement_lib.Placement,
      directory: directory_lib.Directory,
      work_times: work_times_lib.WorkTimes | None,
      shedder: load_shedder_lib.LoadShedder | None,
      clock: clock_lib.Clock,
      load_share: loadshare_lib.LoadShare,
      trackers: trackers_lib.Trackers,
  ) -> None:
    self._is_generation = bool(context.request.parts)
    self._route = context.route.name
    self._work_times = work_times
    self._context = context
    self._shedder = shedder
    self._first_token_at: float | None = None
    """When the answer of a generation began, monotonic seconds."""
    self._clock = clock
    self._placement = placement
    self._directory = directory
    self._load_share = load_share
    self._trackers = trackers
    self._pending_prefill = request_context_lib.PendingPrefill(
        placement.row, placement.prefill_s
    )
    placement.row.in_flight += 1
    prefix = request_context_lib.prompt_for_placement(context.request).prefix
    load_share.note_sent(placement.row.life, prefix)
    self._tracked_send: trackers_lib.TrackedRequest | None = None
    need = placement.need
    run = need.run if need is not None and need.ever_fits else None
    self._run_name = f"{id(self):x}"
    if run is not None:
      run = run._replace(
          prefill_s=placement.answer_s, sent_at=clock.monotonic()
      )
      placement.row.runs.add(self._run_name, run)
    if trackers.is_used:
      self._tracked_send = trackers.note_sent(
          placement.row.life, prefix, placement.prefill_s, run
      )

  def record_response_time(
      self,
      took_s: float,
      stated_moment: float | None = None,
      has_run: bool = True,
  ) -> None:
    """Records how long the response took to begin, or was waited for.

    Args:
      took_s: the time.
      stated_moment: the slowdown that the endpoint stated, see
        `server_speed.moment_of`.
      has_run: whether the endpoint has run the request; the time of one that it
        turned away says nothing of its speed.
    """
    measured = self._measure(took_s, stated_moment) if has_run else None
    placement = self._placement
    if self._is_generation:
      self._directory.endpoints.update_slowness(
          placement.row, placement.answer_s, took_s
      )
    elif measured is None:
      return
    if self._tracked_send is not None:
      self._trackers.note_first_token(
          self._tracked_send, placement.answer_s, took_s, measured
      )

  def _measure(
      self, took_s: float, stated_moment: float | None
  ) -> server_speed.Measurement | None:
    """Records what a response time says of the endpoint's speed."""
    if self._work_times is None:
      return None
    placement = self._placement
    moment = server_speed.moment_of(stated_moment)
    if not self._is_generation:
      known_s = self._work_times.work_s(self._route)
      wait_s = placement.nominal_s - known_s
      self._work_times.note(self._route, max(0.0, took_s / moment - wait_s))
      if not known_s:
        return None
    measured = server_speed.Measurement(placement.nominal_s, took_s, moment)
    self._directory.endpoints.measure_speed(
        placement.row, measured, self._clock.monotonic()
    )
    return measured

  def note_run(self, took_s: float) -> None:
    """Records that the endpoint runs the request or has run it.

    Args:
      took_s: from when it was sent until the answer began.
    """
    if self._is_generation:
      self._first_token_at = self._clock.monotonic()
    elif self._shedder is not None:
      self._shedder.note_work(self._context, took_s)

  def end_prefill(self) -> None:
    """Records that the endpoint has processed the prompt."""
    self._pending_prefill.end()
    self._load_share.mark_changed()

  def end(self, failed: bool) -> None:
    """Records that the endpoint no longer works on the request."""
    self._placement.row.in_flight -= 1
    now = self._clock.monotonic()
    self._placement.row.runs.remove(self._run_name, failed, now)
    self.end_prefill()
    began_at = self._first_token_at
    if self._shedder is not None and began_at is not None and not failed:
      took_s = self._clock.monotonic() - began_at
      self._shedder.note_decoding(self._context, took_s)
    if self._tracked_send is not None:
      self._trackers.note_end(self._tracked_send, failed)


class EndpointSelector:
  """Chooses the endpoint of each attempt by expected response time.

  Args:
    config: all of the router's settings.
    directory: provides the endpoints.
    load_share: reports load to all routers of a small fleet.
    trackers: query and report load in a large fleet, where two routers track
      each endpoint.
    cold_start_limiter: limits the requests to cold endpoints.
    limiter: limits the requests to endpoints that name a low rate.
    statements: which endpoints have said that they leave or want rest.
    clock: the time source.
    instruments: counts the placements; None: they are not counted.
    rng: draws endpoints, and times at which refused callers may return.
  """

  def __init__(
      self,
      config: settings.Router,
      directory: directory_lib.Directory,
      load_share: loadshare_lib.LoadShare,
      trackers: trackers_lib.Trackers,
      cold_start_limiter: cold_start_limiter_lib.ColdStartLimiter,
      limiter: endpoint_limiter_lib.EndpointLimiter,
      statements: statements_lib.Table,
      clock: clock_lib.Clock,
      instruments: metrics.Instruments | None = None,
      rng: random.Random | None = None,
  ) -> None:
    self._placements: collections.Counter[str] = collections.Counter()
    if instruments is not None:
      instruments.observe_totals(
          "mustardfall.placements",
          "",
          "choices of an endpoint",
          self._placements,
      )
    self._datacentre = config.datacentre
    self._work_times = (
        work_times_lib.WorkTimes() if config.proxy.learned_speeds else None
    )
    self._counts_memory = config.proxy.engine_memory
    self._room_log = engine_room.RoomLog(self._placements)
    self._leaving_use_s = config.proxy.leaving_use_s
    self._directory = directory
    self._load_share = load_share
    self._trackers = trackers
    self._cold_start_limiter = cold_start_limiter
    self._limiter = limiter
    self._statements = statements
    self._clock = clock
    self._detectors: dict[str, overload.Detector] = {}
    self._random = rng or random.Random()
    self._shedder = None
    if config.proxy.load_shedding == "cost":
      self._shedder = load_shedder_lib.LoadShedder(
          directory, clock, instruments, self._random
      )

  async def select(
      self, context: request_context_lib.RequestContext
  ) -> placement_lib.Placement | None:
    """Returns the endpoint expected to respond first; None if there is none.

    Endpoints that the request was not sent to yet are preferred. The caller
    has to send the request to the endpoint: a permit for a limited one is used
    up.
    """
    rows = self._eligible(context)
    rows = self._cold_start_limiter.filter_permitted(rows, context.service)
    for row in rows:
      row.is_limited = self._limiter.is_limited(row)
    prompt = request_context_lib.prompt_for_placement(context.request)
    max_wait_s = min(
        placement_lib.max_saved_s(prompt),
        endpoint_limiter_lib.max_wait_of(context),
    )
    candidates = self._limiter.filter_permitted(rows, max_wait_s)
    for asked in itertools.count(1):
      choice = await self._select_among(candidates, context)
      if choice is None:
        break
      placement = choice.placement
      self._refuse_if_overloaded(context, choice)
      # Waiting for an engine with the prefix cached is no loss as long as
      # another one would need longer to prefill it.
      wait_s = min(placement.saved_s, max_wait_s)
      if await self._acquire(placement.row, context, wait_s):
        return placement
      candidates = self._sample_others(candidates, placement.row)
      if asked >= _MAX_PERMITS_ASKED:
        candidates = [
            row for row in candidates if not self._limiter.is_limited(row)
        ]
    row = await self._limiter.wait_for_any(rows, context)
    if row is None or row not in self._eligible(context):
      return None
    choice = await self._select_among([row], context)
    return None if choice is None else choice.placement

  def _sample_others(
      self, rows: list[endpoints.Row], refused: endpoints.Row
  ) -> list[endpoints.Row]:
    """Returns the endpoints to choose from after one had no permit.

    Limited ones are drawn at random: with little known of their loads, all
    routers would ask for permits of the same ones in the same order.
    """
    limited = [row for row in rows if row.is_limited and row is not refused]
    others = [row for row in rows if not row.is_limited]
    drawn = self._random.sample(limited, min(_DRAWN_ENDPOINTS, len(limited)))
    return others + drawn

  def _refuse_if_overloaded(
      self,
      context: request_context_lib.RequestContext,
      choice: _Choice,
  ) -> None:
    """Refuses a new request if the capacity for it is short.

    Generations whose requests all have one priority are refused by their
    objective, whatever the settings.

    Limited engines say nothing of queues: they get few requests, and most of
    those that would go there get no permit. The few endpoints of a stream's
    version say nothing of the others.

    Raises:
      refusals.RefusalError: the request would wait for long.
    """
    placement = choice.placement
    if self._shedder is not None:
      context.queued_works = self._shedder.queued_works(
          placement.row, choice.status
      )
    if context.attempts_sent or context.bound_version is not None:
      return
    if placement.row.is_limited:
      return
    if self._shedder is not None:
      self._shedder.refuse_if_short(context, placement, choice.status)
      if self._shedder.has_ranks(context):
        return
    if not context.request.parts:
      return
    slowness = placement.row.slowness
    forecast = overload.Forecast(
        (placement.answer_s - placement.prefill_s) * slowness,
        placement.answer_s * slowness,
        context.route.objective.total_seconds(),
        context.route.priority,
    )
    detector = self._detectors.setdefault(
        context.service.name, overload.Detector()
    )
    retry_s = detector.retry_after_s(forecast, self._clock.monotonic())
    if retry_s is not None:
      facts = {"endpoint": placement.row.name, **forecast._asdict()}
      facts["memory"] = engine_room.facts_of(placement)
      raise refusals.overloaded(self._jitter(retry_s), facts)

  def _jitter(self, seconds: float) -> float:
    """Returns a random time, so that refused callers return one by one."""
    return round(seconds * self._random.uniform(0.75, 1.5), 3)

  def _eligible(
      self,
      context: request_context_lib.RequestContext,
      avoid: frozenset[str] = frozenset(),
  ) -> list[endpoints.Row]:
    """Returns the endpoints that may run a request.

    A stream that has begun goes on only at the version that began it, also at
    endpoints that leave soon. Endpoints that have ended are left out, unless
    all have.
    """
    table, service = self._directory.endpoints, context.service.name
    if context.bound_version is None:
      rows = table.eligible(service, "", avoid)
    else:
      rows = [
          row
          for row in table.of_version(service, context.bound_version)
          if row.name not in avoid and self._may_resume(row)
      ]
    now = self._clock.monotonic()
    return [row for row in rows if not row.has_ended(now)] or rows

  def _may_resume(self, row: endpoints.Row) -> bool:
    """Whether an endpoint takes requests that resume a stream."""
    if self._statements.reason_against(row, self._leaving_use_s) is not None:
      return False
    if row.state == "live":
      return True
    left_s = self._leaving_use_s + row.leaving_since - self._clock.monotonic()
    return row.state == "leaving" and left_s > 0

  def reason_against(
      self, context: request_context_lib.RequestContext, row: endpoints.Row
  ) -> statements_lib.Withheld | None:
    """Returns why a request must not be sent to the endpoint chosen for it.

    Asked once more when the connection is there, since the endpoint may have
    made a statement after it was chosen: that it leaves, wants rest, or bears so
    few requests that each needs a permit.
    """
    withheld = self._statement_against(context, row)
    if withheld is None and context.permit_use is None:
      if self._limiter.is_limited(row):
        return statements_lib.Withheld("limited", 0.0)
    return withheld

  def _statement_against(
      self, context: request_context_lib.RequestContext, row: endpoints.Row
  ) -> statements_lib.Withheld | None:
    use_s = 0.0 if context.bound_version is None else self._leaving_use_s
    return self._statements.reason_against(row, use_s)

  def withheld(
      self, context: request_context_lib.RequestContext
  ) -> dict[str, statements_lib.Withheld]:
    """Returns why endpoints that are listed do not take a request, by life."""
    table, service = self._directory.endpoints, context.service.name
    if context.bound_version is None:
      rows = table.live(service, "")
    else:
      rows = table.of_version(service, context.bound_version)
    found = {row.life: self._statement_against(context, row) for row in rows}
    return {life: why for life, why in found.items() if why is not None}

  def has_candidate(self, context: request_context_lib.RequestContext) -> bool:
    """Whether any endpoint may run a request, be it one that was tried."""
    return bool(self._eligible(context))

  def has_alternative(
      self, context: request_context_lib.RequestContext
  ) -> bool:
    """Whether an endpoint that was not tried yet may take the request now."""
    rows = self._eligible(context, frozenset(context.tried_endpoints))
    rows = self._cold_start_limiter.filter_permitted(rows, context.service)
    return bool(self._limiter.filter_permitted(rows))

  async def _acquire(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      max_wait_s: float,
  ) -> bool:
    """Takes the permits that a request to an endpoint needs."""
    if not self._cold_start_limiter.acquire(row, context.service):
      return False
    return await self._limiter.acquire(row, context, max_wait_s)

  async def _select_among(
      self,
      rows: list[endpoints.Row],
      context: request_context_lib.RequestContext,
  ) -> _Choice | None:
    untried = [row for row in rows if row.name not in context.tried_endpoints]
    # An endpoint that leaves would soon break off the stream again.
    staying = [row for row in untried if not self._statements.is_leaving(row)]
    preferred = staying or untried or rows
    prompt = request_context_lib.prompt_for_placement(context.request)
    if self._work_times is not None and not prompt.prefix:
      work_s = self._work_times.work_s(context.route.name)
      prompt = prompt._replace(work_s=work_s)
    if self._counts_memory:
      prompt = prompt._replace(need=engine_room.need_of(context))
    if self._trackers.is_used:
      choice = await self._select_tracked(context, preferred, prompt)
    else:
      choice = self._select_untracked(context, preferred, prompt)
    if choice is not None:
      self._room_log.note_choice(choice.placement)
    return choice

  def _select_untracked(
      self,
      context: request_context_lib.RequestContext,
      rows: list[endpoints.Row],
      prompt: placement_lib.Prompt,
  ) -> _Choice | None:
    """Chooses by what this router knows of the endpoints."""
    self._note_usage(rows, prompt, {})
    placement = placement_lib.choose(rows, prompt, self._datacentre)
    if placement is None:
      return None
    row = self._least_queued(context, placement.row, rows, {})
    if row is not placement.row:
      placement = placement_lib.choose([row], prompt, self._datacentre)
    return None if placement is None else _Choice(placement)

  def _least_queued(
      self,
      context: request_context_lib.RequestContext,
      chosen: endpoints.Row,
      rows: list[endpoints.Row],
      statuses: Mapping[str, tracking.EndpointStatus],
  ) -> endpoints.Row:
    """Returns the endpoint for a request; for a generation, the chosen one."""
    if self._shedder is None or context.request.parts:
      return chosen
    return self._shedder.least_queued(chosen, rows, statuses)

  def _note_usage(
      self,
      rows: list[endpoints.Row],
      prompt: placement_lib.Prompt,
      statuses: Mapping[str, tracking.EndpointStatus],
  ) -> None:
    """Updates what is known of the engines' memory, and logs full ones."""
    if prompt.need is None:
      return
    self._load_share.update_usage(rows)
    now = self._clock.monotonic()
    for row in rows:
      status = statuses.get(row.life)
      usage = row.usage if status is None else status.usage
      self._room_log.note_usage(row.life, usage, prompt.need, now)

  def _is_enough(
      self,
      chosen: placement_lib.Placement,
      prompt: placement_lib.Prompt,
      objective_s: float,
  ) -> bool:
    """Whether no more endpoints need to be compared."""
    if self._work_times is None:
      return not placement_lib.is_busy(chosen, prompt)
    return not placement_lib.should_widen(chosen, prompt, objective_s)

  async def _select_tracked(
      self,
      context: request_context_lib.RequestContext,
      rows: list[endpoints.Row],
      prompt: placement_lib.Prompt,
  ) -> _Choice | None:
    """Queries the load of a few endpoints, and of more while that may help."""
    placement, asked, statuses = None, [], {}
    objective_s = context.route.objective.total_seconds()
    self._placements["tracked"] += 1
    rounds = placement_lib.candidates(
        rows, prompt, self._datacentre, self._random
    )
    for found in rounds:
      self._placements["widened"] += bool(asked)
      asked += found
      lives = [one.row.life for one in found]
      if len(rows) > 1:
        answers = await self._trackers.survey(lives, prompt.prefix)
        statuses |= answers
        if len(answers) < len(set(lives)):
          self._load_share.note_unanswered()
      self._note_usage([one.row for one in found], prompt, statuses)
      placement = placement_lib.choose_tracked(
          asked, statuses, prompt, self._datacentre
      )
      if placement is None or self._is_enough(placement, prompt, objective_s):
        break
    if placement is None:
      return None
    compared = [one.row for one in asked]
    row = self._least_queued(context, placement.row, compared, statuses)
    if row is not placement.row:
      alone = [one for one in asked if one.row is row]
      placement = placement_lib.choose_tracked(
          alone, statuses, prompt, self._datacentre
      )
    if placement is None:
      return None
    return _Choice(placement, statuses.get(row.life))

  def record_unreachable(self, row: endpoints.Row) -> None:
    """Reports that an endpoint accepted no connection."""
    if self._trackers.is_used:
      self._trackers.note_end(
          trackers_lib.TrackedRequest(row.life, ""), failed=True
      )

  def start_attempt(
      self,
      context: request_context_lib.RequestContext,
      placement: placement_lib.Placement,
  ) -> EndpointAttempt:
    """Counts a request as sent; the caller ends the returned attempt."""
    return EndpointAttempt(
        context,
        placement,
        self._directory,
        self._work_times,
        self._shedder,
        self._clock,
        self._load_share,
        self._trackers,
    )
