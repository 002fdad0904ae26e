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
_WAIT_STEP_S = 0.05
"""Pause between two looks at a budget that ran out."""
_REFILL_PAUSE_S = 1.0
"""Pause after a refill that the budget could not give; requests that need
tokens still ask at once."""
_KV_PATIENCE_S = 0.03
"""How long a request waits for the KV before it asks a deputy. The KV answers
in 4 ms; when it falls silent a call takes half a second to fail, and all
requests of that time would wait for it until they are refused."""


_RECALL_PATIENCE_S = 0.06
"""How much longer it waits once the KV has answered: the budget may be short
until others have returned idle tokens, which takes some 20 ms."""


class _Order(NamedTuple):
  """A grant to be taken in the background."""

  budget: str
  least: int
  customer: str
  owns: bool
  """Whether to hold a store of tokens, or just what is needed now."""


class _Flight:
  """A grant that is being taken."""

  def __init__(self) -> None:
    self.heard = anyio.Event()
    """Set once the KV has answered, or did not."""
    self.done = anyio.Event()
    self.answered = False
    """Whether the KV answered."""

  def note_answer(self) -> None:
    """Notes that the KV has answered."""
    self.answered = True
    self.heard.set()

  def end(self) -> None:
    """Has nobody wait any longer."""
    self.heard.set()
    self.done.set()


