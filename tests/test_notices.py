"""Few routers read the server list, yet all know of a change in time.

When each router read the list once a second and watched it in calls of two
seconds, the store's calls grew with the fleet (78 hosts), and so did the
processor time for lists that had not changed. Now two routers read for all. A
router that relied on dead readers or lost datagrams would go on sending
requests to a server that has left, so a router that receives no notices for
some time reads for itself.
"""

import json
from typing import NamedTuple
import zlib

import anyio
import testtools

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.bench.virtual import loop as virtual
from mustardfall.kv import protocol
from mustardfall.membership import copies as copies_lib
from mustardfall.membership import datagrams
from mustardfall.membership import deltas
from mustardfall.membership import members as members_lib
from mustardfall.membership import notices
from mustardfall.membership import relay as relay_lib
from mustardfall.platform import followers as followers_lib
from mustardfall.routing import directory
from tests import platformcase
from tests import test_server_entries
from tests import test_slow_links

_ROUTERS = 78
_LARGE = 195
_IN_FORCE_S = 2.0
"""Time within which a change must be known to all."""
_CHANGE_BYTES = 35_000
"""Limit of a router's traffic for one change: 7 KB/s for 5 s."""


class _Net:
  """Carries notices between routers, except from senders chosen by `lose`."""

  def __init__(self) -> None:
    self.handlers = {}
    self.lose = lambda sender: False
    self.bytes = 0

  def port(self, name: str) -> "_Port":
    return _Port(self, name)


class _Port:
  """Stands in for `datagrams.Datagrams`."""

  is_open = True

  def __init__(self, net: _Net, name: str) -> None:
    self._net, self._name = net, name

  def connect(self, kind, handler):
    assert kind is datagrams.Kind.NOTICE
    self._net.handlers[self._name] = handler

  async def send(self, kind, content, receivers):
    del kind
    for member in receivers:
      self._net.bytes += len(content)
      is_up = member.name in self._net.handlers
      if is_up and not self._net.lose(self._name):
        self._net.handlers[member.name](content)


