"""Tests of renewals, which confirm all of a router's ceilings at once.

Guards against refusals after all routers have died. A live router with nothing
to report would appear to have drawn more and more, and without renewals all of
that would be lost.
"""

import datetime

import anyio
import testtools

from mustardfall import errors
from mustardfall import settings
from mustardfall.bench.virtual import loop as virtual
from mustardfall.budget import allotment
from mustardfall.budget import ceilings
from mustardfall.budget import ledger
from mustardfall.budget import renewals
from mustardfall.kv import change
from mustardfall.util import clock as clock_lib

_LIMIT = ledger.Limit(1_000, 1)


def _at(boot_s: float) -> clock_lib.Moment:
  return clock_lib.Moment(boot_s, boot_s)


class _Writer:
  """A writer that records posted changes."""

  def __init__(self):
    self.posted = []
    self.value = None
    self.failures = 0

  def post(self, key, asked):
    self.posted.append((key, asked))

  async def submit(self, key, asked):
    del key
    await anyio.sleep(0.004)
    if self.failures:
      self.failures -= 1
      raise errors.KvUnavailableError("away")
    return change.apply(asked, self.value) or self.value


class RenewTest(testtools.TestCase):

  def test_later_renewal_replaces_an_earlier_one_only(self):
    value = change.apply(renewals.Renew("a:1", _at(5.0)), None)
    self.assertIsNone(change.apply(renewals.Renew("a:1", _at(4.0)), value))
    value = change.apply(renewals.Renew("a:1", _at(6.0)), value)
    self.assertEqual({"a:1": [6.0, 6.0, None]}, value["lives"])

  def test_lives_of_a_router_that_dies_often_are_kept_for_a_while(self):
    value = None
    for life in range(7):
      value = change.apply(renewals.Renew(f"a:{life}", _at(life)), value)
    self.assertEqual(["a:3", "a:4", "a:5", "a:6"], list(value["lives"]))

  def test_review_counts_from_the_last_renewal(self):
    # Ceiling issued at 50 s, renewed at 58 s, router restarted at 59 s: there
    # is no growth for two seconds, so 80 are lost. Without the renewal 80 + 7 *
    # 30 would be.
    ceiling = ceilings.Ceiling(180, 2.0, 30.0, _at(50.0))
    found = change.apply(
        ledger.Grant("a:1:1", 1, 600, 1.0, 0.0, _LIMIT, 0, ceiling), None
    )
    found = change.apply(ledger.ReportUse("a:1:1", 100), found)
    renewed = {"a:1": _at(58.0)}
    review = ledger.Reclaim("a:2", _at(59.0), renewed)
    self.assertEqual(80, ledger.lost(change.apply(review, found)))
    alone = ledger.Reclaim("a:2", _at(59.0))
    self.assertTrue(ledger.lost(change.apply(alone, found)) > 280)


class RenewerTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    config = settings.Allotment(reports=True)
    self.table = allotment.Table("a:1", config)
    self.writer = _Writer()
    self.renewer = renewals.Renewer(
        config, self.clock, "a:1", self.table, self.writer, lambda m: m
    )
    self.table.add("b", "a:1:1", 600, self.clock.monotonic())
    now = self.clock.monotonic()
    self.table.add_ceiling(
        "a:1:1", ceilings.Ceiling(100, 2.0, 30.0, _at(0)), now
    )

  def _renew(self) -> int:
    """Returns how many renewals were posted so far."""
    self.renewer.renew()
    return len(self.writer.posted)

  def _answer(self) -> None:
    _, asked = self.writer.posted[-1]
    self.renewer.update(change.apply(asked, None))

  def test_growth_restarts_at_the_renewal(self):
    self.clock.advance(datetime.timedelta(seconds=4))
    self.table.update_ceiling("b", self.clock.monotonic())
    self.assertEqual(160, self.table.rows["a:1:1"].free)
    self.assertEqual(1, self._renew())
    self.assertEqual(100, self.table.rows["a:1:1"].free)

  def test_no_second_renewal_is_sent_to_an_unresponsive_store(self):
    self.assertEqual(1, self._renew())
    self.clock.advance(datetime.timedelta(seconds=4))
    self.assertEqual(1, self._renew())
    self.table.update_ceiling("b", self.clock.monotonic())
    self.assertEqual(160, self.table.rows["a:1:1"].free)
    self._answer()
    self.assertEqual(2, self._renew())

  def test_overdrawn_ceiling_is_not_renewed(self):
    # While unreachable the holder drew more than its ceiling allowed without
    # growth. A renewal would state the contrary.
    self.clock.advance(datetime.timedelta(seconds=4))
    self.table.update_ceiling("b", self.clock.monotonic())
    self.assertIsNotNone(self.table.reserve("b", 150))
    self.assertEqual(0, self._renew())

  def test_without_ceilings_nothing_is_renewed(self):
    self.table.rows["a:1:1"].issued_ceilings.clear()
    self.assertEqual(0, self._renew())

  def _read_earlier(self):
    """Returns the earlier lives' renewals and how many seconds that took."""

    async def _day():
      began = anyio.current_time()
      found = await self.renewer.earlier_renewals(1.5)
      return dict(found), anyio.current_time() - began

    result = []

    async def _run():
      result.append(await _day())

    virtual.run(_run)
    return result[0]

  def test_router_without_ceilings_reads_earlier_renewals(self):
    """Guards against dead routers' tokens that wait for a read nobody makes."""
    self.writer.value = change.apply(renewals.Renew("a:0", _at(5.0)), None)
    found, took_s = self._read_earlier()
    self.assertEqual({"a:0": _at(5.0)}, found)
    self.assertTrue(took_s < 0.1, took_s)

  def test_router_without_earlier_lives_waits_for_none(self):
    found, took_s = self._read_earlier()
    self.assertEqual({}, found)
    self.assertTrue(took_s < 0.1, took_s)

  def test_renewals_are_read_again_while_the_store_is_unavailable(self):
    self.writer.value = change.apply(renewals.Renew("a:0", _at(5.0)), None)
    self.writer.failures = 3
    found, took_s = self._read_earlier()
    self.assertEqual({"a:0": _at(5.0)}, found)
    self.assertTrue(took_s < 0.5, took_s)
