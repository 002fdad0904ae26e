"""Tokens that come for a caller that has just left."""

import types

import anyio
import testtools

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.proxy import admission as admission_lib
from mustardfall.util import clock as clock_lib
from tests import configs


class _Pool:
  """Hands out one reservation, when told to."""

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
    """Runs `caller(admission, pool, scope)`; returns what was returned."""

    async def go():
      pool = _Pool()
      accounts = types.SimpleNamespace(pool=pool)
      config = configs.router(proxy=settings.Proxy(reserve_s=0.05))
      async with anyio.create_task_group() as tasks:
        admission = admission_lib.Admission(
            config, clock_lib.FakeClock(), None, accounts, tasks, None
        )
        with anyio.CancelScope() as scope:
          await caller(admission, pool, scope)
        pool.go.set()
      return pool.returned

    return anyio.run(go)

  def test_caller_that_leaves_as_its_tokens_come_gives_them_back(self):
    # The reservation is made and the caller leaves in the same moment,
    # before the request has it. Nobody would ever settle it: the tokens
    # would be set aside until the router ends.
    async def caller(admission, pool, scope):
      async with anyio.create_task_group() as tg:
        tg.start_soon(admission._reserve_soon, "b", 7)
        await anyio.sleep(0.01)
        pool.go.set()
        scope.cancel()

    self.assertEqual([(7, 0)], self._run(caller))

  def test_tokens_that_come_too_late_go_back(self):
    async def caller(admission, pool, scope):
      del pool, scope
      self.assertIsNone(await admission._reserve_soon("b", 7))

    self.assertEqual([(7, 0)], self._run(caller))
