"""Decides which requests a router rejects because its own processor is busy.

Demand is uneven: a load balancer sends all connections of a caller to one
router, and a few callers send much of all requests. A small host then gets two
or three times what its processor can serve, beside hosts that are nearly idle.
Its event loop falls behind, calls to the store and to other routers time out,
and all its callers wait until their deadlines. Callers repeat a request that is
rejected at another router, so that rejecting the excess at once, before any work
is done for it, has it served elsewhere within its objective.
"""

_FREE_LAG_S = 0.05
"""Mean delay of the router's timers up to which nothing is rejected. The event
loop is passed several times for each request, and the shortest objectives are
0.15 s; hosts that keep up stay below it."""
_FULL_LAG_S = 0.15
"""Delay at which all that may be rejected is: a whole objective of the shortest
requests is lost by then. In between, the share settles where the rest is what
the processor serves."""
_MAX_SHARE = 0.9
"""Largest rejected share. Some requests are always served, as the other routers
may be saturated, too."""
_MIN_RETRY_S = 0.02
_RETRY_SPREAD_S = 0.06
"""Range of Retry-After. The repetition goes to another router, which may serve it
at once; the spread keeps those rejected together from arriving together."""


def rejected_share(lag_s: float, rank: float) -> float:
  """Returns the share of the new requests of one rank that is rejected.

  Less urgent requests are rejected more often: a repetition may meet another
  saturated router.

  Args:
    lag_s: mean delay of the router's timers, seconds.
    rank: 0 for the most urgent requests, 1 for the least urgent ones.
  """
  if not lag_s > _FREE_LAG_S:
    return 0.0
  if not rank <= 1.0:  # also where it is no number
    rank = 1.0
  excess = min((lag_s - _FREE_LAG_S) / (_FULL_LAG_S - _FREE_LAG_S), 1.0)
  return min(excess * (0.5 + max(rank, 0.0)), _MAX_SHARE)


def retry_after_s(drawn: float) -> float:
  """Returns the seconds after which a rejected caller may return.

  Args:
    drawn: a random number from 0 to 1.
  """
  return _MIN_RETRY_S + _RETRY_SPREAD_S * drawn
