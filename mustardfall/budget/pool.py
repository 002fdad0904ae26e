"""Where a request's tokens come from: own rows, the owner, or the KV.

One router per region *owns* each budget, by consistent hashing over the
routers that are up. It alone takes the budget's grants from the KV and
hands parts of them on to the others, over HTTP. So a budget's free
tokens lie in one place per region instead of in every router, which
saves KV writes and refusals of requests that the budget could cover.

Ownership is an optimisation, not a lock: a router that cannot reach the
owner takes a grant from the KV itself, and two owners at once are safe,
since each spends only what the KV granted it.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

import anyio

from mustardfall import errors
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ledger
from mustardfall.budget import policy as policy_lib
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib

_NO_BUDGET = ledger.Ledger(
    limit=0, spent=0, grants={}, lost={}, lost_before=0, parts={}, ops=[]
)
"""Stands for a budget that the KV does not hold."""
_WAIT_STEP_S = 0.05
"""Pause between two looks at a budget that ran out."""
_FORGET_S = 600.0
"""An owner gone for this long is not paused; it will not come back."""
_STOP_ROUNDS = 3
"""Rounds in which a stopping router hands its parts back."""


class _Refused(NamedTuple):
  """A budget that lately could not give `tokens`."""

  since: float
  at: float
  tokens: int


class Pool:
  """A router's share of the budgets.

  Args:
    config: the router's settings, whole.
    clock: the time source.
    members: who is up and owns what.
    peers: calls to other routers.
    writer: the batch writer to the KV.
    policy_of: returns a customer's policy.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      peers: peers_lib.Client,
      writer: writer_lib.Writer,
      policy_of: Callable[[str], policy_lib.Policy],
  ) -> None:
    self._config = config.allotment
    self._clock = clock
    self._members = members
    self._peers = peers
    self._writer = writer
    self._policy_of = policy_of
    self.table = allotment.Table(members.me.life, config.allotment)
    self.counts: collections.Counter[str] = collections.Counter()
    self._locks: dict[str, anyio.Lock] = {}
    self._demand: collections.Counter[str] = collections.Counter()
    """Tokens that waiting requests need, per budget."""
    self._refused: dict[str, _Refused] = {}
    self._recalled_at: dict[str, float] = {}
    self._asking: set[str] = set()
    """Grants asked of the KV whose answer is still out."""
    self._settling: dict[str, set[str]] = {}
    """Grants with a settlement on its way, by budget."""
    self._ended: dict[str, list[tuple[peers_lib.Ended, allotment.Row]]] = {}
    """Parts to settle, by the life of the owner that handed them on."""
    self._low: dict[str, str] = {}
    """Budgets that run low, and their customers."""
    self._low_event = anyio.Event()
    self._stopping = False

  async def reserve(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Sets `tokens` aside for a request.

    Returns:
      The reservation, or None when the budget, or the way to it, cannot
      give that many now: the request must not run.
    """
    found = self.table.reserve(budget, tokens)
    if found is None:
      return await self._wait(budget, tokens, customer)
    if self.table.running_low(budget):
      self._low[budget] = customer
      self._low_event.set()
    return found

  async def _wait(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Gets tokens, for as long as the customer's policy has patience."""
    patience_s = self._policy_of(customer).patience_s
    deadline = self._clock.monotonic() + patience_s
    self._demand[budget] += tokens
    try:
      while True:
        if not self._refused_lately(budget, tokens):
          await self._fetch(budget, tokens, customer)
        found = self.table.reserve(budget, tokens)
        if found is not None:
          return found
        now = self._clock.monotonic()
        last = self._refused.get(budget)
        hopeless = last is not None and now - last.since > patience_s
        if now >= deadline or hopeless or self._stopping:
          return None
        await anyio.sleep(_WAIT_STEP_S)
    finally:
      self._demand[budget] -= tokens
      if not self._demand[budget]:
        del self._demand[budget]

  def _note_refusal(self, budget: str, tokens: int) -> None:
    now = self._clock.monotonic()
    last = self._refused.get(budget)
    since = last.since if last is not None else now
    self._refused[budget] = _Refused(since, now, tokens)

  def _refused_lately(self, budget: str, tokens: int) -> bool:
    """Whether asking again would only repeat a refusal just had.

    Without this each request on a used-up budget would cost a read of the
    KV; a top-up is noticed after `refusal_ttl_s` at the latest.
    """
    last = self._refused.get(budget)
    if last is None or tokens < last.tokens:
      return False
    return self._clock.monotonic() - last.at <= self._config.refusal_ttl_s

  async def _fetch(self, budget: str, tokens: int, customer: str) -> None:
    """Gets an allotment of at least `tokens`, unless one is there now."""
    async with self._locks.setdefault(budget, anyio.Lock()):
      done = self.table.has_room(budget, tokens)
      if done or self._stopping or self._refused_lately(budget, tokens):
        return
      demand = max(tokens, self._demand.get(budget, 0))
      # Shielded: a caller that leaves now must not leave tokens behind
      # that were granted in answer but recorded nowhere.
      with anyio.CancelScope(shield=True):
        owner = self._owner(budget)
        if owner is not None:
          want = self.table.want_part(budget, demand)
          if await self._ask_owner(owner, budget, tokens, want, customer):
            return
        want = self.table.want(budget, demand)
        await self._take_grant(budget, tokens, want, customer)

  def _owner(self, budget: str) -> members_lib.Member | None:
    """Returns the other router to draw through; None: the KV itself."""
    if not self._config.owned:
      return None
    owner = self._members.owner(budget)
    return None if owner.life == self._members.me.life else owner

  async def _ask_owner(
      self,
      owner: members_lib.Member,
      budget: str,
      least: int,
      want: int,
      customer: str,
  ) -> bool:
    """Asks the owner for a part; returns whether its answer is final."""
    part = self.table.new_gid()
    ask = peers_lib.Ask(budget, customer, part, least, want)
    answer = await self._peers.reserve(owner, ask)
    if answer is None:
      # The owner may have handed the part on and its answer got lost.
      # Settled as unused, it goes back; no request ever drew on it.
      self.counts["owner_unreachable"] += 1
      unused = allotment.Row(budget, part, 0, 0.0, owner.life)
      self._queue_ended(unused)
      return False
    if answer.tokens:
      self.counts["parts"] += 1
      now = self._clock.monotonic()
      self.table.add(budget, part, answer.tokens, now, owner.life, answer.gid)
      self._refused.pop(budget, None)
    elif not answer.unsure:
      self._note_refusal(budget, least)
    return not answer.unsure

  async def _take_grant(
      self, budget: str, least: int, want: int, customer: str
  ) -> bool:
    """Takes a grant from the KV; returns whether the KV answered."""
    policy = self._policy_of(customer)
    found = await self._grant_once(budget, least, want, policy.margin)
    if found is None:
      return False
    if self.table.has_room(budget, least):
      return True
    if await self._recall(budget, found):
      await self._grant_once(budget, least, want, policy.margin)
    if not self.table.has_room(budget, least):
      self._note_refusal(budget, least)
    return True

  async def _grant_once(
      self, budget: str, least: int, want: int, margin: float
  ) -> ledger.Ledger | None:
    """Asks the KV for one grant; None when the KV gave no answer."""
    gid = self.table.new_gid()
    share = self._config.headroom_share
    change = ledger.Grant(gid, least, want, share, margin)
    self._asking.add(gid)
    try:
      after = await self._writer.submit(ledger.key(budget), change)
    except errors.KvUnavailableError:
      self.counts["grant_failures"] += 1
      return None
    except errors.KvUnknownError:
      # It may have landed: settled as unused, it goes back. Should it
      # land later still, `sweep` finds it in the ledger.
      self.counts["grant_failures"] += 1
      self._settle_row(allotment.Row(budget, gid, 0, 0.0))
      return None
    finally:
      self._asking.discard(gid)
    if after is None:
      return _NO_BUDGET
    granted = after["grants"].get(gid, 0)
    if granted:
      self.counts["grants"] += 1
      self.table.add(budget, gid, granted, self._clock.monotonic())
      self._refused.pop(budget, None)
    return after

  async def _recall(self, budget: str, found: ledger.Ledger) -> bool:
    """Calls idle tokens back from whoever holds them; whether any may be.

    A refusal while others hold idle tokens is a false one. At most one
    recall per budget and `recall_s`, so that a used-up budget does not
    cost the fleet a message storm.
    """
    now = self._clock.monotonic()
    last = self._recalled_at.get(budget, -float("inf"))
    if now - last < self._config.recall_s:
      return False
    self._recalled_at[budget] = now
    me = self._members.me.life
    lives = {ledger.holder(gid) for gid in found["grants"]}
    lives |= self.table.holders(budget)
    holders = [
        self._members.lives[life]
        for life in lives - {me}
        if life in self._members.lives
    ]
    self.counts["recalls"] += len(holders)
    async with anyio.create_task_group() as tg:
      for holder in holders:
        tg.start_soon(self._peers.recall, holder, budget)
    return bool(holders)

  def settle(
      self, reservation: allotment.Reservation, used: int
  ) -> allotment.Settled:
    """Ends a reservation; `used` tokens of it are billed."""
    return self.table.settle(reservation, used)

  # What other routers ask of this one.

  async def serve_ask(self, ask: peers_lib.Ask) -> peers_lib.Handed:
    """Hands a part of an owned budget on to another router."""
    handed = self._hand_on(ask)
    if handed.tokens or self._stopping:
      return handed._replace(unsure=not handed.tokens)
    if self._refused_lately(ask.budget, ask.least):
      return handed
    answered = True
    async with self._locks.setdefault(ask.budget, anyio.Lock()):
      if not self.table.has_room(ask.budget, ask.least):
        want = max(self.table.want(ask.budget, ask.least), ask.want)
        with anyio.CancelScope(shield=True):
          answered = await self._take_grant(
              ask.budget, ask.least, want, ask.customer
          )
    handed = self._hand_on(ask)
    return handed._replace(unsure=not answered and not handed.tokens)

  def _hand_on(self, ask: peers_lib.Ask) -> peers_lib.Handed:
    share = self._config.part_share
    size, gid = self.table.hand_on(
        ask.budget, ask.part, ask.least, ask.want, share
    )
    return peers_lib.Handed(size, gid)

  def serve_settle(self, ended: list[peers_lib.Ended]) -> None:
    """Takes ended parts back from another router."""
    for part, used in ended:
      left = self.table.left_out.pop(part, None)
      if left is not None:
        # This router stopped without the part; the ledger still counts it.
        change = ledger.SettlePart(left.gid, part, left.tokens, used)
        self._writer.post(ledger.key(left.budget), change)
        continue
      budget = self.table.take_back(part, used)
      if budget is not None:
        self._writer.post(ledger.key(budget), ledger.Settle(part, used))

  async def serve_recall(self, budget: str) -> None:
    """Gives idle tokens of `budget` back before answering."""
    with anyio.CancelScope(shield=True):
      async with anyio.create_task_group() as tg:
        for row in self.table.retire(budget):
          tg.start_soon(self._settle_now, row)
      await self.settle_parts()

  # Systems, run over the tables.

  def tick(self, elapsed_s: float) -> None:
    """Ages rows, settles finished ones, writes off what is gone."""
    now = self._clock.monotonic()
    for row in self.table.tick(now, elapsed_s):
      self._settle_row(row)
    self._write_off_parts()
    self._forget(now - self._config.term_s)

  def _write_off_parts(self) -> None:
    rows = self.table.rows.values()
    for life in {p.holder for r in rows for p in r.parts.values()}:
      if not self._members.has_gone(life):
        continue
      for part in self.table.parts_held_by(life):
        self.counts["parts_written_off"] += 1
        self.table.write_off(part)

  def _forget(self, before: float) -> None:
    """Drops what was noted of budgets that are quiet since `before`."""
    for budget, last in list(self._refused.items()):
      if last.at < before:
        del self._refused[budget]
    for budget, at in list(self._recalled_at.items()):
      if at < before:
        del self._recalled_at[budget]
    for budget, lock in list(self._locks.items()):
      if not lock.locked() and budget not in self.table.by_budget:
        del self._locks[budget]

  async def refill(self) -> None:
    """Refills budgets before they run out, until cancelled."""
    while True:
      await self._low_event.wait()
      self._low_event = anyio.Event()
      low, self._low = self._low, {}
      async with anyio.create_task_group() as tg:
        for budget, customer in low.items():
          tg.start_soon(self._refill_one, budget, customer)
      await anyio.sleep(_WAIT_STEP_S)

  async def _refill_one(self, budget: str, customer: str) -> None:
    async with self._locks.setdefault(budget, anyio.Lock()):
      if not self.table.running_low(budget) or self._stopping:
        return
      owner = self._owner(budget)
      size = self.table.want if owner is None else self.table.want_part
      want = size(budget, 1)
      least = max(1, want // 4)
      if self._refused_lately(budget, least):
        return
      if owner is not None:
        await self._ask_owner(owner, budget, least, want, customer)
        return
      margin = self._policy_of(customer).margin
      await self._grant_once(budget, least, want, margin)
      if not self.table.has_room(budget, least):
        self._note_refusal(budget, least)

  def _settle_row(self, row: allotment.Row) -> None:
    if row.source:
      self._queue_ended(row)
      return
    self._settling.setdefault(row.budget, set()).add(row.gid)
    self._writer.post(ledger.key(row.budget), _settlement(row))

  async def _settle_now(self, row: allotment.Row) -> None:
    """Settles a row and waits for it, or leaves it to be tried again."""
    if row.source or self._stopping:
      self._settle_row(row)
      return
    self._settling.setdefault(row.budget, set()).add(row.gid)
    try:
      await self._writer.submit(ledger.key(row.budget), _settlement(row))
    except (errors.KvUnavailableError, errors.KvUnknownError):
      self._settle_row(row)

  def _queue_ended(self, row: allotment.Row) -> None:
    ended = peers_lib.Ended(row.gid, row.own)
    self._ended.setdefault(row.source, []).append((ended, row))

  async def settle_parts(self) -> None:
    """Settles ended parts with the owners that handed them on.

    When an owner has gone, its parts are settled in the ledger itself.
    They are kept all the same: an owner that was only paused must hear
    of them when it is back, or it would wait for them for ever.
    """
    for life in list(self._ended):
      batch = self._ended.pop(life)
      owner = self._members.lives.get(life)
      if owner is not None:
        if await self._peers.settle(owner, [ended for ended, _ in batch]):
          continue
      elif self._members.has_gone(life):
        for ended, row in batch:
          self._settle_orphan(ended, row)
        if self._members.absent_s(life) > _FORGET_S:
          continue
      self._ended.setdefault(life, []).extend(batch)

  def _settle_orphan(self, ended: peers_lib.Ended, row: allotment.Row) -> None:
    """Settles a part in the ledger, once, since its owner has gone."""
    if not row.source_gid:
      return
    change = ledger.SettlePart(row.source_gid, row.gid, row.granted, ended.used)
    row.source_gid = ""
    self._writer.post(ledger.key(row.budget), change)
    self.counts["orphan_parts"] += 1

  def sweep(self, budget: str, found: ledger.Ledger) -> None:
    """Ends grants seen in a ledger that nobody draws on any more.

    A grant whose reply was lost may land after this router gave it up:
    it is its own, unknown to it and unused, so it is settled with
    nothing used. A grant of a router that has gone is written off.
    """
    settling = self._settling.get(budget, set())
    settling &= found["grants"].keys()
    if not settling:
      self._settling.pop(budget, None)
    for gid in found["grants"]:
      life = ledger.holder(gid)
      if life == self._members.me.life:
        known = gid in self.table.rows or gid in self._asking
        if not known and gid not in settling:
          self.counts["stray_grants"] += 1
          self._settle_row(allotment.Row(budget, gid, 0, 0.0))
      elif self._members.has_gone(life):
        self.counts["grants_written_off"] += 1
        self._writer.post(ledger.key(budget), ledger.WriteOff(gid))

  async def stop(self) -> None:
    """Hands everything back; called after the last request has ended.

    Parts still with other routers are called back first; what does not
    come back stays granted, and its holders settle it in the ledger.
    """
    self._stopping = True
    for _ in range(_STOP_ROUNDS):
      out = {
          (row.budget, part.holder)
          for row in self.table.rows.values()
          for part in row.parts.values()
      }
      if not out:
        break
      async with anyio.create_task_group() as tg:
        for budget, life in out:
          holder = self._members.lives.get(life)
          if holder is not None:
            tg.start_soon(self._peers.recall, holder, budget)
      await anyio.sleep(_WAIT_STEP_S)
    for row in self.table.clear():
      self._settle_row(row)
    await self.settle_parts()
    for batch in self._ended.values():
      for ended, row in batch:  # their owners do not answer any more
        self._settle_orphan(ended, row)


def _settlement(row: allotment.Row) -> ledger.Settle | ledger.Reduce:
  """Returns the ledger change that ends `row`."""
  if not row.parts:
    return ledger.Settle(row.gid, row.own, row.parts_used, row.lost_parts)
  release = row.granted - sum(p.tokens for p in row.parts.values())
  return ledger.Reduce(
      row.gid, row.own, release, row.parts_used, row.lost_parts
  )
