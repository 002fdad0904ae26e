"""Decisions on admission where capacity is short."""

import datetime
import math
import random

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.bench.virtual import shedding
from mustardfall.routing import configuration
from mustardfall.routing import load_shedding

_OBJECTIVE_S = 0.8
_WORK_S = 0.1
_STANDING_S = load_shedding.standing_s(False, _OBJECTIVE_S)
_ODD = strategies.sampled_from(
    (None, math.nan, -math.inf, -1.0, -1e300, "x", True)
)
_TIMES = strategies.floats(0.0, 30.0)


def _demand(rank=0, ranks=3, left_s=8.0, **more):
  fields = {"objective_s": _OBJECTIVE_S, "work_s": _WORK_S, **more}
  fields.setdefault("until_answer_s", fields["work_s"])
  return load_shedding.Demand(rank, ranks, left_s, **fields)


def _room(in_flight, is_short=True, **more):
  room = load_shedding.plain_room(4, in_flight, _WORK_S)
  return room._replace(is_short=is_short, **more)


def _admits(demand, room):
  decision = load_shedding.decide(demand, room)
  return isinstance(decision, load_shedding.Admit)


class DecisionTest(testtools.TestCase):

  def test_table(self):
    """Guards against ranks that take the capacity of higher ones."""
    # In flight at a server of 4 slots; whether ranks 0, 1, 2 are admitted.
    for in_flight, expected in (
        (0, (True, True, True)),
        (3, (True, True, True)),
        (4, (True, True, False)),
        (5, (True, False, False)),
        (6, (True, False, False)),
        (20, (True, False, False)),
        (40, (False, False, False)),
    ):
      admitted = tuple(
          _admits(_demand(rank), _room(in_flight)) for rank in range(3)
      )
      self.assertEqual(expected, admitted, in_flight)

  def test_burst_is_queued_but_leaves_room_for_the_highest_rank(self):
    """Guards against rejections in a burst, and one that fills the queues."""
    for rank in range(3):
      self.assertTrue(_admits(_demand(rank), _room(5, is_short=False)))
    self.assertFalse(_admits(_demand(2), _room(9, is_short=False)))
    self.assertTrue(_admits(_demand(0), _room(30, is_short=False)))

  def test_single_priority_is_rejected_by_deadline_only(self):
    """Guards against new rejections where no request is more urgent."""
    self.assertTrue(_admits(_demand(ranks=1), _room(30)))
    rejected = load_shedding.decide(_demand(ranks=1, left_s=0.5), _room(30))
    self.assertEqual("deadline", rejected.reason)

  def test_unservable_request_is_rejected_at_once(self):
    """Guards against a 504 whose outcome was known when the request came."""
    for is_short in (False, True):
      room = _room(12, is_short)
      rejected = load_shedding.decide(_demand(left_s=0.3), room)
      self.assertEqual("deadline", rejected.reason)

  def test_late_request_is_tried_at_an_idle_server(self):
    """Guards against rejections for an estimate of work that may be wrong."""
    self.assertTrue(_admits(_demand(work_s=5.0, left_s=1.0), _room(0)))

  def test_long_prompt_of_the_highest_rank_is_admitted(self):
    """Guards against starving the largest prompts."""
    room = load_shedding.engine_room(64, 40, 0.35, _OBJECTIVE_S)
    room = room._replace(is_short=True)
    self.assertTrue(_admits(_demand(0, work_s=2.0), room))
    self.assertFalse(_admits(_demand(2, work_s=0.02), room))

  def test_small_request_of_a_low_rank_waits_longer(self):
    """Guards against rejecting small requests, which frees little room."""
    room = _room(4)
    self.assertFalse(_admits(_demand(2), room))
    self.assertTrue(_admits(_demand(2, relative_work=0.1), room))
    self.assertFalse(_admits(_demand(2, relative_work=0.1), _room(7)))
    for odd in (-1.0, 0.0, math.nan):
      self.assertFalse(_admits(_demand(2, relative_work=odd), room))

  def test_momentary_queue_of_an_engine_rejects_nothing(self):
    """Guards against rejections in a burst that passes by itself."""
    room = load_shedding.engine_room(64, 40, 2.0, _OBJECTIVE_S)
    for rank in range(3):
      self.assertTrue(_admits(_demand(rank), room))

  def test_longer_objective_of_a_low_rank_admits_it_no_sooner(self):
    """Guards against a low rank that outlasts a higher one in the queue."""
    route = {"authority": "h", "kind": configuration.Kind.IDEMPOTENT}
    route |= {"timeout": datetime.timedelta(seconds=9), "max_attempts": 1}
    route |= {"split": (configuration.WeightedService("s", 1),)}
    route |= {"public": False, "resumable": False}
    routes = [
        configuration.Route(
            name=str(n),
            prefix=f"/{n}/",
            objective=datetime.timedelta(seconds=objective_s),
            priority=priority,
            **route,
        )
        for n, (priority, objective_s) in enumerate(
            ((0, 0.8), (7, 3.0), (3, 1.2))
        )
    ]
    service = configuration.Service("s", 1, None)
    teams = [
        configuration.Team("a", ("a",), None, None),
        configuration.Team("b", ("b",), 5, None),
    ]
    limits = configuration.DEFAULT_LIMITS
    config = configuration.Configuration(1, routes, [service], teams, limits)
    ranks = load_shedding.ranks_of(config, "s")
    self.assertEqual(((0, 3, 5, 7), (0.8,) * 4), ranks)
    self.assertEqual([0, 2, 3], [ranks.rank_of(p) for p in (-9, 5, 10**30)])
    self.assertEqual(5, load_shedding.priority_of(routes[0], teams[1]))

  def _share_of_lowest(self, in_flight):
    """Returns the share of the lowest rank while it has 6 of 10 requests."""
    draws = random.Random(1)
    shortage = load_shedding.Shortage()
    admitted = {0: [], 2: []}
    for number in range(4_000):
      rank = 2 if draws.random() < 0.6 else 0
      room = shortage.complete(
          _room(in_flight),
          rank,
          True,
          _STANDING_S,
          draws.random(),
          number * 0.01,
      )
      admitted[rank].append(_admits(_demand(rank), room))
      shortage.note_decision(rank, admitted[rank][-1])
    self.assertNotIn(False, admitted[0])
    share = sum(map(sum, admitted.values())) / 4_000
    return sum(admitted[2]) / len(admitted[2]) / share

  def test_low_ranks_get_a_quarter_of_the_share_of_all(self):
    """Guards against starving a rank for as long as a shortage lasts."""
    for in_flight in (5, 20):
      ratio = self._share_of_lowest(in_flight)
      self.assertTrue(0.25 <= ratio <= 0.4, (in_flight, ratio))

  def test_retry_comes_when_room_is_expected(self):
    """Guards against callers that return too soon, or later than they may."""
    rejected = load_shedding.decide(_demand(2), _room(10))
    self.assertAlmostEqual(7 / 4 * _WORK_S + _WORK_S, rejected.retry_s)
    longer = load_shedding.decide(_demand(2), _room(10, short_s=3.0))
    self.assertAlmostEqual(1.5, longer.retry_s)
    last = load_shedding.decide(_demand(2), _room(10, short_s=60.0))
    self.assertTrue(load_shedding.jittered(last.retry_s, 1.0) <= 8.0 / 3)

  def test_retries_are_spread(self):
    """Guards against rejected callers that return together."""
    self.assertAlmostEqual(0.75, load_shedding.jittered(1.0, 0.0))
    self.assertAlmostEqual(1.5, load_shedding.jittered(1.0, 1.0))

  @hypothesis.given(
      rank=strategies.one_of(
          strategies.integers(), strategies.sampled_from((math.nan, math.inf))
      ),
      left_s=strategies.one_of(_ODD, _TIMES),
      objective_s=strategies.one_of(_ODD, strategies.just(_OBJECTIVE_S)),
      work_s=strategies.one_of(_ODD, _TIMES),
      wait_s=strategies.one_of(_ODD, _TIMES),
      share=strategies.one_of(_ODD, strategies.floats()),
      is_short=strategies.booleans(),
  )
  def test_odd_values_gain_nothing(
      self, rank, left_s, objective_s, work_s, wait_s, share, is_short
  ):
    """Guards against values of callers or servers that raise or gain room."""
    demand = load_shedding.Demand(rank, 3, left_s, objective_s, work_s, work_s)
    room = _room(4, is_short, admitted_share=share)._replace(wait_s=wait_s)
    decision = load_shedding.decide(demand, room)
    if isinstance(decision, load_shedding.Reject):
      self.assertTrue(0.1 <= decision.retry_s <= 3600.0)
      return
    # Whatever is admitted would be, too, with usual values of the best kind.
    best = _demand(0 if rank == 0 else 1, left_s=3600.0, work_s=0.0)
    usual = wait_s if isinstance(wait_s, float) and wait_s > 0 else 0.0
    self.assertTrue(_admits(best, room._replace(wait_s=usual)))

  @hypothesis.given(
      rank=strategies.sampled_from((-1, 3, 10**30, math.nan)), wait_s=_TIMES
  )
  def test_unknown_rank_is_the_lowest(self, rank, wait_s):
    """Guards against an odd priority that goes before others."""
    room = _room(4)._replace(wait_s=wait_s)
    self.assertEqual(_admits(_demand(2), room), _admits(_demand(rank), room))

  @hypothesis.given(
      slots=strategies.integers(-9, 9),
      in_flight=strategies.sampled_from((-1e9, -1, math.nan)),
  )
  def test_odd_loads_are_no_loads(self, slots, in_flight):
    """Guards against a malformed load that counts as free capacity."""
    self.assertEqual(0.0, load_shedding.queued_works(slots, in_flight))


