"""A budget for retries, so that a fleet in trouble is not multiplied.

When endpoints fail, every router retries; without a bound three tries a
request triple the load just when there is least room. A retry is paid
from a store that requests fill a little each.
"""

from collections.abc import Callable

_RATIO = 0.2
"""Retries allowed per request, over time."""
_BURST = 20.0
"""Retries that may be saved up."""


_LEAST_BURST = 1.0
"""A router that could not save up one retry would never make any."""


def part_of_burst(burst: float, planned: int, routers: int) -> float:
  """Returns the retries that one router of a fleet may save up.

  Args:
    burst: what it may in a fleet of the size that was planned with.
    planned: routers of that fleet.
    routers: those that are up. More of them save up no more together.
  """
  return max(_LEAST_BURST, burst * planned / max(planned, routers))


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
    self._saved = burst()

  def deposit(self) -> None:
    """Counts one request."""
    self._saved = min(self._burst(), self._saved + self._ratio)

  def withdraw(self) -> bool:
    """Returns whether one retry may be made, and pays for it."""
    if self._saved < 1.0:
      return False
    self._saved -= 1.0
    return True
