"""Decides which requests are rejected where a service's capacity is short.

Handles demand above capacity for up to as long as it lasts, for generations and
plain requests. The last part of the capacity is reserved for urgent requests
(trunk reservation): a request is admitted while the wait at its endpoint is at
most a bound, which falls with the request's rank. Waits are compared and not
times to the answer, so that a long prompt is not rejected for its own length.
Requests that cannot be answered within their deadline are rejected whatever
their rank.

Bounds are parts of the objective: a caller whose answer comes after it has lost
most of its worth.
"""

import bisect
import math
from typing import NamedTuple

from mustardfall.routing import configuration

_TOP_WAIT_RATIO = 0.5
"""Wait, relative to the objective, that the highest rank may have whatever the
work. It may have a longer one if the answer still meets the objective."""
_MAX_QUEUED_WORKS = 0.5
"""Wait for a plain server, in units of its mean work, that lower ranks may have.
Servers queue a few more requests than they have slots and turn others away: with
half as many as slots, the places after these are left for the highest rank."""
_LONG_WAIT_RATIO = 0.25
"""Wait for an engine, relative to the objective, from which engines count as
full. Half of what the highest rank may wait remains for it."""
_IDLE_WAIT_RATIO = 0.3
"""Wait for an engine, relative to the objective, that the lowest rank may have.
It is above that from which engines count as full: rejecting all low ranks there
left engines idle that urgent requests, with few prefixes, did not choose."""
_PLAIN_STANDING_RATIO = 0.25
"""How long plain servers must have been full before requests are rejected,
relative to the objective. A shorter burst delays callers by less than that."""
_ENGINE_STANDING_RATIO = 0.5
"""The same for engines. One long prompt makes a router meet a long wait for up
to that time without a shortage."""
_SHORTAGE_HOLD_S = 2.0
"""How long capacity counts as short after the endpoints were last full.
Rejections keep some slots free now and then while the demand remains."""
_MIN_SHARE_RATIO = 0.3
"""Part of the share of all requests that are admitted that each rank gets at
least. Callers need a quarter; the rest covers requests that are lost later."""
_DRAWN_RATIO = 0.4
"""The same for the requests of a rank below that share that may wait as long as
the highest rank does. It is larger, since some of them find no room either."""
_SHARE_WEIGHT = 0.04
"""Weight of the newest decision in the share of admitted requests."""
_RANK_SHARE_WEIGHT = 0.1
"""The same in the share of one rank, which has fewer requests."""
_DEADLINE_RATIO = 0.9
"""Part of the time left in which the answer must be expected: estimates of waits
are off by some tenths, and an answer after the deadline is wasted work."""
_MIN_RETRY_S = 0.1
"""Shortest time after which to retry, before jitter."""
_RETRY_RATIO = 1 / 3
"""Part of the time that a caller has left up to which it honours a retry time."""
_MAX_JITTER = 1.5
_MIN_JITTER = 0.75
_MAX_S = 3600.0
"""Bound on all times: those beyond it are wrong."""


class Demand(NamedTuple):
  """What a request asks for."""

  rank: int
  """Position of its priority among those of the service; 0 is the highest."""
  ranks: int
  """Number of ranks of the service."""
  left_s: float
  """Time left until the deadline."""
  objective_s: float
  """Shortest objective among the requests of the same and of higher ranks, so
  that a longer objective of a lower rank does not admit it first."""
  work_s: float
  """Time that an endpoint works on it; 0: it is not known."""
  until_answer_s: float
  """The part of it until the answer begins, to which the objective applies."""
  relative_work: float = 1.0
  """Capacity that it uses, relative to the mean request of its service. Rejecting
  a small request leaves little room to more urgent ones."""


class Room(NamedTuple):
  """What is known of the capacity for a request."""

  wait_s: float
  """Expected wait at the best endpoint."""
  max_lower_wait_s: float
  """Upper bound on the wait of all ranks but the highest, also in a burst that is
  no shortage yet. Plain servers queue few requests: their last places are left
  for the highest rank."""
  min_lower_wait_s: float
  """Wait that the lowest rank may have."""
  slots: int
  """Requests that the best endpoint runs at a time; 0: it is not known."""
  in_flight: float
  """Requests in flight there, of all routers, as far as known."""
  is_short: bool
  """Whether the service's capacity is short, see `Shortage`."""
  short_s: float = 0.0
  """How long it has been."""
  admitted_share: float = 1.0
  """Share of all recent requests that were admitted."""
  rank_share: float = 1.0
  """Share of the recent requests of the same rank that were admitted."""
  draw: float = 1.0
  """Random number from 0 to 1, drawn for this request."""


class Admit(NamedTuple):
  """The request is sent to an endpoint."""


class Reject(NamedTuple):
  """The request is rejected at once."""

  reason: str
  """`deadline`: the answer would come too late. `rank`: the capacity is
  reserved for higher ranks. `wait`: the queue is too long for any rank."""
  retry_s: float
  """Time after which room is expected."""


