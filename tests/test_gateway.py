"""End-to-end tests of a gateway on the emulated platform."""

import functools

import anyio
import h11
import testtools

from mustardfall import errors
from mustardfall.budget import ledger
from tests import platformcase


def in_environment(**kwargs):
  """Runs a test method inside `platformcase.running(**kwargs)`."""

  def decorate(test):
    @functools.wraps(test)
    def run(self):
      async def go():
        with anyio.fail_after(30):
          async with platformcase.running(**kwargs) as env:
            await test(self, env)

      anyio.run(go)

    return run

  return decorate


def tokens_spent(env) -> int:
  """Returns the tokens used of the budget, by the ledger and by the gateway.

  Usage that the gateway has reported to the ledger is counted once.
  """
  rows = env.gateway.accounts.pool.table.rows.values()
  own = sum(row.used for row in rows)
  found = env.store.read(ledger.key("acme")) or {"spent": 0, "billed": {}}
  held = sum(found.get("billed", {}).values())
  return found["spent"] - held + own


async def fill_retry_budget(env, gateway=None):
  """Makes requests that succeed, each of which adds to the retry budget."""
  for n in range(24):
    response = await env.call("/look/a", f"paid{n}", gateway)
    assert response.status == 200  # noqa: PLR2004


class PlainTest(testtools.TestCase):

  @in_environment()
  async def test_response_is_passed_on_unchanged(self, env):
    response = await env.call("/look/a?b=c", "r1")
    self.assertEqual(
        (200, b"i-1 /look/a?b=c"), (response.status, response.body)
    )
    self.assertEqual("r1", response.headers["request-id"])
    self.assertEqual("signed-by-i-1", response.headers["response-signature"])

  @in_environment()
  async def test_callers_cannot_set_the_headers_of_the_router(self, env):
    # A caller forges headers that name its team, access the KV cache of another
    # request, or raise its priority. The server must see the router's values or
    # none, and never the caller's API key.
    forged = {"tenant": "rich", "hold": "h", "pin_ms": "9", "kv_from": "a/b"}
    forged |= {"kv_backup": "a", "kv_fetch": "a", "request_priority": "0"}
    forged |= {"expect_version": "3", "expect_instance": "i-9"}
    await env.call("/look/a", "r1", connection="request-id, model", **forged)
    seen = env.servers["i-1"].received[0].headers
    self.assertEqual("acme", seen["tenant"])
    self.assertEqual("i-1", seen["expect-instance"])
    self.assertEqual("r1", seen["request-id"])
    for name in ("hold", "pin-ms", "kv-from", "kv-backup", "kv-fetch"):
      self.assertNotIn(name, seen)
    self.assertNotIn("credential", seen)
    self.assertNotIn("request-priority", seen)
    self.assertNotIn("expect-version", seen)
    self.assertTrue(0 < int(seen["deadline-ms"]) <= 2000)

  @in_environment()
  async def test_unknown_key_and_unknown_route(self, env):
    self.assertEqual(404, (await env.call("/nowhere/", "r1")).status)
    response = await env.call("/look/a", "r2", credential="nobody's")
    self.assertEqual(401, response.status)
    self.assertEqual([], env.servers["i-1"].received)

  @in_environment(servers=("i-1", "i-2"))
  async def test_refused_request_goes_to_another_server(self, env):
    # A server is full and reports that it did not run the request. Even a
    # request that must not run twice may then be sent to the other server, as
    # far as the route's attempts allow.
    await fill_retry_budget(env)
    env.servers["i-1"].behaviour.not_run = True
    env.servers["i-2"].behaviour.not_run = True
    response = await env.call("/book/a", "r1")
    self.assertEqual(503, response.status)
    self.assertIn("retry-after", response.headers)
    env.servers["i-2"].behaviour.not_run = False
    for n in range(4):
      response = await env.call("/book/a", f"s{n}")
      self.assertEqual(200, response.status)

  @in_environment()
  async def test_lost_response_of_an_unsafe_request_gets_502(self, env):
    # The server runs a booking and the connection breaks before the response.
    # After a 503 the caller would book again; 502 leaves open whether it ran.
    env.servers["i-1"].behaviour.reset_after_events = 0
    response = await env.call("/book/a", "r1")
    self.assertEqual(502, response.status)
    self.assertEqual(1, len(env.servers["i-1"].received))

  @in_environment(servers=("i-1", "i-2"))
  async def test_safe_request_with_a_lost_response_is_retried(self, env):
    env.servers["i-1"].behaviour.reset_after_events = 0
    for n in range(4):
      response = await env.call("/look/a", f"r{n}")
      self.assertEqual((200, b"i-2 /look/a"), (response.status, response.body))

  @in_environment()
  async def test_response_to_another_request_is_skipped(self, env):
    # A late response to an earlier request arrives first. The caller must get
    # the response to its own request, which follows.
    env.servers["i-1"].behaviour.foreign_response_first = True
    response = await env.call("/book/a", "r1")
    self.assertEqual(b"i-1 /book/a", response.body)

  @in_environment()
  async def test_connection_with_a_second_response_is_not_reused(self, env):
    # The server sends a second response after the first. On a reused connection
    # it would be taken for the response to the next request.
    env.servers["i-1"].behaviour.extra_response = True
    for n in range(3):
      response = await env.call("/book/a", f"r{n}")
      self.assertEqual(b"i-1 /book/a", response.body)
      await anyio.sleep(0.02)
    self.assertEqual(3, env.servers["i-1"].connections)

  @in_environment()
  async def test_unsigned_or_encoded_success_is_not_passed_on(self, env):
    for field in ("unsigned", "encoded"):
      setattr(env.servers["i-1"].behaviour, field, True)
      response = await env.call("/book/a", field)
      self.assertEqual(502, response.status)
      self.assertNotIn("response-signature", response.headers)
      setattr(env.servers["i-1"].behaviour, field, False)

  @in_environment()
  async def test_response_without_length_is_complete_at_the_close(self, env):
    env.servers["i-1"].behaviour.close_delimited = True
    response = await env.call("/book/a", "r1")
    self.assertEqual((200, b"i-1 /book/a"), (response.status, response.body))

  @in_environment()
  async def test_misdirected_endpoint_is_dropped(self, env):
    # The address of a removed server now belongs to another one, which responds
    # with 421. The request did not run, and the entry must be dropped.
    listed = env.gateway.directory.endpoints.rows["i-1"].url
    env.list_server("i-old", int(listed.rpartition(":")[2]))
    rows = env.gateway.directory.endpoints.rows
    await env.wait_until(lambda: "i-old" in rows)
    env.store.remove("servers/i-old")
    for n in range(6):
      await env.call("/book/a", f"r{n}")
    self.assertNotIn("i-old", rows)

  @in_environment()
  async def test_request_is_cancelled_when_its_caller_disconnects(self, env):
    # The caller disconnects before the response. The server must soon see its
    # connection closed, so that it can abort the work.
    env.servers["i-1"].behaviour.response_delay_s = 5.0
    async with env.caller() as caller:
      await caller.send("/look/a", "r1")
      await env.wait_until(lambda: env.servers["i-1"].received)
    await env.wait_until(lambda: env.servers["i-1"].received[0].cancelled, 0.5)

  @in_environment()
  async def test_silent_server_gets_504_at_the_deadline(self, env):
    env.servers["i-1"].behaviour.response_delay_s = 5.0
    with anyio.fail_after(1.0):
      response = await env.call("/book/a", "r1", deadline_ms="400")
    self.assertEqual(504, response.status)


