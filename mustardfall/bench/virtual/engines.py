"""Streams of a large fleet before batching engines, in virtual time.

Places requests with the router's own functions. An engine reads prompts one
after the other, keeps what it has read, and may turn slow; what a router knows
of it depends on the policy. Calm traffic only: what is compared is where work
goes and who waits.
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
from mustardfall.routing import loads
from mustardfall.routing import placement
from mustardfall.routing import tracking

_READ_TOKENS_PER_S = 64_200.0
_ATTEND_S_PER_PAIR = 0.647e-9
_FIRST_S = 0.005
"""A step and the way there and back."""
_STREAM_S = 0.5
"""How long a stream goes on after its first token."""
_TOLD_AT_ONCE = 8
_TELL_S = 0.25
"""Routers told by one report, and the time between two, where a sample of the
others is told in turn."""


class Kind(NamedTuple):
  """Requests of one kind."""

  name: str
  per_s: float
  prefixes: int
  shared_tokens: float
  own_tokens: float
  own_spread: float
  """Of the logarithm of a prompt's own tokens."""
  objective_s: float
  worth: float
  late_worth: float


KINDS = (
    Kind("appraisal", 44.5, 505, 13_300, 3_720, 1.1, 0.8, 3.7, 1.1),
    Kind("notice", 37.7, 427, 6_300, 2_890, 1.0, 0.6, 2.8, 0.84),
    Kind("label", 98.0, 1_662, 350, 1_110, 1.0, 0.4, 0.29, 0.086),
)
"""Three kinds of streams as one region of 195 hosts has them."""


class Day(NamedTuple):
  """What is played."""

  routers: int = 195
  engines: int = 39
  datacentres: int = 5
  seconds: float = 30.0
  kinds: tuple[Kind, ...] = KINDS
  slow: int = 0
  """Engines that are slow from a third of the day on."""
  slow_x: float = 3.5
  hot: float = 0.0
  """Part of the second kind's requests that have one prefix."""


class Result(NamedTuple):
  """What came of a day."""

  worth: dict[str, float]
  """Part of the worth earned, by kind."""
  largest: float
  """The same of the largest tenth of the first kind."""
  late: dict[str, float]
  """Part of first tokens past their objective, by kind."""
  p99_s: dict[str, float]
  """Time to the first token of the slowest hundredth, by kind."""
  read_again: float
  """Shared tokens read that some engine had read, per shared token asked."""
  messages_per_s: float
  """Datagrams that a router sends, in the mean."""


class _Engine:
  """Reads prompts one after the other."""

  def __init__(self) -> None:
    self.free_at = 0.0
    self.cached: set[str] = set()
    self.slow_x = 1.0

  def read(self, prompt: placement.Prompt, now: float) -> tuple[float, int]:
    """Returns when the first token comes, and the shared tokens read."""
    held = prompt.prefix in self.cached
    shared = 0 if held else prompt.shared_tokens
    tokens = prompt.own_tokens + shared
    before = prompt.shared_tokens - shared
    pairs = tokens * (before + tokens / 2)
    seconds = tokens / _READ_TOKENS_PER_S + pairs * _ATTEND_S_PER_PAIR
    self.free_at = max(now, self.free_at) + seconds * self.slow_x
    self.cached.add(prompt.prefix)
    return self.free_at + _FIRST_S, shared


class _Router:
  """What one router knows."""

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
    self.told_at = 0.0
    self.turn = number


@dataclasses.dataclass
class _Sent:
  """A request that was placed."""

  kind: Kind
  tokens: int
  prompt: placement.Prompt
  place: placement.Place
  name: str
  sent_at: float


