"""Requests that come while a router stops: answered, or refused as not run."""

import contextlib
import signal

import anyio
import h11
import testtools

from tests import platformcase
from tests import processcase
from tests import test_gateway

_NOTICE_S = 1.0
"""Time after which the router of `in_environment` drains."""
_END_S = 1.8
"""Time after which it waits no longer for responses."""
_PARTS = 5


async def _send_slowly(caller, path, id_, send_s, **more) -> None:
  """Sends a request whose body arrives over some time."""
  named = {"host": platformcase.HOST, "request-id": id_}
  named |= {"credential": platformcase.KEY, "deadline-ms": "2000"}
  named |= {name.replace("_", "-"): value for name, value in more.items()}
  named["content-length"] = str(_PARTS)
  request = h11.Request(method="POST", target=path, headers=[*named.items()])
  await caller.stream.send(caller.parser.send(request))
  for _ in range(_PARTS):
    await anyio.sleep(send_s / _PARTS)
    await caller.stream.send(caller.parser.send(h11.Data(data=b"b")))
  caller.parser.send(h11.EndOfMessage())


def _delay_return(env, delay_s: float) -> None:
  """Has the router return its budgets only after some time."""
  accounts = env.gateway.accounts
  return_allotments = accounts.return_allotments

  async def _return_late():
    await anyio.sleep(delay_s)
    await return_allotments()

  accounts.return_allotments = _return_late


class UploadTest(testtools.TestCase):

  @test_gateway.in_environment()
  async def test_body_that_arrives_while_the_router_stops(self, env):
    """Guards against a request that is cut off since its body came late."""
    async with env.caller() as caller:
      env.stop.set()
      await anyio.sleep(_NOTICE_S - 0.2)
      await _send_slowly(caller, "/book/a", "r1", 0.4, deadline_ms="400")
      response = await caller.receive()
    self.assertEqual((200, True), (response.status, response.is_complete))

  @test_gateway.in_environment()
  async def test_body_that_is_complete_as_budgets_are_returned(self, env):
    """Guards against an unsafe request that is passed on and then cut off."""
    server = env.servers["i-1"]
    server.behaviour.response_delay_s = 0.3
    _delay_return(env, 0.3)
    async with env.caller() as caller:
      env.stop.set()
      await anyio.sleep(_NOTICE_S - 0.1)
      await _send_slowly(caller, "/book/a", "r1", 0.2, deadline_ms="500")
      response = await caller.receive()
    self.assertEqual(1, len(server.received))
    self.assertEqual((200, True), (response.status, response.is_complete))

  @test_gateway.in_environment()
  async def test_body_that_does_not_end(self, env):
    """Guards against a stop that waits for a body, or gives it no answer."""
    started = anyio.current_time()
    async with env.caller() as caller:
      env.stop.set()
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(_send_slowly, caller, "/book/a", "r1", 60.0)
        response = await caller.receive()
        tasks.cancel_scope.cancel()
    self.assertEqual((503, True), (response.status, response.is_complete))
    self.assertIn("retry-after", response.headers)
    self.assertTrue(anyio.current_time() - started < _END_S + 0.2)
    await env.wait_until(lambda: env.gateway_stopped)
    self.assertEqual([], env.servers["i-1"].received)


class LateRequestTest(testtools.TestCase):

  async def _call_late(self, env, path, **more):
    """Makes a request on a new connection while another holds up the stop."""
    server = env.servers["i-1"]
    server.behaviour.response_delay_s = 0.5
    async with env.caller() as first:
      env.stop.set()
      await anyio.sleep(_NOTICE_S - 0.1)
      await first.send("/look/a", "first")
      await anyio.sleep(0.2)
      server.behaviour.response_delay_s = 0.0
      sent_at = anyio.current_time()
      response = await env.call(path, "late", **more)
      took_s = anyio.current_time() - sent_at
      answered = await first.receive()
    self.assertEqual((200, True), (answered.status, answered.is_complete))
    return response, took_s

  @test_gateway.in_environment()
  async def test_new_connection_is_served(self, env):
    """Guards against new connections that are closed without a response."""
    response, _ = await self._call_late(env, "/book/a", deadline_ms="400")
    self.assertEqual((200, True), (response.status, response.is_complete))
    self.assertEqual("close", response.headers["connection"])

  @test_gateway.in_environment()
  async def test_request_that_may_last_too_long_is_refused(self, env):
    """Guards against a late request that is passed on and cannot end in time."""
    response, took_s = await self._call_late(env, "/book/a", body=b"b")
    self.assertEqual((503, True), (response.status, response.is_complete))
    self.assertIn("retry-after", response.headers)
    self.assertTrue(took_s < 0.2, took_s)
    received = [r.headers["request-id"] for r in env.servers["i-1"].received]
    self.assertEqual(["first"], received)

  @test_gateway.in_environment()
  async def test_requests_as_budgets_are_returned(self, env):
    """Guards against requests that get no answer, or run, at the very end."""
    _delay_return(env, 0.3)
    statuses = []
    env.stop.set()
    await anyio.sleep(_NOTICE_S + 0.1)
    with contextlib.suppress(OSError):
      while not env.gateway_stopped:
        id_ = f"r{len(statuses)}"
        response = await env.call("/book/a", id_, deadline_ms="100")
        statuses.append(response.status)
    self.assertEqual({503}, set(statuses))
    self.assertEqual([], env.servers["i-1"].received)