class StreamTest(testtools.TestCase):

  USAGE = {"token_usage": "1000,100", "model": "m"}

  @in_environment()
  async def test_stream_is_billed_for_what_was_delivered(self, env):
    env.servers["i-1"].behaviour.events = 5
    response = await env.call("/once/a", "r1", **self.USAGE)
    self.assertTrue(response.is_complete)
    self.assertEqual(5, response.body.count(b"data: x"))
    await env.wait_until(lambda: tokens_spent(env) == 1000 + 5 * 4)

  @in_environment(servers=("i-1", "i-2"))
  async def test_broken_stream_is_resumed_at_another_server(self, env):
    # A server breaks off in the middle of the third event. The rest must come
    # from another server in the same response, without missing or repeated
    # events.
    await fill_retry_budget(env)
    for server in env.servers.values():
      server.behaviour.events = 6
    env.servers["i-1"].behaviour.reset_after_events = 2
    env.servers["i-1"].behaviour.partial_event = True
    for n in range(4):
      response = await env.call("/text/a", f"r{n}", **self.USAGE)
      ids = [
          int(i)
          for i in response.body.decode().split("id: ")[1:]
          for i in [i.split("\n")[0]]
      ]
      self.assertEqual((True, [1, 2, 3, 4, 5, 6]), (response.is_complete, ids))

  @in_environment()
  async def test_broken_stream_of_a_route_without_resuming_is_cut_off(
      self, env
  ):
    env.servers["i-1"].behaviour.events = 6
    env.servers["i-1"].behaviour.reset_after_events = 2
    response = await env.call("/once/a", "r1", **self.USAGE)
    self.assertEqual((200, False), (response.status, response.is_complete))
    self.assertEqual(1, len(env.servers["i-1"].received))

  @in_environment(prepaid=5_000)
  async def test_budget_is_not_exceeded_and_gets_402_when_used_up(self, env):
    # Each stream uses 1,020 of 5,000 tokens and reserves 1,100. The fifth does
    # not fit, and no reservation is left to be returned: 402.
    env.servers["i-1"].behaviour.events = 5
    statuses = []
    for n in range(6):
      response = await env.call("/once/a", f"r{n}", **self.USAGE)
      statuses.append(response.status)
    self.assertEqual([200] * 4, statuses[:4])
    self.assertNotIn(200, statuses[4:])
    self.assertEqual(402, statuses[-1])
    self.assertEqual(4, len(env.servers["i-1"].received))

  @in_environment(prepaid=2_000)
  async def test_top_up_takes_effect(self, env):
    env.servers["i-1"].behaviour.events = 5
    await env.call("/once/a", "r1", **self.USAGE)
    refused = await env.call("/once/a", "r2", **self.USAGE)
    self.assertIn(refused.status, (402, 429))
    env.configure(version=5, prepaid=9_000)
    known = env.gateway.directory
    await env.wait_until(lambda: known.configuration.version == 5)
    await anyio.sleep(0.5)
    response = await env.call("/once/a", "r3", **self.USAGE)
    self.assertEqual(200, response.status)


