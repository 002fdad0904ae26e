"""Whole paths through one gateway before the emulated platform."""

import functools

import anyio
import h11
import testtools

from mustardfall import errors
from mustardfall.budget import ledger
from tests import platformcase


def in_world(**kwargs):
  """Runs a test method inside `platformcase.running(**kwargs)`."""

  def decorate(test):
    @functools.wraps(test)
    def run(self):
      async def go():
        with anyio.fail_after(30):
          async with platformcase.running(**kwargs) as world:
            await test(self, world)

      anyio.run(go)

    return run

  return decorate


def spent(world) -> int:
  """Returns what the budget's holders have used, by the ledger and rows."""
  rows = world.gateway.accounts.pool.table.rows.values()
  own = sum(row.used for row in rows)
  found = world.store.read(ledger.key("acme")) or {"spent": 0, "billed": {}}
  held = sum(found.get("billed", {}).values())
  return found["spent"] - held + own


async def save_up_second_sends(world):
  """Has the router serve some requests, which pay for second sends."""
  for n in range(24):
    answer = await world.call("/look/a", f"paid{n}")
    assert answer.status == 200  # noqa: PLR2004


class PlainTest(testtools.TestCase):

  @in_world()
  async def test_answer_comes_back_unchanged(self, world):
    answer = await world.call("/look/a?b=c", "r1")
    self.assertEqual((200, b"i-1 /look/a?b=c"), (answer.status, answer.body))
    self.assertEqual("r1", answer.headers["request-id"])
    self.assertEqual("signed-by-i-1", answer.headers["response-signature"])

  @in_world()
  async def test_headers_of_the_router_never_come_from_a_caller(self, world):
    # A caller forges the headers that name its team, reach another
    # request's memory or jump the queue. The server must see the router's
    # own or none, and never the caller's key.
    forged = {"tenant": "rich", "hold": "h", "pin_ms": "9", "kv_from": "a/b"}
    forged |= {"kv_backup": "a", "kv_fetch": "a", "request_priority": "0"}
    forged |= {"expect_version": "3", "expect_instance": "i-9"}
    await world.call("/look/a", "r1", connection="request-id, model", **forged)
    seen = world.servers["i-1"].seen[0].headers
    self.assertEqual("acme", seen["tenant"])
    self.assertEqual("i-1", seen["expect-instance"])
    self.assertEqual("r1", seen["request-id"])
    for name in ("hold", "pin-ms", "kv-from", "kv-backup", "kv-fetch"):
      self.assertNotIn(name, seen)
    self.assertNotIn("credential", seen)
    self.assertNotIn("request-priority", seen)
    self.assertNotIn("expect-version", seen)
    self.assertTrue(0 < int(seen["deadline-ms"]) <= 2000)

  @in_world()
  async def test_unknown_key_and_unknown_route(self, world):
    self.assertEqual(404, (await world.call("/nowhere/", "r1")).status)
    answer = await world.call("/look/a", "r2", credential="nobody's")
    self.assertEqual(401, answer.status)
    self.assertEqual([], world.servers["i-1"].seen)

  @in_world(servers=("i-1", "i-2"))
  async def test_refused_request_goes_to_another_server(self, world):
    # One server is full and says that it did not run the request. Even a
    # request that may run once goes to the other, where attempts allow.
    await save_up_second_sends(world)
    world.servers["i-1"].behaviour.not_run = True
    world.servers["i-2"].behaviour.not_run = True
    answer = await world.call("/book/a", "r1")
    self.assertEqual(503, answer.status)
    self.assertIn("retry-after", answer.headers)
    world.servers["i-2"].behaviour.not_run = False
    for n in range(4):
      answer = await world.call("/book/a", f"s{n}")
      self.assertEqual(200, answer.status)

  @in_world()
  async def test_lost_answer_of_an_unsafe_request_is_no_refusal(self, world):
    # The server runs a booking and its connection breaks before the
    # answer. Told 503 the caller would book again; 502 promises nothing.
    world.servers["i-1"].behaviour.reset_after_events = 0
    answer = await world.call("/book/a", "r1")
    self.assertEqual(502, answer.status)
    self.assertEqual(1, len(world.servers["i-1"].seen))

  @in_world(servers=("i-1", "i-2"))
  async def test_lost_answer_of_a_safe_request_is_fetched_again(self, world):
    world.servers["i-1"].behaviour.reset_after_events = 0
    for n in range(4):
      answer = await world.call("/look/a", f"r{n}")
      self.assertEqual((200, b"i-2 /look/a"), (answer.status, answer.body))

  @in_world()
  async def test_answer_of_another_request_is_passed_over(self, world):
    # An answer that nobody waits for any more arrives where this one's is
    # expected; the caller must get its own, which follows.
    world.servers["i-1"].behaviour.foreign_response_first = True
    answer = await world.call("/book/a", "r1")
    self.assertEqual(b"i-1 /book/a", answer.body)

  @in_world()
  async def test_second_answer_spoils_the_connection_only(self, world):
    # The server sends a second answer after the first. Left on a kept
    # connection it would be read as the next request's.
    world.servers["i-1"].behaviour.extra_response = True
    for n in range(3):
      answer = await world.call("/book/a", f"r{n}")
      self.assertEqual(b"i-1 /book/a", answer.body)
      await anyio.sleep(0.02)
    self.assertEqual(3, world.servers["i-1"].connections)

  @in_world()
  async def test_unsigned_or_encoded_success_is_not_passed_on(self, world):
    for field in ("unsigned", "encoded"):
      setattr(world.servers["i-1"].behaviour, field, True)
      answer = await world.call("/book/a", field)
      self.assertEqual(502, answer.status)
      self.assertNotIn("response-signature", answer.headers)
      setattr(world.servers["i-1"].behaviour, field, False)

  @in_world()
  async def test_answer_without_length_is_whole_at_the_close(self, world):
    world.servers["i-1"].behaviour.close_delimited = True
    answer = await world.call("/book/a", "r1")
    self.assertEqual((200, b"i-1 /book/a"), (answer.status, answer.body))

  @in_world()
  async def test_server_that_is_another_is_not_asked_again(self, world):
    # The address of a server that is gone is another's now. It answers
    # 421 and the entry is dropped; the request did not run.
    listed = world.gateway.directory.endpoints.rows["i-1"].url
    world.list_server("i-old", int(listed.rpartition(":")[2]))
    rows = world.gateway.directory.endpoints.rows
    await world.until(lambda: "i-old" in rows)
    world.store.remove("servers/i-old")
    for n in range(6):
      await world.call("/book/a", f"r{n}")
    self.assertNotIn("i-old", rows)

  @in_world()
  async def test_caller_that_leaves_ends_the_work(self, world):
    # The caller closes while its answer is awaited. The server must see
    # the close soon, or it works for nobody.
    world.servers["i-1"].behaviour.response_delay_s = 5.0
    async with world.caller() as caller:
      await caller.send("/look/a", "r1")
      await world.until(lambda: world.servers["i-1"].seen)
    await world.until(lambda: world.servers["i-1"].seen[0].cancelled, 0.5)

  @in_world()
  async def test_silent_server_is_answered_for_at_the_timeout(self, world):
    world.servers["i-1"].behaviour.response_delay_s = 5.0
    with anyio.fail_after(1.0):
      answer = await world.call("/book/a", "r1", deadline_ms="400")
    self.assertEqual(504, answer.status)


