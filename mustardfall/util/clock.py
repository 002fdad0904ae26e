"""The clock interface, so that time can be faked in tests."""

import datetime
import time
from typing import NamedTuple, Protocol


class Moment(NamedTuple):
  """A moment on one host's clocks, to be compared with a later one there."""

  boot_s: float
  """Seconds since the host's boot; suspended time counts."""
  wall_s: float
  """Seconds of the wall clock, which may be stepped."""
  error_s: float | None = None
  """How far the wall clock was off most routers' clocks then, at most; None:
  it was not compared, or was far off."""

  @property
  def agreed(self) -> bool:
    """Whether the wall clock agreed with most routers' then."""
    return self.error_s is not None


class Clock(Protocol):
  """What the code needs to know of time."""

  def monotonic(self) -> float:
    """Returns seconds on a clock that never goes back (rate only)."""

  def wall(self) -> datetime.datetime:
    """Returns the wall-clock time, UTC."""

  def moment(self) -> Moment:
    """Returns the present moment, for a later process to compare with."""

  def started(self) -> Moment:
    """Returns a moment at which this process was already started."""


class SystemClock:
  """The machine's clocks."""

  def monotonic(self) -> float:
    """Returns `time.monotonic()`."""
    return time.monotonic()

  def wall(self) -> datetime.datetime:
    """Returns the current UTC time."""
    return datetime.datetime.now(datetime.UTC)

  def moment(self) -> Moment:
    """Returns the present moment."""
    return Moment(time.clock_gettime(time.CLOCK_BOOTTIME), time.time())

  def started(self) -> Moment:
    """Returns the moment at which this module was loaded."""
    return _LOADED


_LOADED = SystemClock().moment()
"""Read before anything else is loaded, which takes some 0.4 s: the package
imports this module first."""


class FakeClock:
  """A clock that moves only when told to; for tests."""

  def __init__(self, start: float = 1000.0) -> None:
    self._now = start

  def monotonic(self) -> float:
    """Returns the fake monotonic time in seconds."""
    return self._now

  def wall(self) -> datetime.datetime:
    """Returns the fake time as a UTC datetime."""
    return datetime.datetime.fromtimestamp(self._now, datetime.UTC)

  def moment(self) -> Moment:
    """Returns the fake time on both clocks."""
    return Moment(self._now, self._now)

  def started(self) -> Moment:
    """Returns the present moment."""
    return self.moment()

  def advance(self, delta: datetime.timedelta) -> None:
    """Moves the clock forward by `delta`."""
    self._now += delta.total_seconds()
