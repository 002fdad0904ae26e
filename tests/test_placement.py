"""The choice of endpoints under the loads that the users specified.

Streams with long prompts share prefixes (116 to 201 of them, 13,300 tokens each
for an appraisal) over nine engines that prefill 51 to 64 tokens per ms and
cache about 28 such prefixes each. A prefix that every engine prefills costs
nine times as much; a burst of requests that all go to one engine makes every
one of them wait.
"""

import collections

import testtools

from mustardfall.routing import endpoints
from mustardfall.routing import placement

_APPRAISAL_SHARED = 13_300
_APPRAISAL_OWN = 3_720


def _rows(count: int) -> list[endpoints.Row]:
  return [
      endpoints.Row(f"i-{n}", f"10.0.0.{n}:1", "dc", "pool", [], "live", 2.0)
      for n in range(count)
  ]


def _prompt(number: int) -> placement.Prompt:
  return placement.Prompt(f"p{number}", _APPRAISAL_SHARED, _APPRAISAL_OWN)


class PlacementTest(testtools.TestCase):

  def test_calm_load_keeps_each_prefix_at_one_engine(self):
    rows = _rows(9)
    where = collections.defaultdict(set)
    for _ in range(5):
      for number in range(116):
        place = placement.choose(rows, _prompt(number), "dc")
        where[number].add(place.row.name)
    self.assertEqual({1}, {len(names) for names in where.values()})

  def test_prefixes_spread_over_the_engines(self):
    rows = _rows(9)
    load = collections.Counter(
        placement.choose(rows, _prompt(n), "dc").row.name for n in range(201)
    )
    self.assertEqual(9, len(load))
    self.assertTrue(max(load.values()) <= 2 * 201 / 9)

  def test_burst_on_one_prefix_spills_to_the_next_engine(self):
    # All requests share one prefix. Once waiting at its engine takes longer
    # than prefilling the prefix at the next one, that one must be chosen.
    rows = _rows(9)
    used = set()
    for _ in range(20):
      place = placement.choose(rows, _prompt(1), "dc")
      place.row.prefill_s += place.prefill_s
      place.row.in_flight += 1
      used.add(place.row.name)
    self.assertTrue(1 < len(used) <= 9, used)

  def test_failing_engine_is_avoided_until_it_recovers(self):
    rows = _rows(9)
    first = placement.choose(rows, _prompt(1), "dc").row
    first.failures = 3
    self.assertIsNot(first, placement.choose(rows, _prompt(1), "dc").row)
    first.failures = 0
    self.assertIs(first, placement.choose(rows, _prompt(1), "dc").row)

  def test_reported_queue_counts_like_own_requests(self):
    rows = _rows(2)
    first = placement.choose(rows, placement.NO_PROMPT, "dc").row
    first.waiting = 4.0
    other = placement.choose(rows, placement.NO_PROMPT, "dc").row
    self.assertIsNot(first, other)

  def test_plain_requests_stay_in_their_data_centre(self):
    rows = _rows(3)
    rows[1].datacentre = rows[2].datacentre = "far"
    place = placement.choose(rows, placement.NO_PROMPT, "dc")
    self.assertEqual("dc", place.row.datacentre)

  def test_no_placement_without_endpoints(self):
    self.assertIsNone(placement.choose([], placement.NO_PROMPT, "dc"))