class StoreTroubleTest(testtools.TestCase):

  @in_environment()
  async def test_requests_are_served_while_the_store_is_silent(self, env):
    # The store stops responding. Tokens that the router holds must still be
    # used, requests without tokens must succeed, and requests that the held
    # tokens cannot cover must be refused quickly, not after store timeouts.
    env.servers["i-1"].behaviour.events = 5
    await env.call("/once/a", "r0", **StreamTest.USAGE)
    env.store.faults.failure_mode = "silent"
    await anyio.sleep(0.8)
    response = await env.call("/once/a", "r1", **StreamTest.USAGE)
    self.assertEqual(200, response.status)
    self.assertEqual(200, (await env.call("/look/a", "r2")).status)
    with anyio.fail_after(1.0):
      usage = {"token_usage": "80000,100", "model": "m"}
      response = await env.call("/once/a", "r3", **usage)
    self.assertEqual(429, response.status)
    # The store is still unreachable then, so not immediately: a third of the
    # request's time.
    self.assertTrue(0.7 <= float(response.headers["retry-after"]) <= 1.5)

  @in_environment()
  async def test_stale_configuration_gets_503_for_unknown_routes_and_keys(
      self, env
  ):
    """Guards against a 404 for a route added while the store is unreachable."""
    env.store.faults.failure_mode = "busy"
    await anyio.sleep(2.5)
    for path, key in (("/nowhere/", platformcase.KEY), ("/look/a", "new")):
      response = await env.call(path, f"r{key}", credential=key)
      self.assertEqual(503, response.status)
      self.assertTrue(0.0 < float(response.headers["retry-after"]) <= 2.0)
    env.store.faults.failure_mode = ""
    current = env.gateway.directory
    await env.wait_until(lambda: current.unconfirmed_s < 1.0)
    self.assertEqual(404, (await env.call("/nowhere/", "r9")).status)

  @in_environment()
  async def test_lost_and_late_write_grants_once(self, env):
    # The store applies the write of a grant and its response is lost, or it
    # applies the write later. The tokens must not be granted twice.
    env.servers["i-1"].behaviour.events = 5
    for apply_delay_s in (0.0, 0.2):
      env.store.faults.lose_responses = 1
      env.store.faults.apply_delay_s = apply_delay_s
      for n in range(4):
        await env.call("/once/a", f"r{apply_delay_s}{n}", **StreamTest.USAGE)
    await anyio.sleep(0.5)
    found = env.store.read(ledger.key("acme"))
    rows = env.gateway.accounts.pool.table.rows
    for gid in found["grants"]:
      if gid in rows:
        self.assertEqual(ledger.granted(found, gid), rows[gid].granted)
    self.assertTrue(ledger.headroom(found) >= 0)

  @in_environment()
  async def test_configuration_never_goes_back(self, env):
    env.configure(version=9, prepaid=1)
    known = env.gateway.directory
    await env.wait_until(lambda: known.configuration.version == 9)
    env.configure(version=4)
    env.store.compact_history()
    await anyio.sleep(1.0)
    self.assertEqual(9, known.configuration.version)

  @in_environment()
  async def test_change_takes_effect_after_the_history_was_dropped(self, env):
    # The store drops its history during a watch. The watch fails, and the
    # change must be found by a read.
    env.store.compact_history()
    env.configure(version=3)
    known = env.gateway.directory
    await env.wait_until(lambda: known.configuration.version == 3, 2.0)


