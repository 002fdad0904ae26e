"""Tests of the ledger's compare-and-swap writes when replies are lost."""

import anyio
import testtools

from mustardfall.budget import ledger
from tests import kvfake

_GRANT = ledger.Grant("r1:x:1", 10, 400, 1.0)
_PART = ledger.SettlePart("r1:x:1", "r2:y:1", 100, 30)


def _run(fn):
  return anyio.run(fn)


async def _write(kv, *changes):
  for change in changes:
    await ledger.write(kv, "b", change)


def _after(*changes):
  """Returns a budget of 1,000 tokens after `changes`, as the KV holds it."""

  async def go():
    kv, _ = kvfake.make()
    await _write(kv, ledger.Create(1000), *changes)
    return await ledger.read(kv, "b")

  return _run(go)


class ShrinkTest(testtools.TestCase):

  def test_rest_of_a_retired_grant_is_returned_while_in_use(self):
    # A long stream keeps a retired grant open. Without this nobody could use
    # the grant's remainder until the stream ends.
    shrink = ledger.Shrink("r1:x:1", 400, 350)
    after = _after(_GRANT, shrink, shrink)
    self.assertEqual({"r1:x:1": 50}, after["grants"])
    self.assertEqual(950, ledger.headroom(after))

  def test_shrunk_grant_that_was_billed_before(self):
    after = _after(
        _GRANT,
        ledger.ReportUse("r1:x:1", 30),
        ledger.Shrink("r1:x:1", 400, 350),
    )
    self.assertEqual({"r1:x:1": 20}, after["grants"])
    self.assertEqual((30, 950), (after["spent"], ledger.headroom(after)))

  def test_shrink_of_a_grant_that_has_grown_since_is_ignored(self):
    grown = ledger.Grant("r1:x:1", 10, 100, 1.0, base=400)
    after = _after(_GRANT, grown, ledger.Shrink("r1:x:1", 400, 350))
    self.assertEqual({"r1:x:1": 500}, after["grants"])


class UnknownGrantTest(testtools.TestCase):

  def test_part_of_a_stopped_owner_is_settled_without_its_grant_id(self):
    # The owner's reply was lost and the owner stopped: the router that asked
    # knows its part but not the grant. The part must not stay outstanding
    # forever.
    part = ledger.SettlePart("", "r2:y:1", 100, 0)
    after = _after(
        _GRANT, ledger.Release("r1:x:1", 40, {"r2:y:1": 100}), part, part
    )
    self.assertEqual({}, after["grants"])
    self.assertEqual((40, 960), (after["spent"], ledger.headroom(after)))

  def test_part_that_no_stopped_owner_delegated_changes_nothing(self):
    before = _after(_GRANT)
    part = ledger.SettlePart("", "r2:y:1", 100, 0)
    self.assertEqual(before, _after(_GRANT, part))


