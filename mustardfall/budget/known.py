"""What a router knows of the budgets that others draw on, too."""

from collections.abc import Callable
from typing import NamedTuple

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ledger
from mustardfall.budget import policy as policy_lib
from mustardfall.membership import members as members_lib
from mustardfall.util import clock as clock_lib


class Whereabouts(NamedTuple):
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


_EXHAUSTED_S = 0.5
"""How long a budget that was found used up is believed to be."""


class Known:
  """The ledgers as last seen, the limits in force, and who owns what.

  Args:
    config: how allotments are sized.
    clock: the time source.
    members: who is up and owns what.
    table: this router's allotments.
    policy_of: returns a customer's policy.
    limit_of: returns a budget's limit where the configuration sets it,
      None where the ledger keeps its own.
  """

  def __init__(
      self,
      config: settings.Allotment,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      table: allotment.Table,
      policy_of: Callable[[str], policy_lib.Policy],
      limit_of: Callable[[str], ledger.Limit | None],
  ) -> None:
    self._config = config
    self._clock = clock
    self._members = members
    self._table = table
    self.policy_of = policy_of
    self.limit_of = limit_of
    self.ledgers: dict[str, ledger.Ledger] = {}
    """Ledgers as last seen."""
    self._seen_at: dict[str, float] = {}
    self._exhausted: dict[str, tuple[int, float]] = {}
    """Budgets found used up: for how many tokens, and until when."""

  def note(self, budget: str, found: ledger.Ledger) -> None:
    """Notes what a ledger was seen with."""
    self.ledgers[budget] = found
    self._seen_at[budget] = self._clock.monotonic()

  def whereabouts(self, budget: str) -> Whereabouts | None:
    """Returns where a budget's tokens are; None: its ledger was never seen."""
    found = self.ledgers.get(budget)
    if found is None:
      return None
    rows = [self._table.rows[g] for g in self._table.by_budget.get(budget, ())]
    own = {row.gid for row in rows}
    grants = found["grants"].items()
    live = [row for row in rows if not row.retiring]
    return Whereabouts(
        limit=found["limit"],
        spent=found["spent"],
        free=ledger.headroom(found),
        elsewhere=sum(tokens for gid, tokens in grants if gid not in own),
        lost=ledger.lost(found),
        seen_s=round(self._clock.monotonic() - self._seen_at[budget], 3),
        idle=sum(row.undrawn for row in live),
        drawable=sum(max(0, row.free) for row in live),
        reserved=sum(row.own - row.used for row in rows),
        handed_on=sum(p.tokens for row in rows for p in row.parts.values()),
    )

  def owner(self, budget: str) -> members_lib.Member | None:
    """Returns the other router to draw through; None: the KV itself."""
    if not self._config.owned:
      return None
    owner = self._members.owner(budget)
    return None if owner.life == self._members.me.life else owner

  def is_exhausted(self, budget: str, tokens: int) -> bool:
    """Whether the budget was just found unable to cover `tokens`.

    Then no waiting helps: not even all that is reserved or held would
    cover them, should it come back unused.
    """
    least, until = self._exhausted.get(budget, (0, -float("inf")))
    return tokens >= least and self._clock.monotonic() < until

  def note_exhausted(self, budget: str, tokens: int) -> None:
    """Notes that the budget cannot cover `tokens`, whatever comes back."""
    until = self._clock.monotonic() + _EXHAUSTED_S
    self._exhausted[budget] = (tokens, until)

  def most_left(self, budget: str, margin: float) -> int | None:
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
      left += tokens if row is None else max(row.may_return, 0)
    for gid, tokens in found["lost"].items():
      if ledger.ceiling(found, gid) is not None:
        left += tokens  # not reviewed yet
    return left

  def left(
      self, budget: str, row: allotment.Row | None, limit: ledger.Limit
  ) -> int:
    """Returns what is not in use of a budget, as far as this router knows."""
    found = self.ledgers.get(budget)
    free = limit.tokens if found is None else ledger.headroom(found)
    return max(0, free) + (0 if row is None else row.undrawn)

  def forget(self, before: float) -> None:
    """Drops what was noted of budgets that are quiet since `before`."""
    for budget, (_, until) in list(self._exhausted.items()):
      if until < before:
        del self._exhausted[budget]
    for budget in self.ledgers.keys() - self._table.rate.keys():
      del self.ledgers[budget]
      del self._seen_at[budget]
