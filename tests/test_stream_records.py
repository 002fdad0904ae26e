"""Tables of records of streams, and the routers that hold them."""

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.routing import stream_holders
from mustardfall.routing import stream_records

_KEY = stream_holders.key_of("team", "request")
_V1 = stream_records.origin_of("pool", "v1")
_V2 = stream_records.origin_of("pool", "v2")


class RecordTest(testtools.TestCase):

  @hypothesis.given(
      strategies.binary(min_size=8, max_size=8),
      strategies.integers(1, 100_000),
      strategies.floats(0.0, 1e6),
  )
  def test_record_is_decoded_as_it_was_encoded(self, key, attempt, left_s):
    record = stream_records.make_record(key, _V1, attempt, left_s)
    self.assertEqual(stream_records.RECORD_BYTES, len(record.encode()))
    decoded = stream_records.decode_record(record.encode())
    self.assertEqual(record, decoded)

  @hypothesis.given(strategies.binary(max_size=40))
  def test_malformed_record_is_an_error(self, raw):
    try:
      record = stream_records.decode_record(raw)
    except ValueError:
      return
    self.assertEqual(raw, record.encode())

  def test_teams_have_different_streams(self):
    """Guards against a team that resumes another team's stream by its id."""
    self.assertNotEqual(_KEY, stream_holders.key_of("other", "request"))


class TableTest(testtools.TestCase):

  def test_late_record_of_an_earlier_attempt_changes_nothing(self):
    """Guards against datagrams that arrive in another order, or twice."""
    table = stream_records.Table()
    second = stream_records.make_record(_KEY, _V2, 2, 10)
    table.put(second, 0.0)
    table.put(stream_records.make_record(_KEY, _V1, 1, 10), 0.1)
    self.assertEqual(second, table.find(_KEY, 0.1).record)

  def test_record_ends_with_its_time(self):
    table = stream_records.Table()
    table.put(stream_records.make_record(_KEY, _V1, 1, 10), 5.0)
    self.assertEqual(3, table.find(_KEY, 12.5).record.left_s)
    self.assertIsNone(table.find(_KEY, 15.0))
    table.prune(15.0)
    self.assertEqual(0, len(table))

  def test_table_is_bounded(self):
    """Guards against memory that grows with the number of streams."""
    table = stream_records.Table()
    for number in range(stream_records.MAX_RECORDS + 10):
      key = number.to_bytes(8)
      table.put(stream_records.make_record(key, _V1, 1, 10), 0.0)
    self.assertEqual(stream_records.MAX_RECORDS, len(table))
    self.assertIsNone(table.find((0).to_bytes(8), 0.0))


def _routers(count, datacentres):
  return [
      stream_holders.Router(f"r-{n}", f"dc-{n % datacentres}", "region")
      for n in range(count)
  ]


def _holders(routers):
  holders = stream_holders.Holders()
  holders.set(routers)
  return holders


class HoldersTest(testtools.TestCase):

  @hypothesis.given(
      strategies.integers(1, 40),
      strategies.integers(1, 6),
      strategies.integers(1, 8),
      strategies.binary(min_size=8, max_size=8),
  )
  def test_copies_lie_in_as_many_data_centres_as_possible(
      self, count, datacentres, copies, key
  ):
    """Guards against records that one data centre takes away."""
    routers = _routers(count, datacentres)
    found = _holders(routers).rank(key, "region", copies)
    self.assertEqual(min(copies, count), len(set(found)))
    existing = len({router.datacentre for router in routers})
    in_use = {router.datacentre for router in found}
    self.assertEqual(min(copies, existing), len(in_use))

  def test_other_routers_keep_their_streams_when_one_leaves(self):
    """Guards against records that are looked for where they are not."""
    routers = _routers(30, 3)
    before, after = _holders(routers), _holders(routers[1:])
    for number in range(300):
      key = stream_holders.key_of("team", str(number))
      first = before.rank(key, "region", 3)
      if routers[0] not in first:
        self.assertEqual(first, after.rank(key, "region", 3))
      else:
        kept = set(first) - {routers[0]}
        self.assertTrue(kept <= set(after.rank(key, "region", 6)))

  def test_records_are_spread_evenly(self):
    """Guards against a router that holds far more than its part."""
    holders = _holders(_routers(30, 3))
    counts = dict.fromkeys(_routers(30, 3), 0)
    for number in range(6_000):
      key = stream_holders.key_of("team", str(number))
      for router in holders.rank(key, "region", 3):
        counts[router] += 1
    self.assertTrue(max(counts.values()) < 2 * 600, counts)
    self.assertTrue(min(counts.values()) > 600 / 2, counts)
