"""Clock interface, its system implementation and a fake for tests."""

import datetime
import time
from typing import NamedTuple, Protocol


class Moment(NamedTuple):
  """A reading of one host's clocks, comparable with others of that host."""

  boot_s: float
  """Seconds since the host's boot, including time in suspend."""
  wall_s: float
  """Unix seconds of the wall clock, which may be stepped."""
  error_s: float | None = None
  """Maximum difference from the wall clocks of most routers at that time; None
  if it was not compared or differed too much."""

  @property
  def wall_clock_agreed(self) -> bool:
    """Whether the wall clock agreed with those of most routers."""
    return self.error_s is not None


class Clock(Protocol):
  """Source of time."""

  def monotonic(self) -> float:
    """Returns the seconds of a clock that never goes back, with any origin."""

  def wall(self) -> datetime.datetime:
    """Returns the wall-clock time in UTC."""

  def moment(self) -> Moment:
    """Returns the current reading, which later processes can compare with."""

  def process_start(self) -> Moment:
    """Returns a reading taken shortly after the start of this process."""


class SystemClock:
  """The clocks of this host."""

  def monotonic(self) -> float:
    """Returns `time.monotonic()`."""
    return time.monotonic()

  def wall(self) -> datetime.datetime:
    """Returns the current time in UTC."""
    return datetime.datetime.now(datetime.UTC)

  def moment(self) -> Moment:
    """Returns the current reading of the boot clock and the wall clock."""
    return Moment(time.clock_gettime(time.CLOCK_BOOTTIME), time.time())

  def process_start(self) -> Moment:
    """Returns the reading taken when this module was imported."""
    return _LOADED_AT


_LOADED_AT = SystemClock().moment()
"""The package imports this module first: importing the others takes about
0.4 s."""


class FakeClock:
  """A clock that only `advance` moves; for tests."""

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

  def process_start(self) -> Moment:
    """Returns the current reading."""
    return self.moment()

  def advance(self, delta: datetime.timedelta) -> None:
    """Moves the clock forward by `delta`."""
    self._now += delta.total_seconds()
