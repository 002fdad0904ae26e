"""Chooses the endpoint of a request: the one expected to answer soonest.

The expected time is estimated from what the routers know: the requests at the
endpoint, the prompt tokens that it would have to prefill (those of a shared
prefix are in its cache if it was sent them recently), recent failures and the
network distance. Requests that share a prompt prefix choose the same endpoint
by rendezvous hashing, so that the prefix is prefilled by one engine and not by
all. Once that engine is so busy that another can prefill the prefix sooner, the
next one in rendezvous order is chosen.
"""

from collections.abc import Mapping
import hashlib
import math
import random
from typing import NamedTuple

from mustardfall.routing import endpoints
from mustardfall.routing import engine_memory
from mustardfall.routing import server_speed
from mustardfall.routing import tracking

_WAIT_S_PER_RUNNING = 0.01
"""Time that each running request of a plain service is assumed to add to the
next one: with half of its slots taken, a server that needs 60 ms per request
answers about 30 ms later."""
_WAIT_S_PER_DECODING = 0.002
"""Time that each running generation adds to another's first token. The duration
of a batch step hardly depends on the batch's size; the rest balances load."""
_WAIT_S_PER_QUEUED = 0.12
"""Time that each queued request adds, since its prompt is prefilled first: the
mean of the uncached prompts, about 8,000 tokens at 64 tokens per ms."""
_PREFILL_S_PER_TOKEN = 1 / 55_000
"""Prefill time per token: the engines prefill 51 to 64 tokens per ms."""
_ATTENTION_S_PER_PAIR = 0.5e-9
"""Attention time per pair of a token and an earlier one, 0.32 to 0.65 ns; it
makes the prefill of a prompt of 17,000 tokens up to a third longer."""
_CACHE_MISS_WEIGHT = 1.5
"""Weight of prefilling a prefix where it is not cached: this also delays the
requests queued behind it and evicts other prefixes from that cache."""
_COST_S_PER_RANK = 0.02
"""Cost per rank in a prefix's rendezvous order while no engine is known to have
the prefix cached. Routers that don't yet know each other's choice then choose
the same engine, unless another one is free some tens of ms sooner."""
_MAX_RANK = 3
"""Ranks beyond this one cost no more than it."""
_COST_S_PER_FAILURE = 0.25
"""Cost per recent failure: about the time lost by a failed attempt."""
_REMOTE_COST_S = 0.004
"""Cost of another data centre: about 1 ms more each way, and the traffic is
charged. Small, so that it decides only between endpoints that are equally
busy."""

_LIMITED_COST_S = 0.05
"""Cost of an endpoint that bears only a low rate, unless it has the prompt's
prefix cached. Its few requests are left to those that it saves a prefill."""

_CANDIDATES_PER_ROUND = 3
"""Candidates that are compared in each round."""
_BUSY_WAIT_S = 0.1
"""Expected wait above which another round of candidates is compared."""
_LATE_RATIO = 0.7
"""Expected time to the answer, relative to the objective, from which an answer is
probably late: other prompts arrive meanwhile and are prefilled in between."""
_AFFINITY_TOKENS = 1_000
"""Shortest prefix for which requests are kept at the same endpoint, 16 ms of
prefill. Prefilling a shorter one anywhere is quicker than waiting there."""


class Prompt(NamedTuple):
  """What the choice for a generation depends on; tokens are prompt tokens."""

  prefix: str
  """Identifies the prefix shared with other prompts; empty: there is none."""
  shared_tokens: int
  own_tokens: int
  work_s: float = 0.0
  """Time that a plain request takes at an endpoint of nominal speed, as far as
  known."""
  need: engine_memory.Need | None = None
  """What the request needs of an engine's memory; None: that is not counted."""


NO_PROMPT = Prompt("", 0, 0)


