"""The budget ledger's compare-and-swap writes under lost replies."""

import anyio
import testtools

from mustardfall.budget import ledger
from tests import kvfake


def _run(fn):
  return anyio.run(fn)


class LedgerTest(testtools.TestCase):

  def test_grant_then_settle_bills_used_and_returns_rest(self):
    async def go():
      kv, _ = kvfake.make()
      await ledger.create(kv, "b", 1000)
      got = await ledger.grant(kv, "b", "r1:1", 10, 400, 1.0)
      await ledger.settle(kv, "b", "r1:1", 150)
      return got, await ledger.read(kv, "b")

    got, after = _run(go)
    self.assertEqual(400, got)
    self.assertEqual(150, after["spent"])
    self.assertEqual({}, after["grants"])
    self.assertEqual(850, ledger.headroom(after))

  def test_settle_with_lost_reply_bills_once(self):
    # The operator sees a budget billed once: the settle's reply is lost
    # after the write took effect, the router re-reads, finds its grant
    # gone, and does not write again.
    async def go():
      kv, server = kvfake.make()
      await ledger.create(kv, "b", 1000)
      await ledger.grant(kv, "b", "r1:1", 10, 400, 1.0)
      server.faults.lose_replies = 1
      await ledger.settle(kv, "b", "r1:1", 100)
      await ledger.settle(kv, "b", "r1:1", 100)  # a second, stray settle
      return await ledger.read(kv, "b")

    after = _run(go)
    self.assertEqual(100, after["spent"])

  def test_top_up_with_lost_reply_applies_once(self):
    # An operator's top-up reply is lost after it took effect; the retry
    # carries the same op id and finds it applied, so the limit rises once.
    async def go():
      kv, server = kvfake.make()
      await ledger.create(kv, "b", 1000)
      server.faults.lose_replies = 1
      await ledger.top_up(kv, "b", 500, "op-1")
      await ledger.top_up(kv, "b", 500, "op-1")
      return await ledger.read(kv, "b")

    self.assertEqual(1500, _run(go)["limit"])

  def test_grant_never_exceeds_headroom(self):
    async def go():
      kv, _ = kvfake.make()
      await ledger.create(kv, "b", 300)
      a = await ledger.grant(kv, "b", "r1:1", 100, 250, 1.0)
      b = await ledger.grant(kv, "b", "r2:1", 100, 250, 1.0)
      return a, b

    a, b = _run(go)
    self.assertEqual((250, 0), (a, b))
