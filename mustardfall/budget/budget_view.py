"""What a router knows of the budgets that others draw on, too."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ceilings
from mustardfall.budget import holding
from mustardfall.budget import ledger
from mustardfall.budget import policy as policy_lib
from mustardfall.membership import members as members_lib
from mustardfall.util import clock as clock_lib


class BudgetSnapshot(NamedTuple):
  """Where a budget's tokens are, as far as one router knows."""

  limit: int
  spent: int
  free: int
  """In the ledger, for whoever asks."""
  elsewhere: int
  """Held by other routers."""
  lost: int
  """Written off: dead routers held them."""
  seen_s: float
  """Age of what is known of the ledger, seconds."""
  idle: int
  """Held here and not set aside."""
  drawable: int
  """Of these, what may be set aside under the promises made."""
  reserved: int
  """Set aside here for requests in flight."""
  handed_on: int
  """Parts of this router's grants that others hold."""


_INITIAL_EXHAUSTED_S = 0.5
"""How long a budget that was found used up is believed to be, at first; twice
as long each time it is found so again, since each look costs a call."""
_MAX_EXHAUSTED_S = 4.0
"""But no longer than this. A raised limit, or tokens that come free here, are
noticed at once."""


class _Exhausted(NamedTuple):
  """A budget that was found used up."""

  tokens: int
  """It could not give so many."""
  until: float
  duration_s: float
  limit_version: int


