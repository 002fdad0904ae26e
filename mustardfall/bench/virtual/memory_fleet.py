"""Simulation of engines whose memory is too small for all that they are sent.

Requests are placed and refused by the router's production code, in fixed steps
of virtual time. An engine prefills one prompt at a time, the most urgent first,
and decodes all running requests. When its memory runs out it preempts the newest
of the least urgent running requests and prefills it again. Parts that no running
request holds stay cached while there is room; the least recently used are
evicted.
"""

import dataclasses
import heapq
import itertools
import random
from typing import NamedTuple

from mustardfall import settings
from mustardfall.routing import endpoints
from mustardfall.routing import engine_memory
from mustardfall.routing import loads
from mustardfall.routing import overload
from mustardfall.routing import placement
from mustardfall.routing import tracking

_STEP_S = 0.005
"""Length of a step of the simulation, shorter than any batch step."""
_BATCH_STEP_S = 0.00595
_BATCH_STEP_S_PER_RUN = 0.0000445
_PREFILL_TOKENS_PER_S = 50_700.0
_MAX_PAUSE_S = 0.4
"""A longer pause between events makes a stream late."""
_RETRY_SHARE = 1 / 3
"""Callers wait for a refused request up to this share of the time left."""
_HINT_SPREAD = 0.6
"""Standard deviation of the logarithm of the callers' estimates."""


class Kind(NamedTuple):
  """Rate, sizes and values of one kind of requests; its rank is its index."""

  name: str
  per_s: float
  prefixes: int
  shared_tokens: int
  own_tokens: int
  output_tokens: int
  objective_s: float
  deadline_s: float
  worth: float
  late_worth: float


KINDS = (
    Kind("order", 8.44, 600, 13_300, 3_720, 120, 0.863, 12.95, 5.3, 0.65),
    Kind("fit", 11.2, 300, 6_300, 2_890, 52, 1.245, 6.223, 1.0, 0.31),
    Kind("chat", 11.9, 860, 350, 1_110, 172, 3.026, 15.131, 0.1, 0.047),
)
"""1.3 times the prefill capacity and 1.2 times the memory of four engines of
60,000 tokens, in the ratio of the kinds of `docs/hard-load.md`."""


class Day(NamedTuple):
  """Parameters of a simulation."""

  engines: int = 4
  memory_tokens: int = 60_000
  slots: int = 64
  routers: int = 6
  seconds: float = 40.0
  kinds: tuple[Kind, ...] = KINDS
  own_spread: float = 0.4
  """Standard deviation of the logarithm of a prompt's own tokens."""
  counts_memory: bool = True
  """Whether `proxy.engine_memory` is set."""
  is_tracked: bool = False
  """Whether a tracker knows the engines, as in a large fleet; otherwise routers
  send each other load reports."""
  sheds: bool = True
  """Whether requests are refused while all engines have standing queues."""
  lost: float = 0.0
  """Share of the reports that are lost."""
  restart_at: float | None = None
  """When the tracker, or the first router, starts anew, seconds."""


class Result(NamedTuple):
  """The outcome of a simulation, by kind where not stated otherwise."""

  in_time: dict[str, float]
  """Share of the requests that were served within their objective and without a
  long pause."""
  refused: dict[str, float]
  preempted: dict[str, int]
  worth: float
  """Sum of what was earned by all kinds, relative to `best_worth`."""


@dataclasses.dataclass
class _Run:
  """A request, at an engine or on its way there."""

  kind: Kind
  rank: int
  prefix: str
  shared_tokens: int
  own_tokens: int
  output_tokens: int
  arrived_at: float
  need: engine_memory.Need
  order: int = 0
  """Increases with each start at an engine: the newest has the largest."""
  produced: float = 0.0
  left_tokens: float = 0.0
  """Prompt tokens that are still to be prefilled."""
  last_event_at: float | None = None
  is_late: bool = False
  has_retried: bool = False
  place: placement.Placement | None = None
  router: "_Router | None" = None


