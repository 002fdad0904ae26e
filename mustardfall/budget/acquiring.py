"""Obtains tokens for requests: own rows, the owner, the KV or a deputy.

A deputy is one of the next routers after the owner in a budget's hash order.
Grants are requested in the background, one at a time per budget. One reply
serves all waiting requests, and no request queues behind a store that does not
answer.
"""

import collections
import logging
from typing import NamedTuple, Protocol

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

logger = logging.getLogger(__name__)

_OWNER_REFUSAL_TTL_S = 0.05
"""How long an owner's refusal is cached."""
_POLL_INTERVAL_S = 0.05
"""Pause between two attempts to reserve from an exhausted budget."""
_REFILL_PAUSE_S = 1.0
"""Pause after a refill that the budget could not cover; requests that need
tokens still ask at once."""
_KV_WAIT_S = 0.03
"""How long a request waits for the KV before it asks a deputy. The KV answers
in 4 ms. When it stops answering, a call takes half a second to fail, and all
requests of that time would wait until they are refused."""


_RECALL_WAIT_S = 0.06
"""Additional wait once the KV has answered. The budget may be short until other
routers have returned idle tokens, which takes about 20 ms."""


_MAX_RELAYS = 2
"""Relays that are asked for one request. Each takes some ms, and a request waits
for its tokens a tenth of a second."""
_RELAYED_HORIZON_S = 0.4
"""Draw that a relayed part covers, and that a relay's grant covers beyond what
is asked: without it, each request of a long partition would cost a call to a
relay and a transaction there."""


class StoreRelays(Protocol):
  """Finds routers that reach the store while this router does not."""

  async def find(self) -> list[members_lib.Member]:
    """Returns such routers in the order to try them; waits briefly for them."""

  def drop(self, life: str, reason: str) -> None:
    """Stops naming a router for a while: it did not reach the store."""


class NoRelays:
  """Names no routers."""

  async def find(self) -> list[members_lib.Member]:
    """Returns no routers."""
    return []

  def drop(self, life: str, reason: str) -> None:
    """Does nothing."""


class _GrantRequest(NamedTuple):
  """A grant to be requested from the KV in the background."""

  budget: str
  least: int
  customer: str
  as_owner: bool
  """Whether to hold a reserve of tokens, or only those needed now."""


class _PendingGrant:
  """A grant request or refill in progress."""

  def __init__(self) -> None:
    self.kv_call_ended = anyio.Event()
    """Set once the KV has answered or the request has ended without that."""
    self.done = anyio.Event()
    self.kv_answered = False
    """Whether the KV answered."""

  def set_answered(self) -> None:
    """Records that the KV has answered."""
    self.kv_answered = True
    self.kv_call_ended.set()

  def end(self) -> None:
    """Wakes all waiting requests."""
    self.kv_call_ended.set()
    self.done.set()


