"""Measures how busy this router's own host is: its processor and its link.

A process that has more to do than its processor share allows runs its timers
late, and what it sends and receives waits. Requests, calls to other routers and
calls to the store then time out, although the other side is well.
"""

from collections.abc import Callable
import enum
import logging
from typing import Any

import anyio

from mustardfall import settings
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_BYTES_PER_S_PER_MBPS = 125_000
_LAG_INTERVAL_S = 0.1
_LAG_WEIGHT = 0.2
"""Weight of the newest delay in the moving average, which covers half a second. A
host whose processor share is a quota stands still for parts of a tenth of one."""
_RATE_INTERVALS = 2
"""Intervals over which the rate of bytes is measured."""
_RATE_WEIGHT = 0.5
"""Weight of the newest measured rate in the moving average."""
_LATE_S = 0.05
"""Mean delay from which the host counts as late."""
_SATURATED_S = 0.15
"""Mean delay from which it counts as saturated: a whole one of the shortest
latency objectives."""
_MIN_LOG_INTERVAL_S = 1.0
_STANDSTILL_S = 0.25
"""Delay of one timer from which the process has stood still."""


class Level(enum.Enum):
  """How late the timers of the process are."""

  ON_TIME = "on time"
  LATE = "late"
  SATURATED = "saturated"


def level_of(lag_s: float) -> Level:
  """Returns the level of a mean delay of timers, seconds."""
  if lag_s >= _SATURATED_S:
    return Level.SATURATED
  return Level.LATE if lag_s >= _LATE_S else Level.ON_TIME


def smooth_lag_s(mean_s: float, late_s: float) -> float:
  """Returns the mean delay of timers after another one was late."""
  return mean_s + _LAG_WEIGHT * (late_s - mean_s)


class HostLoad:
  """Measures the delay of this process's timers and the use of its link.

  Args:
    config: all of the router's settings.
    clock: the time source.
    busy: returns the number of requests in flight, for the log.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      busy: Callable[[], int] = lambda: 0,
  ) -> None:
    self._link_bytes_per_s = config.limits.link_mbps * _BYTES_PER_S_PER_MBPS
    self._clock = clock
    self._busy = busy
    self._lag_s = 0.0
    self._passed_bytes = 0
    """Bytes of requests and responses since the last measurement."""
    self._utilisation = 0.0
    self._stood_still_at = -float("inf")
    self._logged = Level.ON_TIME
    self._logged_at = -float("inf")

  @property
  def lag_s(self) -> float:
    """Mean delay of this process's timers, seconds."""
    return self._lag_s

  @property
  def running_s(self) -> float:
    """Seconds since the process last stood still."""
    return self._clock.monotonic() - self._stood_still_at

  @property
  def link_utilisation(self) -> float:
    """Bytes of requests and responses a second, relative to the link's rate."""
    return self._utilisation

  def note_bytes(self, size: int) -> None:
    """Counts bytes that a caller has sent or is sent.

    They pass the link twice, once in each direction: to or from the caller, and
    from or to an endpoint.
    """
    self._passed_bytes += size

  def describe(self) -> dict[str, Any]:
    """Returns the measurements as fields of a log line."""
    return {
        "lag_ms": round(self._lag_s * 1000),
        "link_utilisation": round(self._utilisation, 3),
    }

  async def run(self) -> None:
    """Measures until cancelled."""
    while True:
      began_at = self._clock.monotonic()
      for _ in range(_RATE_INTERVALS):
        due_at = self._clock.monotonic() + _LAG_INTERVAL_S
        await anyio.sleep(_LAG_INTERVAL_S)
        self.note_delay(self._clock.monotonic() - due_at)
      self.measure_rate(self._clock.monotonic() - began_at)

  def note_delay(self, late_s: float) -> None:
    """Records how late a timer was."""
    self._lag_s = smooth_lag_s(self._lag_s, late_s)
    if late_s >= _STANDSTILL_S:
      self._stood_still_at = self._clock.monotonic()
    self._log_change()

  def measure_rate(self, elapsed_s: float) -> None:
    """Updates the use of the link from the bytes of some time, seconds."""
    passed, self._passed_bytes = self._passed_bytes, 0
    if not self._link_bytes_per_s or elapsed_s <= 0:
      return
    measured = passed / elapsed_s / self._link_bytes_per_s
    self._utilisation += _RATE_WEIGHT * (measured - self._utilisation)

  def _log_change(self) -> None:
    level = level_of(self._lag_s)
    now = self._clock.monotonic()
    if level is self._logged or now - self._logged_at < _MIN_LOG_INTERVAL_S:
      return
    extra = {
        "level": level.value,
        "before": self._logged.value,
        "busy": self._busy(),
        **self.describe(),
    }
    logger.info("host load changed", extra=extra)
    self._logged, self._logged_at = level, now
