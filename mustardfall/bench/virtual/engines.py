"""Discrete-event simulation of request placement in a large fleet.

Requests are placed by the router's production functions. An engine prefills
prompts one after the other, caches the prefixes, and may become slow. What a
router knows of the engines depends on the policy. There are no network or
store faults: the simulation compares where requests are placed and how long
they wait.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import random
import statistics
from typing import NamedTuple

from mustardfall import settings
from mustardfall.routing import endpoints
from mustardfall.routing import issuing
from mustardfall.routing import loads
from mustardfall.routing import overload
from mustardfall.routing import placement
from mustardfall.routing import server_speed
from mustardfall.routing import tracking

_ATTENTION_S_PER_TOKEN_PAIR = 0.647e-9
_FIRST_TOKEN_OVERHEAD_S = 0.005
"""Duration of one engine step and of the network round trip."""
_MOMENT_S = 0.2
"""Duration of a momentary slowdown by other work on an engine's machine."""
_DECODE_S = 0.5
"""Duration of a stream after its first token."""
_REPORT_FANOUT = 8
"""Number of routers to which `_report_to_sample` sends a load report."""
_REPORT_INTERVAL_S = 0.25
"""Minimum interval between a router's load reports in `_report_to_sample`."""


class Kind(NamedTuple):
  """Rate, sizes and values of one kind of requests."""

  name: str
  per_s: float
  prefixes: int
  shared_tokens: float
  own_tokens: float
  own_spread: float
  """Standard deviation of the logarithm of a prompt's own tokens."""
  objective_s: float
  worth: float
  """Value of a request whose first token meets the objective."""
  late_worth: float
  """Value of a request whose first token is late."""


KINDS = (
    Kind("appraisal", 44.5, 505, 13_300, 3_720, 1.1, 0.8, 3.7, 1.1),
    Kind("notice", 37.7, 427, 6_300, 2_890, 1.0, 0.6, 2.8, 0.84),
    Kind("label", 98.0, 1_662, 350, 1_110, 1.0, 0.4, 0.29, 0.086),
)
"""The three kinds of requests in a region of 195 routers."""


class Day(NamedTuple):
  """Parameters of a simulated day."""

  routers: int = 195
  engines: int = 39
  datacentres: int = 5
  seconds: float = 30.0
  kinds: tuple[Kind, ...] = KINDS
  slow: int = 0
  """Number of engines that become slow after a third of the day."""
  slow_x: float = 3.5
  prefill_tokens_per_s: float = 64_200.0
  """Prefill rate of an engine of nominal speed."""
  speeds: tuple[float, ...] = (1.0,)
  """Speeds of the engines relative to the nominal one, in turn."""
  shared_x: float = 1.0
  """Largest momentary slowdown of an engine by other work on its machine, in a
  fifth of all moments of `_MOMENT_S`; engines state it in their answers."""
  limited: int = 0
  """Number of engines that name a limit after a third of the day."""
  limited_per_s: float = 1.0
  """Requests per second that these take from all routers together."""
  spares_limited: bool = True
  """Whether routers know these before they choose an engine."""
  waits_for_cached: bool = True
  """Whether a request waits for a limited engine that has its prefix cached."""
  sheds: bool = True
  """Whether requests are refused while all engines have standing queues."""
  hot: float = 0.0
  """Share of the second kind's requests that use its first prefix, in addition
  to those that draw it by chance."""


class Result(NamedTuple):
  """The outcome of a simulated day."""

  worth: dict[str, float]
  """Share of the maximum worth that was earned, by kind."""
  largest: float
  """The same for the largest tenth of the first kind's requests."""
  late: dict[str, float]
  """Share of requests whose first token missed its objective, by kind."""
  p99_s: dict[str, float]
  """99th percentile of the time to the first token, by kind."""
  read_again: float
  """Shared tokens that were prefilled although an engine had prefilled their
  prefix before, per shared token of all requests."""
  refused: float
  """Share of requests that were refused."""
  messages_per_s: float
  """Mean number of messages that a router sends per second."""