class EdgeTest(testtools.TestCase):

  async def _raw(self, env, data: bytes) -> bytes:
    async with await anyio.connect_tcp("127.0.0.1", env.port) as stream:
      await stream.send(data)
      try:
        return await stream.receive()
      except anyio.EndOfStream:
        return b""

  @in_environment()
  async def test_ambiguous_requests_reach_no_server(self, env):
    # Two programs could parse these requests differently. A server that does
    # would run a request hidden in the body (request smuggling).
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
      got = await self._raw(env, (head + rest).encode())
      self.assertTrue(got.startswith(b"HTTP/1.1 4"), (rest, got))
    self.assertEqual([], env.servers["i-1"].received)

  @in_environment()
  async def test_request_without_id_or_too_large(self, env):
    bare = b"GET /look/a HTTP/1.1\r\nhost: shop.example\r\n\r\n"
    self.assertIn(b" 400 ", await self._raw(env, bare))
    long = b"GET /look/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r\r\n"
    long += b"x: " + b"y" * 9000 + b"\r\n\r\n"
    self.assertIn(b" 431 ", await self._raw(env, long))
    response = await env.call("/look/a", "r1", body=b"x" * 70_000)
    self.assertEqual(413, response.status)
    self.assertEqual([], env.servers["i-1"].received)

  @in_environment()
  async def test_connections_are_reused_and_requests_pipelined(self, env):
    async with env.caller() as caller:
      for n in range(3):
        await caller.send("/look/a", f"r{n}", b"abc")
        response = await caller.receive()
        self.assertEqual(f"r{n}", response.headers["request-id"])
    get = "GET /look/{0} HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {0}\r\n"
    get += "credential: key-of-acme\r\n\r\n"
    async with await anyio.connect_tcp("127.0.0.1", env.port) as stream:
      await stream.send((get.format("p1") + get.format("p2")).encode())
      parser = h11.Connection(h11.CLIENT)
      received = b""
      with anyio.fail_after(2.0):
        while received.count(b"/look/p2") < 1:
          received += await stream.receive()
      self.assertTrue(received.index(b"/look/p1") < received.index(b"/look/p2"))
      del parser

  @in_environment()
  async def test_stop_finishes_requests_in_flight(self, env):
    # The platform stops the process while a booking is in flight. Its caller
    # must still get the response.
    env.servers["i-1"].behaviour.response_delay_s = 0.6
    async with env.caller() as caller:
      await caller.send("/book/a", "r1")
      await env.wait_until(lambda: env.servers["i-1"].received)
      env.stop.set()
      await anyio.sleep(0.1)
      self.assertFalse(env.gateway.ready)
      response = await caller.receive()
    self.assertEqual((200, True), (response.status, response.is_complete))


class HeadRequestTest(testtools.TestCase):

  @in_environment()
  async def test_refused_head_request_is_answered(self, env):
    """Guards against closing the connection instead of a response without body."""
    env.servers["i-1"].behaviour.response_delay_s = 3.0
    async with env.caller() as caller:
      for number, status, more in (
          (0, 401, {"credential": "unknown"}),
          (1, 404, {"host": "unknown.example"}),
          (2, 504, {"deadline_ms": "300"}),
          (3, 504, {"deadline_ms": "300"}),
      ):
        await caller.send("/look/a", f"h{number}", method="HEAD", **more)
        response = await caller.receive()
        seen = response.status, response.body, response.is_complete
        self.assertEqual((status, b"", True), seen)
        self.assertTrue(int(response.headers["content-length"]) > 0)

  @in_environment()
  async def test_head_request_with_an_oversized_body_is_answered(self, env):
    """Guards against the same where the request is rejected unread."""
    async with env.caller() as caller:
      await caller.send("/look/a", "h", b"x" * 70_000, method="HEAD")
      response = await caller.receive()
    self.assertEqual((413, True), (response.status, response.is_complete))


