"""Decides which requests a router rejects because its own processor is busy.

Demand is uneven: a load balancer sends all connections of a caller to one
router, and a few callers send much of all requests. A small host then gets two
or three times what its processor can serve, beside hosts that are nearly idle.
Its event loop falls behind, calls to the store and to other routers time out,
and all its callers wait until their deadlines. Callers repeat a request that is
rejected at another router, so that rejecting the excess at once, before any work
is done for it, has it served elsewhere within its objective.
"""

from typing import NamedTuple

_TARGET_LAG_S = 0.075
"""Mean delay of the router's timers up to which nothing is rejected: half of the
shortest objectives, 0.15 s. A host whose processor share is a quota stands still
for parts of a tenth of a second without being saturated."""
_GROWTH_PER_S = 0.5
"""Growth of the rejected share at twice the target delay: a host that gets three
times what it can serve rejects the excess within two seconds."""
_MAX_EXCESS_RATIO = 2.0
"""Excess of the delay over its target that counts at most, in targets."""
_DECLINE_PER_S = 0.1
"""Decline of the rejected share once the delay is below half of the target.
Slower than the growth, so that the share settles below what saturates the
router."""
_MAX_STEP_S = 0.5
"""Longest time between two requests that is counted in one step."""
_MAX_SHARE = 0.9
"""Largest rejected share: the delay is measured by requests that are served."""
_MIN_RETRY_S = 0.02
_RETRY_SPREAD_S = 0.06
"""Range of Retry-After. The repetition goes to another router, which may serve it
at once; the spread keeps those rejected together from arriving together."""


class State(NamedTuple):
  """The share of new requests that is rejected, and since when."""

  share: float = 0.0
  at: float = 0.0
  """When it was last updated, monotonic seconds."""


def update(state: State, lag_s: float, now: float) -> State:
  """Returns the state after a measured delay.

  Args:
    state: the state before.
    lag_s: mean delay of the router's timers, seconds.
    now: the current time, monotonic seconds.
  """
  elapsed_s = min(max(0.0, now - state.at), _MAX_STEP_S)
  share = state.share
  if lag_s > _TARGET_LAG_S:
    excess = min(lag_s / _TARGET_LAG_S - 1, _MAX_EXCESS_RATIO)
    share += _GROWTH_PER_S * excess * elapsed_s
  elif lag_s < _TARGET_LAG_S / 2:
    share -= _DECLINE_PER_S * elapsed_s
  return State(min(max(share, 0.0), _MAX_SHARE), now)


def rejected_share(share: float, rank: float) -> float:
  """Returns the share of the requests of one rank that is rejected.

  Less urgent requests are rejected more often: a repetition may meet another
  saturated router.

  Args:
    share: the share of all new requests, see `State`.
    rank: 0 for the most urgent requests, 1 for the least urgent ones.
  """
  return min(share * (0.5 + min(max(rank, 0.0), 1.0)), _MAX_SHARE)


def retry_after_s(drawn: float) -> float:
  """Returns the seconds after which a rejected caller may return.

  Args:
    drawn: a random number from 0 to 1.
  """
  return _MIN_RETRY_S + _RETRY_SPREAD_S * drawn
