"""Which endpoint a request goes to: the one that should answer soonest.

The expected time is added up from what the routers know: requests at the
endpoint, the prompt tokens it would have to read (those of shared parts are
in its cache if it was sent them lately), recent failures and the way there.
Requests that share a prompt prefix agree on an endpoint by rendezvous
hashing, so that a part is read by one engine and not by all; once that one
is busy enough that reading the part again elsewhere is quicker, the next in
order takes over.
"""

from collections.abc import Mapping
import hashlib
import random
from typing import NamedTuple

from mustardfall.routing import endpoints
from mustardfall.routing import tracking

_RUNNING_S = 0.01
"""What a running request of a plain service is held to add to the next one's
time: half of its slots taken, a server of 60 ms a request is some 30 ms
slower to answer."""
_DECODING_S = 0.002
"""What a running generation adds to the time to another's first token. A
step of a batch hardly grows with its size; the rest is for balance."""
_WAITING_S = 0.12
"""What a request waiting there adds: its prompt is read first. The mean of
the uncached prompts, some 8,000 tokens at 64 a ms."""
_READ_S_PER_TOKEN = 1 / 55_000
"""Prompt reading of the engines: 51 to 64 tokens a ms."""
_ATTEND_S_PER_PAIR = 0.5e-9
"""Attention, 0.32 to 0.65 ns: each token read is set against each before it;
a prompt of 17,000 tokens takes up to a third longer by it."""
_READ_AGAIN = 1.5
"""Weight of reading a shared part where it is not cached: it also holds up
the requests behind it, and pushes other parts out of that cache."""
_RANK_S = 0.02
"""What each place further down a prefix's order counts while no engine is
known to hold it: routers that do not know yet of each other's choice make
the same one, unless another engine is free some tens of ms sooner."""
_MOST_RANKS = 3
"""Places that count so; further down they are alike."""
_FAILURE_S = 0.25
"""What each recent failure is held to cost: as much as a try that fails."""
_FAR_S = 0.004
"""Another data centre: some 1 ms more each way, and its bytes cost money.
Small, so that it decides only between endpoints that are equally busy."""

_WEIGHED = 3
"""Candidates that are weighed against each other at once."""
_BUSY_S = 0.1
"""A wait that is worth weighing more candidates."""
_KEPT_TOGETHER_TOKENS = 1_000
"""Shared tokens that are worth keeping at one endpoint: 16 ms of reading. A
shorter part is read anywhere in less time than what it would wait for."""


class Prompt(NamedTuple):
  """What places a generation: the prefix that it shares with others."""

  prefix: str
  shared_tokens: int
  own_tokens: int


NO_PROMPT = Prompt("", 0, 0)


class Placement(NamedTuple):
  """The endpoint chosen, and the times that are expected there."""

  row: endpoints.Row
  prefill_s: float
  """How long it reads this prompt."""
  answer_s: float
  """When it should begin to answer, were it as quick as most."""


def wait_s(row: endpoints.Row, prompt: Prompt) -> float:
  """Returns the seconds that what is at `row` takes before a next request."""
  # A row that was listed anew since a report was added up has less than the
  # report takes off again, until the next tick.
  in_flight = row.in_flight + max(0, row.others_in_flight)
  each_s = _DECODING_S if prompt.prefix else _RUNNING_S
  reading = row.prefill_s + max(0.0, row.others_reading_s)
  queue = max(reading, row.waiting * _WAITING_S)
  return max(in_flight, row.running) * each_s + queue


def holds(row: endpoints.Row, rank: int, prompt: Prompt) -> bool:
  """Whether `row` is taken to have the prompt's prefix in its cache.

  The first in the prefix's order is, unless it came only lately: it was
  sent the prefix before this router started.
  """
  return prompt.prefix in row.prefixes or (rank == 0 and not row.cold_cache)


def cost_s(
    row: endpoints.Row, rank: int, held: bool, prompt: Prompt, datacentre: str
) -> float:
  """Returns what choosing `row` is held to cost, seconds.

  Args:
    row: the endpoint.
    rank: its place in the prefix's order.
    held: whether any endpoint holds the prefix.
    prompt: what the request shares.
    datacentre: the router's own.
  """
  far = 0.0 if row.datacentre == datacentre else _FAR_S
  failed = row.failures * _FAILURE_S
  read_s = prefill_s(holds(row, rank, prompt), prompt)
  if not held:
    far += min(rank, _MOST_RANKS) * _RANK_S
  elif not holds(row, rank, prompt):
    read_s *= _READ_AGAIN
  return row.slowness * (wait_s(row, prompt) + read_s) + far + failed


def prefill_s(held: bool, prompt: Prompt) -> float:
  """Returns the seconds that reading a prompt takes an endpoint."""
  cached = prompt.shared_tokens if held else 0
  tokens = prompt.own_tokens + prompt.shared_tokens - cached
  pairs = tokens * (cached + tokens / 2)
  return tokens * _READ_S_PER_TOKEN + pairs * _ATTEND_S_PER_PAIR