class _Engine:
  """One engine."""

  def __init__(self, day: Day) -> None:
    self._day = day
    self.queue: list[_Run] = []
    self.running: list[_Run] = []
    self.prefilled: _Run | None = None
    """The run whose prompt is being prefilled."""
    self._cached: dict[str, int] = {}
    """Tokens of parts by prefix, the least recently used first."""
    self._orders = itertools.count()
    self.preempted: list[_Run] = []

  def _active(self) -> list[_Run]:
    return self.running + ([self.prefilled] if self.prefilled else [])

  def _held(self) -> float:
    active = self._active()
    shared = {run.prefix: run.shared_tokens for run in active}
    own = sum(run.own_tokens + run.produced for run in active)
    return own + sum(shared.values())

  def step(self, now: float) -> tuple[list[_Run], list[_Run]]:
    """Advances by one step; returns the runs that began and that ended."""
    begun, ended = [], []
    step_s = _BATCH_STEP_S + _BATCH_STEP_S_PER_RUN * len(self.running)
    for run in list(self.running):
      run.produced += _STEP_S / step_s
      run.last_event_at = now
      if run.produced >= run.output_tokens:
        self.running.remove(run)
        ended.append(run)
    while self._held() > self._day.memory_tokens:
      self._preempt(self._newest())
    budget = _PREFILL_TOKENS_PER_S * _STEP_S
    while budget > 0 and (self.prefilled or self._begin(now, ended)):
      run = self.prefilled
      taken = min(budget, run.left_tokens)
      run.left_tokens -= taken
      budget -= taken
      if run.left_tokens > 0:
        break
      self.prefilled = None
      self.running.append(run)
      if run.last_event_at is None:
        begun.append(run)
        run.is_late = now - run.arrived_at > run.kind.objective_s
      elif now - run.last_event_at > _MAX_PAUSE_S:
        run.is_late = True
      run.last_event_at = now
    self._evict()
    return begun, ended

  def _newest(self, above: int = -1) -> _Run | None:
    """Returns the newest of the least urgent runs, beyond a rank."""
    found = [run for run in self._active() if run.rank > above]
    return max(found, key=lambda run: (run.rank, run.order), default=None)

  def _preempt(self, run: _Run) -> None:
    if run is self.prefilled:
      self.prefilled = None
    else:
      self.running.remove(run)
    self.preempted.append(run)
    self.queue.append(run)

  def _begin(self, now: float, ended: list[_Run]) -> bool:
    """Takes the next run from the queue if there is memory for it."""
    for run in list(self.queue):
      if now - run.arrived_at > run.kind.deadline_s:
        self.queue.remove(run)
        ended.append(run)
    if not self.queue or len(self.running) >= self._day.slots:
      return False
    run = min(self.queue, key=lambda run: (run.rank, run.arrived_at))
    shared = any(one.prefix == run.prefix for one in self._active())
    need = run.own_tokens + run.produced + (not shared) * run.shared_tokens
    less = [one for one in self._active() if one.rank > run.rank]
    free = self._day.memory_tokens - self._held()
    if need > free + sum(one.own_tokens + one.produced for one in less):
      return False
    while need > self._day.memory_tokens - self._held():
      victim = self._newest(run.rank)
      if victim is None:
        return False
      self._preempt(victim)
    self.queue.remove(run)
    run.order = next(self._orders)
    missing = 0 if run.prefix in self._cached else run.shared_tokens
    run.left_tokens = run.own_tokens + run.produced + missing
    self._cached.pop(run.prefix, None)
    self._cached[run.prefix] = run.shared_tokens
    self.prefilled = run
    self._evict()
    return True

  def _evict(self) -> None:
    """Evicts cached parts that no run holds until the rest fits."""
    held = {run.prefix for run in self._active()}
    room = self._day.memory_tokens - self._held()
    unused = [prefix for prefix in self._cached if prefix not in held]
    total = sum(self._cached[prefix] for prefix in unused)
    for prefix in unused:
      if total <= room:
        break
      total -= self._cached.pop(prefix)


class _Router:
  """One router's knowledge of the engines."""

  def __init__(self, number: int, life: int, day: Day) -> None:
    self.table = endpoints.Table(settings.Scheduler(), cold=True)
    self.table.update(
        [
            {
                "name": f"i-{n}",
                "url": f"10.0.0.{n}:1",
                "datacentre": "dc",
                "kind": "pool",
            }
            for n in range(day.engines)
        ]
    )
    self.rows = list(self.table.rows.values())
    self.loads = loads.Loads(self.table, f"r{number}:{life}")
    self.detector = overload.Detector()