def decide(demand: Demand, room: Room) -> Admit | Reject:
  """Decides whether a request is admitted.

  Values that are no numbers or out of range count as those with the least room:
  a caller that sends them gains nothing.

  Args:
    demand: what the request asks for.
    room: what is known of the capacity.
  """
  wait_s = _bounded(room.wait_s, 0.0)
  work_s = _bounded(demand.work_s, 0.0)
  left_s = _bounded(demand.left_s, 0.0)
  idle_s = _bounded(room.min_lower_wait_s, 0.0)
  if wait_s > idle_s and wait_s + work_s > _DEADLINE_RATIO * left_s:
    excess_s = wait_s + work_s - _DEADLINE_RATIO * left_s
    return Reject("deadline", _retry_s(excess_s, left_s, 0.0))
  if demand.ranks <= 1 or (not room.is_short and demand.rank == 0):
    return Admit()
  bound_s = _bound_s(demand, room)
  if wait_s <= bound_s:
    return Admit()
  # While capacity is not short, nothing is known of the share.
  top_s = _top_wait_s(demand)
  if room.is_short and wait_s <= _starved_bound_s(demand, room):
    return Admit()
  reason = "rank" if wait_s <= top_s else "wait"
  excess_s = wait_s - bound_s + work_s
  return Reject(reason, _retry_s(excess_s, left_s, _bounded(room.short_s, 0.0)))


def _top_wait_s(demand: Demand) -> float:
  objective_s = _bounded(demand.objective_s, 0.0)
  own_s = _bounded(demand.until_answer_s, 0.0)
  return max(_TOP_WAIT_RATIO * objective_s, objective_s - own_s)


def _lower_wait_s(demand: Demand, room: Room) -> float:
  """Returns the longest wait of any rank but the highest, seconds."""
  return min(_top_wait_s(demand), _bounded(room.max_lower_wait_s, 0.0))


def _bound_s(demand: Demand, room: Room) -> float:
  """Returns the longest wait with which a request is admitted, seconds."""
  if demand.rank == 0:
    return _top_wait_s(demand)
  lowest = demand.ranks - 1
  # A comparison with NaN is false: such a rank is the lowest.
  rank = demand.rank if 0 < demand.rank < lowest else lowest
  if not room.is_short:
    return _bounded(room.max_lower_wait_s, 0.0)
  lower_s = _lower_wait_s(demand, room)
  idle_s = min(lower_s, _bounded(room.min_lower_wait_s, 0.0))
  # A comparison with NaN is false: such a request is not small.
  size = demand.relative_work if 0.0 < demand.relative_work < 1.0 else 1.0
  return lower_s - size * rank / lowest * max(0.0, lower_s - idle_s)


def _starved_bound_s(demand: Demand, room: Room) -> float:
  """Returns the longest wait of a request whose rank gets too small a share.

  Most of them are admitted only if the queue is short, so that the last places
  are left for the highest rank. Some are whenever that would be, since the queue
  may not be short for as long as that rank alone exceeds the capacity.

  Returns:
    A negative number if the rank gets enough.
  """
  share = min(1.0, _bounded(room.admitted_share, 0.0))
  if not room.rank_share < _MIN_SHARE_RATIO * share:
    return -1.0
  if room.draw < _DRAWN_RATIO * share:
    return _top_wait_s(demand)
  return _lower_wait_s(demand, room)


def _retry_s(excess_s: float, left_s: float, short_s: float) -> float:
  """Returns the time after which room is expected, seconds.

  The queue has shrunk enough after `excess_s` if no more urgent requests come.
  While they do, a shortage is expected to last half as long again as it has
  lasted. Callers do not honour times beyond a third of what they have left.
  """
  latest_s = max(_MIN_RETRY_S, _RETRY_RATIO * left_s / _MAX_JITTER)
  return min(max(_MIN_RETRY_S, excess_s, short_s / 2), latest_s)


def jittered(retry_s: float, draw: float) -> float:
  """Returns a time to retry such that callers return one by one.

  Args:
    retry_s: the time after which room is expected.
    draw: random number from 0 to 1.
  """
  return retry_s * (_MIN_JITTER + (_MAX_JITTER - _MIN_JITTER) * draw)


def _bounded(value: float | None, missing: float) -> float:
  """Returns a time or share from 0 to `_MAX_S`; `missing` if it is no number."""
  if not isinstance(value, int | float) or math.isnan(value):
    return missing
  return min(max(0.0, value), _MAX_S)


def queued_works(slots: int, in_flight: float) -> float:
  """Returns the wait for a plain server, in units of the mean work.

  Args:
    slots: requests that the server runs at a time; 0: it is not known.
    in_flight: requests there, before the new one.
  """
  if slots <= 0 or not in_flight >= slots:
    return 0.0
  return (in_flight + 1 - slots) / slots


