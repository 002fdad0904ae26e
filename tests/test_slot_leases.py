"""Leases of an endpoint's slots, and the header that makes them needed."""

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.platform import headers
from mustardfall.routing import slot_leases

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["acquire", "end", "renew"]),
        strategies.sampled_from(["", "a", "b"]),
        strategies.integers(1, 12),
        strategies.floats(0.0, 2.0),
    ),
    max_size=60,
)


class CapacityTest(testtools.TestCase):

  @hypothesis.given(
      strategies.integers(1, 512),
      strategies.lists(strategies.floats(0.0, 1.0), min_size=1, max_size=9),
      strategies.floats(0.0, 60.0),
  )
  def test_shares_never_add_up_to_more_than_the_slots(
      self, slots, parts, listed_s
  ):
    """Guards against several issuers that lease more than there is."""
    total = max(1.0, sum(parts))
    shares = [part / total for part in parts]
    leased = [
        slot_leases.capacity(slots, share, listed_s)
        for share in shares
        if share * slots >= 1
    ]
    self.assertTrue(sum(leased) <= max(slots, len(leased)))

  def test_returned_endpoint_gets_its_load_step_by_step(self):
    """Guards against a rush at the endpoint that comes back first."""
    found = [slot_leases.capacity(64, 1.0, s) for s in (0.0, 0.5, 1.5, 3.0, 9)]
    self.assertEqual([1, 10, 32, 64, 64], found)


class SlotLeasesTest(testtools.TestCase):

  @hypothesis.example(
      [
          ("acquire", "", 1, 0.0),
          ("acquire", "", 2, 1.0),
          ("acquire", "", 2, 2.0),
          ("acquire", "", 1, 0.0),
      ],
      1,
  )
  @hypothesis.given(_STEPS, strategies.integers(1, 6))
  def test_no_more_leases_than_slots_are_issued(self, steps, limit):
    """Guards against more requests in flight than an endpoint has slots.

    Leases may be renewed that have expired or that another router has issued:
    their requests are in flight. No further one is issued then.
    """
    leases, now = slot_leases.SlotLeases(), 0.0
    ends_at = {}
    for step, holder, number, passed_s in steps:
      now += passed_s
      key = (holder, number)
      live = {key for key, at in ends_at.items() if at > now}
      if step == "acquire" and key not in live:
        if leases.acquire(holder, number, limit, now):
          self.assertTrue(len(live) < limit, (live, limit))
          ends_at[key] = now + slot_leases._TERM_S
      elif step == "end":
        leases.end(holder, [number], now)
        ends_at.pop(key, None)
      elif step == "renew":
        leases.renew(holder, [number], now)
        ends_at[key] = now + slot_leases._TERM_S

  def test_lease_of_a_holder_that_has_gone_expires(self):
    """Guards against slots blocked by routers that have ended."""
    leases = slot_leases.SlotLeases()
    self.assertTrue(leases.acquire("a", 1, 1, 0.0))
    self.assertFalse(leases.acquire("b", 1, 1, 1.0))
    self.assertTrue(leases.acquire("b", 1, 1, 5.0))

  def test_renewed_leases_bind_the_next_issuer(self):
    """Guards against an issuer that knows nothing of requests in flight."""
    leases = slot_leases.SlotLeases()
    leases.renew("a", [1, 2], 0.0)
    self.assertFalse(leases.acquire("b", 1, 2, 1.0))


class BrittleHeaderTest(testtools.TestCase):

  def _parse(self, *values):
    named = [(b"server-brittle", value) for value in values]
    return headers.Dialect().decode_response(200, named).brittle

  def test_none_turned_away_is_a_usable_value(self):
    """Guards against 0 that is taken for no bound."""
    self.assertIsNone(self._parse())
    self.assertEqual(1.0, self._parse(b"0").per_s)
    self.assertEqual(6.0, self._parse(b"5").per_s)

  def test_unusable_values_are_kept_for_the_log(self):
    """Guards against a value that cannot be read and ends the bound."""
    for value in (b"", b"-1", b"x", b"1e400", b"nan", b"9" * 50):
      named = self._parse(value)
      self.assertIsNone(named.per_s, value)
      self.assertTrue(len(named.text) <= 40)
    self.assertIsNone(self._parse(b"5", b"6").per_s)