class _Store:
  """The server list and the configuration; counts calls by router."""

  def __init__(self) -> None:
    self.calls = 0
    self.bytes = 0
    self.revision = 1
    self._records = {}
    self._changed = anyio.Event()
    self.unavailable = False
    self.counts_as_unreachable = False
    """Whether the hosts' clients know that calls fail."""
    self.silent = False
    """Whether waiting watches are never notified of a change."""
    self.refused = set()
    """Names of hosts whose calls are refused."""
    self.transfer_s = {}
    """Seconds that an answer takes to reach a host, by the host's name."""

  def put(self, key: str, value: dict) -> None:
    self.revision += 1
    raw = json.dumps(value).encode()
    self._records[key] = protocol.Record(key, raw, self.revision, 0)
    self._changed.set()
    self._changed = anyio.Event()

  async def get_prefix(self, prefix):
    self.calls += 1
    await anyio.sleep(0.004)
    if self.unavailable:
      raise errors.KvUnavailableError("away")
    records = [r for k, r in self._records.items() if k.startswith(prefix)]
    self._count(records)
    return self.revision, records

  def _count(self, records):
    """Adds the size of an answer, whose values are base64 text."""
    self.bytes += sum(len(record.value) * 4 // 3 for record in records)

  async def poll(self, prefix, after, wait_s):
    self.calls += 1
    if self.unavailable:
      raise errors.KvUnavailableError("away")
    with anyio.move_on_after(wait_s) as scope:
      while self.silent or not self._since(prefix, after):
        await self._changed.wait()
    if scope.cancelled_caught and self.silent:
      raise errors.KvUnavailableError("watch: silent")
    records = self._since(prefix, after)
    self._count(records)
    return self.revision, [protocol.Event(False, record) for record in records]

  def _since(self, prefix, after):
    return [
        record
        for key, record in self._records.items()
        if key.startswith(prefix) and record.mod_revision > after
    ]


class _Host:
  """The store as seen from one host."""

  def __init__(self, store: _Store, name: str) -> None:
    self._store, self._name = store, name

  @property
  def reachable(self):
    return not self._store.counts_as_unreachable

  def _check(self):
    if self._name in self._store.refused:
      self._store.calls += 1
      raise errors.KvUnavailableError("refused")

  async def get_prefix(self, prefix):
    self._check()
    answer = await self._store.get_prefix(prefix)
    await anyio.sleep(self._store.transfer_s.get(self._name, 0.0))
    return answer

  async def poll(self, prefix, after, wait_s):
    self._check()
    answer = await self._store.poll(prefix, after, wait_s)
    await anyio.sleep(self._store.transfer_s.get(self._name, 0.0))
    return answer


class _Gateway:
  """Stands in for a router's gateway; records what its followers report."""

  def __init__(self, router_notices, copies, view, relay) -> None:
    self.notices = router_notices
    self.copies = copies
    self.relay = relay
    self.accounts = _Accounts(view)
    self.directory = directory.Directory(settings.Scheduler(), virtual.Clock())
    self.states = {}
    self.version = 0

  @property
  def is_reader(self) -> bool:
    return self.notices.is_reader

  async def apply_endpoints(self, hosts, as_of):
    del as_of
    self.states = {host["name"]: host["state"] for host in hosts}

  def apply_configuration(self, new):
    self.version = new.version


class _Accounts(NamedTuple):
  """Stands in for the accounts; holds the members."""

  members: members_lib.Members


class _Fleet:
  """The followers of all routers, and the store that they read."""

  def __init__(self, routers: int) -> None:
    self.net = _Net()
    self.store = _Store()
    self.store.put("op/config", platformcase.configuration(version=1))
    for number in range(4):
      self.store.put(f"servers/i-{number}", _entry(number, "ready"))
    self.routers = {}
    self._scopes = {}
    everyone = [_member(i) for i in range(routers)]
    for me in everyone:
      self.store.put(members_lib.PREFIX + me.name, me._asdict())
    clock = virtual.Clock()
    self._relays = {}
    for me in everyone:
      view = members_lib.Members(
          None, me, settings.Membership(), clock, events.Bus()
      )
      view.update(everyone)
      copies = copies_lib.Copies(clock)
      router_notices = notices.Notices(
          self.net.port(me.name), view, copies, clock
      )
      relay = relay_lib.Relay(view, self._post, copies, clock)
      self._relays[me.url] = relay
      gateway = _Gateway(router_notices, copies, view, relay)
      self.routers[me.name] = gateway
      self._scopes[me.name] = anyio.CancelScope()
      store = _Host(self.store, me.name)
      gateway.followers = followers_lib.Followers(gateway, store, clock)

  async def _post(self, url, body, timeout_s):
    """Calls another router, as `peers.Post` does."""
    del timeout_s
    await anyio.sleep(0.002)
    address, _, _ = url.removeprefix("http://").partition("/")
    answer = await self._relays[f"http://{address}"].serve(body)
    self.net.bytes += len(json.dumps(answer))
    return answer

  @property
  def bytes(self) -> int:
    """Control traffic sent to all routers, bytes."""
    return self.net.bytes + self.store.bytes

  async def run(self, name: str) -> None:
    """Runs a router until it is killed."""
    followers = self.routers[name].followers
    with self._scopes[name]:
      async with anyio.create_task_group() as tg:
        for loop in followers.loops():
          tg.start_soon(loop)

  def kill(self, name: str) -> None:
    self._scopes[name].cancel()
    del self.routers[name]

  def readers(self) -> list[str]:
    return [name for name, gateway in self.routers.items() if gateway.is_reader]


def _entry(number: int, state: str) -> dict:
  address = f"10.2.0.{number}:80"
  return test_server_entries.ENTRY | {"address": address, "state": state}


def _member(i: int) -> members_lib.Member:
  url = f"http://10.1.0.{i}:8229"
  return members_lib.Member(f"front-a-{i}", "e", url, f"dc{i % 3}", "here")


def in_fleet(test, routers=_ROUTERS):
  """Runs a test method with a fleet that has been up for five seconds."""

  def run(self):
    async def run_fleet():
      fleet = _Fleet(routers)
      async with anyio.create_task_group() as tg:
        for name in fleet.routers:
          tg.start_soon(fleet.run, name)
        await anyio.sleep(5.0)
        await test(self, fleet)
        tg.cancel_scope.cancel()

    virtual.run(run_fleet)

  run.__name__ = test.__name__
  return run


def in_large_fleet(test):
  """The same as `in_fleet`, with the routers of a large deployment."""
  return in_fleet(test, _LARGE)


class NoticesTest(testtools.TestCase):

  @in_fleet
  async def test_calls_to_the_store_do_not_grow_with_the_fleet(self, fleet):
    before = fleet.store.calls
    await anyio.sleep(20.0)
    per_s = (fleet.store.calls - before) / 20.0
    # Lists and watches of the two readers, and a rare watch by each other one.
    self.assertTrue(per_s <= 15, per_s)
    self.assertEqual(2, len(fleet.readers()))

  async def _check_leaving_server(self, fleet, number=0):
    """Marks a server as leaving; checks that all routers know in time."""
    fleet.store.put(f"servers/i-{number}", _entry(number, "draining"))
    await anyio.sleep(_IN_FORCE_S)
    late = [
        name
        for name, gateway in fleet.routers.items()
        if gateway.states[f"i-{number}"] != "leaving"
    ]
    self.assertEqual([], late)

  @in_fleet
  async def test_leaving_server_is_known_to_all(self, fleet):
    await self._check_leaving_server(fleet)

  @in_fleet
  async def test_dead_readers_are_replaced(self, fleet):
    for name in fleet.readers():
      fleet.kill(name)
    await self._check_leaving_server(fleet)
    await self._check_leaving_server(fleet, 1)

  @in_fleet
  async def test_other_reader_suffices_if_datagrams_of_one_are_lost(
      self, fleet
  ):
    first = fleet.readers()[0]
    fleet.net.lose = lambda sender: sender == first
    await self._check_leaving_server(fleet)

  @in_fleet
  async def test_all_read_if_all_datagrams_are_lost(self, fleet):
    fleet.net.lose = lambda sender: True
    await self._check_leaving_server(fleet)
    fleet.store.put("op/config", platformcase.configuration(version=2))
    await anyio.sleep(_IN_FORCE_S)
    self.assertEqual({2}, {g.version for g in fleet.routers.values()})

  @in_fleet
  async def test_configuration_is_in_force_in_time(self, fleet):
    for version in range(2, 6):
      fleet.store.put("op/config", platformcase.configuration(version=version))
      await anyio.sleep(0.3)
    await anyio.sleep(_IN_FORCE_S - 0.3)
    self.assertEqual({5}, {g.version for g in fleet.routers.values()})

  @in_fleet
  async def test_routers_that_are_refused_are_told_the_newest(self, fleet):
    # A key is revoked while the store refuses some routers. These ask the
    # others, which knew the new configuration but passed on the previous one,
    # as if it had just been read.
    fleet.store.put("op/config", platformcase.configuration(version=7))
    await anyio.sleep(_IN_FORCE_S)
    for gateway in fleet.routers.values():
      answer = await gateway.relay.serve({"names": ["op/config"]})
      self.assertEqual(7, answer["op/config"]["document"]["version"])
      age_s = answer["op/config"]["age_s"]
      self.assertTrue(age_s < _IN_FORCE_S, age_s)

  @in_fleet
  async def test_notices_replace_a_silent_watch(self, fleet):
    # The connection of a watch goes silent without a reset, which is detected
    # only when the long wait is over.
    fleet.store.silent = True
    await anyio.sleep(0.1)
    fleet.store.put("op/config", platformcase.configuration(version=2))
    await anyio.sleep(2 * _IN_FORCE_S + 0.2)
    self.assertEqual({2}, {g.version for g in fleet.routers.values()})

  @in_fleet
  async def test_store_is_read_soon_after_an_outage(self, fleet):
    fleet.store.unavailable = True
    await anyio.sleep(6.0)
    fleet.store.unavailable = False
    await self._check_leaving_server(fleet)

  @in_large_fleet
  async def test_notice_contains_the_change(self, fleet):
    """Guards against a store call by every router at each change."""
    before = fleet.store.calls
    for version in range(2, 6):
      fleet.store.put("op/config", platformcase.configuration(version=version))
      await anyio.sleep(0.5)
    await self._check_leaving_server(fleet)
    self.assertEqual({5}, {g.version for g in fleet.routers.values()})
    # Four changes and one leaving server: with one call each by all routers,
    # it would be five times the fleet.
    calls = fleet.store.calls - before
    self.assertTrue(calls <= _LARGE / 2, calls)

  @in_fleet
  async def test_a_large_change_is_not_read_whole_by_all(self, fleet):
    """Guards against links filled by a change too large for a datagram."""
    before = fleet.bytes
    fleet.store.put("op/config", test_slow_links.grown_configuration(2))
    await anyio.sleep(_IN_FORCE_S)
    self.assertEqual({2}, {g.version for g in fleet.routers.values()})
    each = (fleet.bytes - before) / _ROUTERS
    self.assertTrue(each <= _CHANGE_BYTES, each)

  @in_fleet
  async def test_a_reader_with_a_slow_link_holds_nobody_back(self, fleet):
    """Guards against a slow reader that delays versions or reverts them."""
    fleet.store.transfer_s = {fleet.readers()[0]: 1.5}
    known = dict.fromkeys(fleet.routers, 1)
    for version in range(2, 9):
      fleet.store.put("op/config", platformcase.configuration(version=version))
      for _ in range(4):
        await anyio.sleep(0.1)
        for name, gateway in fleet.routers.items():
          copy = gateway.copies.find("op/config")
          self.assertTrue(copy.document["version"] >= known[name], name)
          known[name] = copy.document["version"]
      late = [n for n, g in fleet.routers.items() if g.version < version - 1]
      self.assertEqual([], late)

  @in_fleet
  async def test_a_large_change_bypasses_dead_routers(self, fleet):
    """Guards against routers below a dead one that keep the old version."""
    ranked = sorted(fleet.routers, key=members_lib.rank_key)
    for name in (ranked[0], *ranked[2:4], ranked[7]):
      fleet.kill(name)
    fleet.store.put("op/config", test_slow_links.grown_configuration(2))
    await anyio.sleep(_IN_FORCE_S)
    self.assertEqual({2}, {g.version for g in fleet.routers.values()})

  @in_large_fleet
  async def test_refused_routers_do_not_flood_the_store(self, fleet):
    """Guards against thousands of calls while the store refuses some hosts."""
    names = list(fleet.routers)
    fleet.store.refused = set(names[::3])
    before = fleet.store.calls
    await anyio.sleep(8.0)
    calls = fleet.store.calls - before
    # At most one call a second by each router of the refused third.
    self.assertTrue(calls <= 8 * _LARGE / 3, calls)

  @in_large_fleet
  async def test_refused_readers_are_replaced(self, fleet):
    """Guards against all routers reading when the readers cannot."""
    fleet.store.refused = set(fleet.readers())
    before = fleet.store.calls
    await anyio.sleep(1.0)
    fleet.store.put("op/config", platformcase.configuration(version=3))
    await self._check_leaving_server(fleet)
    await anyio.sleep(5.0)
    self.assertEqual({3}, {g.version for g in fleet.routers.values()})
    calls = fleet.store.calls - before
    self.assertTrue(calls <= 8 * _LARGE, calls)

  @in_large_fleet
  async def test_store_is_not_flooded_after_an_outage(self, fleet):
    """Guards against using up the store's rate limit while it is down."""
    fleet.store.unavailable = True
    before = fleet.store.calls
    await anyio.sleep(6.0)
    calls = fleet.store.calls - before
    # Three documents, each requested every two seconds by each router.
    self.assertTrue(calls <= 3 * 3 * _LARGE, calls)
    fleet.store.unavailable = False
    await self._check_leaving_server(fleet)

  @in_large_fleet
  async def test_only_few_read_while_the_store_counts_as_unreachable(
      self, fleet
  ):
    """Guards against calls of all routers that can only be refused."""
    fleet.store.unavailable = True
    await anyio.sleep(2.5)
    fleet.store.counts_as_unreachable = True
    before = fleet.store.calls
    await anyio.sleep(6.0)
    # Readers and standbys are eight; each reads three documents, and at most
    # once a second and document once their pauses have grown.
    calls = fleet.store.calls - before
    self.assertTrue(0 < calls <= 8 * 3 * 8, calls)
    fleet.store.unavailable = False
    fleet.store.counts_as_unreachable = False
    await self._check_leaving_server(fleet)

  @in_large_fleet
  async def test_a_third_that_registers_again_is_announced(self, fleet):
    """Guards against all routers reading the members at each registration."""
    members = [_member(i) for i in range(0, _LARGE, 3)]
    before = fleet.store.calls
    for member in members:
      again = member._replace(epoch="f")
      fleet.store.put(members_lib.PREFIX + member.name, again._asdict())
      await anyio.sleep(0.005)
    await anyio.sleep(3.0)
    calls = fleet.store.calls - before
    self.assertTrue(calls <= _LARGE / 2, calls)
    lives = fleet.routers["front-a-1"].accounts.members.lives
    self.assertIn("front-a-3:f", lives)

  @in_large_fleet
  async def test_new_servers_and_routers_are_announced(self, fleet):
    """Guards against a read by all routers whenever one joins or leaves."""
    before = fleet.store.calls
    for number in range(4, 8):
      fleet.store.put(f"servers/a-{number}", _entry(number, "ready"))
      member = _member(300 + number)
      fleet.store.put(members_lib.PREFIX + member.name, member._asdict())
      await anyio.sleep(0.7)
    await anyio.sleep(2.0)
    calls = fleet.store.calls - before
    self.assertTrue(calls <= _LARGE / 2, calls)
    for gateway in fleet.routers.values():
      self.assertEqual(8, len(gateway.states))
      self.assertEqual(_LARGE + 4, len(gateway.accounts.members.lives))

  @in_fleet
  async def test_late_change_does_not_revert_a_newer_version(self, fleet):
    """Guards against replacing a configuration by an older one."""
    fleet.store.put("op/config", platformcase.configuration(version=5))
    await anyio.sleep(1.0)
    gateway = next(g for g in fleet.routers.values() if not g.is_reader)
    newest = gateway.copies.find("op/config")
    older = newest.document | {"version": 4}
    change = deltas.diff(newest.document, older)
    notice = {"op/config": [deltas.digest(older), 2.0, change]}
    gateway.notices._handle_notice(zlib.compress(json.dumps(notice).encode()))
    self.assertEqual(5, gateway.copies.find("op/config").document["version"])

  @in_fleet
  async def test_notice_dated_in_the_future_is_not_trusted(self, fleet):
    """Guards against a datagram after which a router never reads again."""
    router = next(g for g in fleet.routers.values() if not g.is_reader)
    copy = router.copies.find("servers/")
    notice = {"servers/": [copy.digest, -1e9], "x": ["d", 0], "y": ["d", -1e9]}
    router.notices._handle_notice(zlib.compress(json.dumps(notice).encode()))
    fleet.net.lose = lambda sender: True
    await self._check_leaving_server(fleet)
    self.assertEqual(3, len(router.notices._latest))

  def test_notice_that_decompresses_to_too_much_is_malformed(self):
    """Guards against a datagram that exhausts a router's memory."""
    for raw in (zlib.compress(b" " * 10_000_000), b"", b"[]", b"\x78\x9c"):
      self.assertRaises(ValueError, notices._decode, raw)
