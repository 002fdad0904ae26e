"""Lists of servers and configurations with parts that make no sense."""

import json

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from mustardfall import settings
from mustardfall.kv import protocol
from mustardfall.membership import copies as copies_lib
from mustardfall.platform import documents
from mustardfall.platform import followers as followers_lib
from mustardfall.platform import sources
from mustardfall.routing import configuration
from mustardfall.routing import directory
from mustardfall.util import clock as clock_lib

ENTRY = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "dc",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1_764_726_000_000,
}
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)
_OTHER_TYPES = {
    "service": strategies.sampled_from([None, 3, ["pool"], {}]),
    "address": strategies.sampled_from(
        [None, 80, "", "10.0.0.1", "10.0.0.1:x", "10.0.0.1:99999", ["a"]]
    ),
    "zone": strategies.sampled_from([None, 1, []]),
    "version": strategies.sampled_from([None, 1, {}]),
    "slots": strategies.sampled_from([None, "8", -1, 2.5, True]),
    "state": strategies.sampled_from([None, 1, "", "warming", "READY"]),
    "cold_left_ms": strategies.sampled_from([None, "0", [], False]),
    "seq": strategies.sampled_from([None, "4", {}]),
    "born": strategies.sampled_from(["1764726000000", 1.5, [], True]),
}


@strategies.composite
def _bad_entries(draw) -> bytes:
  """Returns an entry that names no server: bytes, JSON or a field wrong."""
  way = draw(strategies.sampled_from(["bytes", "json", "type", "missing"]))
  if way == "bytes":
    return draw(strategies.binary(max_size=40)) + b"\xff"
  if way == "json":
    return json.dumps(draw(_JSON)).encode()
  field = draw(strategies.sampled_from(sorted(_OTHER_TYPES)))
  entry = dict(ENTRY)
  if way == "type" or field == "born":
    entry[field] = draw(_OTHER_TYPES[field])
  else:
    del entry[field]
  return json.dumps(entry).encode()


class _Store:
  """Answers reads of the list with what a test has put there."""

  def __init__(self) -> None:
    self.entries: dict[str, bytes] = {}
    self.revision = 1

  def write(self, name: str, raw: bytes | dict) -> None:
    self.revision += 1
    text = json.dumps(raw).encode() if isinstance(raw, dict) else raw
    self.entries[name] = text

  async def get_prefix(self, prefix):
    records = [
        protocol.Record(prefix + name, raw, self.revision, 0)
        for name, raw in self.entries.items()
    ]
    return self.revision, records


class _Relay:
  """Others, who know nothing."""

  async def fetch(self, name):
    del name


class _Notices:
  """Nobody tells anything."""

  tells = False

  def agrees(self, name):
    del name
    return True

  async def wait(self, most_s):
    del most_s
    await anyio.sleep_forever()


class _Accounts:
  members = None


class _Gateway:

  def __init__(self) -> None:
    self.clock = clock_lib.FakeClock()
    self.directory = directory.Directory(settings.Scheduler(), self.clock)
    self.copies = copies_lib.Copies(self.clock)
    self.notices = _Notices()
    self.relay = _Relay()
    self.accounts = _Accounts()

  async def take_endpoints(self, hosts):
    self.directory.apply_endpoints(hosts)


class _World:

  def __init__(self) -> None:
    self.store = _Store()
    self.gateway = _Gateway()
    self.followers = followers_lib.Followers(
        self.gateway, self.store, self.gateway.clock
    )

  def read(self) -> list[str]:
    """Reads the list once; returns the servers that may get work."""
    anyio.run(self.followers.servers.read)
    eligible = self.gateway.directory.endpoints.eligible("pool", "")
    return sorted(row.name for row in eligible)


