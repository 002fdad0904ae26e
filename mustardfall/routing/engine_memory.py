"""The KV memory and slots that runs at an engine hold and will hold, by rank.

Answers the load in which running requests need more memory than an engine has:
it then preempts the newest of the least urgent and prefills it again later, also
in the middle of its stream. A run that is sent only to engines with room for it
is neither preempted nor preempts others.

Ranks are priorities, 0 is the most urgent. What the runs produce is estimated
from the time, so that no message is needed for a token.
"""

from collections.abc import Iterable, Mapping
import math
from typing import Any, NamedTuple

LIFETIME_S = 8.0
"""A run whose end was not reported counts for this long, as in `tracking`."""
MAX_RANK = 9
"""Least urgent rank; engines know ranks 0 to 9."""
_MAX_TOKENS = 10_000_000
"""Bound on any count of tokens, more than the memory of any engine. It keeps sums
finite whatever callers and routers state."""
_DECODE_S_PER_TOKEN = 0.008
"""Nominal duration of a batch step, which yields a token of each running request:
5 to 15 ms from an empty to a full batch."""
_MAX_PREFILL_S = 10.0
"""Bound on the prefill of one run, as in `tracking`."""
_MIN_LEFT_S = 0.1
"""Time that a run is assumed to last at least from now. Hints are too low for
half of the runs, so that a run past its expected end has not always ended."""
_PREEMPTION_WEIGHT = 0.1
"""Weight of the time that it takes until less urgent runs need not be preempted.
That is about a second, and the prefill that they lose takes about 0.1 s."""
_MIN_DURATION_S = 0.5
"""Expected durations are raised to this where they say how likely a run is to be
still there: queues and preemptions outweigh shorter ones."""
_RANK_FIELDS = 5
"""Numbers that describe one rank in the compact form."""
_PART_FIELDS = 3
"""Values that describe one shared part in the compact form."""
_MAX_AGE_S = 3_600.0
"""Bound on the age of another router's usage; older ones are ignored anyway."""
_MIN_PACE = 0.25
_MAX_PACE = 4.0
"""Bounds on the observed ratio of actual to nominal durations. Runs that last
longer were preempted, and runs that are sent by this estimate are not."""
_PACE_KEPT = 0.95
"""Factor by which earlier runs count less with each run that ends: about 20 runs
are remembered, which an engine ends within one to two seconds."""
_PACE_PRIOR_S = 1.0
"""Weight of the nominal durations, as seconds of observed runs: one run."""
_CACHED_S = 0.02
"""How long a computed usage is used again while no run begins or ends. A run
produces two or three tokens within this time."""


class Run(NamedTuple):
  """One run at an engine, or one that is to be placed. See `make_run`."""

  prefix: str
  """Identifies the shared parts of its prompt; empty: there are none."""
  shared_tokens: int
  own_tokens: int
  """Tokens of the prompt that no other run shares."""
  output_tokens: int
  """Tokens that it is expected to produce."""
  rank: int
  prefill_s: float = 0.0
  """Time until its first token, as expected when it was sent."""
  sent_at: float = 0.0
  """When it was sent, monotonic seconds."""

  @property
  def tokens(self) -> int:
    """Tokens that it holds at its end."""
    return self.shared_tokens + self.own_tokens + self.output_tokens


class Need(NamedTuple):
  """What a run needs of an engine, and what the engines of its service have."""

  run: Run
  memory_tokens: int
  slots: int
  """Requests that an engine runs at a time."""

  @property
  def ever_fits(self) -> bool:
    """Whether the run fits into the memory of an idle engine."""
    return self.run.tokens <= self.memory_tokens


class Part(NamedTuple):
  """The shared parts of prompts, held once for all runs that use them."""

  tokens: int
  rank: int
  """The most urgent rank of these runs."""


class RankUsage(NamedTuple):
  """What the runs of one rank hold at an engine."""

  rank: int
  runs: float
  """Their number; one past its expected end counts less the longer it is."""
  held_tokens: float
  """Tokens held now, without the parts that are listed in `Usage.parts`."""
  coming_tokens: float
  """Tokens that these runs will produce until their ends."""
  left_s: float
  """Mean time until they end, seconds."""


class Usage(NamedTuple):
  """What all runs hold at one engine."""

  ranks: tuple[RankUsage, ...] = ()
  """By rank, the most urgent first; ranks without runs are left out."""
  parts: Mapping[str, Part] = {}
  """Shared parts that are not contained in `ranks` yet, by prefix."""
  age_s: float = 0.0
  """How old the oldest fact is that it was computed from, seconds."""

  @property
  def tokens(self) -> float:
    """Tokens held at the end of all runs."""
    shared = sum(part.tokens for part in self.parts.values())
    return shared + sum(one.held_tokens + one.coming_tokens for one in self[0])

  @property
  def runs(self) -> float:
    """The number of runs."""
    return sum(one.runs for one in self.ranks)


