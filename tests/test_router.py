"""Tests of the router object: errors in its loops and concurrent settling."""

import anyio
import testtools

from mustardfall import router as router_lib
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import settling
from mustardfall.membership import members
from mustardfall.membership import peers
from tests import configs


class LoopTest(testtools.TestCase):

  def test_fault_in_a_loop_does_not_end_the_router(self):
    # An exception in a background loop must not end the process, which
    # would close every open stream: the loop is restarted.
    runs = []

    async def _loop():
      runs.append(None)
      if len(runs) < 3:
        raise KeyError("a fault")
      await anyio.sleep_forever()

    async def go():
      router = router_lib.Router(configs.router(tick_s=0.01))
      with anyio.move_on_after(0.5):
        await router._supervise(_loop)
      return router.counts["loop_failures"]

    self.assertEqual(2, anyio.run(go))
    self.assertEqual(3, len(runs))

  def test_two_settlements_of_parts_at_once_do_not_break(self):
    # A recall by another router settles the same parts as the tick, at the
    # same time; under overload, this ended a router process.
    class _PeersStub:

      def __init__(self):
        self.settled = []

      async def settle(self, owner, ended):
        await anyio.sleep(0.02)
        self.settled += ended
        return True

    class _MembersStub:
      lives = {
          f"r{i}:e": members.Member(f"r{i}", "e", "", "", "") for i in (1, 2)
      }

    async def go():
      table = allotment.Table("r0:e", settings.Allotment())
      peers_stub = _PeersStub()
      settler = settling.Settler(table, _MembersStub(), peers_stub, None)
      for i in (1, 2):
        row = allotment.Row("b", f"r0:e:{i}", 9, 0.0, f"r{i}:e")
        settler.queue_ended(row)
      async with anyio.create_task_group() as tg:
        tg.start_soon(settler.settle_parts)
        tg.start_soon(settler.settle_parts)
      return peers_stub.settled

    settled = anyio.run(go)
    expected = [peers.EndedPart(f"r0:e:{i}", 0) for i in (1, 2)]
    self.assertEqual(expected, sorted(settled))
