"""Speeds of endpoints, learned from the times of their first tokens.

30 engines of 0.6 to 1.6 times the nominal speed, on machines that they share
with other work, prefill prompts of up to 50,000 tokens with an objective of
863 ms. A slow engine needs longer than that for a prompt that is not cached,
a fast one half of it.
"""

import math

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.bench.virtual import engines
from mustardfall.membership import trackers
from mustardfall.platform import headers
from mustardfall.proxy import messages
from mustardfall.routing import placement
from mustardfall.routing import server_speed
from mustardfall.routing import tracking
from mustardfall.routing import work_times
from tests import test_gateway

_SPEEDS = (0.6, 1.0, 1.6, 1.0, 0.8)
_KINDS = (
    engines.Kind("draft", 27.1, 614, 13_300, 3_720, 1.1, 0.863, 5.3, 0.65),
    engines.Kind("fit", 35.9, 316, 6_300, 2_890, 1.0, 1.245, 1.0, 0.31),
    engines.Kind("reply", 38.3, 864, 350, 1_110, 1.0, 3.026, 0.1, 0.047),
)
_DAY = engines.Day(
    routers=58,
    engines=30,
    datacentres=3,
    seconds=20.0,
    kinds=_KINDS,
    prefill_tokens_per_s=50_700.0,
    speeds=_SPEEDS,
)
_SEEDS = range(3)


def _learn(*answers: tuple[float, float], moment: float = 1.0, at=0.0):
  """Returns the speed after answers of (nominal, actual) seconds."""
  estimate = server_speed.UNMEASURED
  for nominal_s, took_s in answers:
    measured = server_speed.Measurement(nominal_s, took_s, moment)
    estimate = server_speed.add(estimate, measured, at)
  return estimate


def _load(value: bytes) -> messages.Load | None:
  found = headers.Dialect().decode_response(200, [(b"server-load", value)])
  return found.load


class LearningTest(testtools.TestCase):

  def test_ratio_of_a_slow_endpoint_is_learned(self):
    """Guards against prompts that wait at a slow endpoint beside a fast one."""
    estimate = _learn(*[(0.3, 0.5)] * 10)
    speed = server_speed.speed_of(estimate, 0.0)
    self.assertAlmostEqual(5 / 3, server_speed.ratio_of(speed, 1.0), delta=0.1)

  def test_momentary_slowdown_is_not_the_endpoints_speed(self):
    """Guards against leaving out an endpoint whose neighbours were busy."""
    estimate = _learn(*[(0.3, 0.6)] * 10, moment=2.0)
    self.assertAlmostEqual(1.0, server_speed.speed_of(estimate, 0.0).ratio)

  def test_unmeasured_endpoint_counts_as_the_mean(self):
    """Guards against sending all to the endpoints that nobody has measured."""
    slow = server_speed.Speed(1.5, 4.0)
    mean = server_speed.mean_ratio([slow, slow, server_speed.UNKNOWN_SPEED])
    unknown = server_speed.ratio_of(server_speed.UNKNOWN_SPEED, mean)
    self.assertAlmostEqual(1.5, unknown, delta=0.05)

  def test_slow_endpoint_is_tried_again(self):
    """Guards against an endpoint that stays unused once it was slow."""
    estimate = _learn(*[(0.3, 1.2)] * 10)
    later = server_speed.speed_of(estimate, 120.0)
    self.assertTrue(server_speed.ratio_of(later, 1.0) < 1.1)

  def test_restarted_endpoint_is_unmeasured(self):
    """Guards against judging an endpoint by the process before it."""
    tracker = tracking.Tracker()
    measured = server_speed.Measurement(0.3, 0.9)
    tracker.note_first_token("i-1:5", 0.3, 0.9, 0.0, measured)
    again = tracker.status_of("i-1:9", "", 0.0)
    self.assertEqual(server_speed.UNKNOWN_SPEED, again.speed)

  @hypothesis.given(
      strategies.floats(), strategies.floats(), strategies.floats()
  )
  def test_odd_measurements_keep_the_ratio_within_bounds(
      self, nominal_s, took_s, moment
  ):
    """Guards against one odd figure that makes an endpoint the best or worst."""
    measured = server_speed.Measurement(nominal_s, took_s, moment)
    estimate = server_speed.add(_learn((0.3, 0.3)), measured, 1.0)
    ratio = server_speed.speed_of(estimate, 1.0).ratio
    self.assertTrue(
        server_speed.MIN_RATIO <= ratio <= server_speed.MAX_RATIO, ratio
    )

  @hypothesis.given(strategies.floats(), strategies.floats())
  def test_odd_speeds_of_other_routers_are_unknown(self, ratio, weight_s):
    """Guards against a router whose figures gain or lose an endpoint requests."""
    speed = server_speed.decode(ratio, weight_s)
    self.assertTrue(math.isfinite(server_speed.ratio_of(speed, 1.0)))
    self.assertTrue(
        server_speed.MIN_RATIO <= speed.ratio <= server_speed.MAX_RATIO
    )