class EndOfGraceTest(testtools.TestCase):

  @test_gateway.in_environment()
  async def test_response_that_does_not_come_in_time(self, env):
    """Guards against a caller that is cut off instead of being told."""
    env.servers["i-1"].behaviour.response_delay_s = 9.0
    async with env.caller() as caller:
      env.stop.set()
      await anyio.sleep(0.5)
      await caller.send("/book/a", "r1", deadline_ms="9000")
      response = await caller.receive()
    self.assertEqual((504, True), (response.status, response.is_complete))

  @test_gateway.in_environment()
  async def test_budgets_are_returned_after_the_last_request(self, env):
    """Guards against tokens that are used and not billed at the stop."""
    behaviour = env.servers["i-1"].behaviour
    behaviour.events, behaviour.event_interval_s = 100, 0.1
    usage = {"token_usage": "1000,400", "model": "m", "deadline_ms": "9000"}
    async with env.caller() as caller:
      await caller.send("/once/a", "r1", **usage)
      await env.wait_until(lambda: env.servers["i-1"].received)
      env.stop.set()
      response = await caller.receive()
    self.assertFalse(response.is_complete)
    await env.wait_until(lambda: env.gateway_stopped)
    events = len(platformcase.parse_events(response.body))
    self.assertTrue(events > 10, events)
    self.assertTrue(test_gateway.tokens_spent(env) >= 1000 + 4 * events)


class _Clients:
  """Clients that use open and new connections until the process is gone."""

  def __init__(self, env) -> None:
    self._env = env
    self.answers: dict[str, int] = {}
    """Status of each request by its id; 0: its connection was closed."""

  async def run(self, name: str, path: str, is_kept: bool, send_s: float):
    """Sends requests one after the other until no connection is accepted."""
    number = 0
    with contextlib.suppress(OSError):
      while True:
        async with self._env.caller() as caller:
          while True:
            id_ = f"{name}-{number}"
            number += 1
            if not await self._call(caller, path, id_, send_s) or not is_kept:
              break
            await anyio.sleep(0.02)

  async def _call(self, caller, path, id_, send_s) -> bool:
    """Makes one request; returns whether another may follow."""
    self.answers[id_] = 0
    more = {"deadline_ms": "800"}
    try:
      if send_s:
        await _send_slowly(caller, path, id_, send_s, **more)
      else:
        await caller.send(path, id_, **more)
    except (anyio.BrokenResourceError, h11.LocalProtocolError):
      pass  # a refusal may be waiting to be read
    response = await caller.receive()
    self.answers[id_] = response.status if response.is_complete else 0
    return (
        response.is_complete and response.headers.get("connection") != "close"
    )


class ProcessTest(testtools.TestCase):

  @processcase.in_environment()
  async def test_requests_until_the_process_is_gone(self, env):
    """Guards against requests that are passed on and cut off by a stop."""
    env.server.behaviour.response_delay_s = 0.1
    env.router.start()
    await env.router.wait_until_ready()
    clients = _Clients(env)
    async with anyio.create_task_group() as tasks:
      number = 0
      for path in ("/look/a", "/book/a"):
        for is_kept in (True, False):
          for send_s in (0.0, 0.1, 0.4):
            for _ in range(2):
              number += 1
              tasks.start_soon(clients.run, f"c{number}", path, is_kept, send_s)
      await anyio.sleep(1.0)
      env.router.signal(signal.SIGTERM)
    self.assertEqual(0, await env.router.stop(), env.router.log[-3000:])
    received = {r.headers["request-id"] for r in env.server.received}
    self.assertTrue(len(received) > 100, len(received))
    cut_off = [id_ for id_ in received if not clients.answers[id_]]
    self.assertEqual([], cut_off)
    not_run = [id_ for id_, status in clients.answers.items() if status == 503]
    self.assertEqual(set(), received & set(not_run))
