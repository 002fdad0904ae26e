"""Admission control for a plain service, in virtual time.

Routers know the requests in flight at each server some ms late: all servers in
a fleet of up to 12 routers, three drawn ones in a larger one. Requests of three
ranks come as a Poisson process above the servers' capacity; rejected callers
return once.
"""

import bisect
import collections
import heapq
import itertools
import random
from typing import NamedTuple

from mustardfall.membership import members
from mustardfall.routing import load_shedding

WORTHS = (5.0, 1.0, 0.1)
"""Worth of an answer in time, by rank."""
_OBJECTIVE_S = 0.223
_DEADLINE_S = 1.115
_WORK_S = 0.045
_SLOTS = 6
_QUEUE = 6
"""Requests that a server queues."""
_REPORT_DELAY_S = 0.01
"""Age of what a router knows of others' requests."""
_COMPARED = 3
"""Servers that a router of a large fleet asks for."""


class Day(NamedTuple):
  """A fleet and its load."""

  routers: int
  servers: int
  seconds: float
  overload: float = 1.6
  """Rate of requests, relative to the capacity."""


class Result(NamedTuple):
  """What was served."""

  served: tuple[float, ...]
  """Share of requests answered within the deadline, by rank."""
  worth: float
  """Worth of these, relative to perfect knowledge."""


class _Server:
  """A server, and the history of its requests in flight."""

  def __init__(self) -> None:
    self.queue: collections.deque[_Request] = collections.deque()
    self.running = 0
    self._times = [0.0]
    self._counts = [0]

  @property
  def in_flight(self) -> int:
    return self.running + len(self.queue)

  def record(self, now: float) -> None:
    self._times.append(now)
    self._counts.append(self.in_flight)

  def known_in_flight(self, now: float) -> int:
    position = bisect.bisect_right(self._times, now - _REPORT_DELAY_S)
    return self._counts[max(0, position - 1)]


class _Request(NamedTuple):
  rank: int
  due_at: float
  returned: bool = False


class Simulation:
  """One day.

  Args:
    day: the fleet and its load.
    policy: `cost`, `rank` (lower ranks only at free slots) or `fifo`.
    seed: of all random numbers.
  """

  def __init__(self, day: Day, policy: str, seed: int) -> None:
    self._day = day
    self._policy = policy
    self._rng = random.Random(seed)
    self._servers = [_Server() for _ in range(day.servers)]
    self._shortages = [load_shedding.Shortage() for _ in range(day.routers)]
    self._events: list[tuple] = []
    self._order = itertools.count()
    self._count = [0] * len(WORTHS)
    self._in_time = [0] * len(WORTHS)

  def run(self) -> Result:
    """Plays the day."""
    day = self._day
    capacity_per_s = day.servers * _SLOTS / _WORK_S
    now = 0.0
    while now < day.seconds:
      now += self._rng.expovariate(day.overload * capacity_per_s)
      rank = self._rng.randrange(len(WORTHS))
      self._count[rank] += 1
      self._push(now, "arrive", _Request(rank, now + _DEADLINE_S))
    while self._events:
      now, _, kind, subject = heapq.heappop(self._events)
      if kind == "arrive":
        self._arrive(subject, now)
      else:
        self._end(subject, now)
    served = tuple(
        done / max(1, count)
        for done, count in zip(self._in_time, self._count, strict=True)
    )
    room = capacity_per_s * day.seconds
    best = 0.0
    for worth, count in zip(WORTHS, self._count, strict=True):
      best += worth * min(count, room)
      room = max(0.0, room - count)
    got = sum(w * n for w, n in zip(WORTHS, self._in_time, strict=True))
    return Result(served, got / best)

  def _push(self, at: float, kind: str, subject) -> None:
    heapq.heappush(self._events, (at, next(self._order), kind, subject))

  def _arrive(self, request: _Request, now: float) -> None:
    router = self._rng.randrange(self._day.routers)
    known = self._servers
    if self._day.routers > members.MAX_SMALL_FLEET:
      known = self._rng.sample(known, min(_COMPARED, len(known)))
    loads = [(server.known_in_flight(now), server) for server in known]
    self._rng.shuffle(loads)
    loads.sort(key=lambda load: load[0])
    retry_s = self._decide(request, router, loads[0][0], now)
    if retry_s is None:
      for _, server in loads[:2]:
        if server.in_flight < _SLOTS + _QUEUE:
          server.queue.append(request)
          self._start(server, now)
          return
      retry_s = load_shedding.jittered(0.25, self._rng.random())
    if not request.returned and retry_s <= (request.due_at - now) / 3:
      again = request._replace(returned=True)
      self._push(now + retry_s, "arrive", again)

  def _decide(
      self, request: _Request, router: int, in_flight: int, now: float
  ) -> float | None:
    """Returns when a rejected request may return; None: it is admitted."""
    rank = request.rank
    if self._policy == "fifo":
      return None
    if self._policy == "rank":
      return _WORK_S if rank and in_flight >= _SLOTS else None
    shortage = self._shortages[router]
    room = load_shedding.plain_room(_SLOTS, in_flight, _WORK_S)
    is_full = load_shedding.is_plain_full(room)
    room = shortage.complete(
        room,
        rank,
        is_full,
        load_shedding.standing_s(False, _OBJECTIVE_S),
        self._rng.random(),
        now,
    )
    left_s = request.due_at - now
    demand = load_shedding.Demand(
        rank, len(WORTHS), left_s, _OBJECTIVE_S, _WORK_S, _WORK_S
    )
    decision = load_shedding.decide(demand, room)
    admitted = isinstance(decision, load_shedding.Admit)
    shortage.note_decision(rank, admitted)
    if isinstance(decision, load_shedding.Reject):
      return load_shedding.jittered(decision.retry_s, self._rng.random())
    return None

  def _start(self, server: _Server, now: float) -> None:
    while server.queue and server.running < _SLOTS:
      request = server.queue.popleft()
      server.running += 1
      took_s = self._rng.uniform(0.5, 1.5) * _WORK_S
      if now + took_s <= request.due_at:
        self._in_time[request.rank] += 1
      self._push(now + took_s, "end", server)
    server.record(now)

  def _end(self, server: _Server, now: float) -> None:
    server.running -= 1
    self._start(server, now)
