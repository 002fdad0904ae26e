"""Gets a request its tokens: from own rows, the owner, the KV or a deputy.

Grants are taken in the background, one at a time per budget, so that one
answer serves all who wait for it and nobody queues behind a store that does
not answer.
"""

import collections
from typing import NamedTuple

import anyio

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import budget_view as budget_view_lib
from mustardfall.budget import granting
from mustardfall.budget import recalling
from mustardfall.budget import refusals as refusals_lib
from mustardfall.budget import settling
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib

_OWNER_REFUSAL_TTL_S = 0.05
"""How long an owner's refusal is repeated from memory."""
_POLL_INTERVAL_S = 0.05
"""Pause between two looks at a budget that ran out."""
_REFILL_PAUSE_S = 1.0
"""Pause after a refill that the budget could not give; requests that need
tokens still ask at once."""
_KV_WAIT_S = 0.03
"""How long a request waits for the KV before it asks a deputy. The KV answers
in 4 ms; when it falls silent a call takes half a second to fail, and all
requests of that time would wait for it until they are refused."""


_RECALL_WAIT_S = 0.06
"""How much longer it waits once the KV has answered: the budget may be short
until others have returned idle tokens, which takes some 20 ms."""


class _GrantRequest(NamedTuple):
  """A grant to be taken in the background."""

  budget: str
  least: int
  customer: str
  as_owner: bool
  """Whether to hold a store of tokens, or just what is needed now."""


class _PendingGrant:
  """A grant that is being taken."""

  def __init__(self) -> None:
    self.kv_replied = anyio.Event()
    """Set once the KV has answered, or did not."""
    self.done = anyio.Event()
    self.answered = False
    """Whether the KV answered."""

  def note_answer(self) -> None:
    """Notes that the KV has answered."""
    self.answered = True
    self.kv_replied.set()

  def end(self) -> None:
    """Has nobody wait any longer."""
    self.kv_replied.set()
    self.done.set()


