"""An event loop whose clock jumps to whatever is due next."""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
import selectors
from typing import Any

import anyio

from mustardfall.util import clock as clock_lib

_TURN_S = 1e-5
"""What a turn of the loop takes at least. With none, a task that is shielded
from its cancellation and waits for time to pass would wait for ever: the
cancellation is tried again each turn, and something is always due."""
_EPOCH = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)
"""What wall clocks show when a day begins; any time would do."""


class _Selector(selectors.DefaultSelector):
  """Passes time instead of waiting; looks at sockets without waiting."""

  def __init__(self) -> None:
    super().__init__()
    self.now_s = 0.0

  def select(self, timeout: float | None = None) -> list:
    ready = super().select(0)
    if ready:
      return ready
    if timeout is None:
      raise RuntimeError("nothing is due: the day would never end")
    self.now_s += max(_TURN_S, timeout)
    return ready


class Loop(asyncio.SelectorEventLoop):
  """Runs tasks as usual, in time that only they pass."""

  def __init__(self) -> None:
    self._virtual = _Selector()
    super().__init__(self._virtual)

  def time(self) -> float:
    """Returns the virtual time, seconds."""
    return self._virtual.now_s


class Clock:
  """A host's clocks in virtual time.

  Args:
    booted_s: virtual time at which the boot clock showed zero.
  """

  def __init__(self, booted_s: float = 0.0) -> None:
    self._booted_s = booted_s
    self.step_s = 0.0
    """How far the wall clock is off."""

  def monotonic(self) -> float:
    """Returns the virtual time, seconds."""
    return anyio.current_time()

  def wall(self) -> datetime.datetime:
    """Returns what the host's wall clock shows."""
    passed = datetime.timedelta(seconds=self.monotonic() + self.step_s)
    return _EPOCH + passed

  def moment(self) -> clock_lib.Moment:
    """Returns the present moment on the host's clocks."""
    boot_s = self.monotonic() - self._booted_s
    return clock_lib.Moment(boot_s, self.wall().timestamp())

  def process_start(self) -> clock_lib.Moment:
    """Returns the present moment."""
    return self.moment()


def run(day: Callable[..., Awaitable[Any]], *args: Any) -> Any:
  """Runs `day(*args)` in virtual time; returns what it returns."""
  return anyio.run(day, *args, backend_options={"loop_factory": Loop})
