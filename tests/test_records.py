"""Idempotency records and catalogue writes against the in-process KV."""

import anyio
import testtools

from mustardfall import errors
from mustardfall import events
from mustardfall import idempotency
from mustardfall.bench import sample
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from tests import kvfake


class IdempotencyTest(testtools.TestCase):

  def test_retry_while_first_try_is_unfinished_is_told_may_have_run(self):
    # The caller's retry reaches router 2 while router 1's call is still
    # recorded as started (router 1 died mid-call): router 2 does not
    # send it again and answers "may have run".
    async def go():
      kv, _ = kvfake.make()
      async with kvfake.writing(kv) as writer:
        first = await idempotency.claim(writer, "e", "k", "router-1:1")
        second = await idempotency.claim(writer, "e", "k", "router-2:1")
      return first, second

    first, second = anyio.run(go)
    self.assertIsNone(first)
    self.assertEqual(idempotency.State.STARTED, second["state"])

  def test_claim_with_lost_reply_is_still_ours_once(self):
    # The claim's reply is lost after it landed; the router re-reads,
    # sees its own record, and runs the call; nobody else may, and
    # neither may a second try at the same router.
    async def go():
      kv, server = kvfake.make()
      server.faults.lose_replies = 1
      async with kvfake.writing(kv) as writer:
        mine = await idempotency.claim(writer, "e", "k", "router-1:1")
        again = await idempotency.claim(writer, "e", "k", "router-1:2")
        other = await idempotency.claim(writer, "e", "k", "router-2:1")
      return mine, again, other

    mine, again, other = anyio.run(go)
    self.assertIsNone(mine)
    self.assertIsNotNone(again)
    self.assertIsNotNone(other)

  def test_not_run_record_can_be_claimed_again(self):
    async def go():
      kv, _ = kvfake.make()
      async with kvfake.writing(kv) as writer:
        await idempotency.claim(writer, "e", "k", "router-1:1")
        outcome = idempotency.Finish("router-1:1", idempotency.State.NOT_RUN)
        await idempotency.finish(writer, "e", "k", outcome)
        return await idempotency.claim(writer, "e", "k", "router-2:1")

    self.assertIsNone(anyio.run(go))

  def test_claim_given_up_in_an_outage_does_not_block_the_retry(self):
    # The KV takes the claim, loses the reply and goes down, so the call
    # is not sent and the caller told "not run". The claim is taken back
    # when the KV answers again, and the caller's retry runs.
    async def go():
      kv, server = kvfake.make()
      server.change_faults({"lose_replies": 1, "down_after_loss": True})
      async with kvfake.writing(kv) as writer:
        try:
          await idempotency.claim(writer, "e", "k", "router-1:1")
        except errors.KvUnavailableError:
          server.change_faults({"down": False})
        await writer.flush(2.0)
        return await idempotency.claim(writer, "e", "k", "router-2:1")

    self.assertIsNone(anyio.run(go))


class CatalogueTest(testtools.TestCase):

  def test_racing_operators_one_wins_other_is_told(self):
    # Two operators edit from the same revision; the second apply is
    # refused with CatalogueRaceLostError and nothing is overwritten.
    async def go():
      kv, _ = kvfake.make()
      base = await store.apply(kv, sample.catalogue())
      spec = sample.catalogue()
      mine = model.CatalogueSpec(base=base, entries=spec.entries[:5])
      theirs = model.CatalogueSpec(base=base, entries=spec.entries[:7])
      await store.apply(kv, mine)
      try:
        await store.apply(kv, theirs)
      except errors.CatalogueRaceLostError:
        pass
      else:
        raise AssertionError("second apply was not refused")
      return await store.read(kv)

    _, found = anyio.run(go)
    self.assertEqual(5, len(found.entries))

  def test_follower_never_goes_back_a_revision(self):
    # A late watch event or stale read carries an older catalogue; the
    # router keeps the newer one in force.
    seen = []
    bus = events.Bus()
    bus.connect(events.Name.CATALOGUE_CHANGED, seen.append)
    follower = store.Follower(None, bus, 1.0)
    spec = sample.catalogue()
    self.assertTrue(follower.offer(9, spec))
    self.assertFalse(follower.offer(7, model.CatalogueSpec(entries=[])))
    self.assertEqual(9, follower.current.revision)
    self.assertEqual(1, len(seen))
