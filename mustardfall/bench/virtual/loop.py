"""An event loop whose clock jumps to the next scheduled event."""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
import selectors
from typing import Any

import anyio

from mustardfall.util import clock as clock_lib

_MIN_STEP_S = 1e-5
"""Minimum time that one iteration of the loop takes. Without it, a task that
is shielded from cancellation and waits for a time would wait forever: anyio
retries the cancellation on each iteration, so a callback is always ready and
the clock would never advance."""
_WALL_START = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)
"""Wall-clock time at the start of a simulation; an arbitrary date."""


class _Selector(selectors.DefaultSelector):
  """Polls sockets without blocking and advances the virtual clock instead."""

  def __init__(self) -> None:
    super().__init__()
    self.now_s = 0.0

  def select(self, timeout: float | None = None) -> list:
    ready = super().select(0)
    if ready:
      return ready
    if timeout is None:
      raise RuntimeError(
          "deadlock: no callback is scheduled, time cannot advance"
      )
    self.now_s += max(_MIN_STEP_S, timeout)
    return ready


class Loop(asyncio.SelectorEventLoop):
  """A selector event loop that runs in virtual time."""

  def __init__(self) -> None:
    self._virtual_selector = _Selector()
    super().__init__(self._virtual_selector)

  def time(self) -> float:
    """Returns the virtual time in seconds."""
    return self._virtual_selector.now_s


class Clock:
  """The monotonic, boot and wall clocks of a simulated host.

  Args:
    booted_s: virtual time at which the boot clock reads zero.
  """

  def __init__(self, booted_s: float = 0.0) -> None:
    self._booted_s = booted_s
    self.wall_offset_s = 0.0
    """Error of the wall clock, in seconds; positive means fast."""

  def monotonic(self) -> float:
    """Returns the virtual time in seconds."""
    return anyio.current_time()

  def wall(self) -> datetime.datetime:
    """Returns the time on the host's wall clock."""
    passed = datetime.timedelta(seconds=self.monotonic() + self.wall_offset_s)
    return _WALL_START + passed

  def moment(self) -> clock_lib.Moment:
    """Returns the current readings of the boot clock and the wall clock."""
    boot_s = self.monotonic() - self._booted_s
    return clock_lib.Moment(boot_s, self.wall().timestamp())

  def process_start(self) -> clock_lib.Moment:
    """Returns the current readings; a process's start is not recorded here."""
    return self.moment()


def run(main: Callable[..., Awaitable[Any]], *args: Any) -> Any:
  """Runs `main(*args)` in virtual time and returns its result."""
  return anyio.run(main, *args, backend_options={"loop_factory": Loop})
