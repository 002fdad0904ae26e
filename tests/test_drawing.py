"""Tests of grant requests in the background, one at a time per budget."""

import testtools

from mustardfall.budget import acquiring
from tests import test_pool_states


class DrawerTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.machine = test_pool_states.ConfiguredPoolMachine()
    self.addCleanup(self.machine.portal_cm.__exit__, None, None, None)

  def test_grant_left_by_a_failed_run_is_requested_again(self):
    # Guards against 429 from one router for one budget, forever. The loop that
    # requests grants failed and cancelled a grant's task before its first step;
    # after its restart it considered the grant still in progress.
    acquirer = self.machine.world.pools["r1"].acquirer
    acquirer._pending_grants["b"] = acquiring._PendingGrant()
    self.machine.reserve("r1", 20)
    self.machine.reserve("r1", 20)
    self.assertEqual(2, len(self.machine.open))
    self.assertFalse(acquirer.busy)

  def test_failed_grant_does_not_block_callers(self):
    # The store rejects this router's calls: its callers move on to a deputy at
    # once, and the deputy's grant serves them.
    self.machine.partition("r1")
    self.machine.reserve("r1", 20)
    self.assertEqual(1, len(self.machine.open))
    counts = self.machine.world.pools["r1"].counts
    self.assertEqual(1, counts["parts"])
    self.assertEqual(0, counts["grants"])

  def test_slow_store_is_waited_for_when_nobody_else_has_tokens(self):
    # Guards against 429 from a fleet whose budgets are full, while each reply
    # of the store takes a tenth of a second. No router holds tokens yet, so
    # only the store can provide them.
    self.machine.lose_peer_calls("ask")
    self.machine.server.change_faults({"delay_s": 0.1})
    self.machine.reserve("r1", 20)
    self.assertEqual(1, len(self.machine.open))
