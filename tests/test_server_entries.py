"""Server lists and configurations with invalid parts."""

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
_INVALID_VALUES = {
    "service": strategies.sampled_from([None, 3, ["pool"], {}]),
    "address": strategies.sampled_from(
        [
            None,
            80,
            "",
            "10.0.0.1",
            "10.0.0.1:x",
            "10.0.0.1:99999",
            "10.0.0.1:0",
            "10.0.0.1:\u0661\u0662",
            "\u0661\u0660.0.0.1:80",
            "10.0.0.256:80",
            "10.0.0.1:80\n",
            ["a"],
        ]
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
def _invalid_entries(draw) -> bytes:
  """Returns an invalid entry: no text, another JSON value, or a wrong field."""
  defect = draw(strategies.sampled_from(["bytes", "json", "type", "missing"]))
  if defect == "bytes":
    return draw(strategies.binary(max_size=40)) + b"\xff"
  if defect == "json":
    return json.dumps(draw(_JSON)).encode()
  field = draw(strategies.sampled_from(sorted(_INVALID_VALUES)))
  entry = dict(ENTRY)
  if defect == "type" or field == "born":
    entry[field] = draw(_INVALID_VALUES[field])
  else:
    del entry[field]
  return json.dumps(entry).encode()


class _Store:
  """Fake store that holds the entries which a test has written."""

  def __init__(self) -> None:
    self.entries: dict[str, bytes] = {}
    self.revision = 1

  def write(self, name: str, raw: bytes | dict) -> None:
    self.revision += 1
    encoded = json.dumps(raw).encode() if isinstance(raw, dict) else raw
    self.entries[name] = encoded

  async def get_prefix(self, prefix):
    records = [
        protocol.Record(prefix + name, raw, self.revision, 0)
        for name, raw in self.entries.items()
    ]
    return self.revision, records


class _Relay:
  """Fake relay: no other router has a copy of any document."""

  async def fetch(self, name):
    del name


class _Notices:
  """Notices of a router without datagrams, which reads for itself."""

  is_announcer = False
  is_reader = True

  def is_up_to_date(self, name):
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

  async def apply_endpoints(self, hosts, as_of):
    self.directory.apply_endpoints(hosts, as_of)


class _Fixture:

  def __init__(self) -> None:
    self.store = _Store()
    self.gateway = _Gateway()
    self.followers = followers_lib.Followers(
        self.gateway, self.store, self.gateway.clock
    )

  def read(self) -> list[str]:
    """Reads the list once; returns the servers that may get requests."""
    anyio.run(self.followers.servers.read)
    eligible = self.gateway.directory.endpoints.eligible("pool", "")
    return sorted(row.name for row in eligible)


class InvalidEntryTest(testtools.TestCase):

  @hypothesis.given(raw=_invalid_entries())
  @hypothesis.settings(max_examples=300, deadline=None)
  def test_invalid_entry_does_not_hide_others(self, raw):
    # Guards against one invalid entry that makes the whole list unreadable:
    # requests would go on to servers that have left, and new servers would
    # get none.
    fixture = _Fixture()
    fixture.store.write("a", ENTRY)
    fixture.store.write("bad", raw)
    fixture.store.write("z", ENTRY | {"address": "10.0.0.2:80"})
    self.assertEqual(["a", "z"], fixture.read())
    fixture.store.write("a", ENTRY | {"state": "draining"})
    fixture.store.write("y", ENTRY | {"address": "10.0.0.3:80"})
    self.assertEqual(["y", "z"], fixture.read())

  @hypothesis.given(raw=_invalid_entries())
  @hypothesis.settings(max_examples=100, deadline=None)
  def test_server_with_overwritten_entry_gets_no_work_until_repaired(self, raw):
    fixture = _Fixture()
    fixture.store.write("a", ENTRY)
    self.assertEqual(["a"], fixture.read())
    fixture.store.write("a", raw)
    self.assertEqual([], fixture.read())
    fixture.store.write("a", ENTRY)
    self.assertEqual(["a"], fixture.read())

  def test_each_odd_value_of_a_field_makes_one_entry_invalid(self):
    """Guards against an odd value that is taken for an address, or hides others."""
    for field, strategy in _INVALID_VALUES.items():
      for value in strategy.elements:
        fixture = _Fixture()
        fixture.store.write("a", ENTRY)
        fixture.store.write("b", ENTRY | {field: value})
        self.assertEqual(["a"], fixture.read(), (field, value))

  def test_entry_nested_too_deeply_for_the_parser(self):
    fixture = _Fixture()
    fixture.store.write("a", ENTRY)
    fixture.store.write("bad", b"[" * 100_000)
    self.assertEqual(["a"], fixture.read())

  def test_id_that_is_no_valid_header_value(self):
    fixture = _Fixture()
    fixture.store.write("a", ENTRY)
    fixture.store.write("b\r\nTenant: x", ENTRY)
    self.assertEqual(["a"], fixture.read())

  def test_servers_of_other_services_are_not_eligible(self):
    fixture = _Fixture()
    fixture.store.write("a", ENTRY)
    fixture.store.write("b", ENTRY | {"service": "other"})
    self.assertEqual(["a"], fixture.read())


class RestartTest(testtools.TestCase):

  def test_restarted_server_loses_its_learned_state(self):
    # Guards against prefixes, requests in flight and slowness of a server that
    # are kept after it crashed and restarted under the same id, which made
    # requests with long prompts wait.
    fixture = _Fixture()
    fixture.store.write("a", ENTRY)
    fixture.read()
    table = fixture.gateway.directory.endpoints
    old = table.rows["a"]
    table.note_prefix(old.life, "p", 0.0)
    old.in_flight, old.failures, old.slowness, old.running = 3, 2, 4.0, 9.0
    fixture.store.write("a", ENTRY | {"born": ENTRY["born"] + 5_000, "seq": 1})
    fixture.read()
    new = table.rows["a"]
    self.assertEqual(({}, 0, 0, 1.0, 0.0), _learned_state(new))
    self.assertTrue(new.cold_cache)
    # Requests and reports of the previous process still refer to its row.
    old.in_flight -= 1
    table.note_prefix(old.life, "p", 0.0)
    self.assertEqual(({}, 0, 0, 1.0, 0.0), _learned_state(new))

  def test_running_server_keeps_its_learned_state(self):
    fixture = _Fixture()
    fixture.store.write("a", ENTRY)
    fixture.read()
    row = fixture.gateway.directory.endpoints.rows["a"]
    fixture.store.write("a", ENTRY | {"seq": 5})
    fixture.read()
    self.assertIs(row, fixture.gateway.directory.endpoints.rows["a"])


def _learned_state(row):
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
  def test_invalid_part_does_not_hide_others(self, bad):
    # Guards against one invalid part that keeps a whole new configuration from
    # coming into force: requests got 404 or were routed by the old version.
    team = {"name": "acme", "api_keys": ["k"], "prepaid": 10}
    decoded = self._decode(
        routes=[
            bad,
            _ROUTE,
            _ROUTE | {"prefix": bad, "timeout_ms": bad},
        ],
        services=[bad, {"name": "pool", "max_conns": 5}],
        tenants=[bad, team],
        limits=bad,
    )
    self.assertEqual("r", decoded.match("shop.example", "/a/b").name)
    self.assertEqual({"pool"}, set(decoded.services))
    self.assertEqual("acme", decoded.team_of("k").name)

  def test_invalid_document_is_rejected(self):
    decoder = documents.ConfigurationDecoder()
    for document in ({}, [], None, {"version": "3"}, {"version": 3}):
      self.assertRaises(ValueError, decoder.decode, document)

  def test_record_without_a_json_object_gives_an_empty_document(self):
    for raw in (b"", b"\xff", b"[]", b"3", b"[" * 100_000):
      record = protocol.Record("op/config", raw, 1, 0)
      self.assertEqual({}, sources._decode_object(record))