class _Engine:
  """An engine that prefills prompts one after the other."""

  def __init__(self, number: int, day: Day) -> None:
    self._day = day
    self._number = number
    self.idle_at = 0.0
    self.cached: set[str] = set()
    self.slow_x = 1 / day.speeds[number % len(day.speeds)]
    self.bucket: issuing.Bucket | None = None
    """The permits of an engine that names a limit."""

  def prefill(self, prompt: placement.Prompt, now: float) -> tuple[float, int]:
    """Returns the time of the first token, and the shared tokens prefilled."""
    held = prompt.prefix in self.cached
    shared = 0 if held else prompt.shared_tokens
    tokens = prompt.own_tokens + shared
    before = prompt.shared_tokens - shared
    pairs = tokens * (before + tokens / 2)
    seconds = (
        tokens / self._day.prefill_tokens_per_s
        + pairs * _ATTENTION_S_PER_TOKEN_PAIR
    )
    begin = max(now, self.idle_at)
    self.idle_at = begin + seconds * self.slow_x * self.moment(begin)
    self.cached.add(prompt.prefix)
    return self.idle_at + _FIRST_TOKEN_OVERHEAD_S, shared

  def moment(self, now: float) -> float:
    """Returns the slowdown by other work on the engine's machine."""
    period = int(now / _MOMENT_S) + 7 * self._number
    return self._day.shared_x if period % 5 == 0 else 1.0


class _Router:
  """One router's knowledge of the engines."""

  def __init__(self, number: int, day: Day) -> None:
    self.number = number
    self.datacentre = f"dc{number % day.datacentres}"
    self.table = endpoints.Table(settings.Scheduler(), cold=True)
    self.table.update(
        [
            {
                "name": f"i-{n}",
                "url": f"10.0.0.{n}:1",
                "datacentre": f"dc{n % day.datacentres}",
                "kind": "pool",
            }
            for n in range(day.engines)
        ]
    )
    self.rows = list(self.table.rows.values())
    self.loads = loads.Loads(self.table, f"r{number}:e")
    self.last_report_at = 0.0
    self.next_peer = number
    self.detector = overload.Detector()


@dataclasses.dataclass
class _PlacedRequest:
  """A request that was sent to an engine."""

  kind: Kind
  tokens: int
  prompt: placement.Prompt
  place: placement.Placement
  name: str
  sent_at: float


