"""Tests that tokens granted to a caller that has just left are returned."""

import anyio
import testtools

from mustardfall.budget import allotment
from mustardfall.budget import reserving


class _Pool:
  """Returns one reservation once `go` is set."""

  def __init__(self):
    self.go = anyio.Event()
    self.returned = []

  async def reserve(self, budget, tokens, customer):
    del customer
    await self.go.wait()
    return allotment.Reservation(budget, "g", tokens)

  def settle(self, reservation, used):
    self.returned.append((reservation.tokens, used))


class LeavingTest(testtools.TestCase):

  def _run(self, caller):
    """Runs `caller(reserver, pool, scope)`; returns the returned reservations."""

    async def go():
      pool = _Pool()
      async with anyio.create_task_group() as tasks:
        reserver = reserving.Reserver(pool, tasks, 0.05)
        with anyio.CancelScope() as scope:
          await caller(reserver, pool, scope)
        pool.go.set()
      return pool.returned

    return anyio.run(go)

  def test_caller_cancelled_as_its_tokens_arrive_returns_them(self):
    # The caller is cancelled at the moment its reservation is made, before the
    # request has it. Without the fix nobody would settle it, and the tokens
    # would stay reserved until the router ends.
    async def caller(reserver, pool, scope):
      async with anyio.create_task_group() as tg:
        tg.start_soon(reserver.reserve, "b", 7)
        await anyio.sleep(0.01)
        pool.go.set()
        scope.cancel()

    self.assertEqual([(7, 0)], self._run(caller))

  def test_late_tokens_are_returned(self):
    async def caller(reserver, pool, scope):
      del pool, scope
      self.assertIsNone(await reserver.reserve("b", 7))

    self.assertEqual([(7, 0)], self._run(caller))
