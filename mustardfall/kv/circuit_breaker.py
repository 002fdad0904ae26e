"""A circuit breaker for calls to the store."""

import logging
import random

from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_FAILURE_THRESHOLD = 2
"""Consecutive failures that open the breaker. One lost answer is common; two
are not. While the breaker is open, calls fail at once, except for reads and
watches of a prefix, whose callers limit their own rate, and an occasional probe
that finds out whether the store is back."""
_FIRST_PROBE_DELAY_S = 0.3
"""Delay between opening the breaker and the first probe."""
_MAX_PROBE_DELAY_S = 2.0
_MAX_RENEWAL_DELAY_S = 0.8
"""The same after a probe that renewed a lease, at a tenth of the price. Most
routers make no other call then, and must not learn late that the store is back.
"""
_PROBE_BACKOFF = 1.6
"""Factor by which the delay grows after each failed probe: a fleet that the
store refuses must not use up its rate limit with probes."""
_RENEWAL_HEAD_START_S = 0.5
"""How long a due probe is left to renewals of leases, which cost the store a
tenth of another call. Longer than a router pauses between attempts to renew."""
_JITTER = 0.25
"""Random part of the time between two probes."""


class CircuitBreaker:
  """Opens after consecutive failures and lets single probes through.

  Logs when the store becomes unreachable and when it answers again.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._failures = 0
    self._opened_at: float | None = None
    self._probe_delay_s = _FIRST_PROBE_DELAY_S
    self._next_probe_at = 0.0

  @property
  def is_open(self) -> bool:
    """Whether the store is considered unreachable."""
    return self._opened_at is not None

  def allows_call(self, is_renewal: bool = False) -> bool:
    """Whether a call may be made: any while closed, else only a due probe.

    Args:
      is_renewal: whether the call renews a lease.
    """
    if not self.is_open:
      return True
    now = self._clock.monotonic()
    head_start_s = 0.0 if is_renewal else _RENEWAL_HEAD_START_S
    if now < self._next_probe_at + head_start_s:
      return False
    max_s = _MAX_RENEWAL_DELAY_S if is_renewal else _MAX_PROBE_DELAY_S
    self._schedule_probe(now, max_s)
    return True

  def _schedule_probe(self, now: float, max_s: float) -> None:
    """Sets the time of the next probe, and lengthens the delay after it."""
    jitter = 1 + _JITTER * (random.random() - 0.5)
    self._next_probe_at = now + self._probe_delay_s * jitter
    self._probe_delay_s = min(max_s, self._probe_delay_s * _PROBE_BACKOFF)

  def record(self, error: str | None) -> None:
    """Records the outcome of a call: the error, or None if it was answered."""
    now = self._clock.monotonic()
    if error is None:
      if self._opened_at is not None:
        away_s = round(now - self._opened_at, 3)
        logger.info("store regained", extra={"away_s": away_s})
      self._opened_at = None
      self._failures = 0
      return
    self._failures += 1
    if self._opened_at is None and self._failures >= _FAILURE_THRESHOLD:
      self._opened_at = now
      self._probe_delay_s = _FIRST_PROBE_DELAY_S
      self._schedule_probe(now, _MAX_PROBE_DELAY_S)
      logger.warning("store lost", extra={"error": error})
