"""The clock interface, so that time can be faked in tests."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
  """What the code needs to know of time."""

  def monotonic(self) -> float:
    """Returns seconds on a clock that never goes back (rate only)."""

  def wall(self) -> datetime.datetime:
    """Returns the wall-clock time, UTC."""


class SystemClock:
  """The machine's clocks."""

  def monotonic(self) -> float:
    """Returns `time.monotonic()`."""
    return time.monotonic()

  def wall(self) -> datetime.datetime:
    """Returns the current UTC time."""
    return datetime.datetime.now(datetime.UTC)


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

  def advance(self, delta: datetime.timedelta) -> None:
    """Moves the clock forward by `delta`."""
    self._now += delta.total_seconds()
