"""Decides which connections a router closes because its host is saturated.

Demand is uneven: a load balancer sends all connections of a caller to one
router, and a few callers send much of all requests. A small host then gets two
or three times what its processor or its network link can carry, beside hosts
that are nearly idle. Packets and callbacks queue, calls to the store and to
other routers time out, and all its callers wait until their deadlines. Callers
whose connection is closed before a request was read from it repeat the request
at another router, so that closing the excess at once has it served elsewhere
within its objective.
"""

from typing import NamedTuple

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
_FREE_UTILISATION = 0.5
"""Part of the link's rate, as bytes of requests and responses, up to which no
connection is closed. Events of streams are small, so that headers of packets
and other traffic take another third of the link."""
_GROWTH_PER_S = 0.4
"""Growth of the closed share while the utilisation is above that, for each tenth
of the rate: packets of a host at twice its rate wait half a second soon."""
_DECLINE_PER_S = 0.1
"""Decline of the closed share while the utilisation is below it, for each tenth
of the rate. Slower than the growth: a link that is full again loses datagrams."""
_MAX_STEP_S = 0.5
"""Longest time between two updates that counts."""


class LinkState(NamedTuple):
  """The share of new connections that is closed for the link's sake."""

  share: float = 0.0
  at: float = 0.0
  """When it was last updated, monotonic seconds."""


def closed_share(lag_s: float) -> float:
  """Returns the share of new connections to close for the processor's sake.

  Args:
    lag_s: mean delay of the router's timers, seconds.
  """
  if not lag_s > _FREE_LAG_S:
    return 0.0
  share = (lag_s - _FREE_LAG_S) / (_FULL_LAG_S - _FREE_LAG_S)
  return min(share, _MAX_SHARE)


def update_link(state: LinkState, utilisation: float, now: float) -> LinkState:
  """Returns the share to close for the link's sake after a measurement.

  Args:
    state: the state before.
    utilisation: bytes of requests and responses a second, relative to the rate
      of the link.
    now: the current time, monotonic seconds.
  """
  elapsed_s = min(max(0.0, now - state.at), _MAX_STEP_S)
  excess = utilisation - _FREE_UTILISATION
  if not -1.0 <= excess <= 10.0:  # also where it is no number
    excess = 0.0
  per_s = _GROWTH_PER_S if excess > 0.0 else _DECLINE_PER_S
  share = state.share + per_s * excess * 10 * elapsed_s
  return LinkState(min(max(share, 0.0), _MAX_SHARE), now)
