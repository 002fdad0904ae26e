"""Delegates parts of this router's grants to other routers, as their owner."""

import collections
from typing import Any

import anyio

from mustardfall import settings
from mustardfall.budget import acquiring
from mustardfall.budget import allotment
from mustardfall.budget import budget_view as budget_view_lib
from mustardfall.budget import refusals as refusals_lib
from mustardfall.budget import settling
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib

_FALLBACK_GRANT_IDLE_S = 2.0
"""A grant of a budget that another router owns is kept if it was drawn on
within this time. A router that replaces an unreachable owner is asked
repeatedly, and each avoided grant saves writes and small unusable remainders.
"""
_RECALL_ROUNDS = 3
"""Rounds in which a stopping router recalls its parts."""
_RECALL_PAUSE_S = 0.05
"""Pause between two of these rounds; a call takes a few milliseconds."""


class Owner:
  """Serves other routers' requests for parts and settles the parts.

  Args:
    config: how parts are sized.
    clock: the time source.
    members: the routers that are up and the owners of budgets.
    peers: calls to other routers.
    budget_view: what is known of the budgets.
    table: this router's allotments.
    refusals: budgets that recently refused.
    acquirer: obtains the tokens to delegate.
    settler: settles parts.
    writer: the batch writer to the KV.
    counts: event counters.
  """

  def __init__(
      self,
      config: settings.Allotment,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      peers: peers_lib.Client,
      budget_view: budget_view_lib.BudgetView,
      table: allotment.Table,
      refusals: refusals_lib.RefusalCache,
      acquirer: acquiring.TokenAcquirer,
      settler: settling.Settler,
      writer: writer_lib.Writer,
      counts: collections.Counter[str],
  ) -> None:
    self._config = config
    self._clock = clock
    self._members = members
    self._peers = peers
    self._budget_view = budget_view
    self._table = table
    self._refusals = refusals
    self._acquirer = acquirer
    self._settler = settler
    self._writer = writer
    self._counts = counts

  async def serve_part_request(
      self, request: peers_lib.ReserveRequest
  ) -> peers_lib.ReserveReply:
    """Delegates a part of a budget to another router."""
    handed = self._delegate(request)
    if handed.tokens:
      self._acquirer.refill_if_low(request.budget, request.customer)
    if handed.tokens or self._acquirer.stopping:
      return handed._replace(unsure=not handed.tokens)
    handed = handed._replace(facts=self._facts(request.budget))
    if self._budget_view.is_exhausted(request.budget, request.least):
      return handed._replace(exhausted=True)
    if self._refusals.is_cached(request.budget, request.least):
      return handed
    answered = await self._acquirer.request_grant(
        request.budget,
        request.least,
        request.customer,
        self._owns(request.budget),
    )
    handed = self._delegate(request)
    if handed.tokens:
      return handed
    exhausted = self._budget_view.is_exhausted(request.budget, request.least)
    return handed._replace(
        unsure=not answered,
        exhausted=exhausted,
        facts=self._facts(request.budget),
    )

  def _facts(self, budget: str) -> dict[str, Any] | None:
    snapshot = self._budget_view.snapshot(budget)
    return None if snapshot is None else snapshot._asdict()

  def _owns(self, budget: str) -> bool:
    return self._budget_view.owner(budget) is None

  def _delegate(
      self, request: peers_lib.ReserveRequest
  ) -> peers_lib.ReserveReply:
    share = self._config.part_share
    size, gid = self._table.delegate(
        request.budget, request.part, request.least, request.want, share
    )
    return peers_lib.ReserveReply(size, gid)

  def serve_settle(self, ended: list[peers_lib.EndedPart]) -> None:
    """Settles parts that another router has finished with."""
    for part in ended:
      self._settler.settle_delegated(part)

  def retire_unowned(self) -> None:
    """Retires grants of budgets that another router now owns.

    Owners change when routers join or leave. The new owner takes its own grant,
    and tokens left here would be idle and out of its reach. While the KV is
    unavailable nothing can be returned, and idle tokens may be needed.
    """
    if not self._config.owned or self._writer.is_paused:
      return
    now = self._clock.monotonic()
    for row in self._table.rows.values():
      if row.source or self._budget_view.owner(row.budget) is None:
        continue
      if now - row.last_active_at >= _FALLBACK_GRANT_IDLE_S:
        row.retiring = True

  def write_off_parts(self) -> None:
    """Counts the parts held by routers that are gone as lost."""
    rows = self._table.rows.values()
    for life in {p.holder for r in rows for p in r.parts.values()}:
      if not self._members.has_gone(life):
        continue
      for part in self._table.parts_held_by(life):
        self._counts["parts_written_off"] += 1
        self._table.write_off(part)

  async def recall_parts(self) -> None:
    """Asks other routers to return the parts that they are not using."""
    for _ in range(_RECALL_ROUNDS):
      outstanding = {
          (row.budget, part.holder)
          for row in self._table.rows.values()
          for part in row.parts.values()
      }
      if not outstanding:
        return
      async with anyio.create_task_group() as tg:
        for budget, life in outstanding:
          holder = self._members.lives.get(life)
          if holder is not None:
            tg.start_soon(self._peers.recall, holder, budget)
      await anyio.sleep(_RECALL_PAUSE_S)