class StopTest(testtools.TestCase):

  @in_environment()
  async def test_long_stream_may_take_most_of_the_stop_timeout(self, env):
    # A long stream has just begun when the platform stops the process. It must
    # complete within the stop timeout. Reserving much of that time for
    # returning budgets cut the stream off.
    behaviour = env.servers["i-1"].behaviour
    behaviour.events, behaviour.event_interval_s = 15, 0.1
    async with env.caller() as caller:
      await caller.send("/once/a", "r1", **StreamTest.USAGE)
      await env.wait_until(lambda: env.servers["i-1"].received)
      env.stop.set()
      response = await caller.receive()
    self.assertEqual((200, True), (response.status, response.is_complete))

  @in_environment()
  async def test_stop_ends_in_time_while_the_store_is_silent(self, env):
    # The platform stops the process while the store does not respond. Budgets
    # cannot be returned, and the process must not wait for that until it is
    # killed, which would cut off its callers' connections.
    env.servers["i-1"].behaviour.events = 5
    await env.call("/once/a", "r1", **StreamTest.USAGE)
    env.store.faults.failure_mode = "silent"
    started = anyio.current_time()
    env.stop.set()
    await env.wait_until(lambda: env.gateway_stopped, 6.0)
    self.assertTrue(anyio.current_time() - started < 3.0)


class RelayTest(testtools.TestCase):

  def test_router_refused_by_the_store_gets_documents_from_another(
      self,
  ):
    # The store refuses one host and serves the others. Meanwhile the
    # configuration changes and a server is removed. The refused router must
    # learn of both from another router within seconds.
    async def go():
      async with platformcase.running(servers=("i-1", "i-2")) as env:
        other = await env.add_gateway("front-2")
        await env.wait_until(lambda: len(other.accounts.members.lives) == 2)
        env.store.faults.rejected_hosts.add("front-2")
        await anyio.sleep(0.6)
        env.configure(version=7, prepaid=5)
        env.store.remove("servers/i-2")
        known = other.directory
        await env.wait_until(lambda: known.configuration.version == 7)
        await env.wait_until(lambda: "i-2" not in known.endpoints.rows)

    async def bounded():
      with anyio.fail_after(20):
        await go()

    anyio.run(bounded)


class OwnerTest(testtools.TestCase):

  def test_fallback_for_an_owner_takes_only_what_it_needs(self):
    # The router that owns a budget does not respond, and another one takes a
    # grant in its place. It must take only what the request needs: a larger
    # grant would be idle once the owner is back, and the owner would have to
    # refuse requests that the budget covers.
    async def go():
      with anyio.fail_after(20):
        async with platformcase.running(servers=("i-1",)) as env:
          env.servers["i-1"].behaviour.events = 5
          other = await env.add_gateway("front-2")
          gateways = (env.gateway, other)
          await env.wait_until(
              lambda: all(len(g.accounts.members.lives) == 2 for g in gateways)
          )
          owner = env.gateway.accounts.members.owner("acme").life
          asker = [g for g in gateways if g.accounts.members.me.life != owner]
          pool = asker[0].accounts.pool
          # The grant that it took as the only router is returned first.
          await env.wait_until(lambda: not pool.table.by_budget.get("acme"))
          asker[0].accounts.peers._send = _no_response
          found = await pool.reserve("acme", 1100, "acme")
          self.assertIsNotNone(found)
          rows = pool.table.rows.values()
          self.assertEqual([1100], [row.granted for row in rows])

    anyio.run(go)


async def _no_response(url, body, timeout_s):
  raise errors.PeerUnavailableError("no answer")


class ReadyTest(testtools.TestCase):

  def test_not_ready_before_callers_can_connect(self):
    # The configuration was known before the callers' port was open. The router
    # reported readiness, and connections from the load balancer were refused.
    async def go():
      seen = []
      listen = anyio.create_tcp_listener

      async def _listen_slowly(**kwargs):
        if gateway_ports and kwargs["local_port"] == gateway_ports[0]:
          await anyio.sleep(0.5)
          seen.append(gateways[0].ready)
        return await listen(**kwargs)

      gateway_ports, gateways = [], []
      anyio.create_tcp_listener = _listen_slowly
      try:
        async with platformcase.running(
            started=lambda g: (
                gateways.append(g),
                gateway_ports.append(g.config.listen.port),
            )
        ):
          pass
      finally:
        anyio.create_tcp_listener = listen
      self.assertEqual([False], seen)

    anyio.run(go)

  def test_not_ready_before_the_list_of_servers_is_known(self):
    """Guards against requests that are refused for want of servers after a start."""

    async def go():
      seen = []

      def _delay_lists(gateway):
        apply = gateway.apply_endpoints

        async def _apply_later(*args):
          while gateway.directory.configuration is None:
            await anyio.sleep(0.01)
          await anyio.sleep(0.3)
          seen.append(gateway.ready)
          await apply(*args)

        gateway.apply_endpoints = _apply_later

      async with platformcase.running(started=_delay_lists) as env:
        self.assertTrue(env.gateway.ready)
      self.assertFalse(seen[0])

    anyio.run(go)