class TokenAcquirer:
  """Reserves tokens for requests and refills budgets.

  Args:
    config: how allotments are sized.
    clock: the time source.
    members: told of routers that do not answer.
    peers: calls to other routers.
    budget_view: what is known of the budgets.
    table: this router's allotments.
    refusals: budgets that recently refused.
    granter: requests grants from the KV.
    recaller: asks other holders to return idle tokens.
    settler: settles parts whose delivery is uncertain.
    counts: event counters.
    relays: finds routers that reach the store.
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
      relays: StoreRelays,
  ) -> None:
    self._relays = relays
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
    """Tokens needed by waiting requests, by budget."""
    self._pending_grants: dict[str, _PendingGrant] = {}
    """Grant requests and refills in progress, by budget."""
    self._grant_requests: list[_GrantRequest] = []
    self._refills_due: dict[str, str] = {}
    """Budgets due for a refill, and the customer whose policy applies to each.
    """
    self._wake = anyio.Event()
    self._next_refill_at: dict[str, float] = {}
    """Earliest time of the next refill, for budgets whose last refill was
    skipped or left them short."""
    self._undersized_grants: set[str] = set()
    """Budgets whose first grant was sized before their ledger was read."""
    self.stopping = False

  async def reserve(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Reserves `tokens` for a request; see `pool.Pool.reserve`."""
    reservation = self._table.reserve(budget, tokens)
    if reservation is None:
      return await self._wait_for_tokens(budget, tokens, customer)
    self.refill_if_low(budget, customer)
    return reservation

  def refill_if_low(self, budget: str, customer: str) -> None:
    """Schedules a refill if the budget will soon run short on this router."""
    if self._needs_refill(budget) or self._table.nears_ceiling(budget):
      self._schedule_refill(budget, customer)

  def _needs_refill(self, budget: str) -> bool:
    """Whether the budget's unused tokens on this router call for a refill."""
    target = self._budget_view.target(budget)
    if target is None or self._budget_view.owner(budget) is not None:
      return self._table.is_below_low_mark(budget)
    return self._table.undrawn(budget) < target * self._config.low_mark

  def prefetch(self) -> None:
    """Schedules a first grant for owned budgets that have none.

    While the store is unavailable, a request is served only from tokens held by
    the routers, and it may be the team's first request to this router.
    """
    if not self._members.is_stable:
      return
    for budget in self._budget_view.owned_budgets():
      if budget not in self._table.by_budget:
        self._schedule_refill(budget, budget)

  def _schedule_refill(self, budget: str, customer: str) -> None:
    """Schedules a refill of the budget in the background."""
    self._refills_due[budget] = customer
    self._wake.set()

  async def _wait_for_tokens(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Obtains tokens, for at most the maximum wait of the customer's policy."""
    max_wait_s = self._budget_view.policy_of(customer).max_wait_s
    deadline = self._clock.monotonic() + max_wait_s
    self._demand[budget] += tokens
    try:
      while True:
        if not self._is_refused(budget, tokens):
          await self._fetch_tokens(budget, tokens, customer)
        reservation = self._table.reserve(budget, tokens)
        if reservation is not None:
          return reservation
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
    """Whether another request for tokens is known to be refused.

    Tokens freed on this router are still found in the table.
    """
    refused = self._refusals.is_cached(budget, tokens)
    return refused or self._budget_view.is_exhausted(budget, tokens)

  async def _fetch_tokens(
      self, budget: str, tokens: int, customer: str
  ) -> None:
    """Asks the owner, the KV and the owner's deputies, until one answers.

    A deputy may reach the KV while the owner and this router do not, or may
    hold tokens from an earlier time when it replaced the owner.
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
    if await self._request_relayed(budget, tokens, part, customer):
      return
    # No other router has tokens either; a slow store may still answer.
    pending = self._pending_grants.get(budget)
    if pending is not None:
      await pending.done.wait()

  async def _request_relayed(
      self, budget: str, least: int, part: int, customer: str
  ) -> bool:
    """Asks routers that reach the store; returns whether an answer is final."""
    if not self._config.relayed:
      return False
    drawn = self._table.rate.get(budget, 0.0) * _RELAYED_HORIZON_S
    want = max(part, int(drawn))
    for relay in (await self._relays.find())[:_MAX_RELAYS]:
      if self._can_reserve(budget, least):
        return True
      is_final = await self._request_part(relay, budget, least, want, customer)
      self._counts["relayed" if is_final else "relay_failures"] += 1
      extra = {
          "budget": budget,
          "relay": relay.life,
          "least": least,
          "want": want,
          "is_final": is_final,
      }
      logger.info("tokens requested from a relay", extra=extra)
      if is_final:
        return True
      self._relays.drop(relay.life, "does not reach the store")
    return False

  def _can_reserve(self, budget: str, tokens: int) -> bool:
    self._table.update_ceiling(budget, self._clock.monotonic())
    return self._table.can_reserve(budget, tokens)

  async def request_grant(
      self, budget: str, least: int, customer: str, as_owner: bool
  ) -> bool:
    """Waits a limited time for a grant.

    The request runs in the background. If it ran in the caller's task, a caller
    that disconnects could leave a grant in the ledger that no row records.

    Returns:
      True if the tokens are available or the KV has answered in time.
    """
    if self._can_reserve(budget, least):
      return True
    if not self._members.is_settled:
      return False
    pending = self._pending_grants.get(budget)
    if pending is None:
      pending = self._pending_grants[budget] = _PendingGrant()
      self._grant_requests.append(
          _GrantRequest(budget, least, customer, as_owner)
      )
      self._wake.set()
    with anyio.move_on_after(_KV_WAIT_S):
      await pending.kv_call_ended.wait()
    if pending.kv_answered:
      with anyio.move_on_after(_RECALL_WAIT_S):
        await pending.done.wait()
    return pending.kv_answered

  async def _request_part(
      self,
      router: members_lib.Member,
      budget: str,
      least: int,
      want: int,
      customer: str,
  ) -> bool:
    """Asks a router for a part; returns whether its answer is final."""
    part = self._table.new_id()
    request = peers_lib.ReserveRequest(budget, customer, part, least, want)
    answer = await self._peers.reserve(router, request)
    self._budget_view.note_answer(budget, router.life, least, answer)
    if answer is None:
      # The router may have delegated the part and its reply may have been lost.
      # The part is settled as unused, which returns it; no request drew on it.
      self._counts["owner_unreachable"] += 1
      self._members.suspect(router.life)
      unused = allotment.Row(budget, part, 0, 0.0, router.life)
      self._settler.queue_ended(unused)
      return False
    if answer.tokens:
      self._counts["parts"] += 1
      now = self._clock.monotonic()
      self._table.add(budget, part, answer.tokens, now, router.life, answer.gid)
      self._refusals.remove(budget)
    elif not answer.unsure:
      # The refusal is cached only briefly: the router has the current state and
      # answers from its own cache.
      self._refusals.add(budget, least, _OWNER_REFUSAL_TTL_S)
      if answer.exhausted:
        self._budget_view.note_exhausted(budget, least)
    if answer.unsure and self._members.is_large:
      self._members.suspect(router.life)
    return not answer.unsure

  @property
  def busy(self) -> bool:
    """Whether any grant request or refill is in progress."""
    return bool(self._pending_grants)

  async def run(self) -> None:
    """Requests grants and refills budgets until cancelled."""
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
    """Ends grant requests left by an earlier run.

    A run that fails cancels its tasks, some before their first step. Without
    this, their budgets would count as having a grant in progress forever, and
    every request that needs one would be refused.
    """
    requested = {grant_request.budget for grant_request in self._grant_requests}
    for budget in self._pending_grants.keys() - requested:
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
    """Requests a grant from the KV, recalling idle tokens if it is refused."""
    budget, least, customer, as_owner = grant_request
    raised = await self._granter.raise_ceiling(budget, least)
    if raised is not None:
      if raised:
        pending.set_answered()
      return
    margin = self._budget_view.policy_of(customer).margin
    ledger_unread = budget not in self._budget_view.ledgers
    # A router that replaces the owner takes only what is needed now: a larger
    # reserve would be idle once the owner answers again.
    demand = max(least, self._demand.get(budget, 0))
    want = self._table.grant_size(budget, demand) if as_owner else demand
    if self._config.relayed and not as_owner:
      drawn = self._table.rate.get(budget, 0.0) * _RELAYED_HORIZON_S
      want = max(want, int(drawn))
    state = await self._granter.grant(budget, least, want, margin, as_owner)
    if state is None:
      return
    pending.set_answered()
    if self._table.can_reserve(budget, least):
      if as_owner and ledger_unread:
        # The first grant is small, as it was sized without having read the
        # ledger. It is enlarged now rather than at the next request, which may
        # come while the store is unavailable.
        self._undersized_grants.add(budget)
        self._schedule_refill(budget, customer)
      return
    recalled = await self._recaller.recall(budget, state)
    if recalled and not self._table.can_reserve(budget, least):
      await self._granter.grant(budget, least, want, margin, as_owner)
    if not self._table.can_reserve(budget, least):
      self._refusals.add(budget, least, self._config.refusal_ttl_s)
      available = self._budget_view.max_available(budget, margin)
      if available is not None and available < least:
        self._budget_view.note_exhausted(budget, least)

  async def _run_refill(self, budget: str, customer: str) -> None:
    pending = self._pending_grants[budget]
    try:
      await self._refill_budget(budget, customer)
    finally:
      del self._pending_grants[budget]
      pending.end()

  async def _refill_budget(self, budget: str, customer: str) -> None:
    """Refills a budget as far as it needs it.

    Raises the ceiling if draws will soon reach it. If tokens then run low,
    requests a part from the owner, or a larger grant from the KV if no other
    router owns the budget. Requests nothing while the budget is known to be
    unable to cover a refill.
    """
    now = self._clock.monotonic()
    undersized = budget in self._undersized_grants
    self._undersized_grants.discard(budget)
    if self._table.nears_ceiling(budget) and not self.stopping:
      await self._granter.raise_ceiling(budget, 0)
    if self.stopping or not (undersized or self._needs_refill(budget)):
      return
    if now < self._next_refill_at.get(budget, -float("inf")):
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
    if not (undersized or self._granter.is_refill_worthwhile(budget)):
      self._next_refill_at[budget] = now + _REFILL_PAUSE_S
      return
    margin = self._budget_view.policy_of(customer).margin
    await self._granter.grant(budget, least, want, margin)
    if self._needs_refill(budget) and self._granter.is_refill_worthwhile(
        budget
    ):
      # The ledger had more to grant than was known when the first was sized.
      await self._granter.grant(budget, least, want, margin)
    if self._needs_refill(budget):
      self._next_refill_at[budget] = now + _REFILL_PAUSE_S

  def prune(self, before: float) -> None:
    """Drops refill times earlier than `before`."""
    for budget, at in list(self._next_refill_at.items()):
      if at < before:
        del self._next_refill_at[budget]