def plain_room(slots: int, in_flight: float, work_s: float) -> Room:
  """Returns the room at a plain server, for `Shortage.complete`.

  Args:
    slots: requests that it runs at a time; 0: it is not known.
    in_flight: requests there, of all routers.
    work_s: mean time of the service's requests at that server.
  """
  wait_s = queued_works(slots, in_flight) * work_s
  max_lower_s = _MAX_QUEUED_WORKS * work_s
  return Room(wait_s, max_lower_s, 0.0, slots, in_flight, is_short=False)


def engine_room(
    slots: int, in_flight: float, wait_s: float, objective_s: float
) -> Room:
  """Returns the room at an engine, for `Shortage.complete`.

  Args:
    slots: requests that it runs at a time; 0: it is not known.
    in_flight: requests there, of all routers.
    wait_s: until it begins with a request.
    objective_s: the objective of the request.
  """
  idle_s = _IDLE_WAIT_RATIO * objective_s
  return Room(wait_s, _MAX_S, idle_s, slots, in_flight, is_short=False)


def standing_s(is_generation: bool, objective_s: float) -> float:
  """Returns how long endpoints must have been full, for `Shortage.complete`.

  Args:
    is_generation: whether they are engines.
    objective_s: the shortest objective of the service.
  """
  ratio = _ENGINE_STANDING_RATIO if is_generation else _PLAIN_STANDING_RATIO
  return ratio * _bounded(objective_s, 0.0)


def is_plain_full(room: Room) -> bool:
  """Whether a plain server has no free slot, as far as known."""
  return 0 < room.slots <= room.in_flight


def is_engine_full(room: Room, objective_s: float) -> bool:
  """Whether the wait for an engine is long."""
  return room.wait_s > _LONG_WAIT_RATIO * objective_s


class Shortage:
  """Whether the capacity of one service is short; times in monotonic seconds.

  It is once every request has met full endpoints for a part of the objective,
  until none has for a while.
  """

  def __init__(self) -> None:
    self._full_since: float | None = None
    self._last_full_at = -math.inf
    self._short_since: float | None = None
    self._share = 1.0
    self._rank_shares: dict[int, float] = {}

  def complete(
      self,
      room: Room,
      rank: int,
      is_full: bool,
      must_stand_s: float,
      draw: float,
      now: float,
  ) -> Room:
    """Updates the state with what one request met; returns the whole room.

    Args:
      room: the room at its endpoint.
      rank: the rank of the request.
      is_full: whether that, the best one, is full.
      must_stand_s: how long they must have been full, see `standing_s`.
      draw: random number from 0 to 1.
      now: the current time.
    """
    if now - self._last_full_at > _SHORTAGE_HOLD_S:
      self._full_since = self._short_since = None
      self._share = 1.0
      self._rank_shares.clear()
    if not is_full:
      self._full_since = None
    else:
      self._last_full_at = now
      if self._full_since is None:
        self._full_since = now
      if self._short_since is None and now - self._full_since >= must_stand_s:
        self._short_since = now
    since = self._short_since
    return room._replace(
        is_short=since is not None,
        short_s=0.0 if since is None else now - since,
        admitted_share=self._share,
        rank_share=self._rank_shares.get(rank, _MIN_SHARE_RATIO),
        draw=draw,
    )

  def note_decision(self, rank: int, admitted: bool) -> None:
    """Records whether a request was admitted while capacity is short."""
    if self._short_since is None:
      return
    self._share += _SHARE_WEIGHT * (admitted - self._share)
    share = self._rank_shares.get(rank, _MIN_SHARE_RATIO)
    share += _RANK_SHARE_WEIGHT * (admitted - share)
    self._rank_shares[rank] = share


class Ranks(NamedTuple):
  """The priorities that requests of one service can have."""

  priorities: tuple[int, ...]
  """In order; 0 is the most urgent."""
  objectives_s: tuple[float, ...]
  """The shortest objective of the requests of each rank and higher ones."""

  def rank_of(self, priority: int) -> int:
    """Returns the rank of a priority, the lowest for an unknown large one."""
    rank = bisect.bisect_left(self.priorities, priority)
    return max(0, min(rank, len(self.priorities) - 1))


def priority_of(
    route: configuration.Route, team: configuration.Team | None
) -> int:
  """Returns a request's priority: the team's goes before the route's."""
  if team is not None and team.priority is not None:
    return team.priority
  return route.priority


def ranks_of(config: configuration.Configuration, service: str) -> Ranks:
  """Returns the ranks of a service's requests."""
  objectives: dict[int, float] = {}
  teams = list(config.teams.values())
  for route in config.routes_to(service):
    objective_s = route.objective.total_seconds()
    callers = [None] if route.public else teams
    for team in callers:
      priority = priority_of(route, team)
      known_s = objectives.get(priority, math.inf)
      objectives[priority] = min(known_s, objective_s)
  priorities = tuple(sorted(objectives))
  shortest_s, shortest = math.inf, []
  for priority in priorities:
    shortest_s = min(shortest_s, objectives[priority])
    shortest.append(shortest_s)
  return Ranks(priorities, tuple(shortest))