class StreamTest(testtools.TestCase):

  USAGE = {"token_usage": "1000,100", "model": "m"}

  @in_world()
  async def test_stream_is_billed_for_what_was_delivered(self, world):
    world.servers["i-1"].behaviour.events = 5
    answer = await world.call("/once/a", "r1", **self.USAGE)
    self.assertTrue(answer.whole)
    self.assertEqual(5, answer.body.count(b"data: x"))
    await world.until(lambda: spent(world) == 1000 + 5 * 4)

  @in_world(servers=("i-1", "i-2"))
  async def test_broken_stream_goes_on_at_another_server(self, world):
    # A server stops in the middle of the third event. The rest comes from
    # another one, within the same answer; no event is missing or doubled.
    await save_up_second_sends(world)
    for server in world.servers.values():
      server.behaviour.events = 6
    world.servers["i-1"].behaviour.reset_after_events = 2
    world.servers["i-1"].behaviour.partial_event = True
    for n in range(4):
      answer = await world.call("/text/a", f"r{n}", **self.USAGE)
      ids = [
          int(i)
          for i in answer.body.decode().split("id: ")[1:]
          for i in [i.split("\n")[0]]
      ]
      self.assertEqual((True, [1, 2, 3, 4, 5, 6]), (answer.whole, ids))

  @in_world()
  async def test_broken_stream_that_may_not_resume_does_not_look_whole(
      self, world
  ):
    world.servers["i-1"].behaviour.events = 6
    world.servers["i-1"].behaviour.reset_after_events = 2
    answer = await world.call("/once/a", "r1", **self.USAGE)
    self.assertEqual((200, False), (answer.status, answer.whole))
    self.assertEqual(1, len(world.servers["i-1"].seen))

  @in_world(prepaid=5_000)
  async def test_budget_is_never_passed_and_says_when_it_is_used_up(
      self, world
  ):
    # Each stream uses 1,020 of 5,000 tokens; what it may use at most is
    # 1,100. The fifth does not fit, and nothing can come back: 402.
    world.servers["i-1"].behaviour.events = 5
    statuses = []
    for n in range(6):
      answer = await world.call("/once/a", f"r{n}", **self.USAGE)
      statuses.append(answer.status)
    self.assertEqual([200] * 4, statuses[:4])
    self.assertNotIn(200, statuses[4:])
    self.assertEqual(402, statuses[-1])
    self.assertEqual(4, len(world.servers["i-1"].seen))

  @in_world(prepaid=2_000)
  async def test_top_up_takes_effect(self, world):
    world.servers["i-1"].behaviour.events = 5
    await world.call("/once/a", "r1", **self.USAGE)
    refused = await world.call("/once/a", "r2", **self.USAGE)
    self.assertIn(refused.status, (402, 429))
    world.configure(version=5, prepaid=9_000)
    known = world.gateway.directory
    await world.until(lambda: known.configuration.version == 5)
    await anyio.sleep(0.5)
    answer = await world.call("/once/a", "r3", **self.USAGE)
    self.assertEqual(200, answer.status)


