"""A small change to a large configuration costs little processor time.

The configuration holds 1,520 routes, and new versions follow each other several
times a second. In the failure, every router encoded, digested and decoded each
version whole, which took processor time from its callers' streams.
"""

import copy
import time

import testtools

from mustardfall.membership import copies as copies_lib
from mustardfall.membership import deltas
from mustardfall.platform import documents
from mustardfall.util import clock as clock_lib
from tests import test_slow_links

_VERSIONS = 8
_MAX_COST_SHARE = 1 / 5
"""Limit of the cost of a version with one changed route, as a share of the cost
of the whole document."""


class _Router:
  """Applies versions of the configuration, as a follower does."""

  def __init__(self) -> None:
    self.copies = copies_lib.Copies(clock_lib.FakeClock())
    self.decoder = documents.ConfigurationDecoder()

  def update(self, document):
    """Returns the decoded configuration and the processor seconds used."""
    began = time.process_time()
    self.copies.put("op/config", document, 0.0)
    configuration = self.decoder.decode(document)
    return configuration, time.process_time() - began


def _next_version(document, number, **more):
  """Returns the next version with one changed route, as a delta gives it."""
  changed = copy.deepcopy(document) | more
  changed["version"] += 1
  changed["routes"][number]["timeout_ms"] += 1
  changed["routes"].pop(number + 10)
  return deltas.apply(document, deltas.diff(document, changed))


class SmallChangeTest(testtools.TestCase):

  def test_one_changed_route_costs_a_fraction_of_the_whole(self):
    """Guards against hosts kept fully busy by a series of versions."""
    document = test_slow_links.grown_configuration(2)
    whole_s = min(_Router().update(document)[1] for _ in range(3))
    router = _Router()
    router.update(document)
    each_s = []
    for number in range(_VERSIONS):
      document = _next_version(document, number)
      configuration, took_s = router.update(document)
      self.assertEqual(document["version"], configuration.version)
      each_s.append(took_s)
    self.assertTrue(
        min(each_s) <= whole_s * _MAX_COST_SHARE, (min(each_s), whole_s)
    )

  def test_incremental_decoding_equals_a_full_one(self):
    """Guards against serving a changed or removed route in its old form."""
    document = test_slow_links.grown_configuration(2)
    router = _Router()
    router.update(document)
    for number in range(3):
      team = {"name": "acme", "api_keys": [f"key{number}"]}
      document = _next_version(document, number, tenants=[team])
      configuration, _ = router.update(document)
      expected = documents.ConfigurationDecoder().decode(document)
      self.assertEqual(expected._routes, configuration._routes)
      self.assertEqual(expected.teams, configuration.teams)
      kept = router.copies.find("op/config")
      self.assertEqual(deltas.digest(document), kept.digest)