class Simulation:
  """Plays one day with one policy.

  Args:
    day: what is played.
    policy: one of `POLICIES`.
    seed: of the traffic and of all that is drawn.
  """

  def __init__(self, day: Day, policy: str, seed: int) -> None:
    self._day = day
    self._random = random.Random(f"engines {seed}")
    self._choose, self._tell = POLICIES[policy]
    self.routers = [_Router(n, day) for n in range(day.routers)]
    self.engines = {f"i-{n}": _Engine() for n in range(day.engines)}
    self.tracker = tracking.Tracker()
    """Of all engines: each is tracked by one router, a message away."""
    self.messages = 0
    self._known: set[str] = set()
    self._shared_asked = 0
    self._read_again = 0
    self._times: dict[str, list[tuple[int, float]]] = {}
    self._events: list[tuple[float, int, Callable[[float], None]]] = []
    self._order = itertools.count()
    self._sizes = self._draw_prefixes()

  def _draw_prefixes(self) -> dict[str, list[int]]:
    """Returns the shared tokens of each prefix, by kind."""
    rng = random.Random("prefixes")
    return {
        kind.name: [
            int(kind.shared_tokens * rng.lognormvariate(-0.245, 0.7))
            for _ in range(kind.prefixes)
        ]
        for kind in self._day.kinds
    }

  def later(self, at: float, step: Callable[[float], None]) -> None:
    """Has something happen at a time."""
    heapq.heappush(self._events, (at, next(self._order), step))

  def run(self) -> Result:
    """Plays the day to its end."""
    for kind in self._day.kinds:
      at = self._random.expovariate(kind.per_s)
      while at < self._day.seconds:
        self.later(at, lambda now, kind=kind: self._arrive(kind, now))
        at += self._random.expovariate(kind.per_s)
    for number in range(self._day.slow):
      engine = self.engines[f"i-{number}"]
      self.later(
          self._day.seconds / 3,
          lambda now, engine=engine: setattr(
              engine, "slow_x", self._day.slow_x
          ),
      )
    while self._events:
      at, _, step = heapq.heappop(self._events)
      step(at)
    return self._result()

  def _draw(self, kind: Kind) -> placement.Prompt:
    number = self._random.randrange(kind.prefixes)
    if kind is self._day.kinds[1] and self._random.random() < self._day.hot:
      number = 0
    mu = math.log(kind.own_tokens) - kind.own_spread**2 / 2
    own = int(self._random.lognormvariate(mu, kind.own_spread))
    shared = self._sizes[kind.name][number]
    return placement.Prompt(f"{kind.name}-{number}", shared, min(own, 53_000))

  def _arrive(self, kind: Kind, now: float) -> None:
    router = self._random.choice(self.routers)
    prompt = self._draw(kind)
    place = self._choose(self, router, prompt, now)
    name = f"{now:.6f}"
    sent = _Sent(kind, sum(prompt[1:]), prompt, place, name, sent_at=now)
    place.row.in_flight += 1
    place.row.reading_s += place.reading_s
    first_at, shared = self.engines[place.row.name].read(prompt, now)
    self._shared_asked += prompt.shared_tokens
    if prompt.prefix in self._known:
      self._read_again += shared
    self._known.add(prompt.prefix)
    self._tell(self, router, "sent", sent, now)
    self.later(first_at, lambda at: self._first(router, sent, at))

  def _first(self, router: _Router, sent: _Sent, now: float) -> None:
    sent.place.row.reading_s -= sent.place.reading_s
    took_s = now - sent.sent_at
    self._times.setdefault(sent.kind.name, []).append((sent.tokens, took_s))
    router.table.learn(sent.place.row, sent.place.answer_s, took_s)
    self._tell(self, router, "first", sent, now)
    self.later(now + _STREAM_S, lambda at: self._end(router, sent, at))

  def _end(self, router: _Router, sent: _Sent, now: float) -> None:
    sent.place.row.in_flight -= 1
    self._tell(self, router, "end", sent, now)

  def rng(self) -> random.Random:
    """Returns what policies draw from."""
    return self._random

  def _result(self) -> Result:
    worth, late, p99_s = {}, {}, {}
    for kind in self._day.kinds:
      times = self._times[kind.name]
      worth[kind.name] = _worth(kind, times)
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
        _worth(first, times[-max(1, len(times) // 10) :]),
        late,
        p99_s,
        self._read_again / max(1, self._shared_asked),
        self.messages / self._day.routers / self._day.seconds,
    )


def _worth(kind: Kind, times: list[tuple[int, float]]) -> float:
  """Returns the part of the worth that was earned."""
  late = kind.late_worth / kind.worth
  mean = statistics.fmean(tokens for tokens, _ in times)
  weights = [min(4.0, 0.3 + 0.7 * tokens / mean) for tokens, _ in times]
  earned = sum(
      weight * (1.0 if took_s <= kind.objective_s else late)
      for weight, (_, took_s) in zip(weights, times, strict=True)
  )
  return earned / sum(weights)


def _choose_known(
    player: Simulation, router: _Router, prompt: placement.Prompt, now: float
) -> placement.Place:
  """Takes what the router itself knows."""
  del player, now
  return placement.choose(router.rows, prompt, router.datacentre)


def _choose_hashed(
    player: Simulation, router: _Router, prompt: placement.Prompt, now: float
) -> placement.Place:
  """Takes the first in the prefix's order."""
  del now
  first, _ = placement.candidates(
      router.rows, prompt, router.datacentre, player.rng()
  )
  held_s = placement.reading_s(True, prompt)
  return placement.Place(first[0].row, held_s, held_s)


def _choose_of_two(
    player: Simulation, router: _Router, prompt: placement.Prompt, now: float
) -> placement.Place:
  """Takes the less busy of two drawn at random, as the router knows them."""
  del now
  rows = player.rng().sample(router.rows, 2)
  row = min(rows, key=lambda r: placement.wait_s(r, prompt))
  own_s = placement.reading_s(False, prompt)
  return placement.Place(row, own_s, placement.wait_s(row, prompt) + own_s)


def _choose_tracked(
    player: Simulation, router: _Router, prompt: placement.Prompt, now: float
) -> placement.Place:
  """Asks those who track the candidates."""
  rounds = placement.candidates(
      router.rows, prompt, router.datacentre, player.rng()
  )
  asked: list[placement.Candidate] = []
  for found in rounds:
    asked += found
    player.messages += len(found)
    standings = {
        one.row.life: player.tracker.stand(one.row.life, prompt.prefix, now)
        for one in asked
    }
    place = placement.choose_tracked(
        asked, standings, prompt, router.datacentre
    )
    if not placement.is_busy(place, prompt):
      break
  return place


def _tell_nobody(
    player: Simulation, router: _Router, step: str, sent: _Sent, now: float
) -> None:
  del player, step
  router.loads.note_sent(sent.place.row.name, sent.prompt.prefix, now)


def _tell_some(
    player: Simulation, router: _Router, step: str, sent: _Sent, now: float
) -> None:
  """Tells a few others in turn, as seldom as the bytes allow."""
  if step == "sent":
    router.loads.note_sent(sent.place.row.name, sent.prompt.prefix, now)
  if now - router.told_at < _TELL_S:
    return
  router.told_at = now
  report = router.loads.report()
  for _ in range(_TOLD_AT_ONCE):
    router.turn = (router.turn + 1) % len(player.routers)
    player.messages += 1
    other = player.routers[router.turn]
    if other is not router:
      other.loads.take(report, now)
      other.loads.add_up(now)


def _tell_tracker(
    player: Simulation, router: _Router, step: str, sent: _Sent, now: float
) -> None:
  """Tells who tracks the endpoint."""
  del router
  player.messages += 2
  life = sent.place.row.life
  if step == "sent":
    player.tracker.note_sent(
        life, sent.name, sent.prompt.prefix, sent.place.reading_s, now
    )
  elif step == "first":
    took_s = now - sent.sent_at
    player.tracker.note_first(life, sent.place.answer_s, took_s, now)
  else:
    player.tracker.note_end(life, sent.name, False, now)


POLICIES = {
    "hashed": (_choose_hashed, _tell_nobody),
    "two": (_choose_of_two, _tell_some),
    "sampled": (_choose_known, _tell_some),
    "tracked": (_choose_tracked, _tell_tracker),
}
"""How a router chooses, and what it tells others."""
