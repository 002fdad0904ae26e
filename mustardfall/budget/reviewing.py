"""Gives back what dead routers held of budgets and cannot have drawn."""

import collections
import logging

import anyio

from mustardfall import errors
from mustardfall.budget import known as known_lib
from mustardfall.budget import ledger
from mustardfall.budget import renewals
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import clockcheck
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_PAUSE_S = 0.05
"""Between two rounds of reviews."""
_CLOCK_WAIT_S = 1.5
"""How long a review waits for the clocks to be compared. Routers that lost
power together are back within a second of each other; what the clocks do
not tell by then is written off for good."""
_RENEWALS_WAIT_S = 1.5
"""How long a review waits for the renewals of earlier lives, which come with
this life's first: one call, once the store answers."""
_AGAIN_S = 1.0
"""A review is asked for again after this. A router that has just started
may not be reached at once; each sight of the ledger asks again."""


class Reviewer:
  """Finds grants of dead routers and has their later lives judge them.

  Args:
    clock: the time source.
    members: who is up.
    peers: calls to other routers.
    known: what is known of the budgets.
    writer: the batch writer to the KV.
    clock_check: vouches for the wall clock, if anything does.
    renewer: knows when earlier lives renewed their promises.
    counts: what happened so far.
  """

  def __init__(
      self,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      peers: peers_lib.Client,
      known: known_lib.Known,
      writer: writer_lib.Writer,
      clock_check: clockcheck.ClockCheck | None,
      renewer: renewals.Renewer,
      counts: collections.Counter[str],
  ) -> None:
    self._clock = clock
    self._members = members
    self._peers = peers
    self._known = known
    self._writer = writer
    self._clock_check = clock_check
    self._renewer = renewer
    self._counts = counts
    self._started = clock.process_start()
    self._due: set[tuple[str, str]] = set()
    """Later lives of dead routers, and budgets that they are to review."""
    self._event = anyio.Event()
    self._asked_at: dict[str, float] = {}
    """When a review was last asked for, by grant."""

  def _vouch(self, moment: clock_lib.Moment) -> clock_lib.Moment:
    check = self._clock_check
    return moment if check is None else check.vouch(moment)

  def find(self, budget: str, found: ledger.Ledger) -> set[tuple[str, str]]:
    """Returns who can give back what dead routers held of a budget."""
    reviews = set()
    now = self._clock.monotonic()
    for gid in found.get("ceilings", {}):
      member = self._members.successor(ledger.holder(gid))
      asked_at = self._asked_at.get(gid, -float("inf"))
      if member is not None and now - asked_at >= _AGAIN_S:
        self._asked_at[gid] = now
        reviews.add((member.life, budget))
    return reviews

  def note(self, budget: str, found: ledger.Ledger) -> None:
    """Has what a ledger shows of dead routers reviewed soon."""
    reviews = self.find(budget, found)
    if reviews:
      self._due |= reviews
      self._event.set()

  async def run(self) -> None:
    """Has what dead routers held of budgets given back, until cancelled."""
    while True:
      await self._event.wait()
      self._event = anyio.Event()
      await self.review_noted()
      await anyio.sleep(_PAUSE_S)

  async def review_noted(self) -> None:
    """Has the grants of dead routers reviewed that were seen so far."""
    reviews, self._due = self._due, set()
    async with anyio.create_task_group() as tg:
      for life, budget in reviews:
        tg.start_soon(self.review_one, life, budget)

  async def review_one(self, life: str, budget: str) -> None:
    """Has the router life `life` review what it held before."""
    if life == self._members.me.life:
      await self._review_own(budget)
      return
    member = self._members.lives.get(life)
    if member is not None:
      await self._peers.review(member, budget)

  async def serve(self, budget: str) -> None:
    """Gives back what earlier lives of this router did not draw.

    At once, or soon when the clocks have not been compared yet: a caller
    does not wait for that.
    """
    if self._clock_check is None or self._clock_check.agrees:
      await self._review_own(budget)
      return
    self._due.add((self._members.me.life, budget))
    self._event.set()

  async def _review_own(self, budget: str) -> None:
    if self._clock_check is not None:
      await self._clock_check.wait(_CLOCK_WAIT_S)
    me = self._members.me.life
    renewed = await self._renewer.earlier(_RENEWALS_WAIT_S)
    change = ledger.Reclaim(me, self._vouch(self._started), renewed)
    before = self._known.ledgers.get(budget)
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

  def forget(self, before: float) -> None:
    """Drops what was noted before then."""
    for gid, at in list(self._asked_at.items()):
      if at < before:
        del self._asked_at[gid]


def _log_reviews(
    budget: str,
    change: ledger.Reclaim,
    before: ledger.Ledger,
    after: ledger.Ledger,
) -> None:
  for gid in ledger.predecessors(before, change.life):
    promise = ledger.ceiling(before, gid)
    logger.info(
        "grant of an earlier life reviewed",
        extra={
            "budget": budget,
            "gid": gid,
            "held": before["grants"].get(gid) or before["lost"].get(gid),
            "billed": ledger.billed(before, gid),
            "promise": promise,
            "renewed": change.renewed.get(ledger.holder(gid)),
            "started": change.started,
            "unheard_s": ledger.unheard_s(change, gid, promise),
            "lost": after["lost"].get(gid),
            "headroom": ledger.headroom(after),
        },
    )
