"""Returns tokens that dead routers held and cannot have drawn."""

import collections
import logging

import anyio

from mustardfall import errors
from mustardfall.budget import budget_view as budget_view_lib
from mustardfall.budget import ledger
from mustardfall.budget import renewals
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import clockcheck
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_ROUND_PAUSE_S = 0.05
"""Pause between two rounds of reviews."""
_CLOCK_WAIT_S = 1.5
"""How long a review waits for the clocks to be compared. Routers that lost
power together are up again within a second of each other. What cannot be
bounded by then is written off for good."""
_RENEWALS_WAIT_S = 1.5
"""How long a review waits for the renewals of earlier lives, which arrive with
this life's first: one call, once the store answers."""
_REVIEW_RETRY_S = 1.0
"""A review is requested again after this time. A router that has just started
may not be reachable yet; each read of the ledger triggers another request."""


class Reviewer:
  """Has the grants of dead routers reviewed by those routers' later lives.

  Args:
    clock: the time source.
    members: the routers that are up.
    peers: calls to other routers.
    budget_view: what is known of the budgets.
    writer: the batch writer to the KV.
    clock_check: compares the wall clock with other routers' clocks, if given.
    renewer: knows when earlier lives renewed their ceilings.
    counts: event counters.
  """

  def __init__(
      self,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      peers: peers_lib.Client,
      budget_view: budget_view_lib.BudgetView,
      writer: writer_lib.Writer,
      clock_check: clockcheck.ClockCheck | None,
      renewer: renewals.Renewer,
      counts: collections.Counter[str],
  ) -> None:
    self._clock = clock
    self._members = members
    self._peers = peers
    self._budget_view = budget_view
    self._writer = writer
    self._clock_check = clock_check
    self._renewer = renewer
    self._counts = counts
    self._started = clock.process_start()
    self._pending_reviews: set[tuple[str, str]] = set()
    """Later lives of dead routers, and the budgets that they are to review."""
    self._wake = anyio.Event()
    self._asked_at: dict[str, float] = {}
    """When a review was last requested, by grant."""

  def _vouch(self, moment: clock_lib.Moment) -> clock_lib.Moment:
    check = self._clock_check
    return moment if check is None else check.with_error_bound(moment)

  def find_reviews(
      self, budget: str, state: ledger.Ledger
  ) -> set[tuple[str, str]]:
    """Returns the routers that can review dead routers' grants of a budget."""
    reviews = set()
    now = self._clock.monotonic()
    for gid in state.get("ceilings", {}):
      member = self._members.successor(ledger.holder(gid))
      asked_at = self._asked_at.get(gid, -float("inf"))
      if member is not None and now - asked_at >= _REVIEW_RETRY_S:
        self._asked_at[gid] = now
        reviews.add((member.life, budget))
    return reviews

  def schedule(self, budget: str, state: ledger.Ledger) -> None:
    """Schedules reviews of the dead routers' grants that a ledger shows."""
    reviews = self.find_reviews(budget, state)
    if reviews:
      self._pending_reviews |= reviews
      self._wake.set()

  async def run(self) -> None:
    """Runs scheduled reviews until cancelled."""
    while True:
      await self._wake.wait()
      self._wake = anyio.Event()
      await self.review_pending()
      await anyio.sleep(_ROUND_PAUSE_S)

  async def review_pending(self) -> None:
    """Runs the reviews scheduled so far."""
    reviews, self._pending_reviews = self._pending_reviews, set()
    async with anyio.create_task_group() as tg:
      for life, budget in reviews:
        tg.start_soon(self.review_one, life, budget)

  async def review_one(self, life: str, budget: str) -> None:
    """Has router life `life` review the grants of its earlier lives."""
    if life == self._members.me.life:
      await self._review_own(budget)
      return
    member = self._members.lives.get(life)
    if member is not None:
      await self._peers.review(member, budget)

  async def serve(self, budget: str) -> None:
    """Returns what earlier lives of this router did not draw.

    Runs at once, or in the background if the clocks have not been compared yet,
    so that the calling router does not wait for that.
    """
    if self._clock_check is None or self._clock_check.agrees:
      await self._review_own(budget)
      return
    self._pending_reviews.add((self._members.me.life, budget))
    self._wake.set()

  async def _review_own(self, budget: str) -> None:
    if self._clock_check is not None:
      await self._clock_check.wait(_CLOCK_WAIT_S)
    me = self._members.me.life
    renewed = await self._renewer.earlier_renewals(_RENEWALS_WAIT_S)
    change = ledger.Reclaim(me, self._vouch(self._started), renewed)
    before = self._budget_view.ledgers.get(budget)
    try:
      after = await self._writer.submit(ledger.key(budget), change)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info(
          "grants not reviewed", extra={"budget": budget, "error": str(exc)}
      )
      return
    self._counts["reviews"] += 1
    if before and after:
      _log_reviews(budget, change, before, after)

  def prune(self, before: float) -> None:
    """Drops the request times before `before`."""
    for gid, at in list(self._asked_at.items()):
      if at < before:
        del self._asked_at[gid]


def _log_reviews(
    budget: str,
    change: ledger.Reclaim,
    before: ledger.Ledger,
    after: ledger.Ledger,
) -> None:
  for gid in ledger.earlier_grants(before, change.life):
    last_ceiling = ledger.ceiling(before, gid)
    logger.info(
        "grant of an earlier life reviewed",
        extra={
            "budget": budget,
            "gid": gid,
            "held": before["grants"].get(gid) or before["lost"].get(gid),
            "billed": ledger.billed(before, gid),
            "promise": last_ceiling,
            "renewed": change.renewed.get(ledger.holder(gid)),
            "started": change.started,
            "unheard_s": ledger.max_unreported_s(change, gid, last_ceiling),
            "lost": after["lost"].get(gid),
            "headroom": ledger.headroom(after),
        },
    )