class Simulation:
  """Simulates one day.

  Args:
    day: its parameters.
    seed: of all random numbers.
  """

  def __init__(self, day: Day, seed: int) -> None:
    self._day = day
    self._random = random.Random(f"memory {seed}")
    self._engines = {f"i-{n}": _Engine(day) for n in range(day.engines)}
    self._routers = [_Router(n, 0, day) for n in range(day.routers)]
    self._tracker = tracking.Tracker()
    self._arrivals: list[tuple[float, int, _Run]] = []
    self._numbers = itertools.count()
    self._earned = 0.0
    self._count = {kind.name: 0 for kind in day.kinds}
    self._timely = dict.fromkeys(self._count, 0)
    self._refused = dict.fromkeys(self._count, 0)

  def run(self) -> Result:
    """Runs the simulation until all requests have ended."""
    for rank, kind in enumerate(self._day.kinds):
      at = self._random.expovariate(kind.per_s)
      while at < self._day.seconds:
        self._push(at, self._draw(kind, rank, at))
        self._count[kind.name] += 1
        at += self._random.expovariate(kind.per_s)
    now, restarted = 0.0, False
    while now < self._day.seconds + max(k.deadline_s for k in self._day.kinds):
      now += _STEP_S
      if not restarted and now >= (self._day.restart_at or 1e9):
        restarted = True
        self._restart()
      while self._arrivals and self._arrivals[0][0] <= now:
        self._place(heapq.heappop(self._arrivals)[2], now)
      for engine in self._engines.values():
        begun, ended = engine.step(now)
        for run in begun:
          self._note_begun(run, now)
        for run in ended:
          self._note_ended(run, now)
      if round(now / _STEP_S) % 50 == 0:
        for router in self._routers:
          router.loads.recompute_totals(now)
          router.table.tick(now)
    return self._result()

  def _push(self, at: float, run: _Run) -> None:
    heapq.heappush(self._arrivals, (at, next(self._numbers), run))

  def _draw(self, kind: Kind, rank: int, at: float) -> _Run:
    spread = self._day.own_spread
    own = int(
        kind.own_tokens * self._random.lognormvariate(-(spread**2) / 2, spread)
    )
    hint = kind.output_tokens * self._random.lognormvariate(0, _HINT_SPREAD)
    prefix = f"{kind.name}-{self._random.randrange(kind.prefixes)}"
    output = engine_memory.expected_output(hint, 4 * kind.output_tokens)
    run = engine_memory.make_run(prefix, kind.shared_tokens, own, output, rank)
    need = engine_memory.Need(run, self._day.memory_tokens, self._day.slots)
    return _Run(
        kind=kind,
        rank=rank,
        prefix=prefix,
        shared_tokens=kind.shared_tokens,
        own_tokens=own,
        output_tokens=kind.output_tokens,
        arrived_at=at,
        need=need,
    )

  def _restart(self) -> None:
    """Starts the tracker anew, or a router of a small fleet."""
    if self._day.is_tracked:
      self._tracker = tracking.Tracker()
    else:
      self._routers[0] = _Router(0, 1, self._day)

  def _place(self, run: _Run, now: float) -> None:
    router = self._random.choice(self._routers)
    need = run.need if self._day.counts_memory else None
    prompt = placement.Prompt(
        run.prefix, run.shared_tokens, run.own_tokens, need=need
    )
    place = self._choose(router, prompt, now)
    slowness = place.row.slowness
    forecast = overload.Forecast(
        (place.answer_s - place.prefill_s) * slowness,
        place.answer_s * slowness,
        run.kind.objective_s,
        run.rank,
    )
    retry_s = router.detector.retry_after_s(forecast, now)
    if self._day.sheds and retry_s is not None:
      left_s = run.arrived_at + run.kind.deadline_s - now
      if run.has_retried or retry_s > left_s * _RETRY_SHARE:
        self._refused[run.kind.name] += 1
        return
      run.has_retried = True
      self._push(now + retry_s * self._random.uniform(0.75, 1.5), run)
      return
    run.place, run.router = place, router
    place.row.in_flight += 1
    place.row.prefill_s += place.prefill_s
    sent = None
    if need is not None:
      sent = need.run._replace(prefill_s=place.answer_s, sent_at=now)
      place.row.runs.add(str(id(run)), sent)
    self._engines[place.row.name].queue.append(run)
    router.loads.note_sent(place.row.life, run.prefix, now)
    if self._day.is_tracked and not self._loses():
      self._tracker.note_sent(
          place.row.life, str(id(run)), run.prefix, place.prefill_s, now, sent
      )
    self._report(router, now)

  def _choose(
      self, router: _Router, prompt: placement.Prompt, now: float
  ) -> placement.Placement:
    router.loads.update_usage(router.rows, now)
    if not self._day.is_tracked:
      return placement.choose(router.rows, prompt, "dc")
    rounds = placement.candidates(router.rows, prompt, "dc", self._random)
    asked: list[placement.Candidate] = []
    for found in rounds:
      asked += found
      statuses = {
          one.row.life: self._tracker.status_of(
              one.row.life, prompt.prefix, now
          )
          for one in asked
      }
      place = placement.choose_tracked(asked, statuses, prompt, "dc")
      if not placement.is_busy(place, prompt):
        break
    return place

  def _note_begun(self, run: _Run, now: float) -> None:
    run.place.row.prefill_s -= run.place.prefill_s
    took_s = now - run.arrived_at
    row = run.place.row
    run.router.table.update_slowness(row, run.place.answer_s, took_s)
    if self._day.is_tracked and not self._loses():
      self._tracker.note_first_token(row.life, run.place.answer_s, took_s, now)
    self._report(run.router, now)

  def _note_ended(self, run: _Run, now: float) -> None:
    row, kind = run.place.row, run.kind
    row.in_flight -= 1
    row.runs.remove(str(id(run)), False, now)
    if run.last_event_at is None:
      row.prefill_s -= run.place.prefill_s
    if self._day.is_tracked and not self._loses():
      self._tracker.note_end(row.life, str(id(run)), False, now)
    self._report(run.router, now)
    if now - run.arrived_at > kind.deadline_s:
      return
    self._earned += kind.late_worth if run.is_late else kind.worth
    self._timely[kind.name] += not run.is_late

  def _report(self, router: _Router, now: float) -> None:
    """Sends a load report to all other routers of a small fleet."""
    if self._day.is_tracked:
      return
    report = router.loads.report(now)
    for other in self._routers:
      if other is not router and not self._loses():
        other.loads.apply_report(report, now)

  def _loses(self) -> bool:
    return self._random.random() < self._day.lost

  def _result(self) -> Result:
    preempted = dict.fromkeys(self._count, 0)
    for engine in self._engines.values():
      for run in engine.preempted:
        preempted[run.kind.name] += 1
    return Result(
        {name: self._timely[name] / n for name, n in self._count.items()},
        {name: self._refused[name] / n for name, n in self._count.items()},
        preempted,
        self._earned / best_worth(self._day, self._count),
    )