class Placement(NamedTuple):
  """The chosen endpoint, and the times expected there."""

  row: endpoints.Row
  prefill_s: float
  """Time to prefill this prompt."""
  answer_s: float
  """Time until the answer begins, at the speed learned of the endpoint."""
  saved_s: float = 0.0
  """Time that the prefix in its cache saves."""
  nominal_s: float = 0.0
  """Time until the answer begins at an endpoint of nominal speed."""
  is_cached: bool = True
  """Whether the prompt's prefix is assumed to be in its cache."""
  need: engine_memory.Need | None = None
  """What the request needs of its memory; None: that was not counted."""
  memory_wait_s: float = 0.0
  """Time until the request fits into its memory; infinite: it never does."""
  usage: engine_memory.Usage = engine_memory.EMPTY
  """What the runs there were known to hold."""


def memory_wait_s(
    usage: engine_memory.Usage, holds_prefix: bool, prompt: Prompt
) -> float:
  """Returns the seconds until a request fits into an engine's memory.

  Args:
    usage: what the runs there hold.
    holds_prefix: whether one of them is known to hold the prompt's prefix.
    prompt: the request's prompt.

  Returns:
    0 if it fits now or its need is not known, infinity if it never fits.
  """
  need = prompt.need
  if need is None:
    return 0.0
  return engine_memory.wait_s(
      usage, need.memory_tokens, need.slots, need.run, holds_prefix
  )


def _stays_cached(is_cached: bool, is_held: bool, memory_s: float) -> bool:
  """Whether a prefix will still be cached when a request is prefilled.

  Where runs need all of the memory, prefixes that none of them holds are
  evicted.

  Args:
    is_cached: whether it is cached now.
    is_held: whether one of the runs there holds it.
    memory_s: how long the request waits for memory.
  """
  return is_cached and (is_held or not 0.0 < memory_s < math.inf)


def _finite_s(wait: float) -> float:
  """Returns a wait for memory as it counts in a cost.

  A request that never fits does so at no engine of its service: its choice
  remains as if memory were not counted, and the engine rejects it.
  """
  return 0.0 if math.isinf(wait) else wait


def wait_s(row: endpoints.Row, prompt: Prompt) -> float:
  """Returns the seconds that a new request would wait at `row`.

  At nominal speed: the caller weights them by the endpoint's speed.
  """
  # The sums of others' loads are negative, until the next tick, where a row was
  # replaced after a report was added and the report is then subtracted.
  in_flight = row.in_flight + max(0, row.others_in_flight)
  per_request_s = _WAIT_S_PER_DECODING if prompt.prefix else _WAIT_S_PER_RUNNING
  pending_prefill_s = row.prefill_s + max(0.0, row.others_prefill_s)
  queue_s = max(pending_prefill_s, row.waiting * _WAIT_S_PER_QUEUED)
  return max(in_flight, row.running) * per_request_s + queue_s


def likely_cached(row: endpoints.Row, rank: int, prompt: Prompt) -> bool:
  """Whether `row` is assumed to have the prompt's prefix in its cache.

  The first in the prefix's order is assumed to, since it was probably sent the
  prefix before this router started, unless it was listed later.
  """
  return prompt.prefix in row.prefixes or (rank == 0 and not row.cold_cache)


def cost_s(
    row: endpoints.Row,
    rank: int,
    cached_anywhere: bool,
    prompt: Prompt,
    datacentre: str,
    mean_ratio: float = 1.0,
) -> float:
  """Returns the estimated cost of choosing `row`, seconds.

  Args:
    row: the endpoint.
    rank: its rank in the prefix's order.
    cached_anywhere: whether any endpoint has the prefix cached.
    prompt: the request's prompt.
    datacentre: the router's own.
    mean_ratio: ratio of the average endpoint, see `server_speed`.
  """
  memory_s = memory_wait_s(row.usage, False, prompt)
  is_cached = _stays_cached(
      likely_cached(row, rank, prompt),
      prompt.prefix in row.usage.parts,
      memory_s,
  )
  cost = _fixed_cost_s(row, is_cached, prompt, datacentre)
  failure_s = row.failures * _COST_S_PER_FAILURE
  own_prefill_s = prefill_s(is_cached, prompt)
  if not cached_anywhere:
    cost += min(rank, _MAX_RANK) * _COST_S_PER_RANK
  elif not is_cached:
    own_prefill_s *= _CACHE_MISS_WEIGHT
  ratio = row.slowness * server_speed.ratio_of(row.speed, mean_ratio)
  work_s = wait_s(row, prompt) + own_prefill_s + prompt.work_s
  return ratio * work_s + _finite_s(memory_s) + cost + failure_s


