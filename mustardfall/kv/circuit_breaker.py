"""Whether a store is in reach, from how its calls end."""

import logging
import random

from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MOST_FAILURES = 2
"""Failures in a row after which the store is taken to be away. One lost
answer is common; two are not. While it is away, calls that requests wait
for fail at once, but for one now and then that finds out whether it is back."""
_FIRST_TRIAL_S = 0.3
"""After losing the store, a call is tried again."""
_MOST_TRIAL_S = 2.0
_TRIAL_GROWTH = 1.6
"""Each trial that fails puts off the next by so many times more: a fleet that
the store turns away must not fill its rate with calls."""
_SPREAD = 0.25
"""Part of the time between two trials that is left to chance."""


class CircuitBreaker:
  """Counts failures; logs when the store is lost and found again.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._failures = 0
    self._lost_at: float | None = None
    self._pause_s = _FIRST_TRIAL_S
    self._try_at = 0.0

  @property
  def is_open(self) -> bool:
    """Whether the store is taken to be away."""
    return self._lost_at is not None

  def allows_call(self) -> bool:
    """Whether a call may be made: all while in touch, else one now and then."""
    if not self.is_open:
      return True
    now = self._clock.monotonic()
    if now < self._try_at:
      return False
    self._put_off(now)
    return True

  def _put_off(self, now: float) -> None:
    """Lets some time pass until the next trial."""
    spread = 1 + _SPREAD * (random.random() - 0.5)
    self._try_at = now + self._pause_s * spread
    self._pause_s = min(_MOST_TRIAL_S, self._pause_s * _TRIAL_GROWTH)

  def record(self, error: str | None) -> None:
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
      self._pause_s = _FIRST_TRIAL_S
      self._put_off(now)
      logger.warning("store lost", extra={"error": error})