class StoreTroubleTest(testtools.TestCase):

  @in_world()
  async def test_requests_go_on_while_the_store_is_silent(self, world):
    # The store stops answering for good. What is held of the budget is
    # still used, plain requests go on, and what the budget cannot cover
    # is refused quickly, not after the store's timeouts.
    world.servers["i-1"].behaviour.events = 5
    await world.call("/once/a", "r0", **StreamTest.USAGE)
    world.store.faults.down = "silent"
    await anyio.sleep(0.8)
    answer = await world.call("/once/a", "r1", **StreamTest.USAGE)
    self.assertEqual(200, answer.status)
    self.assertEqual(200, (await world.call("/look/a", "r2")).status)
    with anyio.fail_after(1.0):
      usage = {"token_usage": "80000,100", "model": "m"}
      answer = await world.call("/once/a", "r3", **usage)
    self.assertEqual(429, answer.status)
    # Not at once again: the store is still away then. A third of its time.
    self.assertTrue(0.7 <= float(answer.headers["retry-after"]) <= 1.5)

  @in_world()
  async def test_stale_configuration_denies_nothing_for_good(self, world):
    """Guards against a 404 for a route that was added while out of touch."""
    world.store.faults.down = "busy"
    await anyio.sleep(2.5)
    for path, key in (("/nowhere/", platformcase.KEY), ("/look/a", "new")):
      answer = await world.call(path, f"r{key}", credential=key)
      self.assertEqual(503, answer.status)
      self.assertTrue(0.0 < float(answer.headers["retry-after"]) <= 2.0)
    world.store.faults.down = ""
    current = world.gateway.directory
    await world.until(lambda: current.unconfirmed_s < 1.0)
    self.assertEqual(404, (await world.call("/nowhere/", "r9")).status)

  @in_world()
  async def test_lost_and_late_write_grants_once(self, world):
    # The store does a grant's write and its answer is lost, or does it
    # seconds later. The tokens must not be granted twice.
    world.servers["i-1"].behaviour.events = 5
    for apply_delay_s in (0.0, 0.2):
      world.store.faults.lose_responses = 1
      world.store.faults.apply_delay_s = apply_delay_s
      for n in range(4):
        await world.call("/once/a", f"r{apply_delay_s}{n}", **StreamTest.USAGE)
    await anyio.sleep(0.5)
    found = world.store.read(ledger.key("acme"))
    rows = world.gateway.accounts.pool.table.rows
    for gid in found["grants"]:
      if gid in rows:
        self.assertEqual(ledger.granted(found, gid), rows[gid].granted)
    self.assertTrue(ledger.headroom(found) >= 0)

  @in_world()
  async def test_configuration_never_goes_back(self, world):
    world.configure(version=9, prepaid=1)
    known = world.gateway.directory
    await world.until(lambda: known.configuration.version == 9)
    world.configure(version=4)
    world.store.compact_history()
    await anyio.sleep(1.0)
    self.assertEqual(9, known.configuration.version)

  @in_world()
  async def test_change_is_in_force_after_the_history_was_dropped(self, world):
    # The store drops its history while a watch waits; the watch is told
    # that it cannot go on, and the change must be found by a read.
    world.store.compact_history()
    world.configure(version=3)
    known = world.gateway.directory
    await world.until(lambda: known.configuration.version == 3, 2.0)


