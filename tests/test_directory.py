"""Which configurations and lists of endpoints a router applies."""

import datetime

import testtools

from mustardfall import settings
from mustardfall.routing import configuration
from mustardfall.routing import directory
from mustardfall.util import clock as clock_lib


def _hosts(*names, state="live"):
  return [
      {
          "name": name,
          "url": f"{name}:1",
          "datacentre": "dc",
          "kind": "pool",
          "models": [],
          "state": state,
      }
      for name in names
  ]


def _configuration(version, routes=()):
  limits = configuration.DEFAULT_LIMITS
  return configuration.Configuration(version, list(routes), [], [], limits)


class DirectoryTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.directory = directory.Directory(settings.Scheduler(), self.clock)

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _read(self, *names, every_s=1.0, times=1):
    for _ in range(times):
      self.directory.apply_endpoints(_hosts(*names))
      self._advance(every_s)

  def test_versions_never_go_back(self):
    self.assertTrue(self.directory.apply_configuration(_configuration(5)))
    self.assertFalse(self.directory.apply_configuration(_configuration(4)))
    self.assertFalse(self.directory.apply_configuration(_configuration(5)))
    self.assertEqual(5, self.directory.configuration.version)

  def test_removed_endpoint_is_dropped(self):
    self._read("a", "b", times=4)
    self._read("a")
    self.assertEqual({"a"}, set(self.directory.endpoints.rows))

  def test_failures_are_forgotten_after_a_time_and_not_after_ticks(self):
    # With ticks of 50 ms a failure was forgotten before the next request, which
    # went to the faulty endpoint again and used up the retries.
    self._read("a")
    table = self.directory.endpoints
    table.tick(10.0)
    table.rows["a"].failures += 1
    for tick in range(1, 9):
      table.tick(10.0 + tick * 0.05)
    self.assertGreater(table.rows["a"].failures, 0)
    table.tick(10.6)
    self.assertEqual(0, table.rows["a"].failures)

  def test_first_tick_forgets_no_failure(self):
    """Guards against a failing endpoint that is used again after a start."""
    self._read("a")
    table = self.directory.endpoints
    table.rows["a"].failures += 1
    table.tick(10.0)
    self.assertEqual(1, table.rows["a"].failures)

  def test_leaving_counts_from_the_last_list_without_it(self):
    """Guards against requests to an endpoint whose drain has ended."""
    self.directory.apply_endpoints(_hosts("a"), 3.0)
    self.directory.apply_endpoints(_hosts("a", state="leaving"), 7.0)
    self.directory.apply_endpoints(_hosts("a", state="leaving"), 8.0)
    row = self.directory.endpoints.rows["a"]
    self.assertEqual(3.0, row.leaving_since)

  def test_sole_version_needs_a_current_list_of_some_time(self):
    """Guards against a version that is taken for the only one too early."""

    def apply(version, after_s):
      self._advance(after_s)
      hosts = [{**host, "version": version} for host in _hosts("a")]
      self.directory.apply_endpoints(hosts)

    apply("v1", 0.0)
    self.assertIsNone(self.directory.sole_version("pool", 4.0))
    apply("v1", 5.0)
    self.assertEqual("v1", self.directory.sole_version("pool", 4.0))
    apply("v2", 1.0)
    self.assertIsNone(self.directory.sole_version("pool", 4.0))
    apply("v2", 5.0)
    self.assertEqual("v2", self.directory.sole_version("pool", 4.0))
    self._advance(2.0)
    self.assertIsNone(self.directory.sole_version("pool", 4.0))

  def test_leaving_endpoint_is_not_eligible(self):
    self._read("a", times=4)
    self.directory.apply_endpoints(_hosts("a", state="leaving"))
    self.assertEqual([], self.directory.endpoints.eligible("pool", ""))

  def test_entries_missing_right_after_an_outage_are_kept_for_a_while(self):
    # Entries expired during a store outage of eight seconds. Live servers
    # register again within two seconds; if their entries were dropped at
    # once, there would be no endpoint to send requests to. Endpoints that
    # don't register again are dropped after that.
    self._read("a", "b", times=4)
    self._advance(8)
    self._read("a", every_s=1.0)
    self.assertEqual({"a", "b"}, set(self.directory.endpoints.rows))
    self._read("a", every_s=1.0, times=2)
    self.assertEqual({"a"}, set(self.directory.endpoints.rows))


class MatchTest(testtools.TestCase):

  def _route(self, prefix):
    second = datetime.timedelta(seconds=1)
    kind = configuration.Kind.ONCE
    return configuration.Route(
        prefix, "h", prefix, kind, second, second, 0, (), 1, False, False
    )

  def test_longest_prefix_wins(self):
    routes = [self._route(p) for p in ("/", "/a/", "/a/b/c/")]
    configuration_ = _configuration(1, routes)
    for path, prefix in (
        ("/a/b/c/d", "/a/b/c/"),
        ("/a/b/c", "/a/"),
        ("/a/", "/a/"),
        ("/a", "/"),
        ("/", "/"),
    ):
      self.assertEqual(prefix, configuration_.match("h", path).name, path)
    self.assertIsNone(configuration_.match("other", "/a/"))
