"""The client of the platform's store, against an emulated store."""

import json

import anyio
import testtools

from mustardfall import errors
from mustardfall import metrics
from mustardfall import overhead
from mustardfall.bench import fleet
from mustardfall.emulator import store as emulated
from mustardfall.kv import protocol
from mustardfall.platform import store as client_lib
from mustardfall.proxy import connection_pool
from mustardfall.proxy import http_client as http_client_lib
from mustardfall.util import clock as clock_lib


def with_store(test):
  """Runs a test method with an emulated store and a client of it."""

  def run(self):
    async def run_with_store():
      clock = clock_lib.SystemClock()
      server = emulated.Store(clock)
      port = fleet.free_port()
      http_client = http_client_lib.HttpClient(
          connection_pool.ConnectionPool(clock),
          overhead.Overhead(metrics.Instruments("r")),
      )
      client = client_lib.Store(f"127.0.0.1:{port}", http_client, clock)
      with anyio.fail_after(20):
        async with anyio.create_task_group() as tg:
          await tg.start(server.serve, port)
          await test(self, server, client)
          tg.cancel_scope.cancel()

    anyio.run(run_with_store)

  run.__name__ = test.__name__
  return run


async def _error_type(call, *args):
  try:
    await call(*args)
  except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
    return type(exc)
  return None


class StoreTest(testtools.TestCase):

  @with_store
  async def test_compare_and_swap(self, server, client):
    absent = [protocol.Compare("k", "VERSION", 0)]
    first = await client.txn(absent, [protocol.Put("k", b"1")])
    self.assertTrue(first.succeeded)
    second = await client.txn(absent, [protocol.Put("k", b"2")])
    self.assertFalse(second.succeeded)
    self.assertEqual([b"1"], [record.value for record in second.records])
    expected = [protocol.Compare("k", "MOD", first.revision)]
    third = await client.txn(expected, [protocol.Put("k", b"3")])
    self.assertTrue(third.succeeded)
    self.assertEqual(b"3", (await client.get("k")).value)
    self.assertIsNone(await client.get("none"))

  @with_store
  async def test_get_many_reads_32_keys_per_call(self, server, client):
    for number in range(0, 40, 2):
      server.put(f"budget/{number:02}", {"n": number})
    revision, calls = server.revision, client.calls
    keys = [f"budget/{number:02}" for number in range(40)]
    found = await client.get_many(keys)
    self.assertEqual(keys[::2], sorted(found))
    self.assertEqual({"n": 4}, json.loads(found["budget/04"].value))
    self.assertEqual({}, await client.get_many(["none/1", "none/2"]))
    self.assertEqual(3, client.calls - calls)
    self.assertEqual(revision, server.revision)

  @with_store
  async def test_get_prefix_reads_all_pages(self, server, client):
    for number in range(120):
      server.put(f"p/{number:03}", {})
    _, records = await client.get_prefix("p/")
    self.assertEqual(120, len(records))

  @with_store
  async def test_odd_item_does_not_hide_others(self, server, client):
    """Guards against a list that cannot be read for the sake of one item."""
    odd = [
        {"key": "list/b", "value": "not base64!", "rev": 4},
        {"key": "list/c", "value": 3, "rev": 4},
        {"key": "list/d", "value": "e30=", "rev": "4"},
        {"key": 5, "value": "e30=", "rev": 4},
        "no item",
        None,
    ]
    server.put("list/a", {"n": 1})
    server.put("list/z", {"n": 2})
    for item in (*odd, odd):
      server.odd_items = item if isinstance(item, list) else [item]
      _, records = await client.get_prefix("list/")
      found = {r.key: r.value for r in records}
      self.assertEqual(b'{"n": 1}', found["list/a"])
      self.assertEqual(b'{"n": 2}', found["list/z"])
      others = {key: found[key] for key in found if key[5:] not in "az"}
      self.assertEqual({b""}, set(others.values()) | {b""})
      _, events = await client.poll("list/", 0, 0.2)
      keys = [event.record.key for event in events]
      found = [key for key in keys if key[5:] in "az"]
      self.assertEqual(["list/a", "list/z"], found)

  @with_store
  async def test_watch_continues_after_a_read_and_fails_once_compacted(
      self, server, client
  ):
    revision, _ = await client.get_prefix("w/")
    server.put("w/a", {})
    server.remove("w/a")
    seen = []
    async for event in client.watch("w/", revision + 1, 0.2):
      seen.append((event.record.key, event.deleted))
      if len(seen) == 2:
        break
    self.assertEqual(("w/a", True), seen[-1])
    server.compact_history()

    async def next_event():
      async for _ in client.watch("w/", revision + 1, 0.2):
        return

    self.assertIs(errors.KvUnavailableError, await _error_type(next_event))

  @with_store
  async def test_lost_response_leaves_the_outcome_of_a_write_unknown(
      self, server, client
  ):
    # The store executes the write, but the response is lost. The caller must
    # not assume that the write had no effect.
    server.faults.lose_responses = 1
    put = [protocol.Put("k", b"1")]
    self.assertIs(errors.KvUnknownError, await _error_type(client.txn, [], put))
    self.assertEqual(b"1", (await client.get("k")).value)

  @with_store
  async def test_calls_fail_fast_while_the_store_is_unreachable(
      self, server, client
  ):
    # The store does not respond. After two timeouts, calls on behalf of
    # requests fail immediately, until a call of a follower succeeds.
    server.faults.failure_mode = "silent"
    for _ in range(2):
      await _error_type(client.get, "k")
    with anyio.fail_after(0.1):
      error = await _error_type(client.txn, [], [protocol.Put("k", b"1")])
    self.assertIs(errors.KvUnavailableError, error)
    self.assertFalse(client.reachable)
    server.faults.failure_mode = ""
    await client.get_prefix("x/")
    self.assertTrue(client.reachable)
    self.assertIsNone(await _error_type(client.put, "k", b"1"))

  @with_store
  async def test_revoked_lease_deletes_its_keys(self, server, client):
    lease = await client.grant_lease(1)
    await client.put("m/a", b"1", lease)
    self.assertTrue(await client.keep_alive(lease) >= 1)
    await client.revoke_lease(lease)
    self.assertIsNone(await client.get("m/a"))
    self.assertEqual(0, await client.keep_alive(lease))
    put = [protocol.Put("m/a", b"1", lease)]
    error = await _error_type(client.txn, [], put)
    self.assertIs(errors.KvUnavailableError, error)
