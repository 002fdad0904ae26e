"""Idempotency records and catalogue writes against the in-process KV."""

import anyio
from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall import errors
from mustardfall import events
from mustardfall import idempotency
from mustardfall.bench import sample
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from mustardfall.catalogue import table
from mustardfall.kv import protocol
from mustardfall.util import clock
from tests import kvfake


class IdempotencyTest(testtools.TestCase):

  def test_retry_while_first_try_is_unfinished_is_told_may_have_run(self):
    # Router 1 crashed during the call and the record says "started". The
    # caller's retry reaches router 2, which must not send the call again and
    # answers "may have run".
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
    # The KV stores the claim and the reply is lost. The router reads the
    # record, finds its own claim and runs the call. No other router and no
    # second attempt on the same router may run it.
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
    # The KV stores the claim, the reply is lost and the KV goes down. The call
    # is not sent and the caller gets "not run". The claim is withdrawn when
    # the KV answers again, and the caller's retry runs.
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
    # refused with CatalogueConflictError and nothing is overwritten.
    async def go():
      kv, _ = kvfake.make()
      base = await store.apply(kv, sample.catalogue())
      spec = sample.catalogue()
      mine = model.CatalogueSpec(base=base, entries=spec.entries[:5])
      theirs = model.CatalogueSpec(base=base, entries=spec.entries[:7])
      await store.apply(kv, mine)
      try:
        await store.apply(kv, theirs)
      except errors.CatalogueConflictError:
        pass
      else:
        raise AssertionError("second apply was not refused")
      return await store.read(kv)

    _, found = anyio.run(go)
    self.assertEqual(5, len(found.entries))

  def test_apply_only_leaves_other_entries_alone(self):
    async def go():
      kv, _ = kvfake.make()
      await store.apply(kv, sample.catalogue())
      entry = sample.catalogue().entries[3].model_copy(update={"team": "new"})
      spec = model.CatalogueSpec(entries=[entry])
      revision = await store.apply(kv, spec, partial=True)
      return revision, await store.read(kv)

    revision, (kv_revision, found) = anyio.run(go)
    self.assertEqual(revision, kv_revision)
    self.assertEqual(20, len(found.entries))
    self.assertIn("new", [e.team for e in found.entries])
    self.assertEqual(2, len(found.customers))

  def test_apply_with_lost_reply_is_not_reported_as_conflict(self):
    # The transaction is committed and its reply is lost. The operator must be
    # informed that it was applied, and get the revision for the next edit.
    async def go():
      kv, server = kvfake.make()
      base = await store.apply(kv, sample.catalogue())
      spec = sample.catalogue()
      edit = model.CatalogueSpec(base=base, entries=spec.entries[:5])
      answer = server._reply

      def _lose_heads(body, wrote):
        server.faults.lose_replies = int(
            b"catalogue/head" in server.store.entries and wrote
        )
        return answer(body, wrote)

      server._reply = _lose_heads
      revision = await store.apply(kv, edit)
      server._reply = answer
      return revision, await store.read(kv)

    revision, (kv_revision, found) = anyio.run(go)
    self.assertEqual((revision, 5), (kv_revision, len(found.entries)))

  def test_change_while_pages_are_read_is_not_half_seen(self):
    # An operator changes the catalogue while a router that starts reads it page
    # by page. The router must not put a mixture of both revisions in force, and
    # must not ignore the change's events as old.
    async def go():
      kv, _ = kvfake.make()
      await store.apply(kv, sample.catalogue())
      edit = sample.catalogue().entries[0].model_copy(update={"team": "new"})
      pages = kv.get_pages
      edits = [edit]

      async def _get_pages(prefix, _):
        async for page in pages(prefix, 7):
          yield page
          if edits:
            spec = model.CatalogueSpec(entries=[edits.pop()])
            kv.get_pages = pages
            await store.apply(kv, spec, partial=True)
            kv.get_pages = _get_pages

      kv.get_pages = _get_pages
      return await store._read_snapshot(kv)

    found = anyio.run(go)
    teams = {e.name: e.team for e in found.entries}
    self.assertEqual("new", teams[sample.catalogue().entries[0].name])
    self.assertLessEqual(found.revision, found.kv_revision)


class TableTest(testtools.TestCase):

  def _follower(self):
    self.seen = []
    bus = events.Bus()
    bus.connect(events.Name.CATALOGUE_CHANGED, self.seen.append)
    return store.Follower(None, bus, clock.FakeClock(), 1.0)

  def _event(self, revision, entry, deleted=False):
    value = b"" if deleted else store._encode(entry)
    key = store.ENTRY_PREFIX + entry.name
    record = protocol.Record(key, value, revision, 1)
    return protocol.Event(deleted, record)

  def test_follower_never_goes_back_a_revision(self):
    # A late watch event or a stale read has an older revision; the router must
    # keep the newer one in force.
    follower = self._follower()
    spec = sample.catalogue()
    entry = spec.entries[0]
    self.assertTrue(follower.current.replace(9, spec.entries, table.NO_HEAD))
    follower.apply_event(
        self._event(12, entry.model_copy(update={"team": "new"}))
    )
    follower.apply_event(
        self._event(11, entry.model_copy(update={"team": "old"}))
    )
    follower.apply_event(self._event(10, entry, deleted=True))
    self.assertFalse(follower.current.replace(8, [], table.NO_HEAD))
    self.assertEqual(12, follower.current.revision)
    self.assertEqual("new", follower.current.find(entry.api_key).team)

  def test_changed_key_and_removed_entry_are_refused(self):
    # An API key that was replaced or removed must not use its budget any more.
    follower = self._follower()
    spec = sample.catalogue()
    first, second = spec.entries[:2]
    follower.current.replace(9, spec.entries, table.NO_HEAD)
    rekeyed = first.model_copy(update={"api_key": "sk-another-one"})
    follower.apply_event(self._event(10, rekeyed))
    follower.apply_event(self._event(11, second, deleted=True))
    find = follower.current.find
    self.assertIsNone(find(first.api_key))
    self.assertIsNone(find(second.api_key))
    self.assertEqual(first.name, find("sk-another-one").name)

  @given(
      st.lists(st.tuples(st.integers(0, 9), st.integers(0, 14)), max_size=40)
  )
  def test_table_finds_what_a_dict_would(self, changes):
    current = table.Table()
    entries = sample.catalogue().entries
    current.replace(1, entries[:5], table.NO_HEAD)
    expected = {e.api_key: e.name for e in entries[:5]}
    for revision, (at, key) in enumerate(changes, start=2):
      name = entries[at].name
      expected = {k: n for k, n in expected.items() if n != name}
      if key > 9:
        current.remove(revision, name)
        continue
      api_key = f"sk-{at}-{key}-key"
      expected[api_key] = name
      changed = entries[at].model_copy(update={"api_key": api_key})
      current.put(revision, changed)
    for api_key, name in expected.items():
      self.assertEqual(name, current.find(api_key).name)
    for entry in entries:
      found = current.find(entry.api_key)
      self.assertEqual(expected.get(entry.api_key), found and found.name)
