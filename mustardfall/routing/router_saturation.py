"""Decides which connections a router closes because its processor is busy.

Demand is uneven: a load balancer sends all connections of a caller to one
router, and a few callers send much of all requests. A small host then gets two
or three times what its processor can serve, beside hosts that are nearly idle.
Its event loop falls behind, calls to the store and to other routers time out,
and all its callers wait until their deadlines. Callers whose connection is
closed before a request was read from it repeat the request at another router,
so that closing the excess at once has it served elsewhere within its objective.
"""

_FREE_LAG_S = 0.05
"""Mean delay of the router's timers up to which no connection is closed. The
event loop is passed several times for each request, and the shortest objectives
are 0.15 s; hosts that keep up stay below it."""
_FULL_LAG_S = 0.15
"""Delay from which as many are closed as may be: a whole one of the shortest
objectives. In between, the share settles where the processor serves the rest."""
_MAX_SHARE = 0.9
"""Largest share of new connections that is closed. Some are always served, as
the other routers may be saturated, too."""


def closed_share(lag_s: float) -> float:
  """Returns the share of new connections to close without reading them.

  Args:
    lag_s: mean delay of the router's timers, seconds.
  """
  if not lag_s > _FREE_LAG_S:
    return 0.0
  share = (lag_s - _FREE_LAG_S) / (_FULL_LAG_S - _FREE_LAG_S)
  return min(share, _MAX_SHARE)