class Candidate(NamedTuple):
  """An endpoint that a request may go to."""

  row: endpoints.Row
  rank: int
  """Its place in the order of the prompt's prefix."""


def candidates(
    rows: list[endpoints.Row],
    prompt: Prompt,
    datacentre: str,
    rng: random.Random,
) -> list[list[Candidate]]:
  """Returns the endpoints to weigh against each other, in rounds.

  Those first in the order of a prefix that is worth keeping together, then
  the next ones, should all of these be busy. Where nothing is gained by that,
  a few at random, of the own data centre first.
  """
  if prompt.shared_tokens >= _KEPT_TOGETHER_TOKENS:
    ordered = sorted(rows, key=lambda row: _weight(prompt.prefix, row.name))
  else:
    ordered = rng.sample(rows, len(rows))
    ordered.sort(key=lambda row: row.datacentre != datacentre)
  ranked = [Candidate(row, rank) for rank, row in enumerate(ordered)]
  first, second = ranked[:_WEIGHED], ranked[_WEIGHED:]
  if prompt.shared_tokens < _KEPT_TOGETHER_TOKENS:
    rng.shuffle(second)
  return [first, second[:_WEIGHED]]


def choose_tracked(
    found: list[Candidate],
    statuses: Mapping[str, tracking.EndpointStatus],
    prompt: Prompt,
    datacentre: str,
) -> Placement | None:
  """Returns the candidate that should answer soonest; None without any.

  Args:
    found: the candidates.
    standings: how they stand, by their lives; where one is missing, what this
      router knows itself counts.
    prompt: what the request shares.
    datacentre: the router's own.
  """
  held = any(_is_held(one, statuses, prompt) for one in found)
  costs = [
      (_tracked_cost_s(one, statuses, held, prompt, datacentre), number)
      for number, one in enumerate(found)
  ]
  if not costs:
    return None
  best = found[min(costs)[1]]
  own_s = prefill_s(_is_held(best, statuses, prompt), prompt)
  return Placement(
      best.row, own_s, tracked_wait_s(best, statuses, prompt) + own_s
  )


def _is_held(
    one: Candidate,
    statuses: Mapping[str, tracking.EndpointStatus],
    prompt: Prompt,
) -> bool:
  standing = statuses.get(one.row.life)
  if standing is not None and standing.held:
    return True
  return holds(one.row, one.rank, prompt)


def tracked_wait_s(
    one: Candidate,
    statuses: Mapping[str, tracking.EndpointStatus],
    prompt: Prompt,
) -> float:
  """Returns the seconds that what is at a candidate takes before a request."""
  standing = statuses.get(one.row.life)
  if standing is None:
    return wait_s(one.row, prompt)
  each_s = _DECODING_S if prompt.prefix else _RUNNING_S
  return standing.in_flight * each_s + standing.prefill_s


def _tracked_cost_s(
    one: Candidate,
    statuses: Mapping[str, tracking.EndpointStatus],
    held: bool,
    prompt: Prompt,
    datacentre: str,
) -> float:
  """Returns what choosing a candidate is held to cost, see `cost_s`."""
  standing = statuses.get(one.row.life)
  if standing is None:
    return cost_s(one.row, one.rank, held, prompt, datacentre)
  is_held = _is_held(one, statuses, prompt)
  read_s = prefill_s(is_held, prompt)
  cost = 0.0 if one.row.datacentre == datacentre else _FAR_S
  if not held:
    cost += min(one.rank, _MOST_RANKS) * _RANK_S
  elif not is_held:
    read_s *= _READ_AGAIN
  wait = tracked_wait_s(one, statuses, prompt)
  return (
      cost + wait + standing.slowness * read_s + standing.failures * _FAILURE_S
  )


def is_busy(place: Placement, prompt: Prompt) -> bool:
  """Whether more candidates should be weighed before a request waits there."""
  return place.answer_s - place.prefill_s > _BUSY_S and bool(prompt.prefix)


def choose(
    rows: list[endpoints.Row], prompt: Prompt, datacentre: str
) -> Placement | None:
  """Returns the endpoint that should answer soonest; None without any."""
  ordered = sorted(rows, key=lambda row: _weight(prompt.prefix, row.name))
  held = any(holds(row, rank, prompt) for rank, row in enumerate(ordered))
  best = min(
      enumerate(ordered),
      key=lambda ranked: cost_s(ranked[1], ranked[0], held, prompt, datacentre),
      default=None,
  )
  if best is None:
    return None
  rank, row = best
  own_s = prefill_s(holds(row, rank, prompt), prompt)
  return Placement(row, own_s, wait_s(row, prompt) + own_s)


def _weight(prefix: str, name: str) -> bytes:
  """Returns an endpoint's place in a prefix's order, alike on all routers."""
  return hashlib.blake2b(f"{prefix} {name}".encode(), digest_size=8).digest()