class LoadHeaderTest(testtools.TestCase):

  def test_fourth_figure_is_read(self):
    """Guards against dropping the load of servers that state a fourth figure."""
    self.assertEqual(messages.Load(3, 1, 8, 250.0), _load(b"3,1,8,250"))

  def test_more_figures_than_known_are_ignored(self):
    """Guards against dropping the load of servers of a later version."""
    self.assertEqual(messages.Load(3, 1, 8, 90.5), _load(b"3, 1, 8, 90.5, x,7"))

  def test_odd_fourth_figure_leaves_the_others(self):
    """Guards against losing the counts for one unusable figure."""
    for odd in (b"", b"x", b"-5", b"nan", b"1e999", b"0x10"):
      load = _load(b"3,1,8," + odd)
      self.assertEqual((3, 1, 8), load[:3], odd)
      self.assertEqual(1.0, server_speed.moment_of(load.moment), odd)
    for odd in (b"0", b"999999999"):
      moment = _load(b"3,1,8," + odd).moment
      self.assertEqual(1.0, server_speed.moment_of(moment), odd)

  def test_odd_counts_are_no_load(self):
    """Guards against counts that no server has."""
    for odd in (b"", b"3", b"3,1", b"-3,1,8", b"3,,8", b"3,1,x", b"9" * 400):
      self.assertIsNone(_load(odd), odd)


class PlacementTest(testtools.TestCase):

  def _play(self, policy: str, **day) -> list[engines.Result]:
    played = _DAY._replace(**day)
    return [engines.Simulation(played, policy, seed).run() for seed in _SEEDS]

  def _late(self, results, kind: str) -> float:
    return sum(result.late[kind] for result in results) / len(results)

  def test_fewer_large_prompts_are_late_at_uneven_engines(self):
    """Guards against large prompts at engines that are too slow for them."""
    before = self._late(self._play("tracked"), "draft")
    late = self._late(self._play("learned"), "draft")
    self.assertTrue(late < 0.9 * before, (late, before))

  def test_shared_work_on_machines_costs_no_more_than_before(self):
    """Guards against speeds that follow the moments of other work."""
    before = self._late(self._play("tracked", shared_x=2.0), "draft")
    late = self._late(self._play("learned", shared_x=2.0), "draft")
    self.assertTrue(late <= before + 0.01, (late, before))

  def test_even_engines_are_used_as_before(self):
    """Guards against a cost of learning where there is nothing to learn."""
    before = self._late(self._play("tracked", speeds=(1.0,)), "draft")
    late = self._late(self._play("learned", speeds=(1.0,)), "draft")
    self.assertTrue(late <= before + 0.01, (late, before))

  def test_more_engines_are_compared_for_a_long_prompt_that_none_has_cached(
      self,
  ):
    """Guards against prefilling a prefix again that another engine has cached."""
    prompt = placement.Prompt("p", 13_300, 3_720)
    chosen = placement.Placement(None, 0.4, 0.4, is_cached=False)
    self.assertTrue(placement.should_widen(chosen, prompt, 2.0))
    cached = chosen._replace(prefill_s=0.1, answer_s=0.1, is_cached=True)
    self.assertFalse(placement.should_widen(cached, prompt, 2.0))
    self.assertTrue(placement.should_widen(cached, prompt, 0.12))


class WireTest(testtools.TestCase):

  def test_status_of_a_router_that_learns_no_speed_is_read(self):
    """Guards against losing what routers of the version before know."""
    status = trackers.decode_status([3, 0.5, True, 1.0, 0.0])
    self.assertEqual(server_speed.UNKNOWN_SPEED, status.speed)

  def test_status_with_more_fields_than_known_is_read(self):
    """Guards against losing what routers of the next version know."""
    fields = [3, 0.5, True, 1.0, 0.0, 1.5, 2.0, "new"]
    self.assertEqual(1.5, trackers.decode_status(fields).speed.ratio)

  def test_encoded_status_is_decoded(self):
    """Guards against a speed that gets lost on the way."""
    speed = server_speed.Speed(1.25, 3.0)
    status = tracking.EndpointStatus(3, 0.5, True, 1.0, 0.0, speed)
    encoded = trackers.encode_status(status)
    self.assertEqual(status, trackers.decode_status(encoded))


class WorkTimesTest(testtools.TestCase):

  def test_time_of_a_route_is_learned(self):
    """Guards against plain requests whose time nobody knows."""
    times = work_times.WorkTimes()
    self.assertEqual(0.0, times.work_s("r"))
    for _ in range(50):
      times.note("r", 0.04)
    for odd in (-1.0, math.nan, math.inf):
      times.note("r", odd)
    self.assertAlmostEqual(0.04, times.work_s("r"))


class GatewayTest(testtools.TestCase):

  @test_gateway.in_environment()
  async def test_requests_turned_away_say_nothing_of_the_speed(self, env):
    """Guards against taking a server that turns all away for the fastest."""
    env.servers["i-1"].behaviour.not_run = True
    gateway = env.gateway
    gateway._endpoint_selector._work_times = work_times.WorkTimes()
    gateway._endpoint_selector._work_times.note("look", 0.05)
    for number in range(4):
      await env.call("/look/a", f"r{number}")
    row = gateway.directory.endpoints.rows["i-1"]
    self.assertEqual(server_speed.UNKNOWN_SPEED, row.speed)
