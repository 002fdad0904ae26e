"""Few routers read the server list; all know of a change in time.

What callers saw: on 78 hosts nothing at first, but the store's calls grew with
the fleet (one list a second, one watch each two, from each), and with them the
time that a router spent on lists that had not changed. Two read for all now.
A router that relied on readers which have died, or on a datagram that was
lost, would go on sending requests to a server that has left; so one that hears
nothing for a moment reads for itself.
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
"""Within which a change must be known to all."""
_CHANGE_BYTES = 35_000
"""Of a router for one change: 7 KB/s for the 5 s that it may take."""


class _Net:
  """Carries notices between routers; loses what it is told to lose."""

  def __init__(self) -> None:
    self.handlers = {}
    self.lose = lambda sender: False
    self.bytes = 0

  def port(self, name: str) -> "_Port":
    return _Port(self, name)


class _Port:
  """Stands for `datagrams.Datagrams`."""

  is_open = True

  def __init__(self, net: _Net, name: str) -> None:
    self._net, self._name = net, name

  def connect(self, kind, take):
    assert kind is datagrams.Kind.NOTICE
    self._net.handlers[self._name] = take

  async def send(self, kind, content, told):
    del kind
    for member in told:
      self._net.bytes += len(content)
      is_there = member.name in self._net.handlers
      if is_there and not self._net.lose(self._name):
        self._net.handlers[member.name](content)


class _Store:
  """The server list and the configuration; counts calls by router."""

  def __init__(self) -> None:
    self.calls = 0
    self.bytes = 0
    self.revision = 1
    self._records = {}
    self._changed = anyio.Event()
    self.away = False
    self.deaf = False
    """Whether watches that wait now never hear of a change."""
    self.refused = set()
    """Hosts that are turned away."""
    self.transfer_s = {}
    """How long answers take to reach a host, by its name."""

  def put(self, key: str, value: dict) -> None:
    self.revision += 1
    raw = json.dumps(value).encode()
    self._records[key] = protocol.Record(key, raw, self.revision, 0)
    self._changed.set()
    self._changed = anyio.Event()

  async def get_prefix(self, prefix):
    self.calls += 1
    await anyio.sleep(0.004)
    if self.away:
      raise errors.KvUnavailableError("away")
    found = [r for k, r in self._records.items() if k.startswith(prefix)]
    self._count(found)
    return self.revision, found

  def _count(self, records):
    """Adds the size of an answer, whose values are base64 text."""
    self.bytes += sum(len(record.value) * 4 // 3 for record in records)

  async def poll(self, prefix, after, wait_s):
    self.calls += 1
    if self.away:
      raise errors.KvUnavailableError("away")
    with anyio.move_on_after(wait_s) as scope:
      while self.deaf or not self._since(prefix, after):
        await self._changed.wait()
    if scope.cancelled_caught and self.deaf:
      raise errors.KvUnavailableError("watch: silent")
    found = self._since(prefix, after)
    self._count(found)
    return self.revision, [protocol.Event(False, record) for record in found]

  def _since(self, prefix, after):
    return [
        record
        for key, record in self._records.items()
        if key.startswith(prefix) and record.mod_revision > after
    ]


class _Host:
  """The store as one host reaches it."""

  def __init__(self, store: _Store, name: str) -> None:
    self._store, self._name = store, name

  def _check(self):
    if self._name in self._store.refused:
      self._store.calls += 1
      raise errors.KvUnavailableError("refused")

  async def get_prefix(self, prefix):
    self._check()
    found = await self._store.get_prefix(prefix)
    await anyio.sleep(self._store.transfer_s.get(self._name, 0.0))
    return found

  async def poll(self, prefix, after, wait_s):
    self._check()
    found = await self._store.poll(prefix, after, wait_s)
    await anyio.sleep(self._store.transfer_s.get(self._name, 0.0))
    return found


class _Gateway:
  """What the followers tell, as one router knows it."""

  def __init__(self, told, copies, view, relay) -> None:
    self.notices = told
    self.copies = copies
    self.relay = relay
    self.accounts = _Accounts(view)
    self.directory = directory.Directory(settings.Scheduler(), virtual.Clock())
    self.states = {}
    self.version = 0

  @property
  def is_reader(self) -> bool:
    return self.notices.is_reader

  async def take_endpoints(self, hosts):
    self.states = {host["name"]: host["state"] for host in hosts}

  def take_configuration(self, new):
    self.version = new.version


class _Accounts(NamedTuple):
  """Who is up."""

  members: members_lib.Members


class _Fleet:
  """All routers' followers before one store."""

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
      told = notices.Notices(self.net.port(me.name), view, copies, clock)
      relay = relay_lib.Relay(view, self._post, copies, clock)
      self._relays[me.url] = relay
      gateway = _Gateway(told, copies, view, relay)
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
    """Bytes that all routers were sent for control."""
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
  """Runs a test method beside a fleet that has been up for five seconds."""

  def run(self):
    async def day():
      fleet = _Fleet(routers)
      async with anyio.create_task_group() as tg:
        for name in fleet.routers:
          tg.start_soon(fleet.run, name)
        await anyio.sleep(5.0)
        await test(self, fleet)
        tg.cancel_scope.cancel()

    virtual.run(day)

  run.__name__ = test.__name__
  return run


