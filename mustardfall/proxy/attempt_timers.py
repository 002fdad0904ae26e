"""Ends waits for an endpoint if the request may be sent to another one.

A wait that is over is ended only once its request has been granted another
attempt. Under overload all endpoints are slow and no retries are left; giving up
an answer that is on its way would then fail the request.
"""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses

import anyio

from mustardfall.util import clock as clock_lib

_CHECK_INTERVAL_S = 0.05


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
    self._added = anyio.Event()

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
      self._added.set()
      try:
        yield scope
      finally:
        del self._waits[id_]

  async def run(self) -> None:
    """Ends waits until cancelled."""
    while True:
      if not self._waits:
        self._added = anyio.Event()
        await self._added.wait()
      await anyio.sleep(_CHECK_INTERVAL_S)
      now = self._clock.monotonic()
      for wait in list(self._waits.values()):
        if now >= wait.due_at and not wait.scope.cancel_called:
          if wait.may_end():
            wait.scope.cancel()