EMPTY = Usage()


def make_run(
    prefix: Any,
    shared_tokens: Any,
    own_tokens: Any,
    output_tokens: Any,
    rank: Any,
    prefill_s: Any = 0.0,
    sent_at: float = 0.0,
) -> Run:
  """Returns a run with its values within their bounds.

  Args:
    prefix: identifies the shared parts; empty: none.
    shared_tokens: tokens of the shared parts.
    own_tokens: the other tokens of the prompt.
    output_tokens: tokens that it is expected to produce.
    rank: its rank; an unusable one counts as the least urgent.
    prefill_s: expected time until its first token, seconds.
    sent_at: when it is sent, monotonic seconds.
  """
  return Run(
      str(prefix),
      int(_bounded(shared_tokens, _MAX_TOKENS)),
      int(_bounded(own_tokens, _MAX_TOKENS)),
      int(_bounded(output_tokens, _MAX_TOKENS)),
      rank_of(rank),
      _bounded(prefill_s, _MAX_PREFILL_S),
      sent_at,
  )


def rank_of(value: Any) -> int:
  """Returns a rank within its bounds; the least urgent one if it is unusable."""
  if not isinstance(value, int | float) or not -math.inf < value < math.inf:
    return MAX_RANK
  return min(MAX_RANK, max(0, int(value)))


def expected_output(hint: Any, max_tokens: Any) -> int:
  """Returns the output tokens to expect of a run.

  Args:
    hint: the caller's estimate. One that is missing, below 1 or no number
      counts as the maximum: it gains the caller no room.
    max_tokens: the maximum output that the request states.
  """
  most = int(_bounded(max_tokens, _MAX_TOKENS))
  if not isinstance(hint, int | float) or not hint >= 1:
    return most
  return int(min(hint, most))


def usage(
    runs: Iterable[Run], now: float, pace: float = 1.0, age_s: float = 0.0
) -> Usage:
  """Returns what runs hold now and will hold.

  Args:
    runs: the runs at one engine; those older than `LIFETIME_S` are left out.
    now: the current time, monotonic seconds.
    pace: actual to nominal duration of runs there.
    age_s: age of the newest fact about the runs.
  """
  sums: dict[int, list[float]] = {}
  parts: dict[str, Part] = {}
  for run in runs:
    elapsed_s = now - run.sent_at
    if elapsed_s > LIFETIME_S:
      continue
    decode_s = run.output_tokens * _DECODE_S_PER_TOKEN * pace
    prefill_s = run.prefill_s * pace
    duration_s = max(_MIN_DURATION_S, prefill_s + decode_s)
    # Half of the runs end later than expected. One of which no end is reported
    # for long has either been preempted or its report was lost.
    weight = 1.0
    if elapsed_s > duration_s:
      weight = 0.5 ** (elapsed_s / duration_s - 1.0)
    done = 1.0
    if decode_s > 0.0:
      done = min(1.0, max(0.0, (elapsed_s - prefill_s) / decode_s))
    left_s = min(prefill_s + decode_s, LIFETIME_S) - elapsed_s
    found = sums.setdefault(run.rank, [0.0, 0.0, 0.0, 0.0])
    held = run.own_tokens + done * run.output_tokens
    found[0] += weight
    found[1] += weight * held
    found[2] += weight * (run.own_tokens + run.output_tokens - held)
    found[3] += weight * max(_MIN_LEFT_S, left_s)
    if run.prefix:
      tokens = int(weight * run.shared_tokens)
      _add_part(parts, run.prefix, Part(tokens, run.rank))
    else:
      found[1] += weight * run.shared_tokens
  ranks = tuple(
      RankUsage(rank, n, held, coming, left_s / n)
      for rank, (n, held, coming, left_s) in sorted(sums.items())
  )
  return Usage(ranks, parts, age_s)


def combine(usages: Iterable[Usage]) -> Usage:
  """Returns the sum of usages of one engine, with shared parts counted once."""
  ranks: dict[int, RankUsage] = {}
  parts: dict[str, Part] = {}
  age_s = 0.0
  for one in usages:
    age_s = max(age_s, one.age_s)
    for added in one.ranks:
      found = ranks.get(added.rank)
      ranks[added.rank] = added if found is None else _sum(found, added)
    for prefix, part in one.parts.items():
      _add_part(parts, prefix, part)
  return Usage(tuple(ranks[rank] for rank in sorted(ranks)), parts, age_s)


def fold(found: Usage) -> Usage:
  """Returns a usage whose ranks contain the shared parts."""
  if not found.parts:
    return found
  shared: dict[int, int] = {}
  for part in found.parts.values():
    shared[part.rank] = shared.get(part.rank, 0) + part.tokens
  ranks = tuple(
      one._replace(held_tokens=one.held_tokens + shared.get(one.rank, 0))
      for one in found.ranks
  )
  return Usage(ranks, {}, found.age_s)


