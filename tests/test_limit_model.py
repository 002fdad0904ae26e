"""A limit that an endpoint names binds fleets of any size, whatever fails.

In virtual time, with the product's modules on all routers: some are cut off from
the store, from each other or from the endpoints, are restarted, or know other
routers than the rest; datagrams are lost. An endpoint may get half as much
again as its limit allows in any four seconds, and five requests more.
"""

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.bench.virtual import limits

_WINDOW_S = 4.0
_HEARD_S = 3.0
"""Time in which all routers have to hear of a limit."""


def _allowed(day: limits.Day) -> float:
  return 1.5 * day.per_s * _WINDOW_S + 5


def _faults(routers: int) -> strategies.SearchStrategy[limits.Fault]:
  return strategies.builds(
      limits.Fault,
      kind=strategies.sampled_from(
          ["store", "peers", "endpoints", "kill", "part"]
      ),
      at_s=strategies.floats(-4.0, 12.0),
      for_s=strategies.floats(0.5, 12.0),
      routers=strategies.lists(
          strategies.integers(0, routers - 1),
          min_size=1,
          max_size=routers,
          unique=True,
      ).map(tuple),
  )


@strategies.composite
def _days(draw) -> limits.Day:
  routers = draw(strategies.sampled_from([1, 2, 9, 25]))
  endpoints = draw(strategies.sampled_from([3, 9]))
  return limits.Day(
      routers=routers,
      endpoints=endpoints,
      limited=draw(strategies.sampled_from([1, endpoints])),
      per_s=draw(strategies.sampled_from([0.3, 1.0, 3.0, 10.0, 40.0])),
      requests_per_s=draw(strategies.sampled_from([30.0, 120.0])),
      seconds=18.0,
      loss=draw(strategies.sampled_from([0.005, 0.2])),
      faults=tuple(draw(strategies.lists(_faults(routers), max_size=4))),
  )


class BrittleTest(testtools.TestCase):

  def _play(self, routers, endpoints, seed):
    """Half of what fits, then a burst of 1.5 times that from 7 to 11 s."""
    capacity_per_s = endpoints * 4 / 0.2
    day = limits.Day(
        routers=routers,
        endpoints=endpoints,
        limited=0,
        slots=4,
        answer_s=0.2,
        named_from_s=2.0,
        requests_per_s=0.5 * capacity_per_s,
        burst_per_s=1.5 * capacity_per_s,
        burst_from_s=7.0,
        burst_for_s=4.0,
        seconds=16.0,
    )
    return limits.simulate(day, "permits", seed)

  def test_bursts_fell_few_brittle_endpoints(self):
    """Guards against fleets whose routers each believe in room at once."""
    for routers, endpoints in ((1, 6), (6, 6), (9, 6), (25, 12)):
      result = self._play(routers, endpoints, 0)
      self.assertTrue(result.falls <= 2 + endpoints / 10, result.falls)
      for begin_s, end_s in ((5.2, 7.0), (12.0, 16.0)):
        served = result.served_share(begin_s, end_s)
        self.assertTrue(served >= 0.97, (routers, begin_s, served))