class BudgetView:
  """The ledgers as last seen, the limits in force, and who owns what.

  Args:
    config: how allotments are sized.
    clock: the time source.
    members: who is up and owns what.
    table: this router's allotments.
    policy_of: returns a customer's policy.
    limit_of: returns a budget's limit where the configuration sets it,
      None where the ledger keeps its own.
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
    """Ledgers as last seen."""
    self._seen_at: dict[str, float] = {}
    self._targets: dict[str, int] = {}
    """What to hold, worked out since the last sight or tick."""
    self._exhausted: dict[str, _Exhausted] = {}
    """Budgets found used up."""

  def update(self, budget: str, found: ledger.Ledger) -> None:
    """Notes what a ledger was seen with."""
    self.ledgers[budget] = found
    self._seen_at[budget] = self._clock.monotonic()
    self._targets.pop(budget, None)

  def snapshot(self, budget: str) -> BudgetSnapshot | None:
    """Returns where a budget's tokens are; None: its ledger was never seen."""
    found = self.ledgers.get(budget)
    if found is None:
      return None
    rows = [self._table.rows[g] for g in self._table.by_budget.get(budget, ())]
    own = {row.gid for row in rows}
    grants = found["grants"].items()
    live = [row for row in rows if not row.retiring]
    return BudgetSnapshot(
        limit=found["limit"],
        spent=found["spent"],
        free=ledger.headroom(found),
        elsewhere=sum(tokens for gid, tokens in grants if gid not in own),
        lost=ledger.lost(found),
        seen_s=round(self._clock.monotonic() - self._seen_at[budget], 3),
        idle=sum(row.undrawn for row in live),
        drawable=sum(max(0, row.free) for row in live),
        reserved=sum(row.own_drawn - row.used for row in rows),
        handed_on=sum(p.tokens for row in rows for p in row.parts.values()),
    )

  def owner(self, budget: str) -> members_lib.Member | None:
    """Returns the other router to draw through; None: the KV itself."""
    if not self._config.owned:
      return None
    owner = self._members.owner(budget)
    return None if owner.life == self._members.me.life else owner

  def preferred_sources(self, budget: str) -> list[members_lib.Member]:
    """Returns the other routers to ask in turn before the KV.

    The owner; in a large fleet its deputies, too, as far as they lately gave
    an answer. While the store turns owners away, all others would draw on
    their budgets' records, and meet there by compare-and-swap.
    """
    owner = self.owner(budget)
    if owner is None:
      return []
    if not self._members.is_large:
      return [owner]
    deputies = self.deputies(budget)
    return [m for m in deputies if not self._members.is_suspected(m.life)]

  def owned_budgets(self) -> Iterable[str]:
    """Returns the configured budgets that this router takes grants of."""
    return (name for name in self._budgets() if self.owner(name) is None)

  def deputies(self, budget: str) -> list[members_lib.Member]:
    """Returns the other routers to ask in turn while the KV is away."""
    if not self._config.owned and len(self._members.lives) == 1:
      return []
    me = self._members.me.life
    return [m for m in self._members.candidates(budget) if m.life != me]

  def is_exhausted(self, budget: str, tokens: int) -> bool:
    """Whether the budget was just found unable to cover `tokens`.

    Then no waiting helps: not even all that is reserved or held would
    cover them, should it come back unused.
    """
    found = self._exhausted.get(budget)
    if found is None or tokens < found.tokens:
      return False
    if found.limit_version != self._limit_version(budget):
      return False
    return self._clock.monotonic() < found.until

  def _limit_version(self, budget: str) -> int:
    limit = self.limit_of(budget)
    return 0 if limit is None else limit.version

  def note_exhausted(self, budget: str, tokens: int) -> None:
    """Notes that the budget cannot cover `tokens`, whatever comes back."""
    now = self._clock.monotonic()
    before = self._exhausted.get(budget)
    duration_s = _INITIAL_EXHAUSTED_S
    if before is not None and now < before.until + before.duration_s:
      duration_s = min(_MAX_EXHAUSTED_S, 2 * before.duration_s)
      if now < before.until:
        tokens = min(tokens, before.tokens)
    version = self._limit_version(budget)
    self._exhausted[budget] = _Exhausted(
        tokens, now + duration_s, duration_s, version
    )

  def max_available(self, budget: str, margin: float) -> int | None:
    """Returns the most tokens that the budget could still give, if known."""
    found = self.ledgers.get(budget)
    if found is None:
      return None
    left = ledger.headroom(found) - int(found["limit"] * margin)
    limit = self.limit_of(budget)
    if limit is not None and limit.version > found.get("limit_version", 0):
      left += limit.tokens - found["limit"]
    for gid, tokens in found["grants"].items():
      row = self._table.rows.get(gid)
      left += tokens if row is None else max(row.unconsumed, 0)
    for gid, tokens in found["lost"].items():
      if ledger.ceiling(found, gid) is not None:
        left += tokens  # not reviewed yet
    return left

  def sizing_input(
      self, budget: str, limit: ledger.Limit
  ) -> holding.SizingInput:
    """Returns what decisions about a budget's holdings are taken on."""
    found = self.ledgers.get(budget)
    return holding.SizingInput(
        limit=limit.tokens,
        free=None if found is None else max(0, ledger.headroom(found)),
        held=self._table.at_risk(budget),
        rate=self._table.rate.get(budget, 0.0),
        others_rate=0.0 if found is None else self._others_rate(found),
        mean_request=self._table.mean_request.get(
            budget, self._config.request_tokens
        ),
        holders=self._holder_count(),
    )

  def target(self, budget: str) -> int | None:
    """Returns how many tokens to hold, as of the last look at the ledger.

    None where the ledger keeps its own limit.
    """
    limit = self.limit_of(budget)
    if limit is None:
      return None
    found = self._targets.get(budget)
    if found is None:
      found = holding.target(self.sizing_input(budget, limit), self._config)
      self._targets[budget] = found
    return found

  def tick(self) -> None:
    """Has what to hold worked out anew: rates have changed."""
    self._targets.clear()

  def _holder_count(self) -> int:
    """Returns how many routers shall hold grants of a budget: its owners."""
    if self._config.owned:
      return self._members.regions
    return len(self._members.lives)

  def _others_rate(self, found: ledger.Ledger) -> float:
    """Returns what other routers that are up draw, by their promises.

    Of a router that holds several grants the latest promise counts: it is
    the rate of all its draw.
    """
    rates: dict[str, ceilings.Ceiling] = {}
    for gid in found.get("ceilings", {}):
      life, last_ceiling = ledger.holder(gid), ledger.ceiling(found, gid)
      newest = rates.get(life)
      if newest is None or last_ceiling.issued > newest.issued:
        rates[life] = last_ceiling
    me = self._members.me.life
    live = self._members.lives
    drawn = sum(
        p.rate for life, p in rates.items() if life in live and life != me
    )
    return drawn / max(self._config.ceiling_rate, 1e-9)

  def prune(self, before: float) -> None:
    """Drops what was noted of budgets that are quiet since `before`."""
    for budget, found in list(self._exhausted.items()):
      if found.until < before:
        del self._exhausted[budget]
    used = self._table.rate.keys() | self._table.by_budget.keys()
    for budget in self.ledgers.keys() - used:
      del self.ledgers[budget]
      del self._seen_at[budget]