class EdgeTest(testtools.TestCase):

  async def _raw(self, world, data: bytes) -> bytes:
    async with await anyio.connect_tcp("127.0.0.1", world.port) as stream:
      await stream.send(data)
      try:
        return await stream.receive()
      except anyio.EndOfStream:
        return b""

  @in_world()
  async def test_ambiguous_requests_reach_no_server(self, world):
    # Two programs could read these differently; a server that does would
    # run a request that is hidden inside another.
    head = (
        "POST /look/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r\r\n"
        "credential: key-of-acme\r\n"
    )
    for rest in (
        "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n\r\nabc",
        "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "x: a\r\n b\r\ncontent-length: 0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "request-id: s\r\ncontent-length: 0\r\n\r\n",
        "bad header: x\r\n\r\n",
    ):
      got = await self._raw(world, (head + rest).encode())
      self.assertTrue(got.startswith(b"HTTP/1.1 4"), (rest, got))
    self.assertEqual([], world.servers["i-1"].seen)

  @in_world()
  async def test_request_without_id_or_too_large(self, world):
    bare = b"GET /look/a HTTP/1.1\r\nhost: shop.example\r\n\r\n"
    self.assertIn(b" 400 ", await self._raw(world, bare))
    long = b"GET /look/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r\r\n"
    long += b"x: " + b"y" * 9000 + b"\r\n\r\n"
    self.assertIn(b" 431 ", await self._raw(world, long))
    answer = await world.call("/look/a", "r1", body=b"x" * 70_000)
    self.assertEqual(413, answer.status)
    self.assertEqual([], world.servers["i-1"].seen)

  @in_world()
  async def test_connection_is_kept_and_requests_may_be_queued_on_it(
      self, world
  ):
    async with world.caller() as caller:
      for n in range(3):
        await caller.send("/look/a", f"r{n}", b"abc")
        answer = await caller.receive()
        self.assertEqual(f"r{n}", answer.headers["request-id"])
    get = "GET /look/{0} HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {0}\r\n"
    get += "credential: key-of-acme\r\n\r\n"
    async with await anyio.connect_tcp("127.0.0.1", world.port) as stream:
      await stream.send((get.format("p1") + get.format("p2")).encode())
      parser = h11.Connection(h11.CLIENT)
      received = b""
      with anyio.fail_after(2.0):
        while received.count(b"/look/p2") < 1:
          received += await stream.receive()
      self.assertTrue(received.index(b"/look/p1") < received.index(b"/look/p2"))
      del parser

  @in_world()
  async def test_stop_finishes_what_is_in_flight(self, world):
    # The platform stops the process while a booking is at work. Its caller
    # gets the answer, and is told that the connection closes.
    world.servers["i-1"].behaviour.response_delay_s = 0.6
    async with world.caller() as caller:
      await caller.send("/book/a", "r1")
      await world.until(lambda: world.servers["i-1"].seen)
      world.stop.set()
      await anyio.sleep(0.1)
      self.assertFalse(world.gateway.ready)
      answer = await caller.receive()
    self.assertEqual((200, True), (answer.status, answer.whole))


