"""Ends waits for an endpoint if the request may be sent to another one.

A wait that is over is ended only once its request has been granted another
attempt. Under overload all endpoints are slow and no retries are left; giving up
an answer that is on its way would then fail the request.
"""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import math

import anyio

from mustardfall.util import clock as clock_lib

_CHECK_INTERVAL_S = 0.05
"""Shortest time between two checks: waits that are over and may not end yet are
checked again after it."""


@dataclasses.dataclass
class _Wait:
  """A wait for an endpoint."""

  scope: anyio.CancelScope
  due_at: float
  may_end: Callable[[], bool]


class AttemptTimers:
  """The waits for endpoints that may be ended.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._waits: dict[int, _Wait] = {}
    self._next_id = 0
    self._due_earlier = anyio.Event()
    """Set when a wait is due before the next check."""
    self._next_check_at = math.inf

  @contextlib.contextmanager
  def limit(
      self, limit_s: float, may_end: Callable[[], bool]
  ) -> Iterator[anyio.CancelScope]:
    """Ends the block after `limit_s`, or later, once `may_end()` is true."""
    self._next_id += 1
    id_ = self._next_id
    with anyio.CancelScope() as scope:
      due_at = self._clock.monotonic() + limit_s
      self._waits[id_] = _Wait(scope, due_at, may_end)
      if due_at < self._next_check_at:
        self._due_earlier.set()
      try:
        yield scope
      finally:
        del self._waits[id_]

  async def run(self) -> None:
    """Ends waits until cancelled.

    It sleeps until the earliest wait is due. Each event of a stream begins a
    wait that is due later, so that it wakes about once a second and not at each
    event.
    """
    while True:
      now = self._clock.monotonic()
      for wait in list(self._waits.values()):
        if now >= wait.due_at and not wait.scope.cancel_called:
          if wait.may_end():
            wait.scope.cancel()
      await self._wait_until_due(now + _CHECK_INTERVAL_S)

  async def _wait_until_due(self, earliest_at: float) -> None:
    """Waits until the first wait is due, at least until `earliest_at`."""
    while (
        left_s := self._next_due_at(earliest_at) - self._clock.monotonic()
    ) > 0:
      self._due_earlier = anyio.Event()
      self._next_check_at = self._next_due_at(earliest_at)
      with anyio.move_on_after(left_s):
        await self._due_earlier.wait()
    self._next_check_at = -math.inf

  def _next_due_at(self, earliest_at: float) -> float:
    """Returns when the next wait is due, not before `earliest_at`."""
    due_at = min(
        (
            wait.due_at
            for wait in self._waits.values()
            if not wait.scope.cancel_called
        ),
        default=math.inf,
    )
    return max(earliest_at, due_at)
