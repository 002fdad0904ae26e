"""Which requests are kept from endpoints, and which only ran beside them."""

import datetime

import testtools

from mustardfall.routing import quarantine
from mustardfall.util import clock as clock_lib

_RAN_S = 0.2


class TableTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.table = quarantine.Table(self.clock)

  def _pass(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _end(self, request, endpoint, team="acme", ran_s=_RAN_S):
    suspect = quarantine.Suspect(request, team, endpoint, ran_s)
    return self.table.note_end(suspect)

  def _end_apart(self, request, number, team="acme"):
    """Has endpoints end one after the other under one request."""
    found = []
    for n in range(number):
      self._pass(1.0)
      found.append(self._end(request, f"{request}-{n}", team))
    return found

  def test_request_that_ends_three_endpoints_is_quarantined(self):
    self.assertEqual([False, False, True], self._end_apart("x", 3))
    self.assertEqual(quarantine.QUARANTINE_S, self.table.left_s("x"))
    self._pass(quarantine.QUARANTINE_S + 1)
    self.assertEqual(0, self.table.left_s("x"))

  def test_request_that_comes_again_after_its_term_has_one_try(self):
    self._end_apart("x", 3)
    self._pass(quarantine.QUARANTINE_S + 1)
    self.assertTrue(self._end("x", "again"))
    self.assertTrue(self.table.left_s("x") > 0)

  def test_endpoint_that_many_routers_see_end_counts_once(self):
    for _ in range(9):
      self._pass(0.2)
      self.assertFalse(self._end("x", "one"))

  def test_rack_that_ends_condemns_nothing_that_ran_there(self):
    """Guards against refusing what is asked often for a loss of power."""
    for endpoint in range(20):
      self._pass(0.003)
      self.assertFalse(self._end("popular", f"e{endpoint}"))
    self.assertEqual(0, self.table.left_s("popular"))

  def test_retries_that_follow_at_once_are_counted_each(self):
    """Guards against one attempt that ends all the endpoints it may try."""
    found = []
    for endpoint in range(3):
      self._pass(0.02)
      found.append(self._end("x", f"e{endpoint}", ran_s=0.015))
    self.assertEqual([False, False, True], found)

  def test_request_that_succeeds_next_is_not_suspected(self):
    """Guards against refusing those that ran beside one that ends endpoints."""
    self._end_apart("beside", 2)
    self.assertTrue(self.table.note_success("beside"))
    self.assertEqual([False] * 4, self._end_apart("beside", 4))

  def test_ends_long_ago_do_not_count(self):
    self._end_apart("x", 2)
    self._pass(1_000)
    self.assertEqual([False, False, True], self._end_apart("x", 3))

  def test_team_that_makes_many_pushes_out_its_own_only(self):
    """Guards against a team that has another's requests forgotten."""
    self._end_apart("other", 3, team="other")
    for number in range(1_000):
      self._end(f"many{number}", "e", team="many")
    self.assertTrue(self.table.left_s("other") > 0)
    self.assertTrue(len(self.table._rows) <= 1 + quarantine._MOST_OF_TEAM)

  def test_tables_are_bounded(self):
    for number in range(quarantine._MOST_ROWS + 500):
      self._end(f"x{number}", "e", team=f"t{number}")
    for number in range(quarantine._MOST_SOUND + 500):
      self.table.note_success(f"s{number}")
    self.assertTrue(len(self.table._rows) <= quarantine._MOST_ROWS)
    self.assertTrue(len(self.table._sound) <= quarantine._MOST_SOUND)

  def test_fingerprint_tells_teams_paths_and_bodies_apart(self):
    given = ("acme", b"POST", b"/a", b"body")
    found = {quarantine.fingerprint(*given)}
    for n, other in enumerate(("b", b"PUT", b"/b", b"bod")):
      found.add(quarantine.fingerprint(*given[:n], other, *given[n + 1 :]))
    self.assertEqual(5, len(found))
    self.assertIn(quarantine.fingerprint(*given), found)

  def test_verdict_of_another_router_holds_here(self):
    verdict = quarantine.Verdict("x", "acme", 30.0)
    self.assertTrue(self.table.take(verdict))
    self.assertFalse(self.table.take(verdict._replace(left_s=90.0)))
    self.assertEqual(30.0, self.table.left_s("x"))
    self.table.take(verdict._replace(left_s=0.0))
    self.assertEqual(0, self.table.left_s("x"))
    self.assertFalse(self.table.take(verdict))
