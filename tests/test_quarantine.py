"""Which requests are quarantined, and which only ran beside these."""

import datetime

import testtools

from mustardfall.routing import quarantine
from mustardfall.util import clock as clock_lib

_RAN_S = 0.2


class _TableCase(testtools.TestCase):
  """A table, and endpoints that crash under requests."""

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.table = quarantine.Table(self.clock)

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _crash(self, request, endpoint, team="acme", ran_s=_RAN_S):
    report = quarantine.CrashReport(request, team, endpoint, ran_s)
    return self.table.note_crash(report)


class TableTest(_TableCase):

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

  def test_like_requests_are_quarantined_for_a_short_time(self):
    """Guards against a team refused for minutes as endpoints crash in a row."""
    for n in range(3):
      self._advance(1.0)
      for ran_s in (0.2, 0.3, 0.3):
        self._crash("x", f"e{n}", ran_s=ran_s)
    self.assertEqual(15.0, self.table.remaining_s("x"))
    self._advance(16.0)
    self.assertEqual(["x"], self.table.open_units(["x"]))
    self.table.note_success("x")
    self.assertEqual([], self.table.open_units(["x"]))

  def test_like_requests_that_crash_endpoints_again_wait_longer(self):
    """Guards against a request with many callers that crashes endpoints for ever."""
    for n in range(3):
      self._advance(1.0)
      for ran_s in (0.2, 0.3):
        self._crash("x", f"e{n}", ran_s=ran_s)
    for n in range(3, 12):
      self._advance(self.table.remaining_s("x") + 1)
      self.assertTrue(self._crash("x", f"e{n}"))
    self.assertEqual(quarantine.QUARANTINE_S, self.table.remaining_s("x"))

  def test_report_that_arrives_twice_does_not_make_a_request_shared(self):
    """Guards against short quarantines of a request that one caller repeats."""
    for n in range(3):
      self._advance(1.0)
      for _ in range(2):
        self._crash("x", f"e{n}")
    self.assertEqual(quarantine.QUARANTINE_S, self.table.remaining_s("x"))
    self.assertEqual([], self.table.open_units(["x"]))

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
    for prompt in (["m"], ["m", "a"], ["n", "a"], ["m", "a", "b"], ["m", "ab"]):
      found.add(quarantine.fingerprint(*given, prompt))
    self.assertEqual(10, len(found))
    self.assertIn(quarantine.fingerprint(*given), found)

  def test_update_from_another_router_is_applied(self):
    update = quarantine.QuarantineUpdate("x", "acme", 30.0)
    self.assertTrue(self.table.apply_update(update))
    self.assertFalse(self.table.apply_update(update._replace(left_s=90.0)))
    self.assertEqual(30.0, self.table.remaining_s("x"))
    self.table.apply_update(update._replace(left_s=0.0))
    self.assertEqual(0, self.table.remaining_s("x"))
    self.assertFalse(self.table.apply_update(update))


class JudgeTest(testtools.TestCase):

  def _judge(self, crashes, requests=9, proven=False, isolated=True):
    record = quarantine.Record(crashes, requests, True, proven, isolated)
    return quarantine.judge(record).value

  def test_standing_of_a_part_by_what_is_known(self):
    """Guards against blame with too little evidence, and without an end."""
    cases = [
        ("clear", {"crashes": 1}),
        ("open", {"crashes": 2}),
        ("quarantined", {"crashes": 3}),
        ("open", {"crashes": 3, "isolated": False}),
        ("quarantined", {"crashes": 5, "isolated": False}),
        ("clear", {"crashes": 2, "proven": True}),
        ("open", {"crashes": 4, "proven": True}),
        ("quarantined", {"crashes": 5, "proven": True}),
    ]
    for expected, known in cases:
      self.assertEqual(expected, self._judge(**known), known)

  def test_part_of_a_single_request_is_not_blamed(self):
    """Guards against blame for a part if one request crashes by itself."""
    self.assertEqual("clear", self._judge(9, requests=1))

  def test_quarantine_of_a_part_begins_short_and_is_doubled(self):
    """Guards against a sound part that is refused for minutes."""
    policy = quarantine.DEFAULT_POLICY
    found = [quarantine.term_s(n, True, policy) for n in (3, 4, 5, 30)]
    self.assertEqual([15.0, 30.0, 60.0, quarantine.QUARANTINE_S], found)


