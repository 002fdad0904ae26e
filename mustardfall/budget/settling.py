"""Settles finished allotments: rows with the ledger, parts with owners.

All operations are idempotent: the ledger's changes and the owners' tables
recognise repeats. No request waits for them.
"""

import collections
import logging

from mustardfall import errors
from mustardfall.budget import allotment
from mustardfall.budget import ceilings as ceilings_lib
from mustardfall.budget import ledger
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib

logger = logging.getLogger(__name__)

_OWNER_RETENTION_S = 600.0
"""An owner absent for longer than this is dead, not paused, and needs no
settlement any more."""


class Settler:
  """Settles a router's rows and parts.

  Args:
    table: the router's allotments.
    members: the routers that are up.
    peers: calls to other routers.
    writer: the batch writer to the KV.
  """

  def __init__(
      self,
      table: allotment.Table,
      members: members_lib.Members,
      peers: peers_lib.Client,
      writer: writer_lib.Writer,
  ) -> None:
    self._table = table
    self._members = members
    self._peers = peers
    self._writer = writer
    self.counts: collections.Counter[str] = collections.Counter()
    self._settling_gids: dict[str, set[str]] = {}
    """Grants with a settlement in progress, by budget."""
    self._reported_use: dict[str, int] = {}
    """Tokens of each grant that were reported, or are about to be."""
    self._unconfirmed_reports: dict[str, ceilings_lib.Ceiling | None] = {}
    """Ceiling sent with each grant's report in progress."""
    self._ended: dict[str, list[tuple[peers_lib.EndedPart, allotment.Row]]] = {}
    """Parts to settle, by the life of the owner that delegated them."""

  def settle_row(self, row: allotment.Row) -> None:
    """Settles a finished row with its owner or the ledger, in the background."""
    if row.source:
      self.queue_ended(row)
      return
    self._reported_use.pop(row.gid, None)
    self._unconfirmed_reports.pop(row.gid, None)
    self._settling_gids.setdefault(row.budget, set()).add(row.gid)
    self._writer.post(ledger.key(row.budget), _settlement(row))

  def needs_report(self, row: allotment.Row) -> bool:
    """Whether a row has unreported usage and no report in progress.

    While the KV is unavailable one report waits; others would only queue behind
    it.
    """
    if row.source or row.gid in self._unconfirmed_reports:
      return False
    # A row that uses more than its ceilings allowed without their growth needs
    # a new ceiling even if it is idle since: until then none of the ceilings is
    # renewed.
    overdrawn = not row.within_issued_ceilings
    return overdrawn or _total_used(row) > self._reported_use.get(row.gid, 0)

  def report(
      self, row: allotment.Row, ceiling: ceilings_lib.Ceiling | None
  ) -> None:
    """Posts a report of what a row has used so far."""
    self._reported_use[row.gid] = _total_used(row)
    if ceiling is not None:
      self._unconfirmed_reports[row.gid] = ceiling
    self._writer.post(ledger.key(row.budget), _usage_report(row, ceiling))

  async def report_now(
      self, row: allotment.Row, ceiling: ceilings_lib.Ceiling
  ) -> None:
    """Reports usage and waits until the ceiling sent with it is written.

    Raises:
      errors.KvUnavailableError: not written.
      errors.KvUnknownError: possibly written.
    """
    total = _total_used(row)
    await self._writer.submit(
        ledger.key(row.budget), _usage_report(row, ceiling)
    )
    self._reported_use[row.gid] = total

  def confirm_ceiling(self, gid: str, ceiling: ceilings_lib.Ceiling) -> None:
    """Records the ceiling that a ledger was read with."""
    sent = self._unconfirmed_reports.get(gid)
    if sent is not None and sent.issued <= ceiling.issued:
      del self._unconfirmed_reports[gid]

  def shrink(self, row: allotment.Row) -> None:
    """Posts the return of a retired row's unused tokens.

    A router that is unreachable, or a long stream, may keep a retired row open
    for long; nothing else could use the remainder meanwhile.
    """
    change = _shrink_change(row)
    if change is not None:
      self._writer.post(ledger.key(row.budget), change)

  async def shrink_now(self, row: allotment.Row) -> None:
    """Like `shrink`, but waits for the write; posts it again if it fails."""
    change = _shrink_change(row)
    if change is None:
      return
    try:
      await self._writer.submit(ledger.key(row.budget), change)
    except (errors.KvUnavailableError, errors.KvUnknownError):
      self._writer.post(ledger.key(row.budget), change)

  async def settle_now(self, row: allotment.Row) -> None:
    """Settles a row and waits for the write; posts it again if it fails."""
    if row.source:
      self.settle_row(row)
      return
    self._settling_gids.setdefault(row.budget, set()).add(row.gid)
    try:
      await self._writer.submit(ledger.key(row.budget), _settlement(row))
    except (errors.KvUnavailableError, errors.KvUnknownError):
      self.settle_row(row)

  def queue_ended(self, row: allotment.Row) -> None:
    """Queues a finished part to be settled with its owner."""
    ended = peers_lib.EndedPart(row.gid, row.own_drawn)
    self._ended.setdefault(row.source, []).append((ended, row))

  async def settle_parts(self) -> None:
    """Settles ended parts with the owners that delegated them.

    If an owner is gone, its parts are settled in the ledger. They stay queued,
    because an owner that was only paused must learn of them when it returns;
    otherwise it would wait for them forever.
    """
    for life in list(self._ended):
      batch = self._ended.pop(life, None)
      if batch is None:
        continue  # being settled concurrently, by a recall
      owner = self._members.lives.get(life)
      if owner is not None:
        if await self._peers.settle(owner, [ended for ended, _ in batch]):
          continue
      elif self._members.has_gone(life):
        for ended, row in batch:
          self._settle_orphan(ended, row)
        if self._members.absent_s(life) > _OWNER_RETENTION_S:
          continue
      self._ended.setdefault(life, []).extend(batch)

  def _settle_orphan(
      self, ended: peers_lib.EndedPart, row: allotment.Row
  ) -> None:
    """Settles a part in the ledger, once, because its owner is gone."""
    if row.settled_in_ledger:
      return
    change = ledger.SettlePart(row.source_gid, row.gid, row.granted, ended.used)
    row.settled_in_ledger = True
    self._writer.post(ledger.key(row.budget), change)
    self.counts["orphan_parts"] += 1

  def settle_orphans(self) -> None:
    """Settles the remaining parts in the ledger, whether or not owners are up.

    Used by a router that stops, which cannot wait for an owner to answer.
    """
    for batch in self._ended.values():
      for ended, row in batch:
        self._settle_orphan(ended, row)

  def settle_delegated(self, ended: peers_lib.EndedPart) -> None:
    """Settles a part that another router has finished with."""
    part, used = ended
    outstanding = self._table.outstanding_parts.pop(part, None)
    if outstanding is not None:
      # The part was outstanding when this router stopped; the ledger still
      # counts it.
      change = ledger.SettlePart(
          outstanding.gid, part, outstanding.tokens, used
      )
      self._writer.post(ledger.key(outstanding.budget), change)
      return
    budget = self._table.settle_delegated(part, used)
    if budget is not None:
      self._writer.post(ledger.key(budget), ledger.Settle(part, used))

  def settle_strays(
      self, budget: str, state: ledger.Ledger, pending_gids: set[str]
  ) -> None:
    """Ends grants in a ledger that no router draws on any more.

    A grant whose reply was lost may be written after this router gave it up. It
    belongs to this router but has no row, so it is settled as unused. A grant
    of a router that is gone is written off up to the cap of its ceiling, unless
    a later life of that router can review it.
    """
    in_progress = self._settling_gids.get(budget, set())
    in_progress &= state["grants"].keys()
    if not in_progress:
      self._settling_gids.pop(budget, None)
    for gid in state["grants"]:
      life = ledger.holder(gid)
      if life == self._members.me.life:
        is_known = gid in self._table.rows or gid in pending_gids
        if not is_known and gid not in in_progress:
          self.counts["stray_grants"] += 1
          self.settle_row(allotment.Row(budget, gid, 0, 0.0))
      elif self._members.has_gone(life) and not self._will_be_reviewed(
          state, gid
      ):
        self._write_off(budget, state, gid)

  def _write_off(self, budget: str, state: ledger.Ledger, gid: str) -> None:
    returned = ledger.returnable(state, gid)
    self.counts["grants_written_off"] += 1
    self.counts["tokens_returned"] += returned
    logger.info(
        "grant written off",
        extra={
            "budget": budget,
            "gid": gid,
            "held": state["grants"][gid],
            "promise": ledger.ceiling(state, gid),
            "returned": returned,
            "headroom": ledger.headroom(state),
        },
    )
    self._writer.post(ledger.key(budget), ledger.WriteOff(gid))

  def _will_be_reviewed(self, state: ledger.Ledger, gid: str) -> bool:
    """Whether a later life of the grant's holder will review it."""
    has_ceiling = ledger.ceiling(state, gid) is not None
    return has_ceiling and bool(self._members.successor(ledger.holder(gid)))


