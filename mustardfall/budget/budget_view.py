"""What a router knows of the budgets that it shares with other routers."""

from collections.abc import Callable, Iterable
from typing import Any, Literal, NamedTuple

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ceilings
from mustardfall.budget import holding
from mustardfall.budget import ledger
from mustardfall.budget import policy as policy_lib
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib


class BudgetSnapshot(NamedTuple):
  """The token counts of a budget, as far as one router knows them."""

  limit: int
  spent: int
  free: int
  """Headroom in the ledger that any router may be granted."""
  elsewhere: int
  """Granted to other routers."""
  lost: int
  """Written off: held by routers that died."""
  seen_s: float
  """Seconds since the ledger was last read."""
  idle: int
  """Held by this router and not in use."""
  drawable: int
  """Part of `idle` that the issued ceilings allow to be reserved."""
  reserved: int
  """Reserved by this router for requests in flight."""
  handed_on: int
  """Parts of this router's grants that other routers hold."""


class OwnerAnswer(NamedTuple):
  """The last answer of another router that was asked for tokens."""

  router: str
  """Life of that router."""
  least: int
  """Tokens asked for."""
  outcome: Literal["granted", "refused", "exhausted", "unsure", "no answer"]
  facts: dict[str, Any] | None
  """What that router knows of the budget, see `BudgetSnapshot`."""
  at: float
  """When it was received, monotonic seconds."""


_MAX_ANSWERS = 3
"""Answers kept of a budget: its owner's and two deputies'."""
_INITIAL_EXHAUSTED_S = 0.5
"""How long a budget is first treated as exhausted. The time doubles each time
this is found again, since each check costs a call."""
_MAX_EXHAUSTED_S = 4.0
"""Upper bound of that time. A raised limit, or tokens freed on this router,
take effect at once."""


class _Exhausted(NamedTuple):
  """A budget that was found exhausted."""

  tokens: int
  """The smallest request that it could not cover."""
  until: float
  duration_s: float
  limit_version: int