def _fixed_cost_s(
    row: endpoints.Row, is_cached: bool, prompt: Prompt, datacentre: str
) -> float:
  """Returns the part of a cost that does not depend on the endpoint's load."""
  cost = 0.0 if row.datacentre == datacentre else _REMOTE_COST_S
  saves_prefill = is_cached and prompt.shared_tokens >= _AFFINITY_TOKENS
  if row.is_limited and not saves_prefill:
    cost += _LIMITED_COST_S
  return cost


def prefill_s(cached: bool, prompt: Prompt) -> float:
  """Returns the seconds that prefilling a prompt takes.

  Args:
    cached: whether the shared prefix is in the cache.
    prompt: the prompt.
  """
  cached_tokens = prompt.shared_tokens if cached else 0
  tokens = prompt.own_tokens + prompt.shared_tokens - cached_tokens
  pairs = tokens * (cached_tokens + tokens / 2)
  return tokens * _PREFILL_S_PER_TOKEN + pairs * _ATTENTION_S_PER_PAIR


def _saved_s(own_prefill_s: float, prompt: Prompt) -> float:
  """Returns the time that the cache saves a prompt with a long prefix."""
  if prompt.shared_tokens < _AFFINITY_TOKENS:
    return 0.0
  return prefill_s(False, prompt) - own_prefill_s


def max_saved_s(prompt: Prompt) -> float:
  """Returns the time that a cache with the whole prefix saves."""
  return _saved_s(prefill_s(True, prompt), prompt)


class Candidate(NamedTuple):
  """An endpoint that a request may go to."""

  row: endpoints.Row
  rank: int
  """Its rank in the order of the prompt's prefix."""


def candidates(
    rows: list[endpoints.Row],
    prompt: Prompt,
    datacentre: str,
    rng: random.Random,
) -> list[list[Candidate]]:
  """Returns the endpoints to compare, in two rounds.

  For a long enough prefix, the first round has the first endpoints in the
  prefix's order and the second one has the next, for when all of the first are
  busy. Otherwise endpoints are drawn at random, in the first round those of the
  router's own data centre before others.
  """
  if prompt.shared_tokens >= _AFFINITY_TOKENS:
    ordered = sorted(rows, key=lambda row: _rank_key(prompt.prefix, row.name))
  else:
    ordered = rng.sample(rows, len(rows))
    ordered.sort(key=lambda row: row.datacentre != datacentre)
  ranked = [Candidate(row, rank) for rank, row in enumerate(ordered)]
  first, second = ranked[:_CANDIDATES_PER_ROUND], ranked[_CANDIDATES_PER_ROUND:]
  if prompt.shared_tokens < _AFFINITY_TOKENS:
    rng.shuffle(second)
  return [first, second[:_CANDIDATES_PER_ROUND]]