class LedgerTest(testtools.TestCase):

  def test_grant_then_settle_bills_used_and_returns_rest(self):
    async def go():
      kv, _ = kvfake.make()
      await _write(kv, ledger.Create(1000))
      got = await ledger.write(kv, "b", ledger.Grant("r1:1", 10, 400, 1.0))
      await _write(kv, ledger.Settle("r1:1", 150))
      return got["grants"]["r1:1"], await ledger.read(kv, "b")

    got, after = _run(go)
    self.assertEqual(400, got)
    self.assertEqual(150, after["spent"])
    self.assertEqual({}, after["grants"])
    self.assertEqual(850, ledger.headroom(after))

  def test_settle_with_lost_reply_bills_once(self):
    # The reply to a settlement is lost after the write took effect. The router
    # reads the ledger again, finds its grant gone and does not write again, so
    # the budget is billed once.
    async def go():
      kv, server = kvfake.make()
      await _write(kv, ledger.Create(1000), ledger.Grant("r1:1", 10, 400, 1.0))
      server.faults.lose_replies = 1
      await _write(kv, ledger.Settle("r1:1", 100))
      await _write(kv, ledger.Settle("r1:1", 100))  # a second, stray settle
      return await ledger.read(kv, "b")

    after = _run(go)
    self.assertEqual(100, after["spent"])

  def test_top_up_with_lost_reply_applies_once(self):
    # The reply to a top-up is lost after it took effect. The retry carries the
    # same op id and is recognised, so the limit rises once.
    async def go():
      kv, server = kvfake.make()
      await _write(kv, ledger.Create(1000))
      server.faults.lose_replies = 1
      await _write(kv, ledger.TopUp(500, "op-1"))
      await _write(kv, ledger.TopUp(500, "op-1"))
      return await ledger.read(kv, "b")

    self.assertEqual(1500, _run(go)["limit"])

  def test_grant_never_exceeds_headroom(self):
    async def go():
      kv, _ = kvfake.make()
      await _write(kv, ledger.Create(300))
      a = await ledger.write(kv, "b", ledger.Grant("r1:1", 100, 250, 1.0))
      b = await ledger.write(kv, "b", ledger.Grant("r2:1", 100, 250, 1.0))
      return a["grants"], b["grants"]

    a, b = _run(go)
    self.assertEqual({"r1:1": 250}, a)
    self.assertEqual({"r1:1": 250}, b)

  def test_margin_is_never_granted(self):
    # The last hundredth of the limit is never granted, so that an engine that
    # exceeds its reservation still stays within the limit.
    async def go():
      kv, _ = kvfake.make()
      await _write(kv, ledger.Create(1000))
      change = ledger.Grant("r1:1", 100, 1000, 1.0, margin=0.01)
      return await ledger.write(kv, "b", change)

    self.assertEqual(10, ledger.headroom(_run(go)))

  def test_written_off_grant_is_billed_right_when_its_holder_resumes(self):
    # A paused router's grant is written off and its tokens stay counted. When
    # it resumes, finishes its requests and settles, its actual usage is billed
    # and the rest returns; settling again changes nothing.
    gone = (_GRANT, ledger.WriteOff("r1:x:1"))
    paused = _after(*gone)
    after = _after(*gone, *[ledger.Settle("r1:x:1", 150)] * 2)
    self.assertEqual((600, 400), (ledger.headroom(paused), ledger.lost(paused)))
    self.assertEqual((150, 0), (after["spent"], ledger.lost(after)))

  def test_part_settled_in_both_places_is_billed_once(self):
    # Router 2 holds a part of router 1's grant. Router 1 learns that the part
    # used 30 tokens, is then paused and considered gone, and its reply is lost,
    # so router 2 also settles in the ledger. When router 1 resumes and settles,
    # those 30 tokens must be billed once.
    after = _after(
        _GRANT, _PART, _PART, ledger.Settle("r1:x:1", 50, {"r2:y:1": 30})
    )
    self.assertEqual(80, after["spent"])
    self.assertEqual(920, ledger.headroom(after))
    self.assertEqual({}, after["parts"])

  def test_rest_of_a_part_is_not_given_back_twice(self):
    # Router 1 learned that the part ended and spends its remainder, but its
    # reply was lost, so router 2 considers it gone and settles in the ledger.
    # If those 70 tokens were returned there too, they would be spent twice.
    after = _after(_GRANT, _PART)
    self.assertEqual((30, 370), (after["spent"], after["grants"]["r1:x:1"]))
    self.assertEqual(600, ledger.headroom(after))

  def test_stopping_holder_leaves_parts_to_their_holders(self):
    # Router 1 stops while router 2 still holds 100 of its 400 tokens: 300 are
    # returned at once, and router 2 settles the part later.
    stopped = _after(_GRANT, ledger.Release("r1:x:1", 50, {"r2:y:1": 100}))
    after = _after(
        _GRANT, ledger.Release("r1:x:1", 50, {"r2:y:1": 100}), _PART, _PART
    )
    self.assertEqual((50, 850), (stopped["spent"], ledger.headroom(stopped)))
    self.assertEqual((80, 920), (after["spent"], ledger.headroom(after)))
    self.assertEqual({}, after["grants"])

  def test_late_repeat_of_a_release_is_billed_once(self):
    # The reply to a stopping router's last write is lost in a long outage, and
    # it retries after many top-ups. Its 50 tokens are billed once.
    end = ledger.Release("r1:x:1", 50, {"r2:y:1": 100})
    top_ups = [ledger.TopUp(1, f"op-{i}") for i in range(100)]
    after = _after(_GRANT, end, *top_ups, end)
    self.assertEqual(50, after["spent"])

  def test_part_settled_before_its_holder_stops_leaves_no_grant(self):
    # Two routers stop at once, and the part is settled in the ledger before its
    # holder releases the grant. No empty grant may remain.
    after = _after(_GRANT, _PART, ledger.Release("r1:x:1", 50, {"r2:y:1": 100}))
    self.assertEqual((80, {}), (after["spent"], after["grants"]))


class WriterTest(testtools.TestCase):

  def test_many_changes_cost_one_write(self):
    async def go():
      kv, server = kvfake.make()
      async with kvfake.writing(kv) as writer:
        async with anyio.create_task_group() as tg:
          for i in range(40):
            key = ledger.key(f"b{i}")
            tg.start_soon(writer.submit, key, ledger.Create(100))
      return server.store.writes, len(server.store.entries)

    writes, keys = _run(go)
    self.assertEqual(40, keys)
    self.assertLessEqual(writes, 2)

  def test_cached_refusal_is_checked_against_the_kv(self):
    # The writer caches an exhausted budget and an operator tops it up. The next
    # grant must succeed: a refusal from the cache would be a false one.
    async def go():
      kv, server = kvfake.make()
      operator, _ = kvfake.share(server, "op")
      async with kvfake.writing(kv) as writer:
        key = ledger.key("b")
        await writer.submit(key, ledger.Create(100))
        await writer.submit(key, ledger.Grant("r:x:1", 100, 100, 1.0))
        await _write(operator, ledger.TopUp(500, "op-1"))
        after = await writer.submit(key, ledger.Grant("r:x:2", 100, 100, 1.0))
      return after

    self.assertIn("r:x:2", _run(go)["grants"])

  def test_posted_change_lands_after_an_outage(self):
    # The KV is down when an allotment ends. The settlement is kept and written
    # when the KV answers again; the budget is billed once.
    async def go():
      kv, server = kvfake.make()
      async with kvfake.writing(kv) as writer:
        key = ledger.key("b")
        await writer.submit(key, ledger.Create(100))
        await writer.submit(key, ledger.Grant("r:x:1", 100, 100, 1.0))
        server.change_faults({"down": True})
        writer.post(key, ledger.Settle("r:x:1", 40))
        await anyio.sleep(0.05)
        server.change_faults({"down": False, "lose_replies": 2})
        await writer.flush(2.0)
      return await ledger.read(kv, "b")

    after = _run(go)
    self.assertEqual((40, 60), (after["spent"], ledger.headroom(after)))