class BoundTest(testtools.TestCase):

  def test_fleets_of_any_size_keep_to_the_limit(self):
    """Guards against a bound that each router keeps by itself."""
    for routers in (1, 9, 80, 300, 760):
      day = limits.Day(
          routers=routers,
          endpoints=10,
          requests_per_s=150.0,
          seconds=12.0,
          named_from_s=1.0,
      )
      result = limits.simulate(day, "permits", 1)
      most = result.most(_WINDOW_S, day.named_from_s + _HEARD_S)
      self.assertTrue(most <= _allowed(day), (routers, most))
      self.assertEqual(0, result.refused, routers)

  def test_all_routers_hear_of_a_limit_within_a_second(self):
    """Guards against a limit that spreads by gossip only."""
    day = limits.Day(routers=80, endpoints=3, requests_per_s=300.0, seconds=8.0)
    result = limits.simulate(day, "permits", 1)
    most = result.most(1.0, day.named_from_s + 1.0)
    self.assertTrue(most <= 1.5 * day.per_s + 1, most)

  @hypothesis.settings(deadline=None, max_examples=40, derandomize=True)
  @hypothesis.given(day=_days(), seed=strategies.integers(0, 1000))
  def test_no_fault_lets_routers_exceed_a_limit_that_they_were_told(
      self, day, seed
  ):
    """Guards against several routers that each divide the whole rate."""
    result = limits.simulate(day, "permits", seed)
    most = result.most(_WINDOW_S, day.named_from_s + _HEARD_S, told=True)
    self.assertTrue(most <= _allowed(day), (most, day))

  def test_parts_of_a_fleet_that_know_other_routers_share_the_rate(self):
    """Guards against one issuer with the whole rate in each part."""
    for per_s in (3.0, 40.0):
      for cut in (3, 5, 8):
        away = tuple(range(cut))
        day = limits.Day(
            per_s=per_s,
            requests_per_s=300.0,
            endpoints=3,
            limited=3,
            seconds=26.0,
            faults=(
                limits.Fault("part", 5.0, 18.0, away),
                limits.Fault("store", 5.0, 18.0, away),
            ),
        )
        result = limits.simulate(day, "permits", 1)
        most = result.most(_WINDOW_S, day.named_from_s + _HEARD_S)
        self.assertTrue(most <= _allowed(day), (per_s, cut, most))

  def test_restarted_routers_know_the_limit(self):
    """Guards against a burst of all routers after a common restart."""
    for routers, endpoints in ((9, 9), (80, 20)):
      day = limits.Day(
          routers=routers,
          endpoints=endpoints,
          limited=endpoints,
          requests_per_s=200.0,
          seconds=16.0,
          named_from_s=1.0,
          faults=(limits.Fault("kill", 7.0, 1.0, tuple(range(routers))),),
      )
      result = limits.simulate(day, "permits", 1)
      most = result.most(_WINDOW_S, day.named_from_s + _HEARD_S)
      self.assertTrue(most <= _allowed(day), (routers, most))

  def test_routers_restarted_in_turn_know_the_limit(self):
    """Guards against an empty table after each restart of a rolling one."""
    day = limits.Day(
        seconds=30.0,
        limited=9,
        faults=tuple(
            limits.Fault("kill", 6.0 + 2 * number, 1.2, (number,))
            for number in range(9)
        ),
    )
    result = limits.simulate(day, "permits", 1)
    most = result.most(_WINDOW_S, day.named_from_s + _HEARD_S)
    self.assertTrue(most <= _allowed(day), most)


class UseTest(testtools.TestCase):

  def test_rate_of_limited_endpoints_is_used(self):
    """Guards against callers that are refused while there is room."""
    day = limits.Day(limited=9, per_s=4.0, requests_per_s=80.0)
    result = limits.simulate(day, "permits", 1)
    self.assertTrue(result.used_share >= 0.9, result.used_share)

  def test_served_requests_wait_half_of_their_objective_at_most(self):
    """Guards against a queue that makes every answer late."""
    day = limits.Day(limited=9, per_s=4.0, requests_per_s=80.0)
    result = limits.simulate(day, "permits", 1)
    self.assertTrue(max(result.waits_s) <= day.objective_s * 0.5 + 0.1)

  def test_all_endpoints_are_used_again_once_they_name_no_limit(self):
    """Guards against a limit that stays in force on some routers."""
    day = limits.Day(
        routers=40, limited=9, requests_per_s=100.0, named_until_s=10.0
    )
    result = limits.simulate(day, "permits", 1)
    late = [
        arrival
        for arrivals in result.arrivals.values()
        for arrival in arrivals
        if arrival.at_s >= 13.0
    ]
    self.assertTrue(len(late) >= 0.9 * 7.0 * day.requests_per_s, len(late))

  def test_messages_do_not_grow_with_the_fleet(self):
    """Guards against questions of all routers at the issuer of one endpoint."""
    for routers in (9, 80, 300):
      day = limits.Day(
          routers=routers,
          endpoints=10,
          limited=10,
          requests_per_s=1.5 * routers,
          seconds=12.0,
      )
      result = limits.simulate(day, "permits", 1)
      self.assertTrue(
          result.datagrams_per_s <= 16, (routers, result.datagrams_per_s)
      )
