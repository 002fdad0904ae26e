"""The load balancer hands most new connections to one router.

Budgets are drawn on by all routers before; from then on one draws for nearly all
callers, also one that is killed meanwhile, so that others take over.
"""

import pathlib

import testtools

from mustardfall.bench import experiment
from mustardfall.bench.virtual import days
from mustardfall.bench.virtual import simulation

_HOSTS = tuple(f"host-{number}" for number in range(9))
_MAX_TURNED_BACK = 0.01
"""Share of the requests that no router may refuse at first for want of tokens."""


class ConnectionSkewTest(testtools.TestCase):

  def _play(self, *more, seed):
    skew = days.ConnectionSkew(
        at_s=8.0, for_s=9.0, share=0.9, hosts=("host-1",)
    )
    day = days.Day(
        name="skew",
        hosts=_HOSTS,
        traffic_s=24.0,
        requests_s=32.0,
        paid_s=24.0,
        spare=1.1,
        events=[skew, *more],
    )
    path = pathlib.Path("deploy/router.yaml")
    return simulation.simulate(day, experiment.read_policy(path, None), seed)

  def test_one_router_has_the_tokens_for_nearly_all_callers(self):
    """Guards against shares of budgets that assume even load."""
    for seed in range(2):
      result = self._play(seed=seed)
      bound = _MAX_TURNED_BACK * result.requests
      self.assertTrue(result.turned_back <= bound, result)
      self.assertEqual(0, result.overspend)

  def test_that_router_is_killed(self):
    """Guards against tokens that are lost with the router that holds most."""
    for seed in range(2):
      kill = days.Kill(at_s=12.0, for_s=2.0, hosts=("host-1",))
      result = self._play(kill, seed=seed)
      bound = _MAX_TURNED_BACK * result.requests
      self.assertTrue(result.turned_back <= bound, result)
      self.assertEqual(0, result.overspend)