class BudgetView:
  """The ledgers as last read, the limits in force and the owners of budgets.

  Args:
    config: how allotments are sized.
    clock: the time source.
    members: the routers that are up and the owners of budgets.
    table: this router's allotments.
    policy_of: returns a customer's policy.
    limit_of: returns a budget's limit if the configuration sets it, None if the
      ledger has its own.
    budgets: returns the budgets that the configuration sets.
  """

  def __init__(
      self,
      config: settings.Allotment,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      table: allotment.Table,
      policy_of: Callable[[str], policy_lib.Policy],
      limit_of: Callable[[str], ledger.Limit | None],
      budgets: Callable[[], Iterable[str]],
  ) -> None:
    self._config = config
    self._clock = clock
    self._members = members
    self._table = table
    self.policy_of = policy_of
    self.limit_of = limit_of
    self._budgets = budgets
    self.ledgers: dict[str, ledger.Ledger] = {}
    """Ledgers as last read."""
    self._seen_at: dict[str, float] = {}
    self._targets: dict[str, int] = {}
    """Tokens to hold by budget, computed since the last read or tick."""
    self._exhausted: dict[str, _Exhausted] = {}
    """Budgets that were found exhausted."""
    self._answers: dict[str, dict[str, OwnerAnswer]] = {}
    """Last answer of each router that was asked, by budget and router."""

  def update(self, budget: str, state: ledger.Ledger) -> None:
    """Records a ledger that was read."""
    self.ledgers[budget] = state
    self._seen_at[budget] = self._clock.monotonic()
    self._targets.pop(budget, None)

  def snapshot(self, budget: str) -> BudgetSnapshot | None:
    """Returns a budget's token counts; None if its ledger was never read."""
    state = self.ledgers.get(budget)
    if state is None:
      return None
    rows = [self._table.rows[g] for g in self._table.by_budget.get(budget, ())]
    own = {row.gid for row in rows}
    grants = state["grants"].items()
    live = [row for row in rows if not row.retiring]
    return BudgetSnapshot(
        limit=state["limit"],
        spent=state["spent"],
        free=ledger.headroom(state),
        elsewhere=sum(tokens for gid, tokens in grants if gid not in own),
        lost=ledger.lost(state),
        seen_s=round(self._clock.monotonic() - self._seen_at[budget], 3),
        idle=sum(row.undrawn for row in live),
        drawable=sum(max(0, row.free) for row in live),
        reserved=sum(row.own_drawn - row.used for row in rows),
        handed_on=sum(p.tokens for row in rows for p in row.parts.values()),
    )

  def note_answer(
      self,
      budget: str,
      router: str,
      least: int,
      answer: peers_lib.ReserveReply | None,
  ) -> None:
    """Records another router's answer to a request for tokens."""
    outcome = "refused"
    if answer is None:
      outcome = "no answer"
    elif answer.tokens:
      outcome = "granted"
    elif answer.exhausted:
      outcome = "exhausted"
    elif answer.unsure:
      outcome = "unsure"
    facts = None if answer is None else answer.facts
    now = self._clock.monotonic()
    answers = self._answers.setdefault(budget, {})
    answers.pop(router, None)
    answers[router] = OwnerAnswer(router, least, outcome, facts, now)
    while len(answers) > _MAX_ANSWERS:
      del answers[next(iter(answers))]

  def describe(self, budget: str) -> dict[str, Any]:
    """Returns what decides on a request for tokens, for the log.

    `ledger` has this router's own knowledge, None if it read none; `asked` the
    answers of the routers that were asked last, the latest one last.
    """
    limit = self.limit_of(budget)
    snapshot = self.snapshot(budget)
    now = self._clock.monotonic()
    asked = []
    for answer in self._answers.get(budget, {}).values():
      fields = answer._asdict()
      fields["age_s"] = round(now - fields.pop("at"), 3)
      asked.append(fields)
    return {
        "limit": None if limit is None else limit.tokens,
        "limit_version": None if limit is None else limit.version,
        "ledger": None if snapshot is None else snapshot._asdict(),
        "asked": asked,
    }

  def owner(self, budget: str) -> members_lib.Member | None:
    """Returns the other router that owns the budget; None: use the KV directly."""
    if not self._config.owned:
      return None
    owner = self._members.owner(budget)
    return None if owner.life == self._members.me.life else owner

  def preferred_sources(self, budget: str) -> list[members_lib.Member]:
    """Returns the other routers to ask, in order, before the KV.

    This is the owner and, in a large fleet, its deputies (the next routers in
    the budget's hash order), except for routers that did not answer recently.
    If the store rejects calls of the owners, all other routers would otherwise
    draw on their budgets' ledgers and conflict there by compare-and-swap.
    """
    owner = self.owner(budget)
    if owner is None:
      return []
    if not self._members.is_large:
      return [owner]
    deputies = self.deputies(budget)
    return [m for m in deputies if not self._members.is_suspected(m.life)]

  def owned_budgets(self) -> Iterable[str]:
    """Returns the configured budgets whose grants this router takes itself."""
    return (name for name in self._budgets() if self.owner(name) is None)

  @property
  def budget_count(self) -> int:
    """The number of configured budgets; 0 if the KV alone knows them."""
    return sum(1 for _ in self._budgets())

  def deputies(self, budget: str) -> list[members_lib.Member]:
    """Returns the other routers to ask, in order, if the KV does not answer."""
    if not self._config.owned and len(self._members.lives) == 1:
      return []
    me = self._members.me.life
    return [m for m in self._members.candidates(budget) if m.life != me]

  def is_exhausted(self, budget: str, tokens: int) -> bool:
    """Whether the budget was recently found unable to cover `tokens`.

    Waiting does not help then: not even all reserved and held tokens would
    cover them if they returned unused.
    """
    entry = self._exhausted.get(budget)
    if entry is None or tokens < entry.tokens:
      return False
    if entry.limit_version != self._limit_version(budget):
      return False
    return self._clock.monotonic() < entry.until

  def _limit_version(self, budget: str) -> int:
    limit = self.limit_of(budget)
    return 0 if limit is None else limit.version

  def note_exhausted(self, budget: str, tokens: int) -> None:
    """Records that the budget cannot cover `tokens`, whatever is returned."""
    now = self._clock.monotonic()
    previous = self._exhausted.get(budget)
    duration_s = _INITIAL_EXHAUSTED_S
    if previous is not None and now < previous.until + previous.duration_s:
      duration_s = min(_MAX_EXHAUSTED_S, 2 * previous.duration_s)
      if now < previous.until:
        tokens = min(tokens, previous.tokens)
    version = self._limit_version(budget)
    self._exhausted[budget] = _Exhausted(
        tokens, now + duration_s, duration_s, version
    )

  def max_available(self, budget: str, margin: float) -> int | None:
    """Returns the most tokens that the budget can still provide, if known."""
    state = self.ledgers.get(budget)
    if state is None:
      return None
    available = ledger.headroom(state) - int(state["limit"] * margin)
    limit = self.limit_of(budget)
    if limit is not None and limit.version > state.get("limit_version", 0):
      available += limit.tokens - state["limit"]
    for gid, tokens in state["grants"].items():
      row = self._table.rows.get(gid)
      available += tokens if row is None else max(row.unconsumed, 0)
    for gid, tokens in state["lost"].items():
      if ledger.ceiling(state, gid) is not None:
        available += tokens  # not reviewed yet
    return available

  def sizing_input(
      self, budget: str, limit: ledger.Limit
  ) -> holding.SizingInput:
    """Returns the figures for sizing this router's share of a budget."""
    state = self.ledgers.get(budget)
    return holding.SizingInput(
        limit=limit.tokens,
        headroom=None if state is None else max(0, ledger.headroom(state)),
        held=self._table.at_risk(budget),
        rate=self._table.rate.get(budget, 0.0),
        others_rate=0.0 if state is None else self._others_rate(state),
        mean_request=self._table.mean_request.get(
            budget, self._config.request_tokens
        ),
        holders=self._holder_count(),
        measured=self._table.measured_share(budget),
    )

  def target(self, budget: str) -> int | None:
    """Returns how many tokens to hold, as of the last read of the ledger.

    None if the ledger has its own limit.
    """
    limit = self.limit_of(budget)
    if limit is None:
      return None
    size = self._targets.get(budget)
    if size is None:
      size = holding.target(self.sizing_input(budget, limit), self._config)
      self._targets[budget] = size
    return size

  def tick(self) -> None:
    """Discards the computed targets, as draw rates have changed."""
    self._targets.clear()

  def _holder_count(self) -> int:
    """Returns how many routers should hold grants of a budget."""
    if self._config.owned:
      return self._members.region_count
    return len(self._members.lives)

  def _others_rate(self, state: ledger.Ledger) -> float:
    """Returns the rate at which other live routers draw, from their ceilings.

    If a router holds several grants, its latest ceiling counts: it is based on
    the router's whole draw of the budget.
    """
    rates: dict[str, ceilings.Ceiling] = {}
    for gid in state.get("ceilings", {}):
      life, last_ceiling = ledger.holder(gid), ledger.ceiling(state, gid)
      newest = rates.get(life)
      if newest is None or last_ceiling.issued > newest.issued:
        rates[life] = last_ceiling
    me = self._members.me.life
    live = self._members.lives
    drawn = sum(
        p.rate for life, p in rates.items() if life in live and life != me
    )
    left = max(0, ledger.headroom(state)) / max(state["limit"], 1)
    factor = holding.growth_factor(min(left, 1.0), self._config)
    return drawn / max(factor, 1e-9)

  def prune(self, before: float) -> None:
    """Drops the state of budgets that have been idle since `before`."""
    for budget, entry in list(self._exhausted.items()):
      if entry.until < before:
        del self._exhausted[budget]
    for budget, answers in list(self._answers.items()):
      if all(answer.at < before for answer in answers.values()):
        del self._answers[budget]
    used = self._table.rate.keys() | self._table.by_budget.keys()
    for budget in self.ledgers.keys() - used:
      del self.ledgers[budget]
      del self._seen_at[budget]
