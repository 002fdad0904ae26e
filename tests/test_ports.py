"""Ports of processes that tests start."""

import random

import testtools

from mustardfall.bench import fleet


class FreePortTest(testtools.TestCase):

  def test_runs_that_seed_the_global_generator_draw_different_ports(self):
    # Simulations seed the global generator. Two test runs at once then drew the
    # same ports, and processes failed to start: "Address already in use".
    drawn = []
    for _ in range(2):
      random.seed(1)
      drawn.append([fleet.free_port() for _ in range(8)])
      fleet._taken.difference_update(drawn[-1])
    self.assertNotEqual(drawn[0], drawn[1])
