"""Waits for endpoints end when they are due, with few wake-ups of the process.

The timers woke twenty times a second while any request was in flight, each time
some system calls for nothing.
"""

import anyio
import testtools

from mustardfall.bench.virtual import loop as virtual
from mustardfall.proxy import attempt_timers


class _CountingClock(virtual.Clock):
  """Counts how often the time is read."""

  reads = 0

  def monotonic(self) -> float:
    self.reads += 1
    return super().monotonic()


class AttemptTimersTest(testtools.TestCase):

  def setUp(self) -> None:
    super().setUp()
    self.clock = _CountingClock()
    self.timers = attempt_timers.AttemptTimers(self.clock)

  def _run(self, test):
    async def go():
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(self.timers.run)
        await test()
        tasks.cancel_scope.cancel()

    virtual.run(go)

  async def _wait(self, limit_s, may_end, ended):
    began = anyio.current_time()
    with self.timers.limit(limit_s, may_end) as scope:
      await anyio.sleep(60.0)
    if scope.cancelled_caught:
      ended.append(round(anyio.current_time() - began, 2))

  def test_wait_ends_when_it_is_due(self):
    """Guards against a short wait that ends only when a longer one is due."""
    ended = []

    async def go():
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(self._wait, 5.0, lambda: True, ended)
        await anyio.sleep(1.0)
        tasks.start_soon(self._wait, 0.2, lambda: True, ended)
        await anyio.sleep(0.01)
        tasks.start_soon(self._wait, 0.4, lambda: True, ended)

    self._run(go)
    self.assertEqual([0.2, 0.4, 5.0], ended)

  def test_wait_without_a_retry_ends_once_there_is_one(self):
    """Guards against a wait that is checked only once."""
    ended, retry_at = [], 2.0

    async def go():
      start = anyio.current_time()
      await self._wait(
          0.3, lambda: anyio.current_time() - start > retry_at, ended
      )

    self._run(go)
    self.assertTrue(retry_at <= ended[0] <= retry_at + 0.06, ended)

  def test_events_of_a_stream_cause_few_checks(self):
    """Guards against a check, and so a wake-up, for each event or each 50 ms."""

    async def go():
      for _ in range(300):
        with self.timers.limit(1.0, lambda: True):
          await anyio.sleep(0.03)

    self._run(go)
    self.assertTrue(self.clock.reads <= 300 + 9 * 10, self.clock.reads)