class ShortageTest(testtools.TestCase):

  def _states(self, met, step_s=0.1):
    """Returns whether capacity is short after each request of a series."""
    shortage = load_shedding.Shortage()
    return [
        shortage.complete(
            _room(8), 0, is_full, _STANDING_S, 0.5, number * step_s
        ).is_short
        for number, is_full in enumerate(met)
    ]

  def test_moment_without_free_slots_is_no_shortage(self):
    """Guards against rejections in steady state."""
    self.assertNotIn(True, self._states([True, True, False] * 9))

  def test_shortage_begins_within_a_quarter_of_the_objective(self):
    """Guards against queues that are long before anything is rejected."""
    self.assertEqual([False, False, True], self._states([True] * 3))

  def test_shortage_lasts_while_slots_are_free_now_and_then(self):
    """Guards against filling the queues anew with each slot kept free."""
    met = [True] * 3 + ([False] * 9 + [True]) * 3
    self.assertNotIn(False, self._states(met)[2:])

  def test_full_endpoints_met_long_ago_are_no_shortage(self):
    """Guards against shortages at routers that get few requests."""
    self.assertNotIn(True, self._states([True] * 4, step_s=5.0))

  def test_shortage_ends(self):
    """Guards against rejections after the load has gone."""
    self.assertFalse(self._states([True] * 3 + [False] * 22)[-1])


