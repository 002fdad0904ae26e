"""A retry budget, which keeps retries from overloading failing endpoints.

When endpoints fail, every router retries; without a bound, three attempts per
request triple the load when there is the least capacity for it. The budget is
a token bucket: each request adds a fraction of a retry, each retry takes one.
"""

from collections.abc import Callable

from mustardfall.util import clock as clock_lib

_RATIO = 0.2
"""Retries added to the budget by each request."""
_BURST = 20.0
"""Retries that the budget holds at most."""
_MIN_BURST = 1.0
"""A budget that cannot hold one whole retry would never allow any."""
_INITIAL_SHARE = 0.25
"""Part of the burst that a router starts with. If it were the whole burst, a
fleet that is killed repeatedly would spend a full burst after each start."""
_FLEET_WINDOW_S = 60.0
"""How long the largest fleet size seen is kept, at least."""


def burst_per_router(burst: float, planned: int, routers: int) -> float:
  """Returns one router's share of the fleet's retry burst.

  The burst of the whole fleet does not grow beyond `burst * planned`, unless
  each router has only the least burst.

  Args:
    burst: the retries per router in a fleet of `planned` routers.
    planned: the number of routers that the burst was chosen for.
    routers: the number of routers that are up.
  """
  return max(_MIN_BURST, burst * planned / max(planned, routers))


class FleetSize:
  """The largest number of routers that were recently up.

  When the store refuses a host, its lease expires although it goes on serving
  and retrying. Not counting such hosts would make the others' shares of the
  fleet's retries too large.

  Args:
    clock: the time source.
    count: returns the number of routers currently known to be up.
  """

  def __init__(self, clock: clock_lib.Clock, count: Callable[[], int]) -> None:
    self._clock = clock
    self._count = count
    self._max_up = self._previous_max_up = 0
    self._window_began_at = clock.monotonic()

  def peak(self) -> int:
    """Returns the largest count of the last one to two minutes."""
    now = self._clock.monotonic()
    if now - self._window_began_at >= _FLEET_WINDOW_S:
      self._previous_max_up, self._max_up = self._max_up, 0
      self._window_began_at = now
    self._max_up = max(self._max_up, self._count())
    return max(self._max_up, self._previous_max_up)


class RetryBudget:
  """A token bucket of retries.

  Args:
    ratio: retries added by each request.
    burst: returns the retries that the bucket currently holds at most.
  """

  def __init__(
      self,
      ratio: float = _RATIO,
      burst: Callable[[], float] = lambda: _BURST,
  ) -> None:
    self._ratio = ratio
    self._burst = burst
    self._balance = burst() * _INITIAL_SHARE

  def deposit(self) -> None:
    """Adds the retries that one request allows."""
    self._balance = min(self._burst(), self._balance + self._ratio)

  def withdraw(self) -> bool:
    """Takes one retry from the budget; returns False if there is none."""
    if self._balance < 1.0:
      return False
    self._balance -= 1.0
    return True
