"""All routers learn which requests crash endpoints.

A request that crashes each endpoint that runs it is repeated at any of 68
routers. Some datagrams are lost, the store may be unavailable, and routers
restart.
"""

import json
import random

import anyio
import testtools

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.bench.virtual import loop as virtual
from mustardfall.kv import protocol
from mustardfall.membership import copies
from mustardfall.membership import members as members_lib
from mustardfall.membership import notices as notices_lib
from mustardfall.membership import verdicts as verdicts_lib
from mustardfall.routing import quarantine

_ROUTERS = 68
_DEADLINE_S = 3.0
"""Time within which all routers must know a verdict."""


class _Net:
  """Carries datagrams between routers and loses some of them."""

  def __init__(self) -> None:
    self.lost = 0.0
    self.random = random.Random(5)
    self.ports = {}
    self.sent = 0


class _Port:
  """Stands in for `datagrams.Datagrams`."""

  is_open = True

  def __init__(self, net: _Net, name: str) -> None:
    self._net = net
    self._handlers = {}
    net.ports[name] = self

    self._name = name

  def connect(self, kind, handler):
    self.connect_with_sender(kind, lambda content, sender: handler(content))

  def connect_with_sender(self, kind, handler):
    self._handlers[kind] = handler

  def heard_s(self, member=None):
    del member
    return 0.0

  def enqueue(self, kind, content, member):
    self.enqueue_to(kind, content, member.name)

  def enqueue_to(self, kind, content, receiver):
    self._net.sent += 1
    is_up = receiver in self._net.ports
    if is_up and self._net.random.random() >= self._net.lost:
      self._net.ports[receiver]._handlers[kind](content, self._name)

  async def send(self, kind, content, receivers):
    for member in receivers:
      self.enqueue(kind, content, member)


class _Store:
  """A store that may be unavailable."""

  def __init__(self) -> None:
    self.records = {}
    self.unavailable = False
    self.calls = 0

  async def _call(self):
    self.calls += 1
    await anyio.sleep(0.004)
    if self.unavailable:
      raise errors.KvUnavailableError("away")

  async def grant_lease(self, ttl_s):
    del ttl_s
    await self._call()
    return 7

  async def put(self, key, value, lease=0):
    await self._call()
    self.records[key] = protocol.Record(key, value, 1, lease)

  async def get_prefix(self, prefix):
    await self._call()
    records = [r for k, r in self.records.items() if k.startswith(prefix)]
    return 1, records


async def _no_call(url, body, timeout_s):
  raise AssertionError(f"call of {url} though datagrams arrive")


class _Fleet:
  """The verdicts of all routers."""

  def __init__(self, tasks) -> None:
    self.net = _Net()
    self.store = _Store()
    self.tables = {}
    self.verdicts = {}
    self._tasks = tasks
    self._scopes = {}
    for number in range(_ROUTERS):
      self.start(number)

  def start(self, number: int) -> None:
    clock = virtual.Clock()
    me = _member(number)
    view = members_lib.Members(
        None, me, settings.Membership(), clock, events.Bus()
    )
    view.update([_member(n) for n in range(_ROUTERS)])
    port = _Port(self.net, me.name)
    table = self.tables[number] = quarantine.Table(clock)
    notices = notices_lib.Notices(port, view, copies.Copies(clock), clock)
    self.verdicts[number] = verdicts_lib.Verdicts(
        table, view, port, notices, self.store, clock, _no_call
    )
    self._scopes[number] = anyio.CancelScope()
    self._tasks.start_soon(self._run, number)

  async def _run(self, number: int) -> None:
    with self._scopes[number]:
      await self.verdicts[number].run()

  def restart_all(self) -> None:
    for number in range(_ROUTERS):
      self._scopes[number].cancel()
      self.start(number)

  async def crash_endpoints(self, request: str, number: int, offset=0) -> None:
    """Crashes endpoints with a request, each seen by another router."""
    for n in range(offset, offset + number):
      report = quarantine.CrashReport(request, "acme", f"{request}-{n}", 0.1)
      self.verdicts[(7 * n) % _ROUTERS].note_end(report)
      await anyio.sleep(0.35)

  def unaware(self, request: str) -> list[int]:
    return [
        n for n, table in self.tables.items() if not table.remaining_s(request)
    ]


def _member(i: int) -> members_lib.Member:
  url = f"http://10.1.0.{i}:8229"
  return members_lib.Member(f"front-a-{i}", "e", url, f"dc{i % 3}", "here")


def in_fleet(test):
  """Runs a test in virtual time while the verdicts of all routers run."""

  def run(self):
    async def run_fleet():
      async with anyio.create_task_group() as tg:
        fleet = _Fleet(tg)
        await anyio.sleep(1.5)
        await test(self, fleet)
        tg.cancel_scope.cancel()

    virtual.run(run_fleet)

  run.__name__ = test.__name__
  return run


