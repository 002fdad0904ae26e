"""Tokens while nearly all routers are cut off from the store.

55 of 58 routers are cut off for eight seconds and still reach each other. A
budget's owner may draw up to its last reported ceiling only, and its deputies
are cut off, too, while three other routers could take a grant.
"""

import pathlib

import anyio
import testtools

from mustardfall.bench import experiment
from mustardfall.bench.virtual import days
from mustardfall.bench.virtual import simulation
from mustardfall.membership import store_relays
from tests import test_gateway

_DEPLOYED = experiment.read_policy(
    pathlib.Path(__file__).parents[1] / "deploy" / "router.yaml", None
)
_HOSTS = tuple(f"host-{number}" for number in range(20))
_DAY = days.Day(
    name="nearly all cut off",
    hosts=_HOSTS,
    requests_s=60.0,
    callers=70,
    steady=0,
    traffic_s=26.0,
    events=[days.Partition(at_s=6.0, for_s=8.0, share=0.9)],
)
_SEEDS = range(2)


class ModelTest(testtools.TestCase):

  def _play(self, relayed: bool) -> list[simulation.Result]:
    allotment = _DEPLOYED.allotment.model_copy(update={"relayed": relayed})
    policy = _DEPLOYED.model_copy(update={"allotment": allotment})
    return [simulation.simulate(_DAY, policy, seed) for seed in _SEEDS]

  def test_few_are_refused_while_some_router_reaches_the_store(self):
    """Guards against 429 for tokens that another router could be granted."""
    before = sum(result.falsely_cut for result in self._play(False))
    refused = sum(result.falsely_cut for result in self._play(True))
    self.assertTrue(before > 0)
    self.assertTrue(refused <= before / 2, (refused, before))

  def test_no_budget_is_overspent(self):
    """Guards against tokens that two routers were granted at once."""
    overspent = [result.overspend for result in self._play(True)]
    self.assertEqual([0, 0], overspent)


class DatagramTest(testtools.TestCase):

  @test_gateway.in_environment()
  async def test_router_that_reaches_the_store_is_found(self, env):
    """Guards against taking a router for a relay that is cut off, too."""
    first, second, third = await env.add_routers(3)
    asked = store_relays.StoreRelays(lambda: first.exits, "dc")
    second.kv = _Store(reachable=False)
    third.kv = _Store(reachable=True)
    found = []
    with anyio.move_on_after(2.0):
      while not found:
        found = await asked.find()
    me = third.accounts.members.me.life
    self.assertIn(me, [member.life for member in found])
    cut = second.accounts.members.me.life
    self.assertNotIn(cut, [member.life for member in found])
    asked.drop(me, "test")
    self.assertNotIn(me, first.exits.known(store_relays.QUESTION))


class _Store:
  """Stands for the client of a store."""

  def __init__(self, reachable: bool) -> None:
    self.reachable = reachable
