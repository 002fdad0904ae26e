"""Which endpoint a request goes to: the one that should answer soonest.

The expected time is added up from what this router knows: requests at
the endpoint, the prompt tokens it would have to read (those of shared
parts are in its cache if it has served them before), recent failures and
the way there. Requests that share a prompt prefix agree on an endpoint by
rendezvous hashing, so that a part is read by one engine and not by all;
once that one is busy enough that reading the part again elsewhere is
quicker, the next in order takes over.
"""

import hashlib
from typing import NamedTuple

from mustardfall.routing import endpoints

_RUNNING_S = 0.01
"""What a running request adds to the time to another's first token: a step
of a batch is some 4 ms longer than without, and it is taken few times."""
_WAITING_S = 0.12
"""What a request waiting there adds: its prompt is read first. The mean of
the uncached prompts, some 8,000 tokens at 64 a ms."""
_READ_S_PER_TOKEN = 1 / 55_000
"""Prompt reading of the engines: 51 to 64 tokens a ms."""
_READ_AGAIN = 1.5
"""Weight of reading a shared part where it is not cached: it also holds up
the requests behind it, and pushes other parts out of that cache."""
_FAILURE_S = 0.25
"""What each recent failure is held to cost: as much as a try that fails."""
_FAR_S = 0.004
"""Another data centre: some 1 ms more each way, and its bytes cost money.
Small, so that it decides only between endpoints that are equally busy."""


class Prompt(NamedTuple):
  """What places a generation: the prefix that it shares with others."""

  prefix: str
  shared_tokens: int
  own_tokens: int


NO_PROMPT = Prompt("", 0, 0)


class Place(NamedTuple):
  """The endpoint chosen, and the time its reading of the prompt takes."""

  row: endpoints.Row
  reading_s: float


def expected_s(
    row: endpoints.Row, rank: int, prompt: Prompt, datacentre: str
) -> float:
  """Returns the seconds until `row` would begin to answer.

  Args:
    row: the endpoint.
    rank: its place in the prefix's order; 0 holds the prefix.
    prompt: what the request shares.
    datacentre: the router's own.
  """
  busy = max(row.in_flight, row.running) * _RUNNING_S
  queue = max(row.reading_s, row.waiting * _WAITING_S)
  far = 0.0 if row.datacentre == datacentre else _FAR_S
  failed = row.failures * _FAILURE_S
  again = _READ_AGAIN if rank else 1.0
  return busy + queue + far + failed + again * reading_s(rank, prompt)


def reading_s(rank: int, prompt: Prompt) -> float:
  """Returns the seconds that reading a prompt takes an endpoint."""
  tokens = prompt.own_tokens + (prompt.shared_tokens if rank else 0)
  return tokens * _READ_S_PER_TOKEN


def choose(
    rows: list[endpoints.Row], prompt: Prompt, datacentre: str
) -> Place | None:
  """Returns the endpoint that should answer soonest; None without any."""
  ordered = sorted(rows, key=lambda row: _weight(prompt.prefix, row.name))
  best = min(
      enumerate(ordered),
      key=lambda ranked: expected_s(ranked[1], ranked[0], prompt, datacentre),
      default=None,
  )
  if best is None:
    return None
  rank, row = best
  return Place(row, reading_s(rank, prompt))


def _weight(prefix: str, name: str) -> bytes:
  """Returns an endpoint's place in a prefix's order, alike on all routers."""
  return hashlib.blake2b(f"{prefix} {name}".encode(), digest_size=8).digest()