class FleetTest(testtools.TestCase):
  """Fleets in virtual time, load 1.6 times the capacity."""

  def _check(self, routers, servers, seconds):
    day = shedding.Day(routers, servers, seconds)
    results = {
        policy: shedding.Simulation(day, policy, 1).run()
        for policy in ("fifo", "rank", "cost")
    }
    cost = results["cost"]
    self.assertTrue(cost.served[0] >= 0.97, results)
    self.assertTrue(cost.worth >= 0.85, results)
    self.assertTrue(cost.worth >= results["rank"].worth - 0.03, results)
    self.assertTrue(cost.worth > results["fifo"].worth, results)
    self.assertTrue(min(cost.served) >= sum(cost.served) / 12, results)

  def test_small_fleet(self):
    """Guards against routers that decide differently from the same reports."""
    self._check(9, 4, 10.0)

  def test_fleet_with_trackers(self):
    """Guards against decisions that need the load of all servers."""
    self._check(86, 4, 10.0)

  def test_largest_fleet(self):
    """Guards against decisions that need many requests at each router."""
    self._check(760, 36, 3.0)

  def test_nothing_is_rejected_with_room_for_all(self):
    """Guards against rejections where no capacity is short."""
    day = shedding.Day(86, 4, 10.0, overload=0.6)
    result = shedding.Simulation(day, "cost", 1).run()
    self.assertTrue(min(result.served) >= 0.999, result)