class StopTest(testtools.TestCase):

  @in_world()
  async def test_long_stream_is_given_most_of_the_time_to_stop(self, world):
    # A long stream has just begun when the platform stops the process. It
    # must come to its end in the time that the platform gives; keeping much
    # of that for handing budgets back cut the stream in the middle.
    behaviour = world.servers["i-1"].behaviour
    behaviour.events, behaviour.event_interval_s = 15, 0.1
    async with world.caller() as caller:
      await caller.send("/once/a", "r1", **StreamTest.USAGE)
      await world.until(lambda: world.servers["i-1"].seen)
      world.stop.set()
      answer = await caller.receive()
    self.assertEqual((200, True), (answer.status, answer.whole))

  @in_world()
  async def test_stop_ends_in_time_while_the_store_is_silent(self, world):
    # The store answers nothing and the platform stops the process. Budgets
    # cannot be handed back, and the process must not wait for that until
    # it is killed: its callers' connections would be cut with it.
    world.servers["i-1"].behaviour.events = 5
    await world.call("/once/a", "r1", **StreamTest.USAGE)
    world.store.faults.down = "silent"
    started = anyio.current_time()
    world.stop.set()
    await world.until(lambda: world.ended, 6.0)
    self.assertTrue(anyio.current_time() - started < 3.0)


class RelayTest(testtools.TestCase):

  def test_configuration_and_servers_reach_a_router_that_the_store_refuses(
      self,
  ):
    # The store refuses one host and serves the others. A key is revoked
    # and a server leaves meanwhile. Through another router the refused one
    # knows both within a second or two, and acts on them.
    async def go():
      async with platformcase.running(servers=("i-1", "i-2")) as world:
        other = await world.add_gateway("front-2")
        await world.until(lambda: len(other.accounts.members.lives) == 2)
        world.store.faults.rejected_hosts.add("front-2")
        await anyio.sleep(0.6)
        world.configure(version=7, prepaid=5)
        world.store.remove("servers/i-2")
        known = other.directory
        await world.until(lambda: known.configuration.version == 7)
        await world.until(lambda: "i-2" not in known.endpoints.rows)

    async def bounded():
      with anyio.fail_after(20):
        await go()

    anyio.run(bounded)


class OwnerTest(testtools.TestCase):

  def test_stand_in_for_an_owner_takes_only_what_it_needs(self):
    # The router that owns a budget does not answer, and another takes a
    # grant in its place. A whole store of tokens there would lie idle once
    # the owner is back: idle tokens in the wrong place are false refusals.
    async def go():
      with anyio.fail_after(20):
        async with platformcase.running(servers=("i-1",)) as world:
          world.servers["i-1"].behaviour.events = 5
          other = await world.add_gateway("front-2")
          gateways = (world.gateway, other)
          await world.until(
              lambda: all(len(g.accounts.members.lives) == 2 for g in gateways)
          )
          owner = world.gateway.accounts.members.owner("acme").life
          asker = [g for g in gateways if g.accounts.members.me.life != owner]
          pool = asker[0].accounts.pool
          # What it took while it was the only router goes back first.
          await world.until(lambda: not pool.table.by_budget.get("acme"))
          asker[0].accounts.peers._send = _no_answer
          found = await pool.reserve("acme", 1100, "acme")
          self.assertIsNotNone(found)
          rows = pool.table.rows.values()
          self.assertEqual([1100], [row.granted for row in rows])

    anyio.run(go)


async def _no_answer(url, body, timeout_s):
  raise errors.PeerUnavailableError("no answer")


class ReadyTest(testtools.TestCase):

  def test_not_ready_before_callers_can_connect(self):
    # The balancer asks, is told that the router is ready, and sends a
    # caller whose connection is refused: the configuration was known
    # before the callers' port was open.
    async def go():
      seen = []
      listen = anyio.create_tcp_listener

      async def _slow(**kwargs):
        if world_port and kwargs["local_port"] == world_port[0]:
          await anyio.sleep(0.5)
          seen.append(gateways[0].ready)
        return await listen(**kwargs)

      world_port, gateways = [], []
      anyio.create_tcp_listener = _slow
      try:
        async with platformcase.running(
            started=lambda g: (
                gateways.append(g),
                world_port.append(g.config.listen.port),
            )
        ):
          pass
      finally:
        anyio.create_tcp_listener = listen
      self.assertEqual([False], seen)

    anyio.run(go)
