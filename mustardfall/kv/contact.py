"""Whether a store is in reach, from how its calls end."""

import logging

from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MOST_FAILURES = 2
"""Failures in a row after which the store is taken to be away. One lost
answer is common; two are not. While it is away, calls that requests wait
for fail at once, and the followers' calls find out when it is back."""


class Contact:
  """Counts failures; logs when the store is lost and found again.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._failures = 0
    self._lost_at: float | None = None

  @property
  def lost(self) -> bool:
    """Whether the store is taken to be away."""
    return self._lost_at is not None

  def note(self, error: str | None) -> None:
    """Notes how a call ended; None: it was answered."""
    now = self._clock.monotonic()
    if error is None:
      if self._lost_at is not None:
        away_s = round(now - self._lost_at, 3)
        logger.info("store regained", extra={"away_s": away_s})
      self._lost_at = None
      self._failures = 0
      return
    self._failures += 1
    if self._lost_at is None and self._failures >= _MOST_FAILURES:
      self._lost_at = now
      logger.warning("store lost", extra={"error": error})