class Simulation:
  """Simulates one day with one policy.

  Args:
    day: the parameters of the day.
    policy: a key of `POLICIES`.
    seed: of all random numbers except the sizes of prefixes.
  """

  def __init__(self, day: Day, policy: str, seed: int) -> None:
    self._day = day
    self._random = random.Random(f"engines {seed}")
    self._choose, self._report = POLICIES[policy]
    self.learns_speeds = policy in LEARNING_POLICIES
    self.objective_s = math.inf
    """Objective of the request that is being placed."""
    self.routers = [_Router(n, day) for n in range(day.routers)]
    self.engines = {f"i-{n}": _Engine(n, day) for n in range(day.engines)}
    self.tracker = tracking.Tracker()
    """Tracks all engines. In a real fleet each engine is tracked by some
    router, which others ask by message."""
    self.messages = 0
    self._prefilled_prefixes: set[str] = set()
    self._shared_tokens = 0
    self._tokens_prefilled_again = 0
    self._requests = 0
    self._refused = 0
    self._refused_tokens: dict[str, list[int]] = {}
    """Sizes of the refused prompts, by kind."""
    self._times: dict[str, list[tuple[int, float]]] = {}
    self._events: list[tuple[float, int, Callable[[float], None]]] = []
    self._order = itertools.count()
    self._prefix_tokens = self._draw_prefixes()

  def _draw_prefixes(self) -> dict[str, list[int]]:
    """Returns each prefix's shared tokens, by kind; the same for all seeds."""
    rng = random.Random("prefixes")
    return {
        kind.name: [
            int(kind.shared_tokens * rng.lognormvariate(-0.245, 0.7))
            for _ in range(kind.prefixes)
        ]
        for kind in self._day.kinds
    }

  def schedule(self, at: float, step: Callable[[float], None]) -> None:
    """Schedules `step` to run at virtual time `at`."""
    heapq.heappush(self._events, (at, next(self._order), step))

  def run(self) -> Result:
    """Runs the simulation until no event is left."""
    for kind in self._day.kinds:
      at = self._random.expovariate(kind.per_s)
      while at < self._day.seconds:
        self.schedule(at, lambda now, kind=kind: self._place_request(kind, now))
        at += self._random.expovariate(kind.per_s)
    for number in range(self._day.slow):
      engine = self.engines[f"i-{number}"]
      self.schedule(
          self._day.seconds / 3,
          lambda now, engine=engine: setattr(
              engine, "slow_x", engine.slow_x * self._day.slow_x
          ),
      )
    for number in range(self._day.limited):
      self.schedule(
          self._day.seconds / 3,
          lambda now, number=number: self._limit(f"i-{number}", now),
      )
    while self._events:
      at, _, step = heapq.heappop(self._events)
      step(at)
    return self._result()

  def _limit(self, engine: str, now: float) -> None:
    """Has an engine name a limit, of which all routers hear."""
    self.engines[engine].bucket = issuing.Bucket(now)
    for router in self.routers:
      router.table.rows[engine].is_limited = self._day.spares_limited

  def _choose_permitted(
      self, router: _Router, prompt: placement.Prompt, now: float
  ) -> tuple[placement.Placement, float]:
    """Chooses an engine, another one if that has no permit in time.

    Returns:
      The engine, and when the request may be sent there.
    """
    rows = router.rows
    try:
      while True:
        place = self._choose(self, router, prompt, now)
        bucket = self.engines[place.row.name].bucket
        if bucket is None:
          return place, now
        max_wait_s = place.saved_s if self._day.waits_for_cached else 0.0
        wait_s = bucket.take(self._day.limited_per_s, max_wait_s, now)
        if wait_s is not None:
          return place, now + wait_s
        router.rows = [row for row in router.rows if row is not place.row]
    finally:
      router.rows = rows

  def _is_refused(
      self,
      router: _Router,
      kind: Kind,
      place: placement.Placement,
      now: float,
  ) -> bool:
    """Whether a request is refused because all engines have queues."""
    if not self._day.sheds or self.engines[place.row.name].bucket is not None:
      return False
    slowness = place.row.slowness
    forecast = overload.Forecast(
        (place.answer_s - place.prefill_s) * slowness,
        place.answer_s * slowness,
        kind.objective_s,
        self._day.kinds.index(kind),
    )
    return router.detector.retry_after_s(forecast, now) is not None

  def _draw_prompt(self, kind: Kind) -> placement.Prompt:
    number = self._random.randrange(kind.prefixes)
    if kind is self._day.kinds[1] and self._random.random() < self._day.hot:
      number = 0
    mu = math.log(kind.own_tokens) - kind.own_spread**2 / 2
    own = int(self._random.lognormvariate(mu, kind.own_spread))
    shared = self._prefix_tokens[kind.name][number]
    return placement.Prompt(f"{kind.name}-{number}", shared, min(own, 53_000))

  def _place_request(self, kind: Kind, now: float) -> None:
    router = self._random.choice(self.routers)
    prompt = self._draw_prompt(kind)
    self.objective_s = kind.objective_s
    self._requests += 1
    place, send_at = self._choose_permitted(router, prompt, now)
    if self._is_refused(router, kind, place, now):
      self._refused += 1
      self._refused_tokens.setdefault(kind.name, []).append(
          prompt.shared_tokens + prompt.own_tokens
      )
      return
    name = f"{now:.6f}"
    sent = _PlacedRequest(
        kind,
        prompt.shared_tokens + prompt.own_tokens,
        prompt,
        place,
        name,
        sent_at=now,
    )
    place.row.in_flight += 1
    place.row.prefill_s += place.prefill_s
    first_at, shared = self.engines[place.row.name].prefill(prompt, send_at)
    self._shared_tokens += prompt.shared_tokens
    if prompt.prefix in self._prefilled_prefixes:
      self._tokens_prefilled_again += shared
    self._prefilled_prefixes.add(prompt.prefix)
    self._report(self, router, "sent", sent, now)
    self.schedule(
        first_at, lambda at: self._receive_first_token(router, sent, at)
    )

  def _receive_first_token(
      self, router: _Router, sent: _PlacedRequest, now: float
  ) -> None:
    sent.place.row.prefill_s -= sent.place.prefill_s
    took_s = now - sent.sent_at
    self._times.setdefault(sent.kind.name, []).append((sent.tokens, took_s))
    router.table.update_slowness(sent.place.row, sent.place.answer_s, took_s)
    self._report(self, router, "first", sent, now)
    self.schedule(now + _DECODE_S, lambda at: self._finish(router, sent, at))

  def _finish(self, router: _Router, sent: _PlacedRequest, now: float) -> None:
    sent.place.row.in_flight -= 1
    self._report(self, router, "end", sent, now)

  def rng(self) -> random.Random:
    """Returns the random number generator for policies."""
    return self._random

  def _result(self) -> Result:
    worth, late, p99_s = {}, {}, {}
    for kind in self._day.kinds:
      times = self._times[kind.name]
      refused = self._refused_tokens.get(kind.name, [])
      worth[kind.name] = _worth(kind, times, refused)
      late[kind.name] = statistics.fmean(
          took_s > kind.objective_s for _, took_s in times
      )
      p99_s[kind.name] = statistics.quantiles(
          [took_s for _, took_s in times], n=100
      )[98]
    first = self._day.kinds[0]
    times = sorted(self._times[first.name])
    return Result(
        worth,
        _worth(first, times[-max(1, len(times) // 10) :], []),
        late,
        p99_s,
        self._tokens_prefilled_again / max(1, self._shared_tokens),
        self._refused / max(1, self._requests),
        self.messages / self._day.routers / self._day.seconds,
    )


def _worth(
    kind: Kind, times: list[tuple[int, float]], refused: list[int]
) -> float:
  """Returns the share of the maximum worth that was earned.

  Args:
    kind: the kind of the requests.
    times: tokens and time to the first token of each served request.
    refused: tokens of each refused request.
  """
  late = kind.late_worth / kind.worth
  sizes = [tokens for tokens, _ in times] + refused
  mean = statistics.fmean(sizes)
  weights = [min(4.0, 0.3 + 0.7 * tokens / mean) for tokens in sizes]
  earned = sum(
      weight * (1.0 if took_s <= kind.objective_s else late)
      for weight, (_, took_s) in zip(weights, times)  # noqa: B905
  )
  return earned / sum(weights)


def _choose_least_loaded(
    simulation: Simulation,
    router: _Router,
    prompt: placement.Prompt,
    now: float,
) -> placement.Placement:
  """Places the request by the load that the router knows.

  It knows the load from its own requests and from the reports it received.
  """
  del simulation, now
  return placement.choose(router.rows, prompt, router.datacentre)


def _choose_by_hash(
    simulation: Simulation,
    router: _Router,
    prompt: placement.Prompt,
    now: float,
) -> placement.Placement:
  """Takes the first endpoint in the hash order of the prefix."""
  del now
  first, _ = placement.candidates(
      router.rows, prompt, router.datacentre, simulation.rng()
  )
  cached_s = placement.prefill_s(True, prompt)
  return placement.Placement(first[0].row, cached_s, cached_s)


def _choose_of_two(
    simulation: Simulation,
    router: _Router,
    prompt: placement.Prompt,
    now: float,
) -> placement.Placement:
  """Takes the less busy of two random endpoints, as far as the router knows."""
  del now
  rows = simulation.rng().sample(router.rows, 2)
  row = min(rows, key=lambda r: placement.wait_s(r, prompt))
  uncached_s = placement.prefill_s(False, prompt)
  return placement.Placement(
      row, uncached_s, placement.wait_s(row, prompt) + uncached_s
  )


def _choose_tracked(
    simulation: Simulation,
    router: _Router,
    prompt: placement.Prompt,
    now: float,
) -> placement.Placement:
  """Places the request by the load that the candidates' trackers report."""
  rounds = placement.candidates(
      router.rows, prompt, router.datacentre, simulation.rng()
  )
  asked: list[placement.Candidate] = []
  for found in rounds:
    asked += found
    simulation.messages += len(found)
    statuses = {
        one.row.life: simulation.tracker.status_of(
            one.row.life, prompt.prefix, now
        )
        for one in asked
    }
    place = placement.choose_tracked(asked, statuses, prompt, router.datacentre)
    is_enough = not placement.is_busy(place, prompt)
    if simulation.learns_speeds:
      is_enough = not placement.should_widen(
          place, prompt, simulation.objective_s
      )
    if is_enough:
      break
  return place


def _record_locally(
    simulation: Simulation,
    router: _Router,
    step: str,
    sent: _PlacedRequest,
    now: float,
) -> None:
  del simulation, step
  router.loads.note_sent(sent.place.row.name, sent.prompt.prefix, now)


def _report_to_sample(
    simulation: Simulation,
    router: _Router,
    step: str,
    sent: _PlacedRequest,
    now: float,
) -> None:
  """Sends a load report to a few routers in turn, at a limited rate.

  The rate bounds the traffic between routers.
  """
  if step == "sent":
    router.loads.note_sent(sent.place.row.name, sent.prompt.prefix, now)
  if now - router.last_report_at < _REPORT_INTERVAL_S:
    return
  router.last_report_at = now
  report = router.loads.report()
  for _ in range(_REPORT_FANOUT):
    router.next_peer = (router.next_peer + 1) % len(simulation.routers)
    simulation.messages += 1
    other = simulation.routers[router.next_peer]
    if other is not router:
      other.loads.apply_report(report, now)
      other.loads.recompute_totals(now)


def _report_to_tracker(
    simulation: Simulation,
    router: _Router,
    step: str,
    sent: _PlacedRequest,
    now: float,
) -> None:
  """Reports each step of a request to the endpoint's tracker."""
  del router
  simulation.messages += 2
  life = sent.place.row.life
  if step == "sent":
    simulation.tracker.note_sent(
        life, sent.name, sent.prompt.prefix, sent.place.prefill_s, now
    )
  elif step == "first":
    took_s = now - sent.sent_at
    measured = None
    if simulation.learns_speeds:
      moment = simulation.engines[sent.place.row.name].moment(now)
      measured = server_speed.Measurement(sent.place.nominal_s, took_s, moment)
    simulation.tracker.note_first_token(
        life, sent.place.answer_s, took_s, now, measured
    )
  else:
    simulation.tracker.note_end(life, sent.name, False, now)


LEARNING_POLICIES = frozenset(("learned",))
"""Policies whose routers learn the engines' speeds."""

POLICIES = {
    "hashed": (_choose_by_hash, _record_locally),
    "two": (_choose_of_two, _report_to_sample),
    "sampled": (_choose_least_loaded, _report_to_sample),
    "tracked": (_choose_tracked, _report_to_tracker),
    "learned": (_choose_tracked, _report_to_tracker),
}
"""For each policy, how a router chooses an endpoint and what it reports."""