def choose_tracked(
    compared: list[Candidate],
    statuses: Mapping[str, tracking.EndpointStatus],
    prompt: Prompt,
    datacentre: str,
) -> Placement | None:
  """Returns the candidate that should answer soonest, None if there is none.

  Args:
    compared: the candidates to compare.
    statuses: status by the endpoint's life (one run of its process); for a
      candidate without one, this router's own knowledge is used.
    prompt: the request's prompt.
    datacentre: the router's own.
  """
  cached_anywhere = any(
      _is_cached(candidate, statuses, prompt) for candidate in compared
  )
  mean_ratio = server_speed.mean_ratio(
      _speed(candidate, statuses) for candidate in compared
  )
  costs = [
      (
          _tracked_cost_s(
              candidate,
              statuses,
              cached_anywhere,
              prompt,
              datacentre,
              mean_ratio,
          ),
          number,
      )
      for number, candidate in enumerate(compared)
  ]
  if not costs:
    return None
  best = compared[min(costs)[1]]
  is_cached = _is_cached(best, statuses, prompt)
  ratio = server_speed.ratio_of(_speed(best, statuses), mean_ratio)
  wait = tracked_wait_s(best, statuses, prompt, ratio)
  usage, is_held, memory_s = _tracked_memory(best, statuses, prompt)
  is_cached = _stays_cached(is_cached, is_held, memory_s)
  wait += _finite_s(memory_s)
  placement = _placement(best.row, prompt, is_cached, wait, ratio)
  return placement._replace(
      need=prompt.need, memory_wait_s=memory_s, usage=usage
  )


def _placement(
    row: endpoints.Row,
    prompt: Prompt,
    is_cached: bool,
    wait: float,
    ratio: float,
) -> Placement:
  """Returns the placement at an endpoint.

  Args:
    row: the endpoint.
    prompt: the request's prompt.
    is_cached: whether its prefix is in the endpoint's cache.
    wait: expected wait there, seconds.
    ratio: the endpoint's ratio of actual to nominal time.
  """
  nominal_s = prefill_s(is_cached, prompt)
  return Placement(
      row,
      nominal_s,
      wait + ratio * (nominal_s + prompt.work_s),
      _saved_s(nominal_s, prompt),
      wait / ratio + nominal_s + prompt.work_s,
      is_cached,
  )


def _speed(
    candidate: Candidate, statuses: Mapping[str, tracking.EndpointStatus]
) -> server_speed.Speed:
  status = statuses.get(candidate.row.life)
  return candidate.row.speed if status is None else status.speed


def _is_cached(
    candidate: Candidate,
    statuses: Mapping[str, tracking.EndpointStatus],
    prompt: Prompt,
) -> bool:
  status = statuses.get(candidate.row.life)
  if status is not None and status.prefix_cached:
    return True
  return likely_cached(candidate.row, candidate.rank, prompt)


def _tracked_memory(
    candidate: Candidate,
    statuses: Mapping[str, tracking.EndpointStatus],
    prompt: Prompt,
) -> tuple[engine_memory.Usage, bool, float]:
  """Returns what a candidate's memory holds, and the wait for it.

  Returns:
    What the runs there hold, whether one of them holds the prompt's prefix, and
    the seconds until the request fits.
  """
  status = statuses.get(candidate.row.life)
  if prompt.need is None:
    return engine_memory.EMPTY, False, 0.0
  usage = candidate.row.usage
  holds_prefix = prompt.prefix in usage.parts
  if status is not None:
    usage, holds_prefix = status.usage, status.holds_prefix
  return usage, holds_prefix, memory_wait_s(usage, holds_prefix, prompt)


def tracked_wait_s(
    candidate: Candidate,
    statuses: Mapping[str, tracking.EndpointStatus],
    prompt: Prompt,
    ratio: float = 1.0,
) -> float:
  """Returns the seconds that a new request would wait at a candidate.

  Args:
    candidate: the endpoint.
    statuses: see `choose_tracked`. Trackers weight the pending prefill by the
      endpoint's speed.
    prompt: the request's prompt.
    ratio: the endpoint's ratio of actual to nominal time.
  """
  status = statuses.get(candidate.row.life)
  if status is None:
    return ratio * wait_s(candidate.row, prompt)
  per_request_s = _WAIT_S_PER_DECODING if prompt.prefix else _WAIT_S_PER_RUNNING
  return ratio * status.in_flight * per_request_s + status.prefill_s