class PartTest(_TableCase):

  def _crash_part(self, part, number, **more):
    """Has an endpoint crash under a request that is unlike all others."""
    self._advance(1.0)
    report = quarantine.CrashReport(
        part, "acme", f"e{number}", _RAN_S, f"q{number}", **more
    )
    return self.table.note_crash(report)

  def _standing(self, part):
    return self.table.standing(part).value

  def test_part_of_different_requests_is_quarantined(self):
    """Guards against requests that share only the part that crashes."""
    found = [self._crash_part("p", n) for n in range(3)]
    self.assertEqual([False, False, True], found)
    self._advance(16.0)
    self.assertEqual("open", self._standing("p"))
    self.assertTrue(self._crash_part("p", 9))
    self.assertEqual(30.0, self.table.remaining_s("p"))

  def test_success_counts_from_when_the_answer_began(self):
    """Guards against answers begun before that clear a part gone bad."""
    for number in range(4):
      self._crash_part("p", number, is_proven=True)
    self.assertTrue(self.table.note_success("p", age_s=2.5))
    self.assertEqual(3, self.table.crash_count("p"))
    self.assertFalse(self.table.note_success("p", age_s=2.5))
    self.table.note_success("p", age_s=0.0)
    self.assertEqual(0, self.table.crash_count("p"))

  def test_success_clears_crashes_under_requests_sent_before_it(self):
    """Guards against blame for long answers, of which none begins after a crash."""
    self._advance(5.0)
    report = quarantine.CrashReport("p", "acme", "e", 3.0, "q", is_proven=True)
    self.table.note_crash(report)
    self._advance(2.0)
    self.assertFalse(self.table.note_success("p", age_s=5.5))
    self.assertEqual(1, self.table.crash_count("p"))
    self.assertTrue(self.table.note_success("p", age_s=4.5))
    self.assertEqual(0, self.table.crash_count("p"))

  def test_last_request_at_the_endpoint_is_the_one_that_counts(self):
    """Guards against a success from before the part went bad that clears it."""
    self._advance(5.0)
    report = quarantine.CrashReport("p", "acme", "e", 3.0, "q1", is_proven=True)
    self.table.note_crash(report)
    self.table.note_crash(report._replace(request="q2", ran_s=0.2))
    self.assertFalse(self.table.note_success("p", age_s=1.0))
    self.assertEqual(1, self.table.crash_count("p"))

  def test_success_elsewhere_before_the_crashes_raises_the_limit(self):
    """Guards against blame for a sound first part that another router knows."""
    self._crash_part("p", 0)
    self._crash_part("p", 1)
    self.assertEqual("open", self._standing("p"))
    told = quarantine.QuarantineUpdate("p", "acme", -30.0)
    self.table.apply_update(told)
    self.assertEqual("clear", self._standing("p"))
    self.assertTrue(self.table.is_proven("p"))

  def test_router_that_knows_better_answers_an_open_part(self):
    """Guards against a part that stays open although a router ran it."""
    told = quarantine.QuarantineUpdate(
        "p", "acme", 0.0, 1.0, 2.0, is_part=True, is_open=True
    )
    for age_s, standing, answers in ((0.5, "clear", 1), (30.0, "clear", 1)):
      table = quarantine.Table(self.clock)
      outdated = []
      table.on_outdated = outdated.append
      table.note_success("p", age_s)
      table.apply_update(told)
      self.assertEqual(standing, table.standing("p").value)
      self.assertEqual(answers, len(outdated))
    self.table.apply_update(told)
    self.assertEqual("open", self._standing("p"))

  def test_late_quarantine_does_not_undo_a_success(self):
    """Guards against a quarantine that gossip brings back."""
    told = quarantine.QuarantineUpdate("p", "acme", 9.0, 1.0, 3.0, True)
    self.table.note_success("p")
    self.assertFalse(self.table.apply_update(told))
    self._advance(5.0)
    self.assertTrue(self.table.apply_update(told._replace(succeeded_s=6.0)))

  def test_crashes_amid_an_answer_count_half(self):
    """Guards against blame for the parts of streams that ran beside."""
    for number in range(3):
      self._crash_part("p", number, was_writing=True)
    self.assertEqual(1.5, self.table.crash_count("p"))
    self.assertEqual("clear", self._standing("p"))

  def test_crashes_amid_an_answer_count_whole_once_they_recur(self):
    """Guards against a part that crashes ten endpoints as each counts half."""
    for number in range(5):
      self._crash_part("p", number, was_writing=True)
    self.assertEqual(3.0, self.table.crash_count("p"))
    self.assertEqual("quarantined", self._standing("p"))

  def test_part_that_succeeds_now_and_then_is_quarantined_again_soon(self):
    """Guards against one success that makes a bad part look sound."""
    for number in range(3):
      self._crash_part("p", number)
    self.assertEqual("quarantined", self._standing("p"))
    self.table.note_success("p")
    self.assertEqual("clear", self._standing("p"))
    self._crash_part("p", 3, was_writing=True)
    self.assertEqual("clear", self._standing("p"))
    self._crash_part("p", 4, was_writing=True)
    self.assertEqual("quarantined", self._standing("p"))

  def test_culprit_explains_the_crashes_of_others(self):
    """Guards against blame for the parts that always came with the culprit."""
    for number in range(3):
      self._crash_part("beside", number, is_isolated=False)
      self._crash_part("p", number)
    self.assertEqual("quarantined", self._standing("p"))
    self.assertEqual(0, self.table.crash_count("beside"))

  def test_culprit_explains_nothing_that_others_reported(self):
    """Guards against an open part forgotten for a quarantine of another."""
    told = quarantine.QuarantineUpdate(
        "p", "acme", 0.0, 1.0, 2.0, is_part=True, is_open=True
    )
    self.table.apply_update(told)
    for number in range(3):
      self._crash_part("other", number)
    self.assertEqual("open", self._standing("p"))

  def test_rack_failure_blames_no_part(self):
    """Guards against blame for a part of many requests when a rack fails."""
    for number in range(20):
      self._advance(0.003)
      report = quarantine.CrashReport(
          "p", "acme", f"e{number}", _RAN_S, f"q{number}"
      )
      self.table.note_crash(report)
    self.assertEqual("clear", self._standing("p"))

  def test_no_team_can_blame_parts_of_another(self):
    """Guards against a team that crashes endpoints with another's parts."""
    ours, theirs = (quarantine.part_keys(t, ["p", "x"]) for t in ("a", "b"))
    self.assertEqual(1, len(ours))
    self.assertNotEqual(ours, theirs)

  def test_last_part_is_never_blamed(self):
    self.assertEqual((), quarantine.part_keys("acme", ["own"]))
    self.assertEqual((), quarantine.part_keys("acme", []))

  def test_blamed_rows_are_not_evicted_by_suspected_ones(self):
    """Guards against a crash of many requests that ends a quarantine."""
    for number in range(3):
      self._crash_part("p", number)
    for number in range(quarantine._MAX_ROWS_PER_TEAM + 100):
      self._crash(f"many{number}", "e")
    self.assertEqual("quarantined", self._standing("p"))
    self.assertEqual(quarantine._MAX_ROWS_PER_TEAM, len(self.table))

  def test_open_part_is_clear_when_its_crashes_are_old(self):
    self._crash_part("p", 0)
    self._crash_part("p", 1)
    self._advance(130.0)
    self.assertEqual("clear", self._standing("p"))

  def test_malformed_updates_are_rejected(self):
    for fact in (
        [],
        ["p"],
        ["p", "t", "x"],
        [3, "t", 1.0],
        ["p", "t", 1.0, []],
    ):
      self.assertRaises((TypeError, ValueError), quarantine.decode, fact)