class TokenAcquirer:
  """Reserves tokens for requests and keeps budgets filled.

  Args:
    config: how allotments are sized.
    clock: the time source.
    members: told of routers that do not answer.
    peers: calls to other routers.
    budget_view: what is known of the budgets.
    table: this router's allotments.
    refusals: budgets that lately could not give.
    granter: asks the KV.
    recaller: asks other holders.
    settler: settles parts whose fate is unknown.
    counts: what happened so far.
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
      granter: granting.Granter,
      recaller: recalling.Recaller,
      settler: settling.Settler,
      counts: collections.Counter[str],
  ) -> None:
    self._config = config
    self._clock = clock
    self._members = members
    self._peers = peers
    self._budget_view = budget_view
    self._table = table
    self._refusals = refusals
    self._granter = granter
    self._recaller = recaller
    self._settler = settler
    self._counts = counts
    self._demand: collections.Counter[str] = collections.Counter()
    """Tokens that waiting requests need, per budget."""
    self._pending_grants: dict[str, _PendingGrant] = {}
    """Grants being taken, by budget."""
    self._grant_requests: list[_GrantRequest] = []
    self._refills_due: dict[str, str] = {}
    """Budgets that run low, and their customers."""
    self._wake = anyio.Event()
    self._refill_at: dict[str, float] = {}
    """When a budget that could not give may be refilled again."""
    self._unseen_ledgers: set[str] = set()
    """Budgets whose first grant was taken without knowing their ledger."""
    self.stopping = False

  async def reserve(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Sets `tokens` aside for a request; see `pool.Pool.reserve`."""
    found = self._table.reserve(budget, tokens)
    if found is None:
      return await self._wait_for_tokens(budget, tokens, customer)
    self.refill_if_low(budget, customer)
    return found

  def refill_if_low(self, budget: str, customer: str) -> None:
    """Has the budget refilled if it will soon run short here."""
    if self._runs_low(budget) or self._table.nears_ceiling(budget):
      self._schedule_refill(budget, customer)

  def _runs_low(self, budget: str) -> bool:
    """Whether so little is left here that it should be refilled."""
    target = self._budget_view.target(budget)
    if target is None or self._budget_view.owner(budget) is not None:
      return self._table.running_low(budget)
    return self._table.undrawn(budget) < target * self._config.low_mark

  def prefetch(self) -> None:
    """Has budgets filled that are drawn on here directly and not held yet.

    A request that comes while the store is away is served from what is
    held here, or not at all; it may be the team's first here.
    """
    for budget in self._budget_view.owned_budgets():
      if budget not in self._table.by_budget:
        self._schedule_refill(budget, budget)

  def _schedule_refill(self, budget: str, customer: str) -> None:
    """Has the budget refilled in the background."""
    self._refills_due[budget] = customer
    self._wake.set()

  async def _wait_for_tokens(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Gets tokens, for as long as the customer's policy has patience."""
    max_wait_s = self._budget_view.policy_of(customer).max_wait_s
    deadline = self._clock.monotonic() + max_wait_s
    self._demand[budget] += tokens
    try:
      while True:
        if not self._is_refused(budget, tokens):
          await self._fetch_tokens(budget, tokens, customer)
        found = self._table.reserve(budget, tokens)
        if found is not None:
          return found
        now = self._clock.monotonic()
        futile = self._refusals.duration_s(budget) > max_wait_s
        futile = futile or self._budget_view.is_exhausted(budget, tokens)
        if now >= deadline or futile or self.stopping:
          return None
        await anyio.sleep(_POLL_INTERVAL_S)
    finally:
      self._demand[budget] -= tokens
      if not self._demand[budget]:
        del self._demand[budget]

  def _is_refused(self, budget: str, tokens: int) -> bool:
    """Whether it is known that asking would only be refused again.

    Tokens that come free here are found in the table all the same.
    """
    refused = self._refusals.is_cached(budget, tokens)
    return refused or self._budget_view.is_exhausted(budget, tokens)

  async def _fetch_tokens(
      self, budget: str, tokens: int, customer: str
  ) -> None:
    """Asks the owner, the KV and the owner's deputies, until one answers.

    A deputy may be in touch with the KV while the owner and this router are
    not, or hold tokens since it stood in for the owner before.
    """
    if self._can_reserve(budget, tokens) or self.stopping:
      return
    demand = max(tokens, self._demand.get(budget, 0))
    part = self._table.part_size(budget, demand)
    owner = self._budget_view.owner(budget)
    preferred = self._budget_view.preferred_sources(budget)
    for other in preferred:
      if await self._request_part(other, budget, tokens, part, customer):
        return
    if await self.request_grant(budget, tokens, customer, owner is None):
      return
    for deputy in self._budget_view.deputies(budget):
      if deputy in preferred:
        continue
      if await self._request_part(deputy, budget, tokens, part, customer):
        return
    # Nobody else has tokens either: a store that is slow may still answer.
    pending = self._pending_grants.get(budget)
    if pending is not None:
      await pending.done.wait()

  def _can_reserve(self, budget: str, tokens: int) -> bool:
    self._table.update_ceiling(budget, self._clock.monotonic())
    return self._table.can_reserve(budget, tokens)

  async def request_grant(
      self, budget: str, least: int, customer: str, as_owner: bool
  ) -> bool:
    """Waits a moment for a grant; returns whether the KV has answered.

    It is taken in the background: a caller that leaves must not leave tokens
    behind that were granted in answer but recorded nowhere.
    """
    if self._can_reserve(budget, least):
      return True
    pending = self._pending_grants.get(budget)
    if pending is None:
      pending = self._pending_grants[budget] = _PendingGrant()
      self._grant_requests.append(
          _GrantRequest(budget, least, customer, as_owner)
      )
      self._wake.set()
    with anyio.move_on_after(_KV_WAIT_S):
      await pending.kv_replied.wait()
    if pending.answered:
      with anyio.move_on_after(_RECALL_WAIT_S):
        await pending.done.wait()
    return pending.answered

  async def _request_part(
      self,
      owner: members_lib.Member,
      budget: str,
      least: int,
      want: int,
      customer: str,
  ) -> bool:
    """Asks a router for a part; returns whether its answer is final."""
    part = self._table.new_gid()
    request = peers_lib.Ask(budget, customer, part, least, want)
    answer = await self._peers.reserve(owner, request)
    if answer is None:
      # The owner may have handed the part on and its answer got lost.
      # Settled as unused, it goes back; no request ever drew on it.
      self._counts["owner_unreachable"] += 1
      self._members.suspect(owner.life)
      unused = allotment.Row(budget, part, 0, 0.0, owner.life)
      self._settler.queue_ended(unused)
      return False
    if answer.tokens:
      self._counts["parts"] += 1
      now = self._clock.monotonic()
      self._table.add(budget, part, answer.tokens, now, owner.life, answer.gid)
      self._refusals.remove(budget)
    elif not answer.unsure:
      # Short: the owner knows best, and answers from its own memory.
      self._refusals.add(budget, least, _OWNER_REFUSAL_TTL_S)
      if answer.exhausted:
        self._budget_view.note_exhausted(budget, least)
    if answer.unsure and self._members.is_large:
      self._members.suspect(owner.life)
    return not answer.unsure

  @property
  def busy(self) -> bool:
    """Whether any grant is being taken."""
    return bool(self._pending_grants)

  async def run(self) -> None:
    """Takes grants and refills budgets, until cancelled."""
    self._end_stale_grants()
    async with anyio.create_task_group() as tasks:
      while True:
        await self._wake.wait()
        self._wake = anyio.Event()
        grant_requests, self._grant_requests = self._grant_requests, []
        for grant_request in grant_requests:
          tasks.start_soon(self._run_grant_request, grant_request)
        due, self._refills_due = self._refills_due, {}
        for budget, customer in due.items():
          if budget not in self._pending_grants:
            self._pending_grants[budget] = _PendingGrant()
            tasks.start_soon(self._run_refill, budget, customer)

  def _end_stale_grants(self) -> None:
    """Ends what an earlier run left behind.

    A run that failed took its grants' tasks with it, some before their first
    step. Their budgets would be taken to have a grant on its way for ever,
    and every request that needs one would be refused.
    """
    ordered = {grant_request.budget for grant_request in self._grant_requests}
    for budget in self._pending_grants.keys() - ordered:
      self._pending_grants.pop(budget).end()

  async def _run_grant_request(self, grant_request: _GrantRequest) -> None:
    pending = self._pending_grants[grant_request.budget]
    try:
      await self._take_grant(grant_request, pending)
    finally:
      del self._pending_grants[grant_request.budget]
      pending.end()

  async def _take_grant(
      self, grant_request: _GrantRequest, pending: _PendingGrant
  ) -> None:
    """Takes a grant from the KV."""
    budget, least, customer, as_owner = grant_request
    raised = await self._granter.raise_ceiling(budget, least)
    if raised is not None:
      if raised:
        pending.note_answer()
      return
    margin = self._budget_view.policy_of(customer).margin
    unseen = budget not in self._budget_view.ledgers
    # In an owner's place only what is needed now: a store of tokens
    # here would lie idle once the owner answers again.
    demand = max(least, self._demand.get(budget, 0))
    want = self._table.grant_size(budget, demand) if as_owner else demand
    found = await self._granter.grant(budget, least, want, margin, as_owner)
    if found is None:
      return
    pending.note_answer()
    if self._table.can_reserve(budget, least):
      if as_owner and unseen:
        # Taken before the ledger was known, so small: filled up now, not
        # with the next request, which may come when the store is away.
        self._unseen_ledgers.add(budget)
        self._schedule_refill(budget, customer)
      return
    recalled = await self._recaller.recall(budget, found)
    if recalled and not self._table.can_reserve(budget, least):
      await self._granter.grant(budget, least, want, margin, as_owner)
    if not self._table.can_reserve(budget, least):
      self._refusals.add(budget, least, self._config.refusal_ttl_s)
      left = self._budget_view.max_available(budget, margin)
      if left is not None and left < least:
        self._budget_view.note_exhausted(budget, least)

  async def _run_refill(self, budget: str, customer: str) -> None:
    pending = self._pending_grants[budget]
    try:
      await self._refill_budget(budget, customer)
    finally:
      del self._pending_grants[budget]
      pending.end()

  async def _refill_budget(self, budget: str, customer: str) -> None:
    """Brings what is held of a budget up to what it should be."""
    now = self._clock.monotonic()
    unseen = budget in self._unseen_ledgers
    self._unseen_ledgers.discard(budget)
    if self._table.nears_ceiling(budget) and not self.stopping:
      await self._granter.raise_ceiling(budget, 0)
    if self.stopping or not (unseen or self._runs_low(budget)):
      return
    if now < self._refill_at.get(budget, -float("inf")):
      return
    owner = self._budget_view.owner(budget)
    size = self._table.grant_size if owner is None else self._table.part_size
    want = size(budget, 1)
    least = max(1, want // 4) if owner is not None else 1
    if self._refusals.is_cached(budget, least):
      return
    if owner is not None:
      await self._request_part(owner, budget, least, want, customer)
      return
    if not (unseen or self._granter.is_refill_worthwhile(budget)):
      self._refill_at[budget] = now + _REFILL_PAUSE_S
      return
    margin = self._budget_view.policy_of(customer).margin
    await self._granter.grant(budget, least, want, margin)
    if self._runs_low(budget):
      self._refill_at[budget] = now + _REFILL_PAUSE_S

  def prune(self, before: float) -> None:
    """Drops what was noted of budgets that are quiet since `before`."""
    for budget, at in list(self._refill_at.items()):
      if at < before:
        del self._refill_at[budget]
