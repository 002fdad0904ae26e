"""Rejects requests where the capacity of their service is short.

Collects what `routing.load_shedding` decides on: the load of the chosen
endpoint, the time that requests take, and the ranks of the configuration. Used
if `proxy.load_shedding` is `cost`.
"""

import collections
from collections.abc import Iterable, Mapping
import logging
import random
from typing import Any

from mustardfall import metrics
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import configuration as configuration_lib
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import load_shedding
from mustardfall.routing import placement as placement_lib
from mustardfall.routing import server_speed
from mustardfall.routing import tracking
from mustardfall.routing import work_times as work_times_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MAX_STATED_AGE_S = 1.0
"""Age from which a load that an endpoint stated no longer counts."""
_SHED_LOG_HOLD_S = 2.0
"""Time without a rejection after which the end of shedding a rank is logged; the
same as the time for which capacity counts as short."""


class LoadShedder:
  """Decides on the admission of new requests by their cost to callers.

  Args:
    directory: provides the configuration.
    clock: the time source.
    instruments: counts the rejections; None: they are not counted.
    rng: draws requests of low ranks that are admitted, and times to retry.
  """

  def __init__(
      self,
      directory: directory_lib.Directory,
      clock: clock_lib.Clock,
      instruments: metrics.Instruments | None,
      rng: random.Random,
  ) -> None:
    self._directory = directory
    self._clock = clock
    self._random = rng
    self._work_times = work_times_lib.WorkTimes()
    """Time that endpoints work on a request, by route."""
    self._service_work_times = work_times_lib.WorkTimes()
    """The same of plain requests, by service."""
    self._prefill_times = work_times_lib.WorkTimes()
    """Time of prefill of the requests that came, by service."""
    self._shortages: dict[str, load_shedding.Shortage] = {}
    self._ranked: configuration_lib.Configuration | None = None
    self._ranks: dict[str, load_shedding.Ranks] = {}
    self._last_shed_at: dict[tuple[str, int], float] = {}
    """When a rank of a service was last rejected, while it is being shed."""
    self.counts: collections.Counter[str] = collections.Counter()
    """Rejections by rank, of ranks that the configuration has."""
    if instruments is not None:
      instruments.observe_totals(
          "mustardfall.shed",
          "",
          "requests rejected for want of capacity, by rank",
          self.counts,
      )

  def queued_works(
      self, row: endpoints.Row, status: tracking.EndpointStatus | None
  ) -> float:
    """Returns the wait at a plain server in units of the service's mean work.

    Args:
      row: the server.
      status: its status at its trackers, if known.
    """
    in_flight = self._in_flight(row, status)
    return load_shedding.queued_works(row.slots, in_flight)

  def least_queued(
      self,
      chosen: endpoints.Row,
      rows: Iterable[endpoints.Row],
      statuses: Mapping[str, tracking.EndpointStatus],
  ) -> endpoints.Row:
    """Returns the plain server with the shortest queue if the chosen has one.

    The choice by cost weights a stated queue by the prefill of prompts, which
    plain requests have not, so that full servers are chosen beside free ones.

    Args:
      chosen: the server chosen by cost.
      rows: the servers that were compared.
      statuses: their status at their trackers, as far as known, by life.
    """

    def wait(row: endpoints.Row) -> float:
      status = statuses.get(row.life)
      return self.queued_works(row, status) * _time_ratio(row, status)

    if chosen.is_limited or not wait(chosen):
      return chosen
    # The load of a server that failed is not that which it could bear.
    others = [
        row
        for row in rows
        if row.slots and not row.is_limited and row.failures <= chosen.failures
    ]
    return min([chosen, *others], key=wait)

  def note_work(
      self, context: request_context_lib.RequestContext, took_s: float
  ) -> None:
    """Records how long a plain request that has run took.

    The wait is removed as a factor: if it were subtracted, too long a work time
    would be learned wherever the wait was underestimated.

    Args:
      context: the request.
      took_s: from when it was sent until its answer.
    """
    work_s = took_s / (1.0 + context.queued_works)
    self._work_times.note(context.route.name, work_s)
    self._service_work_times.note(context.service.name, work_s)

  def note_decoding(
      self, context: request_context_lib.RequestContext, took_s: float
  ) -> None:
    """Records how long a generation took after its first token."""
    self._work_times.note(context.route.name, took_s)

  def has_ranks(self, context: request_context_lib.RequestContext) -> bool:
    """Whether the requests of a request's service differ in priority."""
    return len(self._ranks_of(context.service.name).priorities) > 1

  def refuse_if_short(
      self,
      context: request_context_lib.RequestContext,
      placement: placement_lib.Placement,
      status: tracking.EndpointStatus | None,
  ) -> None:
    """Rejects a new request whose rejection costs callers least.

    Args:
      context: the request.
      placement: the endpoint that was chosen for it.
      status: the endpoint's status at its trackers, if known.

    Raises:
      refusals.RefusalError: the request is rejected.
    """
    now = self._clock.monotonic()
    service = context.service.name
    self._log_ends(service, now)
    demand = self._demand(context, placement, now)
    objectives_s = self._ranks_of(service).objectives_s
    shortest_s = objectives_s[-1] if objectives_s else demand.objective_s
    is_generation = bool(context.request.parts)
    in_flight = self._in_flight(placement.row, status)
    if is_generation:
      room = load_shedding.engine_room(
          placement.row.slots,
          in_flight,
          _engine_wait_s(placement, status),
          demand.objective_s,
      )
      is_full = load_shedding.is_engine_full(room, shortest_s)
    else:
      room = load_shedding.plain_room(
          placement.row.slots,
          in_flight,
          self._service_work_times.work_s(service)
          * _time_ratio(placement.row, status),
      )
      is_full = load_shedding.is_plain_full(room)
    shortage = self._shortages.setdefault(service, load_shedding.Shortage())
    room = shortage.complete(
        room,
        demand.rank,
        is_full,
        load_shedding.standing_s(is_generation, shortest_s),
        self._random.random(),
        now,
    )
    decision = load_shedding.decide(demand, room)
    admitted = isinstance(decision, load_shedding.Admit)
    shortage.note_decision(demand.rank, admitted)
    if isinstance(decision, load_shedding.Reject):
      facts = self._facts(demand, room, placement.row, status, now)
      facts["why"] = decision.reason
      self._note_shed(service, demand.rank, facts, now)
      retry_s = load_shedding.jittered(decision.retry_s, self._random.random())
      raise refusals.shed(round(retry_s, 3), facts)

  def _demand(
      self,
      context: request_context_lib.RequestContext,
      placement: placement_lib.Placement,
      now: float,
  ) -> load_shedding.Demand:
    ranks = self._ranks_of(context.service.name)
    rank = ranks.rank_of(context.priority)
    objective_s = context.route.objective.total_seconds()
    if ranks.objectives_s:
      objective_s = min(objective_s, ranks.objectives_s[rank])
    work_s = self._work_times.work_s(context.route.name)
    return load_shedding.Demand(
        rank,
        len(ranks.priorities),
        context.deadline - now,
        objective_s,
        work_s + placement.prefill_s,
        placement.prefill_s if context.request.parts else work_s,
        self._relative_work(context, placement),
    )

  def _relative_work(
      self,
      context: request_context_lib.RequestContext,
      placement: placement_lib.Placement,
  ) -> float:
    """Returns a request's work relative to the mean one of its service.

    Of a generation this is the prefill: engines decode many at the same time.
    """
    service = context.service.name
    if context.request.parts:
      own_s, times = placement.prefill_s, self._prefill_times
      times.note(service, own_s)
    else:
      own_s = self._work_times.work_s(context.route.name)
      times = self._service_work_times
    mean_s = times.work_s(service)
    return own_s / mean_s if mean_s > 0.0 else 1.0

  def _ranks_of(self, service: str) -> load_shedding.Ranks:
    """Returns a service's ranks, computed once per configuration."""
    config = self._directory.configuration
    if config is None:
      return load_shedding.Ranks((), ())
    if config is not self._ranked:
      self._ranked = config
      self._ranks = {}
    ranks = self._ranks.get(service)
    if ranks is None:
      ranks = self._ranks[service] = load_shedding.ranks_of(config, service)
    return ranks

  def _in_flight(
      self, row: endpoints.Row, status: tracking.EndpointStatus | None
  ) -> float:
    """Returns the requests of all routers at an endpoint, as far as known.

    What the endpoint stated counts less the older it is, since its requests end
    meanwhile; its trackers and load reports know of those sent since.
    """
    in_flight = row.in_flight + max(0, row.others_in_flight)
    if status is not None:
      in_flight = max(row.in_flight, status.in_flight)
    age_s = self._clock.monotonic() - row.load_stated_at
    work_s = self._service_work_times.work_s(row.kind)
    lifetime_s = min(work_s, _MAX_STATED_AGE_S)
    if age_s >= lifetime_s:
      return in_flight
    return max(in_flight, row.stated_load * (1 - age_s / lifetime_s))

  def _facts(
      self,
      demand: load_shedding.Demand,
      room: load_shedding.Room,
      row: endpoints.Row,
      status: tracking.EndpointStatus | None,
      now: float,
  ) -> dict[str, Any]:
    """Returns the inputs of a decision and their age, for the log."""
    stated_age_s = now - row.load_stated_at
    inputs = {**demand._asdict(), **room._asdict()}
    rounded = {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in inputs.items()
    }
    return {
        "endpoint": row.name,
        **rounded,
        "own_in_flight": row.in_flight,
        "others_in_flight": row.others_in_flight,
        "tracked_in_flight": status and status.in_flight,
        "stated_load": row.stated_load,
        "stated_age_s": (
            round(stated_age_s, 3) if row.load_stated_at >= 0 else None
        ),
    }

  def _note_shed(
      self, service: str, rank: int, facts: dict[str, Any], now: float
  ) -> None:
    if (service, rank) not in self._last_shed_at:
      extra = {**facts, "service": service}
      logger.info("load shedding of a rank began", extra=extra)
    self._last_shed_at[service, rank] = now
    self.counts[f"rank {rank}"] += 1

  def _log_ends(self, service: str, now: float) -> None:
    """Logs which ranks of a service are no longer shed."""
    for key, shed_at in list(self._last_shed_at.items()):
      if key[0] == service and now - shed_at > _SHED_LOG_HOLD_S:
        del self._last_shed_at[key]
        extra = {
            "service": service,
            "rank": key[1],
            "last_rejection_s": round(now - shed_at, 3),
        }
        logger.info("load shedding of a rank ended", extra=extra)


def _time_ratio(
    row: endpoints.Row, status: tracking.EndpointStatus | None
) -> float:
  """Returns an endpoint's ratio of actual to nominal time."""
  speed = row.speed if status is None else status.speed
  return server_speed.ratio_of(speed, 1.0)


def _engine_wait_s(
    placement: placement_lib.Placement,
    status: tracking.EndpointStatus | None,
) -> float:
  """Returns the wait until an engine begins with a request."""
  own_s = placement.prefill_s * _time_ratio(placement.row, status)
  return max(0.0, placement.answer_s - own_s) * placement.row.slowness
