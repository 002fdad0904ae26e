"""Which requests are quarantined, and which only ran beside these."""

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

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _crash(self, request, endpoint, team="acme", ran_s=_RAN_S):
    report = quarantine.CrashReport(request, team, endpoint, ran_s)
    return self.table.note_crash(report)

  def _crash_apart(self, request, number, team="acme"):
    """Has endpoints that run one request crash one after the other."""
    found = []
    for n in range(number):
      self._advance(1.0)
      found.append(self._crash(request, f"{request}-{n}", team))
    return found

  def test_request_that_crashes_three_endpoints_is_quarantined(self):
    self.assertEqual([False, False, True], self._crash_apart("x", 3))
    self.assertEqual(quarantine.QUARANTINE_S, self.table.remaining_s("x"))
    self._advance(quarantine.QUARANTINE_S + 1)
    self.assertEqual(0, self.table.remaining_s("x"))

  def test_one_crash_after_the_quarantine_renews_it(self):
    self._crash_apart("x", 3)
    self._advance(quarantine.QUARANTINE_S + 1)
    self.assertTrue(self._crash("x", "again"))
    self.assertTrue(self.table.remaining_s("x") > 0)

  def test_crash_reported_by_many_routers_counts_once(self):
    for _ in range(9):
      self._advance(0.2)
      self.assertFalse(self._crash("x", "one"))

  def test_rack_failure_quarantines_no_request(self):
    """Guards against quarantining frequent requests when a rack fails."""
    for endpoint in range(20):
      self._advance(0.003)
      self.assertFalse(self._crash("popular", f"e{endpoint}"))
    self.assertEqual(0, self.table.remaining_s("popular"))

  def test_crashes_of_immediate_retries_count_each(self):
    """Guards against quick retries that crash one endpoint after the other."""
    found = []
    for endpoint in range(3):
      self._advance(0.02)
      found.append(self._crash("x", f"e{endpoint}", ran_s=0.015))
    self.assertEqual([False, False, True], found)

  def test_success_clears_a_suspected_request(self):
    """Guards against quarantining a request that ran beside a crashing one."""
    self._crash_apart("beside", 2)
    self.assertTrue(self.table.note_success("beside"))
    self.assertEqual([False] * 4, self._crash_apart("beside", 4))

  def test_old_crashes_do_not_count(self):
    self._crash_apart("x", 2)
    self._advance(1_000)
    self.assertEqual([False, False, True], self._crash_apart("x", 3))

  def test_team_over_its_limit_evicts_only_its_own_rows(self):
    """Guards against a team whose many requests evict another team's rows."""
    self._crash_apart("other", 3, team="other")
    for number in range(1_000):
      self._crash(f"many{number}", "e", team="many")
    self.assertTrue(self.table.remaining_s("other") > 0)
    self.assertTrue(len(self.table._rows) <= 1 + quarantine._MAX_ROWS_PER_TEAM)

  def test_tables_are_bounded(self):
    for number in range(quarantine._MAX_ROWS + 500):
      self._crash(f"x{number}", "e", team=f"t{number}")
    for number in range(quarantine._MAX_SUCCEEDED + 500):
      self.table.note_success(f"s{number}")
    self.assertTrue(len(self.table._rows) <= quarantine._MAX_ROWS)
    self.assertTrue(len(self.table._succeeded_at) <= quarantine._MAX_SUCCEEDED)

  def test_fingerprint_depends_on_team_method_path_and_body(self):
    given = ("acme", b"POST", b"/a", b"body")
    found = {quarantine.fingerprint(*given)}
    for n, other in enumerate(("b", b"PUT", b"/b", b"bod")):
      found.add(quarantine.fingerprint(*given[:n], other, *given[n + 1 :]))
    self.assertEqual(5, len(found))
    self.assertIn(quarantine.fingerprint(*given), found)

  def test_update_from_another_router_is_applied(self):
    update = quarantine.QuarantineUpdate("x", "acme", 30.0)
    self.assertTrue(self.table.apply_update(update))
    self.assertFalse(self.table.apply_update(update._replace(left_s=90.0)))
    self.assertEqual(30.0, self.table.remaining_s("x"))
    self.table.apply_update(update._replace(left_s=0.0))
    self.assertEqual(0, self.table.remaining_s("x"))
    self.assertFalse(self.table.apply_update(update))