def wait_s(
    found: Usage,
    memory_tokens: int,
    slots: int,
    run: Run,
    holds_prefix: bool = False,
) -> float:
  """Returns the seconds until a run fits at an engine.

  It fits when the runs that are at least as urgent leave it room until their
  ends: it then preempts none of them and is not preempted for them. The time
  until it need not preempt less urgent ones either counts with a smaller weight.
  The memory and slots of a rank are assumed to become free evenly, within twice
  the mean time that its runs last.

  Args:
    found: what the runs there hold.
    memory_tokens: the engine's memory; 0 or less: it is not known.
    slots: requests that it runs at a time; 0 or less: it is not known.
    run: the run to be placed.
    holds_prefix: whether its shared parts are held there by another run.

  Returns:
    0 if it fits now, infinity if it never does.
  """
  if memory_tokens > 0 and run.tokens > memory_tokens:
    return math.inf
  ranks = fold(found).ranks
  need = run.tokens
  if holds_prefix or run.prefix in found.parts:
    need -= run.shared_tokens
  hard_s = all_s = 0.0
  if memory_tokens > 0:
    urgent, others = _split(ranks, run.rank)
    hard_s = _release_s(need - memory_tokens, urgent)
    # Less urgent runs that find no memory wait and hold none.
    room = max(0.0, memory_tokens - sum(amount for amount, _ in urgent))
    total = sum(amount for amount, _ in others)
    share = min(1.0, room / total) if total > 0.0 else 0.0
    running = [(amount * share, left_s) for amount, left_s in others]
    all_s = _release_s(need - memory_tokens, urgent + running)
  hard_s = max(hard_s, _slot_wait_s(slots, ranks, run.rank))
  return hard_s + _PREEMPTION_WEIGHT * max(0.0, all_s - hard_s)


def _split(
    ranks: tuple[RankUsage, ...], rank: int
) -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
  """Returns the tokens and times of ranks as urgent as `rank`, and of others."""
  urgent: list[tuple[float, float]] = []
  others: list[tuple[float, float]] = []
  for one in ranks:
    load = (one.held_tokens + one.coming_tokens, one.left_s)
    (urgent if one.rank <= rank else others).append(load)
  return urgent, others


def _slot_wait_s(slots: int, ranks: tuple[RankUsage, ...], rank: int) -> float:
  """Returns the seconds until a run of a rank gets a slot.

  Slots are not taken from running requests, but less urgent ones that wait for
  a slot do so behind it.
  """
  runs = sum(one.runs for one in ranks)
  if slots <= 0 or runs < slots:
    return 0.0
  ahead = sum(one.runs for one in ranks if one.rank <= rank)
  most_left_s = max(one.left_s for one in ranks)
  per_s = min(runs, slots) / (
      2 * sum(one.runs * one.left_s for one in ranks) / runs
  )
  return min((max(0, ahead - slots) + 1) / per_s, 2 * most_left_s + LIFETIME_S)


def _release_s(excess: float, loads: list[tuple[float, float]]) -> float:
  """Returns the seconds until loads have fallen by what exceeds a limit.

  Args:
    excess: by how much the limit would be exceeded without any load.
    loads: for each rank its amount and the mean time until it is gone.
  """
  excess += sum(amount for amount, _ in loads)
  if excess <= 0.0:
    return 0.0
  past_s = 0.0
  open_loads = sorted(loads, key=lambda load: load[1])
  while open_loads:
    per_s = sum(amount / (2 * left_s) for amount, left_s in open_loads)
    next_s = 2 * open_loads[0][1]
    released = per_s * (next_s - past_s)
    if released >= excess:
      return past_s + excess / per_s
    excess -= released
    past_s = next_s
    del open_loads[0]
  return past_s


def encode(found: Usage, with_parts: bool) -> list:
  """Returns the compact form of a usage.

  Args:
    found: the usage.
    with_parts: whether shared parts are listed, so that the receiver can count
      them once; otherwise the ranks contain them.

  Returns:
    The age in ms, the numbers of each rank, and the parts if any.
  """
  numbers: list = [round(found.age_s * 1000)]
  for one in found.ranks if with_parts else fold(found).ranks:
    numbers += [
        one.rank,
        round(one.runs, 2),
        round(one.held_tokens),
        round(one.coming_tokens),
        round(one.left_s * 1000),
    ]
  if not with_parts or not found.parts:
    return [numbers]
  parts: list = []
  for prefix, part in found.parts.items():
    parts += [prefix, part.tokens, part.rank]
  return [numbers, parts]