class Drawer:
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
      refusals: refusals_lib.Refusals,
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
    self._flights: dict[str, _Flight] = {}
    """Grants being taken, by budget."""
    self._orders: list[_Order] = []
    self._low: dict[str, str] = {}
    """Budgets that run low, and their customers."""
    self._wake = anyio.Event()
    self._refill_at: dict[str, float] = {}
    """When a budget that could not give may be refilled again."""
    self._blind: set[str] = set()
    """Budgets whose first grant was taken without knowing their ledger."""
    self.stopping = False

  async def reserve(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Sets `tokens` aside for a request; see `pool.Pool.reserve`."""
    found = self._table.reserve(budget, tokens)
    if found is None:
      return await self._wait(budget, tokens, customer)
    self.look_ahead(budget, customer)
    return found

  def look_ahead(self, budget: str, customer: str) -> None:
    """Has the budget refilled if it will soon run short here."""
    if self._runs_low(budget) or self._table.nears_ceiling(budget):
      self._note_low(budget, customer)

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
    for budget in self._budget_view.own():
      if budget not in self._table.by_budget:
        self._note_low(budget, budget)

  def _note_low(self, budget: str, customer: str) -> None:
    """Has the budget refilled in the background."""
    self._low[budget] = customer
    self._wake.set()

  async def _wait(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Gets tokens, for as long as the customer's policy has patience."""
    max_wait_s = self._budget_view.policy_of(customer).max_wait_s
    deadline = self._clock.monotonic() + max_wait_s
    self._demand[budget] += tokens
    try:
      while True:
        if not self._is_refused(budget, tokens):
          await self._fetch(budget, tokens, customer)
        found = self._table.reserve(budget, tokens)
        if found is not None:
          return found
        now = self._clock.monotonic()
        hopeless = self._refusals.lasts_s(budget) > max_wait_s
        hopeless = hopeless or self._budget_view.is_exhausted(budget, tokens)
        if now >= deadline or hopeless or self.stopping:
          return None
        await anyio.sleep(_WAIT_STEP_S)
    finally:
      self._demand[budget] -= tokens
      if not self._demand[budget]:
        del self._demand[budget]

  def _is_refused(self, budget: str, tokens: int) -> bool:
    """Whether it is known that asking would only be refused again.

    Tokens that come free here are found in the table all the same.
    """
    refused = self._refusals.repeat(budget, tokens)
    return refused or self._budget_view.is_exhausted(budget, tokens)

  async def _fetch(self, budget: str, tokens: int, customer: str) -> None:
    """Asks the owner, the KV and the owner's deputies, until one answers.

    A deputy may be in touch with the KV while the owner and this router are
    not, or hold tokens since it stood in for the owner before.
    """
    if self._has_room(budget, tokens) or self.stopping:
      return
    demand = max(tokens, self._demand.get(budget, 0))
    part = self._table.want_part(budget, demand)
    owner = self._budget_view.owner(budget)
    asked = self._budget_view.asked_first(budget)
    for other in asked:
      if await self._ask(other, budget, tokens, part, customer):
        return
    if await self.from_kv(budget, tokens, customer, owner is None):
      return
    for deputy in self._budget_view.deputies(budget):
      if deputy in asked:
        continue
      if await self._ask(deputy, budget, tokens, part, customer):
        return
    # Nobody else has tokens either: a store that is slow may still answer.
    flight = self._flights.get(budget)
    if flight is not None:
      await flight.done.wait()

  def _has_room(self, budget: str, tokens: int) -> bool:
    self._table.look(budget, self._clock.monotonic())
    return self._table.has_room(budget, tokens)

  async def from_kv(
      self, budget: str, least: int, customer: str, owns: bool
  ) -> bool:
    """Waits a moment for a grant; returns whether the KV has answered.

    It is taken in the background: a caller that leaves must not leave tokens
    behind that were granted in answer but recorded nowhere.
    """
    if self._has_room(budget, least):
      return True
    flight = self._flights.get(budget)
    if flight is None:
      flight = self._flights[budget] = _Flight()
      self._orders.append(_Order(budget, least, customer, owns))
      self._wake.set()
    with anyio.move_on_after(_KV_PATIENCE_S):
      await flight.heard.wait()
    if flight.answered:
      with anyio.move_on_after(_RECALL_PATIENCE_S):
        await flight.done.wait()
    return flight.answered

  async def _ask(
      self,
      owner: members_lib.Member,
      budget: str,
      least: int,
      want: int,
      customer: str,
  ) -> bool:
    """Asks a router for a part; returns whether its answer is final."""
    part = self._table.new_gid()
    ask = peers_lib.Ask(budget, customer, part, least, want)
    answer = await self._peers.reserve(owner, ask)
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
      self._refusals.end(budget)
    elif not answer.unsure:
      # Short: the owner knows best, and answers from its own memory.
      self._refusals.note(budget, least, _OWNER_REFUSAL_TTL_S)
      if answer.exhausted:
        self._budget_view.note_exhausted(budget, least)
    if answer.unsure and self._members.is_large:
      self._members.suspect(owner.life)
    return not answer.unsure

  @property
  def busy(self) -> bool:
    """Whether any grant is being taken."""
    return bool(self._flights)

  async def run(self) -> None:
    """Takes grants and refills budgets, until cancelled."""
    self._end_flights()
    async with anyio.create_task_group() as tasks:
      while True:
        await self._wake.wait()
        self._wake = anyio.Event()
        orders, self._orders = self._orders, []
        for order in orders:
          tasks.start_soon(self._fly, order)
        low, self._low = self._low, {}
        for budget, customer in low.items():
          if budget not in self._flights:
            self._flights[budget] = _Flight()
            tasks.start_soon(self._refill, budget, customer)

  def _end_flights(self) -> None:
    """Ends what an earlier run left behind.

    A run that failed took its grants' tasks with it, some before their first
    step. Their budgets would be taken to have a grant on its way for ever,
    and every request that needs one would be refused.
    """
    ordered = {order.budget for order in self._orders}
    for budget in self._flights.keys() - ordered:
      self._flights.pop(budget).end()

  async def _fly(self, order: _Order) -> None:
    flight = self._flights[order.budget]
    try:
      await self._take_grant(order, flight)
    finally:
      del self._flights[order.budget]
      flight.end()

  async def _take_grant(self, order: _Order, flight: _Flight) -> None:
    """Takes a grant from the KV."""
    budget, least, customer, owns = order
    raised = await self._granter.raise_ceiling(budget, least)
    if raised is not None:
      if raised:
        flight.note_answer()
      return
    margin = self._budget_view.policy_of(customer).margin
    blind = budget not in self._budget_view.ledgers
    # In an owner's place only what is needed now: a store of tokens
    # here would lie idle once the owner answers again.
    demand = max(least, self._demand.get(budget, 0))
    want = self._table.want(budget, demand) if owns else demand
    found = await self._granter.grant(budget, least, want, margin, owns)
    if found is None:
      return
    flight.note_answer()
    if self._table.has_room(budget, least):
      if owns and blind:
        # Taken before the ledger was known, so small: filled up now, not
        # with the next request, which may come when the store is away.
        self._blind.add(budget)
        self._note_low(budget, customer)
      return
    called_back = await self._recaller.recall(budget, found)
    if called_back and not self._table.has_room(budget, least):
      await self._granter.grant(budget, least, want, margin, owns)
    if not self._table.has_room(budget, least):
      self._refusals.note(budget, least, self._config.refusal_ttl_s)
      left = self._budget_view.most_left(budget, margin)
      if left is not None and left < least:
        self._budget_view.note_exhausted(budget, least)

  async def _refill(self, budget: str, customer: str) -> None:
    flight = self._flights[budget]
    try:
      await self._fill_up(budget, customer)
    finally:
      del self._flights[budget]
      flight.end()

  async def _fill_up(self, budget: str, customer: str) -> None:
    """Brings what is held of a budget up to what it should be."""
    now = self._clock.monotonic()
    blind = budget in self._blind
    self._blind.discard(budget)
    if self._table.nears_ceiling(budget) and not self.stopping:
      await self._granter.raise_ceiling(budget, 0)
    if self.stopping or not (blind or self._runs_low(budget)):
      return
    if now < self._refill_at.get(budget, -float("inf")):
      return
    owner = self._budget_view.owner(budget)
    size = self._table.want if owner is None else self._table.want_part
    want = size(budget, 1)
    least = max(1, want // 4) if owner is not None else 1
    if self._refusals.repeat(budget, least):
      return
    if owner is not None:
      await self._ask(owner, budget, least, want, customer)
      return
    if not (blind or self._granter.is_worth_a_refill(budget)):
      self._refill_at[budget] = now + _REFILL_PAUSE_S
      return
    margin = self._budget_view.policy_of(customer).margin
    await self._granter.grant(budget, least, want, margin)
    if self._runs_low(budget):
      self._refill_at[budget] = now + _REFILL_PAUSE_S

  def forget(self, before: float) -> None:
    """Drops what was noted of budgets that are quiet since `before`."""
    for budget, at in list(self._refill_at.items()):
      if at < before:
        del self._refill_at[budget]
