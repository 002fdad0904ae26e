"""Recalls idle tokens of a budget from the routers that hold them."""

import collections

import anyio

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ledger
from mustardfall.budget import reviewing
from mustardfall.budget import settling
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib


class Recaller:
  """Asks other routers for idle tokens and returns this router's own.

  Args:
    config: how often a budget may be recalled.
    clock: the time source.
    members: the routers that are up.
    peers: calls to other routers.
    table: this router's allotments.
    settler: settles allotments.
    reviewer: has the grants of dead routers reviewed.
    counts: event counters.
  """

  def __init__(
      self,
      config: settings.Allotment,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      peers: peers_lib.Client,
      table: allotment.Table,
      settler: settling.Settler,
      reviewer: reviewing.Reviewer,
      counts: collections.Counter[str],
  ) -> None:
    self._config = config
    self._clock = clock
    self._members = members
    self._peers = peers
    self._table = table
    self._settler = settler
    self._reviewer = reviewer
    self._counts = counts
    self._recalled_at: dict[str, float] = {}

  async def recall(self, budget: str, state: ledger.Ledger) -> bool:
    """Recalls idle tokens; returns whether any router was asked.

    A request refused while others hold idle tokens is a false refusal. A budget
    is recalled at most once per `recall_s`, so that an exhausted budget does
    not cause a storm of messages in the fleet.
    """
    now = self._clock.monotonic()
    last = self._recalled_at.get(budget, -float("inf"))
    if now - last < self._config.recall_s:
      return False
    self._recalled_at[budget] = now
    holders = self._holders(budget, state)
    reviews = self._reviewer.find_reviews(budget, state)
    self._counts["recalls"] += len(holders)
    async with anyio.create_task_group() as tg:
      for holder in holders:
        tg.start_soon(self._peers.recall, holder, budget)
      for life, _ in reviews:
        tg.start_soon(self._reviewer.review_one, life, budget)
    return bool(holders or reviews)

  def _holders(
      self, budget: str, state: ledger.Ledger
  ) -> list[members_lib.Member]:
    """Returns the other live routers that hold tokens of a budget."""
    lives = {ledger.holder(gid) for gid in state["grants"]}
    lives |= self._table.holders(budget)
    lives.discard(self._members.me.life)
    live = self._members.lives
    return [live[life] for life in lives if life in live]

  async def serve(self, budget: str) -> None:
    """Returns idle tokens of `budget` before answering."""
    with anyio.CancelScope(shield=True):
      async with anyio.create_task_group() as tg:
        for row in self._table.retire(budget):
          tg.start_soon(self._settler.settle_now, row)
        for gid in self._table.by_budget.get(budget, ()):
          tg.start_soon(self._settler.shrink_now, self._table.rows[gid])
      await self._settler.settle_parts()

  def prune(self, before: float) -> None:
    """Drops the recall times before `before`."""
    for budget, at in list(self._recalled_at.items()):
      if at < before:
        del self._recalled_at[budget]
