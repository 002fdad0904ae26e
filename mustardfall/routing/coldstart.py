"""Limits how fast all routers together send requests to a cold endpoint.

An endpoint that has just started is cold for some seconds. Until then it
crashes if requests arrive much faster than the rate it bears. A router does not
know when others send, so each cold endpoint is assigned to a few routers by
rendezvous hashing, and each of these sends at fixed intervals. The others send
it nothing. Needs no messages; routers that know different fleets, as after a
partition, may assign an endpoint to different routers.
"""

from collections.abc import Sequence
import functools
import hashlib
import math

_RATE_SHARE = 0.5
"""Share of the bearable rate that the routers of one view of the fleet use.
Half of the fleet may for some time know other members than the rest."""
_MIN_INTERVAL_S = 1.25
"""Minimum time between two requests of a router to a cold endpoint, more than
the second over which an endpoint's requests are counted: the first may take
longer to arrive than the second."""
_CACHE_SIZE = 4_096
"""Endpoints whose routers are cached; each is looked up for every request while
the endpoint is cold."""


def interval_s(
    endpoint: str, router: str, routers: Sequence[str], rate: float
) -> float | None:
  """Returns the minimum time between two requests of a router to an endpoint.

  Args:
    endpoint: the cold endpoint's life (one run of its process).
    router: the router's name.
    routers: the names of all routers that are up, in any order.
    rate: requests per second that the endpoint bears while cold; above 0.

  Returns:
    Seconds; None if the router must not send it any request.
  """
  usable = rate * _RATE_SHARE
  count = max(1, math.floor(usable))
  if router not in _assigned(endpoint, tuple(routers), count):
    return None
  return max(count / usable, _MIN_INTERVAL_S)


@functools.lru_cache(_CACHE_SIZE)
def _assigned(
    endpoint: str, routers: tuple[str, ...], count: int
) -> frozenset[str]:
  """Returns the routers that may send requests to a cold endpoint."""
  return frozenset(
      sorted(routers, key=lambda name: _rank_key(endpoint, name))[:count]
  )


def _rank_key(endpoint: str, router: str) -> bytes:
  text = f"{endpoint} {router}"
  return hashlib.blake2b(text.encode(), digest_size=8).digest()
