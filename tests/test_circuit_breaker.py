"""The circuit breaker for calls to the store."""

import datetime

import testtools

from mustardfall.kv import circuit_breaker
from mustardfall.util import clock as clock_lib


class ProbeTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.breaker = circuit_breaker.CircuitBreaker(self.clock)
    for _ in range(2):
      self.breaker.record("no answer")

  def _first_allowed_s(self, is_renewal: bool) -> float:
    """Returns the seconds until the breaker allows a call."""
    for step in range(100):
      if self.breaker.allows_call(is_renewal):
        return step * 0.05
      self.clock.advance(datetime.timedelta(seconds=0.05))
    raise AssertionError("no probe within 5 s")

  def test_due_probe_is_left_to_a_renewal_for_a_while(self):
    """Guards against probes at the full price while a renewal could tell."""
    self.assertTrue(self._first_allowed_s(is_renewal=True) <= 0.4)
    self.assertFalse(self.breaker.allows_call(is_renewal=False))

  def test_other_calls_probe_if_no_renewal_does(self):
    """Guards against a router without a lease that never calls again."""
    waited_s = self._first_allowed_s(is_renewal=False)
    self.assertTrue(0.7 <= waited_s <= 0.9, waited_s)

  def test_renewals_probe_at_least_once_a_second(self):
    """Guards against routers that learn late that the store is back."""
    probes = 0
    for _ in range(400):
      probes += self.breaker.allows_call(is_renewal=True)
      self.clock.advance(datetime.timedelta(seconds=0.025))
    self.assertTrue(10 <= probes <= 20, probes)

  def test_answered_renewal_allows_all_calls(self):
    """Guards against refusals after the store is back."""
    self._first_allowed_s(is_renewal=True)
    self.breaker.record(None)
    self.assertTrue(self.breaker.allows_call())
