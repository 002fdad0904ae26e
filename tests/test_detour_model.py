"""Callers of routers that are cut off are served in fleets of any size.

In virtual time, with the product's modules on all routers: one router, those of a
data centre, or all but one lose all endpoints for some seconds.
"""

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.bench.virtual import detours
from mustardfall.emulator import network

_MIN_RATIO = 0.95
_MAX_SENT_MS = 100
"""Mean time until a request is sent, at a router that is cut off."""
_MAX_WAY_BACK_S = 3.0


class DetourTest(testtools.TestCase):

  def _play(self, routers, cut, way, seed, **day):
    day = detours.Day(routers=routers, cut=cut, way=way, **day)
    return detours.simulate(day, "sampled", seed)

  def _check(self, result):
    figures = result.summary()
    self.assertTrue(figures["served_others"] >= 0.99, figures)
    self.assertTrue(figures["served_cut"] >= _MIN_RATIO, figures)
    self.assertTrue(figures["sent_ms_cut"] <= _MAX_SENT_MS, figures)
    self.assertTrue(figures["returned_max_s"] <= _MAX_WAY_BACK_S, figures)

  @hypothesis.settings(max_examples=12, deadline=None)
  @hypothesis.given(
      routers=strategies.sampled_from([2, 9, 25]),
      part=strategies.sampled_from([0.0, 0.33, 1.0]),
      way=strategies.sampled_from(list(network.Cut)),
      loss=strategies.sampled_from([0.005, 0.2]),
      seed=strategies.integers(0, 1_000),
  )
  def test_callers_of_cut_routers_are_served(
      self, routers, part, way, loss, seed
  ):
    """Guards against cuts whose share or way leads to refusals."""
    cut = max(1, min(routers - 1, round(routers * part)))
    self._check(self._play(routers, cut, way, seed, loss=loss))

  def test_one_exit_serves_a_large_fleet_in_part(self):
    """Guards against an exit that takes more tunnels than it has room for."""
    result = self._play(80, 79, network.Cut.RESET, 1, requests_per_s=1.0)
    self._check(result)

  def test_all_cut_routers_refuse_at_once(self):
    """Guards against waits for exits that do not exist."""
    result = self._play(9, 9, network.Cut.HANG, 1)
    self.assertEqual(0.0, result.served(True))
    self.assertTrue(result.sent_ms(True) <= _MAX_SENT_MS, result.sent_ms(True))