def _shrink_change(row: allotment.Row) -> ledger.Shrink | None:
  """Returns the change that returns a retired row's unused tokens, if any.

  They are removed from the row at once. Nothing draws on a retired row, so no
  token is lost or used twice if the ledger shows the old size for a while, or
  if the change does not apply and is made again.
  """
  tokens = row.undrawn
  if row.source or not row.retiring or tokens <= 0:
    return None
  row.granted -= tokens
  return ledger.Shrink(row.gid, row.granted + tokens, tokens)


def _total_used(row: allotment.Row) -> int:
  """Returns the tokens of a row that are known to be used."""
  return row.used + sum(row.parts_used.values())


def _usage_report(
    row: allotment.Row, ceiling: ceilings_lib.Ceiling | None
) -> ledger.ReportUse:
  return ledger.ReportUse(row.gid, row.used, dict(row.parts_used), ceiling)


def _settlement(row: allotment.Row) -> ledger.Settle | ledger.Release:
  """Returns the ledger change that ends `row`."""
  if not row.parts:
    return ledger.Settle(row.gid, row.own_drawn, row.parts_used, row.lost_parts)
  out = {name: part.tokens for name, part in row.parts.items()}
  return ledger.Release(
      row.gid, row.own_drawn, out, row.parts_used, row.lost_parts
  )
