"""A budget for retries, so that a fleet in trouble is not multiplied.

When endpoints fail, every router retries; without a bound three tries a
request triple the load just when there is least room. A retry is paid
from a store that requests fill a little each.
"""

from collections.abc import Callable

from mustardfall.util import clock as clock_lib

_RATIO = 0.2
"""Retries allowed per request, over time."""
_BURST = 20.0
"""Retries that may be saved up."""
_LEAST_BURST = 1.0
"""A router that could not save up one retry would never make any."""
_START_SHARE = 0.25
"""Part of its burst that a router starts with. With all of it, a fleet that is
killed again and again would make its burst anew each time."""
_FLEET_REMEMBERED_S = 60.0
"""How long a larger fleet is remembered at least."""


def burst_per_router(burst: float, planned: int, routers: int) -> float:
  """Returns the retries that one router of a fleet may save up.

  Args:
    burst: what it may in a fleet of the size that was planned with.
    planned: routers of that fleet.
    routers: those that are up. More of them save up no more together.
  """
  return max(_LEAST_BURST, burst * planned / max(planned, routers))


class FleetSize:
  """The most routers that were up lately.

  Leases lapse while the store refuses hosts that go on serving. Were these
  left out, the others would divide the fleet's retries among too few.

  Args:
    clock: the time source.
    count: returns how many routers are known to be up.
  """

  def __init__(self, clock: clock_lib.Clock, count: Callable[[], int]) -> None:
    self._clock = clock
    self._count = count
    self._most = self._most_before = 0
    self._since = clock.monotonic()

  def peak(self) -> int:
    """Returns the most of the last one to two minutes."""
    now = self._clock.monotonic()
    if now - self._since >= _FLEET_REMEMBERED_S:
      self._most_before, self._most = self._most, 0
      self._since = now
    self._most = max(self._most, self._count())
    return max(self._most, self._most_before)


class RetryBudget:
  """Counts what may be retried.

  Args:
    ratio: retries allowed per request, over time.
    burst: returns the retries that may be saved up at present.
  """

  def __init__(
      self,
      ratio: float = _RATIO,
      burst: Callable[[], float] = lambda: _BURST,
  ) -> None:
    self._ratio = ratio
    self._burst = burst
    self._saved = burst() * _START_SHARE

  def deposit(self) -> None:
    """Counts one request."""
    self._saved = min(self._burst(), self._saved + self._ratio)

  def withdraw(self) -> bool:
    """Returns whether one retry may be made, and pays for it."""
    if self._saved < 1.0:
      return False
    self._saved -= 1.0
    return True
