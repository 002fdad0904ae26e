"""Limits of the requests to cold endpoints, over all routers of a fleet."""

import datetime
import itertools
import json
import random

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall import events
from mustardfall import settings
from mustardfall.kv import protocol
from mustardfall.membership import members as members_lib
from mustardfall.platform import documents
from mustardfall.proxy import cold_start_limiter
from mustardfall.routing import coldstart
from mustardfall.routing import configuration
from mustardfall.routing import directory
from mustardfall.util import clock as clock_lib
from tests import platformcase

RATE = 8.0
"""Requests per second that a cold endpoint bears."""
OVERSHOOT = 1.5
SLACK = 5
"""An endpoint may get `RATE * OVERSHOOT + SLACK` requests in any second."""
SERVICE = configuration.Service(
    "pool", 100, None, datetime.timedelta(seconds=3), RATE
)


def most_in_a_second(times: list[float]) -> int:
  """Returns the largest number of times within any span of one second."""
  times = sorted(times)
  start = most = 0
  for end, time in enumerate(times):
    while times[start] <= time - 1.0:
      start += 1
    most = max(most, end - start + 1)
  return most


def host(name, datacentre="dc", **more):
  return {
      "name": name,
      "url": f"{name}:1",
      "datacentre": datacentre,
      "kind": "pool",
      "models": [],
      **more,
  }


class IntervalTest(testtools.TestCase):

  def test_few_routers_share_half_of_the_rate(self):
    for fleet in (1, 3, 9, 80, 300, 760):
      routers = [f"front-{n}" for n in range(fleet)]
      intervals = [
          coldstart.interval_s("e", router, routers, RATE) for router in routers
      ]
      senders = [i for i in intervals if i is not None]
      self.assertEqual(min(fleet, 4), len(senders), fleet)
      self.assertLessEqual(sum(1 / i for i in senders), RATE / 2, fleet)

  def test_endpoint_that_bears_less_than_one_a_second_has_one_sender(self):
    routers = [f"front-{n}" for n in range(30)]
    intervals = [coldstart.interval_s("e", r, routers, 0.5) for r in routers]
    self.assertEqual([4.0], [i for i in intervals if i is not None])

  @hypothesis.settings(deadline=None, max_examples=60)
  @hypothesis.given(
      seed=strategies.integers(0, 2**32),
      fleet=strategies.sampled_from([9, 80, 300]),
      missing=strategies.floats(0.0, 0.35),
      rate=strategies.sampled_from([0.5, 2.0, 8.0, 30.0]),
  )
  def test_never_above_the_bound_whatever_members_each_router_knows(
      self, seed, fleet, missing, rate
  ):
    # Half of the routers know the whole fleet. The others were cut off while
    # up to a third of it was gone, and know what was left.
    rng = random.Random(seed)
    routers = [f"front-{n}" for n in range(fleet)]
    left = [r for r in routers if rng.random() >= missing]
    arrivals = []
    for router in routers:
      known = routers if rng.random() < 0.5 else sorted({*left, router})
      interval_s = coldstart.interval_s("e", router, known, rate)
      if interval_s is None:
        continue
      first = rng.uniform(0.0, interval_s)
      arrivals += [
          first + n * interval_s + rng.uniform(0.0, 0.2)
          for n in range(int(6 / interval_s) + 1)
      ]
    bound = rate * OVERSHOOT + SLACK
    self.assertLessEqual(most_in_a_second(arrivals), bound)


class ColdStartLimiterTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.members = self._members("front-0")
    self.members.update([self._member(f"front-{n}") for n in range(80)])
    self.members.set_list_current(True)
    self.directory = directory.Directory(settings.Scheduler(), self.clock)
    limits = configuration.DEFAULT_LIMITS
    self.directory.apply_configuration(
        configuration.Configuration(1, [], [SERVICE], [], limits)
    )
    self.limiter = cold_start_limiter.ColdStartLimiter(self.members, self.clock)

  def _member(self, name):
    return members_lib.Member(name, "1", f"http://{name}", "dc", "region")

  def _members(self, name):
    return members_lib.Members(
        None,
        self._member(name),
        settings.Membership(),
        self.clock,
        events.Bus(),
    )

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _permitted(self):
    rows = self.directory.endpoints.eligible("pool", "")
    permitted = self.limiter.filter_permitted(rows, SERVICE)
    return {row.name for row in permitted}

  def _own(self):
    """Returns the name of an endpoint that this router may send to."""
    names = self.members.names
    return next(
        name
        for name in map("e-{}".format, itertools.count())
        if coldstart.interval_s(name, "front-0", names, RATE) is not None
    )

  def test_only_assigned_routers_send_to_a_cold_endpoint_and_at_intervals(self):
    own = self._own()
    others = [f"other-{n}" for n in range(100)]
    strangers = [
        name
        for name in others
        if coldstart.interval_s(name, "front-0", self.members.names, RATE)
        is None
    ]
    hosts = [host(name, cold_ms=3000.0) for name in [own, *strangers]]
    self.directory.apply_endpoints([*hosts, host("warm")])
    self.assertEqual({own, "warm"}, self._permitted())
    row = self.directory.endpoints.rows[own]
    self.assertTrue(self.limiter.acquire(row, SERVICE))
    self.assertEqual({"warm"}, self._permitted())
    self.assertFalse(self.limiter.acquire(row, SERVICE))
    self._advance(1.3)
    self.assertEqual({own, "warm"}, self._permitted())

  def test_endpoint_is_warm_once_the_reported_time_has_passed(self):
    # The same copy of the list is applied again while the router is cut off
    # from the store; the time must not begin anew.
    hosts = [host(f"other-{n}", cold_ms=3000.0) for n in range(50)]
    for _ in range(4):
      self.directory.apply_endpoints(hosts)
      self.assertLess(len(self._permitted()), 50)
      self._advance(0.8)
    self.directory.apply_endpoints(hosts)
    self.assertEqual(50, len(self._permitted()))
    self.limiter.prune()

  def test_endpoint_that_becomes_cold_again_is_limited_again(self):
    names = [f"other-{n}" for n in range(50)]
    self.directory.apply_endpoints([host(n, cold_ms=3000.0) for n in names])
    self._advance(4.0)
    self.directory.apply_endpoints([host(n) for n in names])
    self.directory.apply_endpoints([host(n, cold_ms=3000.0) for n in names])
    self.assertLess(len(self._permitted()), 50)

  def test_started_router_that_knows_no_other_sends_to_no_cold_endpoint(self):
    # All hosts restart while the store is away. Each knows only itself, and
    # would take all cold endpoints for its own.
    alone = cold_start_limiter.ColdStartLimiter(
        self._members("front-1"), self.clock
    )
    self.directory.apply_endpoints([host("e", cold_ms=3000.0), host("warm")])
    rows = self.directory.endpoints.eligible("pool", "")
    permitted = alone.filter_permitted(rows, SERVICE)
    self.assertEqual(["warm"], [row.name for row in permitted])

  def test_data_centre_that_is_taken_back_counts_as_cold(self):
    # Operators take a data centre back. Its endpoints are cold, which the list
    # shows only after their next heartbeat.
    hosts = [host(f"b-{n}", "b") for n in range(50)]
    self.directory.apply_endpoints([*hosts, host("a", "a")])
    self.assertEqual(51, len(self._permitted()))
    self.directory.apply_evacuations(frozenset({"b"}))
    self.assertEqual({"a"}, self._permitted())
    self.directory.apply_evacuations(frozenset())
    self.assertLess(len(self._permitted()), 20)
    self._advance(3.1)
    self.assertEqual(51, len(self._permitted()))

  def test_service_without_a_rate_is_not_limited(self):
    service = SERVICE._replace(cold_rate=0.0)
    self.directory.apply_endpoints([host("e", cold_ms=3000.0)])
    rows = self.directory.endpoints.eligible("pool", "")
    self.assertEqual(rows, self.limiter.filter_permitted(rows, service))


class ColdEntryTest(testtools.TestCase):

  def _decode(self, cold_left_ms):
    entry = {
        "service": "pool",
        "address": "10.0.0.1:80",
        "zone": "dc",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": cold_left_ms,
        "seq": 4,
    }
    raw = json.dumps(entry).encode()
    record = protocol.Record("servers/e", raw, 1, 0)
    return documents.ServerListDecoder().decode([record])[0]

  def test_time_left_is_read(self):
    self.assertEqual(2500.0, self._decode(2500)["cold_ms"])
    self.assertNotIn("cold_ms", self._decode(0))

  def test_impossible_time_is_ignored_and_the_endpoint_stays_in_use(self):
    for value in (-1, 1e12):
      host = self._decode(value)
      self.assertEqual("live", host["state"])
      self.assertNotIn("cold_ms", host)

  def test_service_with_an_invalid_rate_is_used_without_one(self):
    document = platformcase.configuration()
    service = document["services"][0]
    for value in (-1, "8", None, float("nan"), 0):
      service["cold_per_s"], service["cold_start_s"] = value, 3.0
      decoded = documents.ConfigurationDecoder().decode(document)
      self.assertEqual(0.0, decoded.services["pool"].cold_rate)
      self.assertEqual(3.0, decoded.services["pool"].cold_start.total_seconds())
