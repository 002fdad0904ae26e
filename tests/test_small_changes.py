"""A small change of a large configuration costs little processor time.

Pattern: the configuration holds 1,520 routes, and versions follow one another
several times a second. Each version used to be encoded, digested and decoded
whole by every router, beside its callers' streams.
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
_SHARE = 1 / 5
"""Part of the cost of a whole document that a version of one new route has."""


class _Router:
  """Takes versions of the configuration in, as a follower does."""

  def __init__(self) -> None:
    self.copies = copies_lib.Copies(clock_lib.FakeClock())
    self.decoder = documents.ConfigurationDecoder()

  def take(self, document):
    """Returns the configuration and the processor seconds that it took."""
    began = time.process_time()
    self.copies.put("op/config", document, 0.0)
    found = self.decoder.decode(document)
    return found, time.process_time() - began


def _changed(document, number, **more):
  """Returns the next version, with one route changed, as others tell it."""
  found = copy.deepcopy(document) | more
  found["version"] += 1
  found["routes"][number]["timeout_ms"] += 1
  found["routes"].pop(number + 10)
  return deltas.apply(document, deltas.diff(document, found))


class SmallChangeTest(testtools.TestCase):

  def test_one_route_changed_costs_a_part_of_the_whole(self):
    """Guards against hosts that do nothing else while versions come in series."""
    document = test_slow_links.grown_configuration(2)
    whole_s = min(_Router().take(document)[1] for _ in range(3))
    router = _Router()
    router.take(document)
    each_s = []
    for number in range(_VERSIONS):
      document = _changed(document, number)
      found, took_s = router.take(document)
      self.assertEqual(document["version"], found.version)
      each_s.append(took_s)
    self.assertTrue(min(each_s) <= whole_s * _SHARE, (min(each_s), whole_s))

  def test_what_was_decoded_before_is_what_it_would_be_now(self):
    """Guards against a changed or removed route that is served as it was."""
    document = test_slow_links.grown_configuration(2)
    router = _Router()
    router.take(document)
    for number in range(3):
      team = {"name": "acme", "api_keys": [f"key{number}"]}
      document = _changed(document, number, tenants=[team])
      found, _ = router.take(document)
      fresh = documents.ConfigurationDecoder().decode(document)
      self.assertEqual(fresh._routes, found._routes)
      self.assertEqual(fresh.teams, found.teams)
      kept = router.copies.find("op/config")
      self.assertEqual(deltas.digest(document), kept.digest)