def best_worth(day: Day, counts: dict[str, int]) -> float:
  """Returns an upper bound of what can be earned with perfect knowledge.

  The engines' prefill capacity and memory over the whole time are given to the
  kinds that earn most for them; nothing is lost to chance, to cuts between
  engines, or by prefilling a part twice beyond what one pass needs.

  Args:
    day: the parameters of the simulation.
    counts: number of requests of each kind.
  """
  best = float("inf")
  prefill = day.engines * _PREFILL_TOKENS_PER_S * day.seconds
  memory = day.engines * day.memory_tokens * day.seconds
  for total, cost in ((prefill, _prefill_cost), (memory, _memory_cost)):
    earned, left = 0.0, total
    for kind in sorted(day.kinds, key=lambda k: -k.worth / cost(k)):
      served = min(counts[kind.name], left / cost(kind))
      left -= served * cost(kind)
      earned += served * kind.worth
    best = min(best, earned)
  return best


def _prefill_cost(kind: Kind) -> float:
  """Returns the prompt tokens of a request."""
  return kind.shared_tokens + kind.own_tokens


def _memory_cost(kind: Kind) -> float:
  """Returns the product of a request's memory and the time that it holds it."""
  tokens = _prefill_cost(kind)
  decode_s = kind.output_tokens * _BATCH_STEP_S
  return tokens * (tokens / _PREFILL_TOKENS_PER_S + decode_s)