class BadEntryTest(testtools.TestCase):

  @hypothesis.given(raw=_bad_entries())
  @hypothesis.settings(max_examples=300, deadline=None)
  def test_entry_of_another_writer_hides_no_other(self, raw):
    # Requests kept going to a server that had left, and new ones got none:
    # one entry of another writer could not be read, and with it the whole
    # list. It names no server; what the others say is taken in.
    world = _World()
    world.store.write("a", ENTRY)
    world.store.write("bad", raw)
    world.store.write("z", ENTRY | {"address": "10.0.0.2:80"})
    self.assertEqual(["a", "z"], world.read())
    world.store.write("a", ENTRY | {"state": "draining"})
    world.store.write("y", ENTRY | {"address": "10.0.0.3:80"})
    self.assertEqual(["y", "z"], world.read())

  @hypothesis.given(raw=_bad_entries())
  @hypothesis.settings(max_examples=100, deadline=None)
  def test_server_whose_entry_is_overwritten_gets_no_work_until_mended(
      self, raw
  ):
    world = _World()
    world.store.write("a", ENTRY)
    self.assertEqual(["a"], world.read())
    world.store.write("a", raw)
    self.assertEqual([], world.read())
    world.store.write("a", ENTRY)
    self.assertEqual(["a"], world.read())

  def test_nested_deeper_than_a_parser_goes(self):
    world = _World()
    world.store.write("a", ENTRY)
    world.store.write("bad", b"[" * 100_000)
    self.assertEqual(["a"], world.read())

  def test_id_that_no_header_can_carry(self):
    world = _World()
    world.store.write("a", ENTRY)
    world.store.write("b\r\nTenant: x", ENTRY)
    self.assertEqual(["a"], world.read())

  def test_service_that_no_route_names_gets_no_work(self):
    world = _World()
    world.store.write("a", ENTRY)
    world.store.write("b", ENTRY | {"service": "other"})
    self.assertEqual(["a"], world.read())


class StartedAgainTest(testtools.TestCase):

  def test_all_that_was_learnt_is_of_the_life_before(self):
    # Long prompts waited: a server crashed, started again under its id, and
    # was still taken to hold the prefixes that it was sent before, to have
    # requests in flight, and to be as slow as it was.
    world = _World()
    world.store.write("a", ENTRY)
    world.read()
    table = world.gateway.directory.endpoints
    old = table.rows["a"]
    table.note_prefix(old.life, "p", 0.0)
    old.in_flight, old.failures, old.slowness, old.running = 3, 2, 4.0, 9.0
    world.store.write("a", ENTRY | {"born": ENTRY["born"] + 5_000, "seq": 1})
    world.read()
    new = table.rows["a"]
    self.assertEqual(({}, 0, 0, 1.0, 0.0), _learnt(new))
    self.assertTrue(new.cold_cache)
    # Requests of the life before end on its row; late news are of it, too.
    old.in_flight -= 1
    table.note_prefix(old.life, "p", 0.0)
    self.assertEqual(({}, 0, 0, 1.0, 0.0), _learnt(new))

  def test_same_life_keeps_what_was_learnt(self):
    world = _World()
    world.store.write("a", ENTRY)
    world.read()
    row = world.gateway.directory.endpoints.rows["a"]
    world.store.write("a", ENTRY | {"seq": 5})
    world.read()
    self.assertIs(row, world.gateway.directory.endpoints.rows["a"])


def _learnt(row):
  return row.prefixes, row.in_flight, row.failures, row.slowness, row.running


_ROUTE = {
    "name": "r",
    "host": "shop.example",
    "prefix": "/a/",
    "kind": "safe",
    "timeout_ms": 1000,
    "service": "pool",
}


class ConfigurationPartTest(testtools.TestCase):

  def _decode(self, **parts) -> configuration.Configuration:
    document = {"version": 3, "routes": [_ROUTE], "services": [], **parts}
    return documents.ConfigurationDecoder().decode(document)

  @hypothesis.given(bad=_JSON)
  def test_part_that_makes_no_sense_hides_no_other(self, bad):
    # Every request got 404 or an old version's answer: one part of a new
    # configuration could not be read, and none of it was put in force.
    team = {"name": "acme", "api_keys": ["k"], "prepaid": 10}
    found = self._decode(
        routes=[bad, _ROUTE, _ROUTE | {"prefix": bad, "timeout_ms": bad}],
        services=[bad, {"name": "pool", "max_conns": 5}],
        tenants=[bad, team],
        limits=bad,
    )
    self.assertEqual("r", found.match("shop.example", "/a/b").name)
    self.assertEqual({"pool"}, set(found.services))
    self.assertEqual("acme", found.team_of("k").name)

  def test_document_that_is_none_is_refused(self):
    decoder = documents.ConfigurationDecoder()
    for document in ({}, [], None, {"version": "3"}, {"version": 3}):
      self.assertRaises(ValueError, decoder.decode, document)

  def test_record_that_is_no_object_is_an_empty_document(self):
    for raw in (b"", b"\xff", b"[]", b"3", b"[" * 100_000):
      record = protocol.Record("op/config", raw, 1, 0)
      self.assertEqual({}, sources._decode_object(record))