def in_large_fleet(test):
  """The same with the routers of a large deployment."""
  return in_fleet(test, _LARGE)


class NoticesTest(testtools.TestCase):

  @in_fleet
  async def test_calls_to_the_store_do_not_grow_with_the_fleet(self, fleet):
    before = fleet.store.calls
    await anyio.sleep(20.0)
    per_s = (fleet.store.calls - before) / 20.0
    # Two readers' lists and watches, and one seldom watch of each other.
    self.assertTrue(per_s <= 15, per_s)
    self.assertEqual(2, len(fleet.readers()))

  async def _leave(self, fleet, number=0):
    """A server says that it leaves; all must know in time."""
    fleet.store.put(f"servers/i-{number}", _entry(number, "draining"))
    await anyio.sleep(_IN_FORCE_S)
    late = [
        name
        for name, gateway in fleet.routers.items()
        if gateway.states[f"i-{number}"] != "leaving"
    ]
    self.assertEqual([], late)

  @in_fleet
  async def test_all_know_that_a_server_leaves(self, fleet):
    await self._leave(fleet)

  @in_fleet
  async def test_readers_that_die_are_not_waited_for(self, fleet):
    for name in fleet.readers():
      fleet.kill(name)
    await self._leave(fleet)
    await self._leave(fleet, 1)

  @in_fleet
  async def test_one_reader_whose_datagrams_are_lost_is_made_good(self, fleet):
    first = fleet.readers()[0]
    fleet.net.lose = lambda sender: sender == first
    await self._leave(fleet)

  @in_fleet
  async def test_nobody_hears_anything(self, fleet):
    fleet.net.lose = lambda sender: True
    await self._leave(fleet)
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
    # A key is revoked while the store turns some routers away. These ask the
    # others, who knew of it but passed on the configuration of before, as if
    # it had just been read.
    fleet.store.put("op/config", platformcase.configuration(version=7))
    await anyio.sleep(_IN_FORCE_S)
    for gateway in fleet.routers.values():
      answer = await gateway.relay.serve({"names": ["op/config"]})
      self.assertEqual(7, answer["op/config"]["document"]["version"])
      age_s = answer["op/config"]["age_s"]
      self.assertTrue(age_s < _IN_FORCE_S, age_s)

  @in_fleet
  async def test_a_watch_that_fell_silent_is_made_good_by_notices(self, fleet):
    # The connection of a watch goes silent for good, without a reset, and it
    # would be noticed only when the long wait is over.
    fleet.store.deaf = True
    await anyio.sleep(0.1)
    fleet.store.put("op/config", platformcase.configuration(version=2))
    await anyio.sleep(2 * _IN_FORCE_S + 0.2)
    self.assertEqual({2}, {g.version for g in fleet.routers.values()})

  @in_fleet
  async def test_store_that_was_away_is_read_soon(self, fleet):
    fleet.store.away = True
    await anyio.sleep(6.0)
    fleet.store.away = False
    await self._leave(fleet)

  @in_large_fleet
  async def test_a_change_is_told_with_the_notice(self, fleet):
    """Guards against a call of every router to the store at each change."""
    before = fleet.store.calls
    for version in range(2, 6):
      fleet.store.put("op/config", platformcase.configuration(version=version))
      await anyio.sleep(0.5)
    await self._leave(fleet)
    self.assertEqual({5}, {g.version for g in fleet.routers.values()})
    # Four changes and one server that leaves: one call each of all would be
    # five times the fleet.
    calls = fleet.store.calls - before
    self.assertTrue(calls <= _LARGE / 2, calls)

  @in_fleet
  async def test_a_large_change_is_not_read_whole_by_all(self, fleet):
    """Guards against links filled by a change that no datagram holds."""
    before = fleet.bytes
    fleet.store.put("op/config", test_slow_links.grown_configuration(2))
    await anyio.sleep(_IN_FORCE_S)
    self.assertEqual({2}, {g.version for g in fleet.routers.values()})
    each = (fleet.bytes - before) / _ROUTERS
    self.assertTrue(each <= _CHANGE_BYTES, each)

  @in_fleet
  async def test_a_reader_with_a_slow_link_holds_nobody_back(self, fleet):
    """Guards against versions that a slow reader learns late, or takes back."""
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
  async def test_a_large_change_passes_routers_that_died(self, fleet):
    """Guards against routers below a dead one that stay at the old version."""
    ranked = sorted(fleet.routers, key=members_lib.rank)
    for name in (ranked[0], *ranked[2:4], ranked[7]):
      fleet.kill(name)
    fleet.store.put("op/config", test_slow_links.grown_configuration(2))
    await anyio.sleep(_IN_FORCE_S)
    self.assertEqual({2}, {g.version for g in fleet.routers.values()})

  @in_large_fleet
  async def test_routers_that_are_refused_do_not_storm_the_store(self, fleet):
    """Guards against calls by the thousand while the store refuses some."""
    names = list(fleet.routers)
    fleet.store.refused = set(names[::3])
    before = fleet.store.calls
    await anyio.sleep(8.0)
    calls = fleet.store.calls - before
    # A call a second and router at most, were all of a third to ask.
    self.assertTrue(calls <= 8 * _LARGE / 3, calls)

  @in_large_fleet
  async def test_readers_that_are_refused_are_stood_in_for(self, fleet):
    """Guards against all routers reading once the readers cannot."""
    fleet.store.refused = set(fleet.readers())
    before = fleet.store.calls
    await anyio.sleep(1.0)
    fleet.store.put("op/config", platformcase.configuration(version=3))
    await self._leave(fleet)
    await anyio.sleep(5.0)
    self.assertEqual({3}, {g.version for g in fleet.routers.values()})
    calls = fleet.store.calls - before
    self.assertTrue(calls <= 8 * _LARGE, calls)

  @in_large_fleet
  async def test_store_that_comes_back_is_not_stormed(self, fleet):
    """Guards against a fleet that fills the store's rate while it is down."""
    fleet.store.away = True
    before = fleet.store.calls
    await anyio.sleep(6.0)
    calls = fleet.store.calls - before
    # Three documents, each asked for once in two seconds by each router.
    self.assertTrue(calls <= 3 * 3 * _LARGE, calls)
    fleet.store.away = False
    await self._leave(fleet)

  @in_large_fleet
  async def test_a_third_that_registers_again_is_told(self, fleet):
    """Guards against all reading who is up at each registration."""
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
  async def test_new_servers_and_routers_are_told(self, fleet):
    """Guards against a read by all for each one that comes or goes."""
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
  async def test_a_change_told_late_takes_nothing_back(self, fleet):
    """Guards against an older configuration put in the place of a newer."""
    fleet.store.put("op/config", platformcase.configuration(version=5))
    await anyio.sleep(1.0)
    gateway = next(g for g in fleet.routers.values() if not g.is_reader)
    newest = gateway.copies.find("op/config")
    older = newest.document | {"version": 4}
    change = deltas.diff(newest.document, older)
    told = {"op/config": [deltas.digest(older), 2.0, change]}
    gateway.notices._take(zlib.compress(json.dumps(told).encode()))
    self.assertEqual(5, gateway.copies.find("op/config").document["version"])

  @in_fleet
  async def test_notice_from_the_future_is_not_relied_on(self, fleet):
    """Guards against a router that reads nothing any more for one datagram."""
    deaf = next(g for g in fleet.routers.values() if not g.is_reader)
    copy = deaf.copies.find("servers/")
    told = {"servers/": [copy.digest, -1e9], "x": ["d", 0], "y": ["d", -1e9]}
    deaf.notices._take(zlib.compress(json.dumps(told).encode()))
    fleet.net.lose = lambda sender: True
    await self._leave(fleet)
    self.assertEqual(3, len(deaf.notices._heard))

  def test_notice_that_unpacks_to_too_much_is_nonsense(self):
    """Guards against a datagram that takes a router past its memory."""
    for raw in (zlib.compress(b" " * 10_000_000), b"", b"[]", b"\x78\x9c"):
      self.assertRaises(ValueError, notices._decode, raw)