def _tracked_cost_s(
    candidate: Candidate,
    statuses: Mapping[str, tracking.EndpointStatus],
    cached_anywhere: bool,
    prompt: Prompt,
    datacentre: str,
    mean_ratio: float,
) -> float:
  """Returns the estimated cost of choosing a candidate, see `cost_s`."""
  status = statuses.get(candidate.row.life)
  if status is None:
    return cost_s(
        candidate.row,
        candidate.rank,
        cached_anywhere,
        prompt,
        datacentre,
        mean_ratio,
    )
  _, is_held, memory_s = _tracked_memory(candidate, statuses, prompt)
  cached_here = _stays_cached(
      _is_cached(candidate, statuses, prompt), is_held, memory_s
  )
  own_prefill_s = prefill_s(cached_here, prompt)
  cost = _fixed_cost_s(candidate.row, cached_here, prompt, datacentre)
  if not cached_anywhere:
    cost += min(candidate.rank, _MAX_RANK) * _COST_S_PER_RANK
  elif not cached_here:
    own_prefill_s *= _CACHE_MISS_WEIGHT
  ratio = server_speed.ratio_of(status.speed, mean_ratio)
  wait = tracked_wait_s(candidate, statuses, prompt, ratio)
  return (
      cost
      + wait
      + _finite_s(memory_s)
      + ratio * (status.slowness * own_prefill_s + prompt.work_s)
      + status.failures * _COST_S_PER_FAILURE
  )


def is_busy(chosen: Placement, prompt: Prompt) -> bool:
  """Whether the wait there makes comparing more candidates worthwhile."""
  return chosen.answer_s - chosen.prefill_s > _BUSY_WAIT_S and bool(
      prompt.prefix
  )


def should_widen(chosen: Placement, prompt: Prompt, objective_s: float) -> bool:
  """Whether comparing more candidates is worthwhile for a generation.

  It is where the endpoint is busy, where none of the candidates is known to
  have a long prefix cached (an endpoint further down its order may have it, and
  prefilling it once more takes longer than asking), and where the answer would
  probably be late: a faster endpoint may be further down.

  Args:
    chosen: the best candidate so far.
    prompt: the request's prompt.
    objective_s: the latency objective.
  """
  if is_busy(chosen, prompt):
    return True
  if prompt.shared_tokens >= _AFFINITY_TOKENS and not chosen.is_cached:
    return True
  return bool(prompt.prefix) and chosen.answer_s > _LATE_RATIO * objective_s


def choose(
    rows: list[endpoints.Row], prompt: Prompt, datacentre: str
) -> Placement | None:
  """Returns the endpoint that should answer soonest, None if there is none."""
  ordered = sorted(rows, key=lambda row: _rank_key(prompt.prefix, row.name))
  cached_anywhere = any(
      likely_cached(row, rank, prompt) for rank, row in enumerate(ordered)
  )
  mean_ratio = server_speed.mean_ratio(row.speed for row in rows)
  best = min(
      enumerate(ordered),
      key=lambda ranked: cost_s(
          ranked[1], ranked[0], cached_anywhere, prompt, datacentre, mean_ratio
      ),
      default=None,
  )
  if best is None:
    return None
  rank, row = best
  ratio = server_speed.ratio_of(row.speed, mean_ratio)
  is_cached = likely_cached(row, rank, prompt)
  memory_s = memory_wait_s(row.usage, False, prompt)
  is_held = prompt.prefix in row.usage.parts
  is_cached = _stays_cached(is_cached, is_held, memory_s)
  wait = ratio * wait_s(row, prompt) + _finite_s(memory_s)
  placement = _placement(row, prompt, is_cached, wait, ratio)
  return placement._replace(
      need=prompt.need, memory_wait_s=memory_s, usage=row.usage
  )


def _rank_key(prefix: str, name: str) -> bytes:
  """Returns the key that orders endpoints for a prefix on all routers."""
  return hashlib.blake2b(f"{prefix} {name}".encode(), digest_size=8).digest()