def decode(raw: Any) -> Usage:
  """Returns the usage of a compact form; what is unusable in it is left out."""
  if not isinstance(raw, list) or not raw or not isinstance(raw[0], list):
    return EMPTY
  age_ms, *numbers = raw[0] or [0.0]
  ranks: dict[int, RankUsage] = {}
  for rank, runs, held, coming, left_ms in _groups(numbers, _RANK_FIELDS):
    one = RankUsage(
        rank_of(rank),
        _bounded(runs, _MAX_TOKENS),
        _bounded(held, _MAX_TOKENS),
        _bounded(coming, _MAX_TOKENS),
        max(_MIN_LEFT_S, _bounded(left_ms, LIFETIME_S * 1000) / 1000),
    )
    if one.runs > 0.0:
      found = ranks.get(one.rank)
      ranks[one.rank] = one if found is None else _sum(found, one)
  parts: dict[str, Part] = {}
  listed = raw[1] if len(raw) > 1 and isinstance(raw[1], list) else []
  for prefix, tokens, rank in _groups(listed, _PART_FIELDS):
    part = Part(int(_bounded(tokens, _MAX_TOKENS)), rank_of(rank))
    _add_part(parts, str(prefix), part)
  age_s = _bounded(age_ms, _MAX_AGE_S * 1000) / 1000
  return Usage(tuple(ranks[rank] for rank in sorted(ranks)), parts, age_s)


class Book:
  """The runs at one engine, as far as one router knows them.

  All times are monotonic seconds.
  """

  def __init__(self) -> None:
    self._runs: dict[str, Run] = {}
    """By id, in the order in which they were sent."""
    self._usage = EMPTY
    self._computed_at = -math.inf
    self._changed_at = -math.inf
    self._durations = (0.0, 0.0)
    """Decaying sums of the nominal and the actual durations of runs that ended
    well."""
    self.pace = 1.0
    """Actual to nominal duration of runs at this engine."""

  def __len__(self) -> int:
    return len(self._runs)

  def add(self, name: str, run: Run) -> None:
    """Records that a run is sent to the engine; `name` identifies it."""
    self._runs.pop(name, None)
    self._runs[name] = run
    self._changed_at = run.sent_at
    self._computed_at = -math.inf

  def remove(self, name: str, failed: bool, now: float) -> None:
    """Records that a run has ended; one that is not known is ignored.

    Args:
      name: identifies the run.
      failed: whether it ended early, so that its duration says nothing.
      now: the current time.
    """
    run = self._runs.pop(name, None)
    if run is None:
      return
    self._changed_at = now
    self._computed_at = -math.inf
    if not failed:
      self._measure(run, now)

  def _measure(self, run: Run, now: float) -> None:
    """Records how long a run took."""
    nominal_s = run.prefill_s + run.output_tokens * _DECODE_S_PER_TOKEN
    actual_s = min(max(0.0, now - run.sent_at), LIFETIME_S)
    nominal_sum, actual_sum = self._durations
    nominal_sum = _PACE_KEPT * nominal_sum + min(nominal_s, LIFETIME_S)
    actual_sum = _PACE_KEPT * actual_sum + actual_s
    self._durations = nominal_sum, actual_sum
    ratio = (actual_sum + _PACE_PRIOR_S) / (nominal_sum + _PACE_PRIOR_S)
    self.pace = min(max(ratio, _MIN_PACE), _MAX_PACE)

  def usage(self, now: float) -> Usage:
    """Returns what the runs hold."""
    if not self._runs:
      return EMPTY
    if 0.0 <= now - self._computed_at < _CACHED_S:
      return self._usage
    while self._runs:
      name = next(iter(self._runs))
      if now - self._runs[name].sent_at <= LIFETIME_S:
        break
      del self._runs[name]
    age_s = max(0.0, now - self._changed_at)
    self._usage = usage(self._runs.values(), now, self.pace, age_s)
    self._computed_at = now
    return self._usage


def _sum(one: RankUsage, other: RankUsage) -> RankUsage:
  runs = one.runs + other.runs
  left_s = (one.runs * one.left_s + other.runs * other.left_s) / runs
  return RankUsage(
      one.rank,
      runs,
      one.held_tokens + other.held_tokens,
      one.coming_tokens + other.coming_tokens,
      left_s,
  )


def _add_part(parts: dict[str, Part], prefix: str, part: Part) -> None:
  found = parts.get(prefix)
  if found is not None:
    part = Part(max(found.tokens, part.tokens), min(found.rank, part.rank))
  parts[prefix] = part


def _groups(values: list, size: int) -> Iterable[list]:
  whole = len(values) - len(values) % size
  return (values[i : i + size] for i in range(0, whole, size))


def _bounded(value: Any, most: float) -> float:
  """Returns a number between 0 and `most`; 0 if it is none."""
  if not isinstance(value, int | float) or not value > 0.0:
    return 0.0
  return float(min(value, most))