class VerdictsTest(testtools.TestCase):

  @in_fleet
  async def test_verdict_reaches_all(self, fleet):
    await fleet.crash_endpoints("x", quarantine.CRASH_LIMIT)
    self.assertEqual([], fleet.unaware("x"))

  @in_fleet
  async def test_verdict_reaches_all_while_a_fifth_of_datagrams_is_lost(
      self, fleet
  ):
    """Guards against routers that missed the datagrams and run the request."""
    fleet.net.lost = 0.2
    await fleet.crash_endpoints("x", quarantine.CRASH_LIMIT)
    await anyio.sleep(_DEADLINE_S)
    self.assertEqual([], fleet.unaware("x"))

  @in_fleet
  async def test_verdict_reaches_all_while_the_store_is_unavailable(
      self, fleet
  ):
    fleet.store.unavailable = True
    await fleet.crash_endpoints("x", quarantine.CRASH_LIMIT)
    await anyio.sleep(_DEADLINE_S)
    self.assertEqual([], fleet.unaware("x"))

  @in_fleet
  async def test_verdict_reaches_all_after_all_restarted(self, fleet):
    """Guards against a request that is admitted again after a loss of power."""
    await fleet.crash_endpoints("x", quarantine.CRASH_LIMIT)
    before = fleet.store.calls
    fleet.restart_all()
    self.assertEqual(_ROUTERS, len(fleet.unaware("x")))
    await anyio.sleep(_DEADLINE_S)
    self.assertEqual([], fleet.unaware("x"))
    self.assertTrue(fleet.store.calls - before <= 4, fleet.store.calls)

  @in_fleet
  async def test_crashes_below_the_limit_give_no_verdict(self, fleet):
    await fleet.crash_endpoints("x", quarantine.CRASH_LIMIT - 1)
    await anyio.sleep(_DEADLINE_S)
    self.assertEqual(_ROUTERS, len(fleet.unaware("x")))

  @in_fleet
  async def test_request_that_succeeds_is_admitted_again_everywhere(
      self, fleet
  ):
    await fleet.crash_endpoints("x", quarantine.CRASH_LIMIT)
    fleet.verdicts[11].note_success("x")
    await anyio.sleep(0.3)
    self.assertEqual(_ROUTERS, len(fleet.unaware("x")))
    await anyio.sleep(_DEADLINE_S)
    self.assertEqual(_ROUTERS, len(fleet.unaware("x")))

  @in_fleet
  async def test_other_requests_on_a_crashed_endpoint_cost_little(self, fleet):
    """Guards against a store call for every request on a crashed endpoint."""
    for number in range(24):
      report = quarantine.CrashReport(f"beside{number}", "acme", "e", 0.5)
      fleet.verdicts[number].note_end(report)
    calls, sent = fleet.store.calls, fleet.net.sent
    for number in range(24):
      fleet.verdicts[number].note_success(f"beside{number}")
    await anyio.sleep(1.5)
    self.assertEqual(calls, fleet.store.calls)
    self.assertTrue(fleet.net.sent - sent <= 3 * 24, fleet.net.sent - sent)
    await fleet.crash_endpoints(
        "beside1", quarantine.CRASH_LIMIT - 1, offset=20
    )
    self.assertEqual(_ROUTERS, len(fleet.unaware("beside1")))

  @in_fleet
  async def test_malformed_entries_are_skipped(self, fleet):
    await fleet.crash_endpoints("x", quarantine.CRASH_LIMIT)
    odd = [b"", b"3", b"[1]", b"[1, 2, {}]", b"\xff", b"[" * 100_000]
    odd.append(json.dumps(["f", "t", 10**400]).encode())
    for number, value in enumerate(odd):
      key = f"{verdicts_lib.PREFIX}{number}"
      fleet.store.records[key] = protocol.Record(key, value, 1, 0)
    fleet.restart_all()
    await anyio.sleep(_DEADLINE_S)
    self.assertEqual([], fleet.unaware("x"))

  @in_fleet
  async def test_gossip_does_not_grow_with_the_fleet(self, fleet):
    await fleet.crash_endpoints("x", quarantine.CRASH_LIMIT)
    await anyio.sleep(1.0)
    before = fleet.net.sent
    await anyio.sleep(10.0)
    each = (fleet.net.sent - before) / _ROUTERS / 10.0
    self.assertTrue(each <= 2, each)

  def test_verdicts_are_small(self):
    update = quarantine.QuarantineUpdate("f" * 24, "team4711", 599.9)
    each = len(json.dumps(update))
    self.assertTrue(
        each * verdicts_lib._MAX_VERDICTS_PER_DATAGRAM <= 1_300, each
    )
