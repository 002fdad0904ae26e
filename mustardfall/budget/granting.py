"""Requests grants from the KV and issues ceilings on their use."""

import collections
from collections.abc import Callable
import logging

from mustardfall import errors
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import budget_view as budget_view_lib
from mustardfall.budget import ceilings as ceilings_lib
from mustardfall.budget import holding
from mustardfall.budget import ledger
from mustardfall.budget import refusals as refusals_lib
from mustardfall.budget import settling
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import members as members_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MIN_REFILL_FRACTION = 0.1
"""Smallest refill, as a fraction of the target."""
_MAX_LOGGED_ROWS = 16
"""Rows logged in one round of reports."""
_EMPTY_LEDGER = ledger.Ledger(
    limit=0, spent=0, grants={}, lost={}, lost_before=0, parts={}, ops=[]
)
"""Returned for a budget that does not exist in the KV."""


class Granter:
  """Requests and enlarges this router's grants.

  Args:
    config: how grants are sized.
    clock: the time source.
    members: the number of regions that share a budget.
    budget_view: what is known of the budgets.
    table: this router's allotments.
    refusals: budgets that recently refused.
    settler: settles grants and reports their use.
    writer: the batch writer to the KV.
    vouch: adds a clock error to a moment of this host if its clock was compared
      with other routers' clocks.
    counts: event counters.
  """

  def __init__(
      self,
      config: settings.Allotment,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      budget_view: budget_view_lib.BudgetView,
      table: allotment.Table,
      refusals: refusals_lib.RefusalCache,
      settler: settling.Settler,
      writer: writer_lib.Writer,
      with_error_bound: Callable[[clock_lib.Moment], clock_lib.Moment],
      counts: collections.Counter[str],
  ) -> None:
    self._config = config
    self._clock = clock
    self._members = members
    self._budget_view = budget_view
    self._table = table
    self._refusals = refusals
    self._settler = settler
    self._writer = writer
    self._with_error_bound = with_error_bound
    self._counts = counts
    self.pending_gids: set[str] = set()
    """Grants with a request to the KV in progress."""

  async def raise_ceiling(self, budget: str, least: int) -> bool | None:
    """Issues a ceiling that allows `least` more tokens of the budget's grant.

    Returns:
      Whether the KV answered; None if the grant has fewer tokens left.
    """
    row = self._table.growable_row(budget)
    if row is None or not row.issued_ceilings or row.undrawn < least:
      return None
    ceiling = self.issue_ceiling(budget, row, least)
    if ceiling is None:
      return None
    self.pending_gids.add(row.gid)
    try:
      await self._settler.report_now(row, ceiling)
    except errors.KvUnavailableError:
      self._table.withdraw_ceiling(row.gid, ceiling, self._clock.monotonic())
      return False
    except errors.KvUnknownError:
      return False
    finally:
      self.pending_gids.discard(row.gid)
    self._counts["ceilings_raised"] += 1
    return True

  def issue_ceiling(
      self, budget: str, row: allotment.Row | None, least: int
  ) -> ceilings_lib.Ceiling | None:
    """Returns a new ceiling for a row and records it there as sent."""
    limit = self._budget_view.limit_of(budget)
    if limit is None or not self._config.reports:
      return None
    drawn = 0 if row is None else row.drawn
    slack, rate = least, 0.0  # a retired row takes no new reservations
    most = slack
    grace_s = self._config.ceiling_grace_s
    if row is None or not row.retiring:
      sizing = self._budget_view.sizing_input(budget, limit)
      slack = max(least, holding.slack(sizing, self._config))
      rate = holding.ceiling_growth(sizing, self._config)
      most = holding.outage_draw(sizing, self._config, slack)
      grace_s *= sizing.measured
    ceiling = ceilings_lib.Ceiling(
        tokens=drawn + slack,
        grace_s=grace_s,
        rate=rate,
        issued=self._with_error_bound(self._clock.moment()),
        cap=drawn + most,
    )
    if row is not None:
      self._table.add_ceiling(row.gid, ceiling, self._clock.monotonic())
    return ceiling

  def report_usage(self) -> None:
    """Reports the usage of grants, each with a new ceiling."""
    reported = []
    for row in self._table.rows.values():
      # Skipped while a higher ceiling is in flight: this one would be newer,
      # replace it in the ledger and cause the refusal of the request that the
      # higher one was issued for.
      if row.gid not in self.pending_gids and self._settler.needs_report(row):
        self._settler.report(row, self.issue_ceiling(row.budget, row, 0))
        reported.append(row)
    for row in reported[:_MAX_LOGGED_ROWS]:
      self._log_held(row)

  def _log_held(self, row: allotment.Row) -> None:
    snapshot = self._budget_view.snapshot(row.budget)
    extra = {
        "budget": row.budget,
        "gid": row.gid,
        "granted": row.granted,
        "used": row.granted - row.unconsumed,
        "reserved": row.own_drawn - row.used,
        "parts": sum(part.tokens for part in row.parts.values()),
        "lost_parts": sum(row.lost_parts.values()),
        "undrawn": row.undrawn,
        "free": row.free,
        "ledger": None if snapshot is None else snapshot._asdict(),
    }
    logger.info("budget held", extra=extra)

  def _share(self) -> float:
    """Returns the fraction of a budget's headroom that one grant may take.

    An owner draws for its whole region, so it may take the region's share.
    Grants that shrink with the headroom would leave many rows with remainders
    too small for any request, which causes false refusals when a budget is
    nearly used up.
    """
    if self._config.owned:
      return 1.0 / self._members.region_count
    return 1.0

  def is_refill_worthwhile(self, budget: str) -> bool:
    """Whether a refill would bring enough tokens to justify a call to the KV.

    A budget also runs low while requests in flight have reserved most of the
    tokens held. No more may be held until they end.
    """
    limit = self._budget_view.limit_of(budget)
    if limit is None:
      return True
    sizing = self._budget_view.sizing_input(budget, limit)
    target = holding.target(sizing, self._config)
    return target - sizing.held >= target * _MIN_REFILL_FRACTION

  async def grant(
      self,
      budget: str,
      least: int,
      want: int,
      margin: float,
      as_owner: bool = True,
  ) -> ledger.Ledger | None:
    """Requests one grant from the KV; None if the KV did not answer."""
    limit = self._budget_view.limit_of(budget)
    share = self._share()
    if as_owner and limit is not None:
      sizing = self._budget_view.sizing_input(budget, limit)
      want = max(least, holding.target(sizing, self._config) - sizing.held)
      if sizing.headroom is None:
        # The ledger was not read yet and may be mostly used; the share applies
        # to the headroom at the time of the write.
        share = holding.equal_share(sizing, self._config)
    row = self._table.growable_row(budget)
    base = row.granted if row is not None else 0
    gid = row.gid if row is not None else self._table.new_id()
    asked_at = self._clock.monotonic()
    ceiling = self.issue_ceiling(budget, row, least)
    change = ledger.Grant(gid, least, want, share, margin, limit, base, ceiling)
    self.pending_gids.add(gid)
    try:
      after = await self._writer.submit(ledger.key(budget), change)
    except errors.KvUnavailableError:
      self._counts["grant_failures"] += 1
      if ceiling is not None:
        self._table.withdraw_ceiling(gid, ceiling, self._clock.monotonic())
      return None
    except errors.KvUnknownError:
      self._counts["grant_failures"] += 1
      if row is None:
        # The grant may have been written: settling it as unused returns it. If
        # it is written even later, `settle_strays` finds it in the ledger. A
        # row that grows needs neither: the next read of the ledger shows its
        # size.
        self._settler.settle_row(allotment.Row(budget, gid, 0, 0.0))
      return None
    finally:
      self.pending_gids.discard(gid)
    if after is None:
      return _EMPTY_LEDGER
    granted = ledger.granted(after, gid)
    _log_grant(budget, change, granted, after)
    if granted > base:
      self._record_grant(budget, gid, granted, new=row is None)
    if ceiling is not None:
      self._record_ceiling(gid, after, ceiling, asked_at, new=row is None)
    return after

  def _record_ceiling(
      self,
      gid: str,
      after: ledger.Ledger,
      ceiling: ceilings_lib.Ceiling,
      asked_at: float,
      new: bool,
  ) -> None:
    """Records whether a ceiling sent with a grant was stored."""
    now = self._clock.monotonic()
    stored = ledger.ceiling(after, gid)
    if stored is None or stored.issued < ceiling.issued:
      self._table.withdraw_ceiling(gid, ceiling, now)
    elif new:
      self._table.add_ceiling(gid, ceiling, asked_at)

  def _record_grant(
      self, budget: str, gid: str, granted: int, new: bool
  ) -> None:
    self._counts["grants"] += 1
    now = self._clock.monotonic()
    if new:
      self._table.add(budget, gid, granted, now)
    else:
      # A row settled in the meantime stays settled: its settlement, in the same
      # batch or a later one, also returns the growth.
      self._table.grow(gid, granted, now)
    self._refusals.remove(budget)


def _log_grant(
    budget: str, asked: ledger.Grant, granted: int, after: ledger.Ledger
) -> None:
  logger.info(
      "grant asked",
      extra={
          "budget": budget,
          "gid": asked.gid,
          "least": asked.least,
          "want": asked.want,
          "before": asked.base,
          "granted": granted,
          "limit": after["limit"],
          "headroom": ledger.headroom(after),
      },
  )
