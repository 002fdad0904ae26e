"""Decides which connections are closed when resources are short.

These are pure functions of what is held for each peer. A connection whose
request is being served, and whose peer neither sends ahead nor leaves its
response unread, is never chosen.
"""

from collections.abc import Sequence
from typing import NamedTuple

from mustardfall import settings
from mustardfall.proxy import resource_limiter

MIN_IDLE_S = 0.5
"""How long a connection must have waited for a request to be closed in favour of
others. The first request of a new connection is on its way, and its caller would
be cut off without an answer."""


class Holding(NamedTuple):
  """What is held for the peer of one connection."""

  idle_s: float | None = None
  """Seconds since it waits for a request; None: a request is being served."""
  stalled_s: float = 0.0
  """Seconds since the peer last took a part of its response; 0: no part waits
  to be sent."""
  pipelined_bytes: int = 0
  """Bytes of requests that were sent ahead."""
  unsent_bytes: int = 0
  """Bytes of the response that wait to be sent."""


def is_stalled(holding: Holding, timeout_s: float) -> bool:
  """Whether the peer has taken no part of its response for `timeout_s`."""
  return holding.stalled_s > 0 and holding.stalled_s >= timeout_s


def evictable_bytes(holding: Holding, config: settings.Connections) -> int:
  """Returns the bytes that closing a connection frees; 0: it is not closed."""
  if holding.idle_s is not None:
    if holding.idle_s < MIN_IDLE_S:
      return 0
    return resource_limiter.CONNECTION_BYTES + holding.pipelined_bytes
  size = holding.pipelined_bytes
  if is_stalled(holding, config.stall_s):
    size += holding.unsent_bytes
  return size


def find_largest(
    holdings: Sequence[Holding], config: settings.Connections
) -> int | None:
  """Returns the index of the connection to close, None if there is none.

  It is the one that holds most, the first of several.
  """
  sizes = [evictable_bytes(holding, config) for holding in holdings]
  largest = max(sizes, default=0)
  return sizes.index(largest) if largest else None


def find_largest_pipelined(holdings: Sequence[Holding]) -> int | None:
  """Returns the index of the one that has sent most ahead, None if none has."""
  sizes = [holding.pipelined_bytes for holding in holdings]
  largest = max(sizes, default=0)
  return sizes.index(largest) if largest else None


def find_stalled(holdings: Sequence[Holding], timeout_s: float) -> list[int]:
  """Returns the indices of those that have taken nothing for `timeout_s`."""
  return [
      index
      for index, holding in enumerate(holdings)
      if is_stalled(holding, timeout_s)
  ]
