"""A router's allotments: tokens granted to it from budgets, spent locally.

Requests reserve from an allotment before they are forwarded and settle
the real count after, all in memory. Other routers may hold parts of an
allotment, handed on to them by this one. The table holds a row per
allotment; `tick` runs the systems over it: age rows out, hand finished
ones over for settlement, and update each budget's draw rate.
"""

import dataclasses
import itertools
import math
from typing import NamedTuple

from mustardfall import settings
from mustardfall.budget import ceilings as ceilings_lib

_INITIAL_QUIET_FRACTION = 0.33
"""Part of the averaging time for which a budget is held to have been quiet
before it was first drawn on."""
_MIN_RATE_TOKENS_S = 0.5
"""Tokens a second below which a budget's rate is forgotten."""
_LOW_SLACK_FRACTION = 0.4
"""A promise is renewed ahead of time when this part of its slack is left."""
_REQUEST_MEAN_WEIGHT = 0.1
"""Weight of the newest request in the mean size of a budget's requests."""
_MAX_REMEMBERED_PARTS = 20_000
"""Ended parts remembered, to know a late or repeated message by."""


@dataclasses.dataclass
class Part:
  """Tokens of a row handed on to another router, until it settles them."""

  tokens: int
  holder: str
  """The life (`name:epoch`) of the router that holds it."""


class IssuedCeiling(NamedTuple):
  """A ceiling that the ledger holds, or may hold, for a row."""

  ceiling: ceilings_lib.Ceiling
  at: float
  """When it was issued, monotonic seconds."""
  slack: int
  """Tokens that it allowed for beyond those in use then."""


@dataclasses.dataclass
class Row:
  """One allotment held by this router."""

  budget: str
  gid: str
  granted: int
  acquired_at: float
  source: str = ""
  """The life of the router it is a part from; empty: the KV's ledger."""
  source_gid: str = ""
  """That router's grant, to settle in the ledger when it has gone."""
  own_drawn: int = 0
  """Tokens reserved by own requests in flight plus those they used."""
  used: int = 0
  """Tokens that own requests which have ended used."""
  in_flight: int = 0
  parts: dict[str, Part] = dataclasses.field(default_factory=dict)
  parts_used: dict[str, int] = dataclasses.field(default_factory=dict)
  lost_parts: dict[str, int] = dataclasses.field(default_factory=dict)
  """Tokens of parts whose holder has gone; it may yet come back."""
  delegated: int = 0
  """Tokens of open and lost parts plus those that ended parts used."""
  retiring: bool = False
  settled_in_ledger: bool = False
  """Whether it is a part that was settled in the ledger."""
  issued_ceilings: list[IssuedCeiling] = dataclasses.field(default_factory=list)
  """Ceilings that may be in force: the one that the ledger was last seen
  with, and later ones whose fate is not known yet."""
  ceiling: float = math.inf
  """Tokens that may be in use by these promises, as of the last look."""
  last_drawn_at: float = -math.inf
  """When it was last drawn on, as of the last tick."""
  last_drawn: int = 0
  """Tokens in use at the last tick."""

  @property
  def drawn(self) -> int:
    """Tokens in use: reserved, used or handed on."""
    return self.own_drawn + self.delegated

  @property
  def undrawn(self) -> int:
    """Tokens not yet set aside, whether or not they may be now."""
    return self.granted - self.drawn

  @property
  def free(self) -> int:
    """Tokens that may be set aside now."""
    return int(min(self.granted, self.ceiling)) - self.drawn

  def update_ceiling(self, now: float, renewed_at: float) -> None:
    """Takes note of what the promises allow by now.

    All that may be in force must be kept: a report whose answer was lost
    may stand in the ledger, or the one before it. They count from their
    issue or the last renewal.
    """
    allowed = (
        p.ceiling.allowed_after(now - max(p.at, renewed_at))
        for p in self.issued_ceilings
    )
    self.ceiling = min(allowed, default=math.inf)

  @property
  def within_issued_ceilings(self) -> bool:
    """Whether no more is in use than promises allowed when they were made."""
    return all(self.drawn <= p.ceiling.tokens for p in self.issued_ceilings)

  @property
  def unconsumed(self) -> int:
    """Tokens not used for certain: free, reserved or handed on."""
    return self.granted - self.used - sum(self.parts_used.values())

  @property
  def idle(self) -> bool:
    """Whether nothing in flight, here or at other routers, draws on it."""
    return self.in_flight == 0 and not self.parts


class Reservation(NamedTuple):
  """Tokens set aside for one request from one allotment."""

  budget: str
  gid: str
  tokens: int


class OutstandingPart(NamedTuple):
  """A part that another router still held when this one stopped."""

  budget: str
  gid: str
  tokens: int


class Settled(NamedTuple):
  """What one request was billed, and by how much it overran."""

  billed: int
  overrun: int
  """Tokens an engine generated beyond the reservation."""


class Table:
  """The allotments of one router life, and each budget's draw rate.

  Args:
    life: the router's life (`name:epoch`); grant ids start with it.
    config: how grants are sized.
  """

  def __init__(self, life: str, config: settings.Allotment) -> None:
    self._config = config
    self._life = life
    self._ids = itertools.count(1)
    self.rows: dict[str, Row] = {}
    self.by_budget: dict[str, list[str]] = {}
    """Budget name to its rows' gids, oldest first."""
    self.rate: dict[str, float] = {}
    """Budget name to tokens drawn per second here (moving average)."""
    self.mean_request: dict[str, float] = {}
    """Budget name to tokens that a request here reserves (moving average)."""
    self._averaging_window_s: dict[str, float] = {}
    """Seconds that each rate is averaged over, by weight."""
    self._drawn_since_tick: dict[str, int] = {}
    self._part_row: dict[str, str] = {}
    self._ended_parts: dict[str, None] = {}
    self.renewed_at = -math.inf
    """When all promises were last renewed, as far as may be in force."""
    self.outstanding_parts: dict[str, OutstandingPart] = {}
    """Parts still with others when this router stopped."""
    self._written_off_parts: dict[str, str] = {}
    """Parts written off with a row that is settled, and their budgets."""

  def new_gid(self) -> str:
    """Returns a grant id unique to this router's life."""
    return f"{self._life}:{next(self._ids)}"

  def grant_size(self, budget: str, tokens: int) -> int:
    """Returns the grant size to ask for: the horizon's draw, at least."""
    rate = self.rate.get(budget, 0.0)
    return max(
        self._config.min_tokens, tokens, int(rate * self._config.horizon_s)
    )

  def part_size(self, budget: str, tokens: int) -> int:
    """Returns the size to ask an owner for.

    Without a floor, unlike a grant: another ask costs a millisecond, and
    idle tokens of a small budget spread over many routers would refuse
    requests that it covers.
    """
    rate = self.rate.get(budget, 0.0)
    return max(tokens, int(rate * self._config.part_horizon_s))

  def update_ceiling(self, budget: str, now: float) -> None:
    """Takes note of what promises allow of the budget's rows by now."""
    for gid in self.by_budget.get(budget, ()):
      self.rows[gid].update_ceiling(now, self.renewed_at)

  def free(self, budget: str) -> int:
    """Returns the budget's free tokens in live rows here."""
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    return sum(row.free for row in rows if not row.retiring)

  def at_risk(self, budget: str) -> int:
    """Returns what would be lost if this router died now.

    Free tokens, parts that others hold, and what requests in flight have
    reserved: only what was used for certain is not lost.
    """
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    return sum(max(row.unconsumed, 0) for row in rows if not row.source)

  def undrawn(self, budget: str) -> int:
    """Returns the budget's tokens here that nothing has set aside."""
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    return sum(row.undrawn for row in rows if not row.retiring)

  def running_low(self, budget: str) -> bool:
    """Whether the budget's tokens here are under the low mark.

    A share of what a grant or part should cover, not of what was granted:
    a grant that grows has long been used for the most part.
    """
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    owned = any(not row.source for row in rows)
    size = self.grant_size(budget, 0) if owned else self.part_size(budget, 0)
    undrawn = sum(row.undrawn for row in rows if not row.retiring)
    return undrawn < size * self._config.low_mark

  def nears_ceiling(self, budget: str) -> bool:
    """Whether the budget's grant is about to be stopped by its promise."""
    row = self.growable_row(budget)
    if row is None or row.ceiling >= row.granted:
      return False
    last = row.issued_ceilings[-1]
    slack = last.ceiling.tokens - row.drawn
    return slack < last.slack * _LOW_SLACK_FRACTION

  @property
  def has_issued_ceilings(self) -> bool:
    """Whether any promise may be in force."""
    return any(row.issued_ceilings for row in self.rows.values())

  def within_issued_ceilings(self) -> bool:
    """Whether no more is in use than promises allowed when they were made."""
    return all(row.within_issued_ceilings for row in self.rows.values())

  def renew_ceilings(self, now: float) -> None:
    """Has all promises count from `now`."""
    self.renewed_at = now
    for row in self.rows.values():
      row.update_ceiling(now, now)

  def add_ceiling(
      self, gid: str, ceiling: ceilings_lib.Ceiling, now: float
  ) -> None:
    """Notes a promise that is about to be sent."""
    row = self.rows.get(gid)
    if row is not None:
      slack = ceiling.tokens - row.drawn
      row.issued_ceilings.append(IssuedCeiling(ceiling, now, slack))
      row.update_ceiling(now, self.renewed_at)

  def withdraw_ceiling(
      self, gid: str, ceiling: ceilings_lib.Ceiling, now: float
  ) -> None:
    """Forgets a promise that was not written."""
    row = self.rows.get(gid)
    if row is not None:
      row.issued_ceilings = [
          p for p in row.issued_ceilings if p.ceiling != ceiling
      ]
      row.update_ceiling(now, self.renewed_at)

  def confirm_ceiling(
      self, gid: str, ceiling: ceilings_lib.Ceiling, now: float
  ) -> None:
    """Notes which promise a ledger was seen with; earlier ones are over."""
    row = self.rows.get(gid)
    if row is None:
      return
    later = [
        p for p in row.issued_ceilings if p.ceiling.issued >= ceiling.issued
    ]
    if any(p.ceiling == ceiling for p in later):
      while later[0].ceiling != ceiling:
        del later[0]  # issued in the same moment, before it
    row.issued_ceilings = later
    row.update_ceiling(now, self.renewed_at)

  def reserve(self, budget: str, tokens: int) -> Reservation | None:
    """Sets `tokens` aside from a row of the budget that has room."""
    row = self._find_row(budget, tokens)
    if row is None:
      return None
    row.own_drawn += tokens
    row.in_flight += 1
    self._note_draw(budget, tokens)
    mean = self.mean_request.get(budget, tokens)
    self.mean_request[budget] = mean + _REQUEST_MEAN_WEIGHT * (tokens - mean)
    return Reservation(budget, row.gid, tokens)

  def can_reserve(self, budget: str, tokens: int) -> bool:
    """Whether a row of the budget could take a reservation of `tokens`."""
    return self._find_row(budget, tokens) is not None

  def _find_row(
      self, budget: str, tokens: int, granted_only: bool = False
  ) -> Row | None:
    for gid in self.by_budget.get(budget, ()):
      row = self.rows[gid]
      if row.retiring or row.free < tokens:
        continue
      if not granted_only or not row.source:
        return row
    return None

  def _note_draw(self, budget: str, tokens: int) -> None:
    self._drawn_since_tick[budget] = (
        self._drawn_since_tick.get(budget, 0) + tokens
    )

  def settle(self, reservation: Reservation, used: int) -> Settled:
    """Ends a reservation and bills what was used of it, all of it.

    An engine that generated more than it was allowed is billed in full:
    the overrun is the only way spend could pass a budget, so it must be
    seen. Policies that weigh overspend keep a margin for it.
    """
    row = self.rows[reservation.gid]
    row.own_drawn += used - reservation.tokens
    row.used += used
    row.in_flight -= 1
    self._note_draw(reservation.budget, used - reservation.tokens)
    return Settled(used, max(0, used - reservation.tokens))

  def add(
      self,
      budget: str,
      gid: str,
      granted: int,
      now: float,
      source: str = "",
      source_gid: str = "",
  ) -> None:
    """Records a new allotment; idle rows of the budget retire for it."""
    for old in self.by_budget.get(budget, ()):
      if self.rows[old].idle:
        self.rows[old].retiring = True
    self.rows[gid] = Row(
        budget, gid, granted, now, source, source_gid, last_drawn_at=now
    )
    self.by_budget.setdefault(budget, []).append(gid)

  def growable_row(self, budget: str) -> Row | None:
    """Returns the row of the budget that further grants go to, if any."""
    for gid in reversed(self.by_budget.get(budget, ())):
      row = self.rows[gid]
      if not row.source and not row.retiring:
        return row
    return None

  def grow(self, gid: str, granted: int, now: float) -> None:
    """Notes what the ledger shows as granted to a row.

    A grant only grows while its holder lives, so an older sight of the
    ledger is known by the smaller number.
    """
    row = self.rows.get(gid)
    if row is not None and granted > row.granted:
      row.granted = granted
      row.acquired_at = now

  def delegate(
      self, budget: str, part: str, least: int, want: int, share: float
  ) -> tuple[int, str]:
    """Hands a part of a row on to another router.

    Safe to repeat: the same `part` gets the same answer, and a part
    already ended gets nothing, so a late repeat cannot revive it.

    Returns:
      The tokens of the part and the row's gid; 0 when no row has `least`.
    """
    if part in self._part_row:
      row = self.rows[self._part_row[part]]
      held = row.parts.get(part)
      return (held.tokens, row.gid) if held is not None else (0, "")
    row = self._find_row(budget, least, granted_only=True)
    if row is None or part in self._ended_parts:
      return 0, ""
    size = min(want, max(least, int(row.free * share)))
    row.parts[part] = Part(size, part.rpartition(":")[0])
    row.delegated += size
    self._part_row[part] = row.gid
    self._note_draw(budget, size)
    return size, row.gid

  def settle_delegated(self, part: str, used: int) -> str | None:
    """Ends a part; `used` of its tokens are billed, the rest is free.

    Returns:
      The budget, when the part was written off and its row is settled:
      the part is then to be settled in the ledger; else None.
    """
    self._ended_parts[part] = None
    if len(self._ended_parts) > _MAX_REMEMBERED_PARTS:
      del self._ended_parts[next(iter(self._ended_parts))]
    row = self.rows.get(self._part_row.pop(part, ""))
    if row is None:
      return self._written_off_parts.pop(part, None)
    ended = row.parts.pop(part, None)
    tokens = ended.tokens if ended is not None else row.lost_parts.pop(part)
    row.parts_used[part] = used
    row.delegated += used - tokens
    self._note_draw(row.budget, used - tokens)
    return None

  def budget_of(self, part: str) -> str | None:
    """Returns the budget of a part that is out, or None."""
    row = self.rows.get(self._part_row.get(part, ""))
    return None if row is None else row.budget

  def write_off(self, part: str) -> None:
    """Counts a part as lost: its holder has gone, it seems."""
    row = self.rows[self._part_row[part]]
    row.lost_parts[part] = row.parts.pop(part).tokens

  def holders(self, budget: str) -> set[str]:
    """Returns the lives that hold parts of the budget's rows here."""
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    return {p.holder for row in rows for p in row.parts.values()}

  def parts_held_by(self, life: str) -> list[str]:
    """Returns the parts that router life `life` holds."""
    return [
        part
        for row in self.rows.values()
        for part, held in row.parts.items()
        if held.holder == life
    ]

  def retire(self, budget: str) -> list[Row]:
    """Retires the budget's rows; returns those that are idle, removed."""
    gids = list(self.by_budget.get(budget, ()))
    for gid in gids:
      self.rows[gid].retiring = True
    return [self._remove(gid) for gid in gids if self.rows[gid].idle]

  def pop_due_part(self, gid: str, now: float) -> Row | None:
    """Removes and returns a part that is due and has nothing in flight."""
    row = self.rows[gid]
    if not row.source or not row.idle:
      return None
    if not row.retiring and now - row.acquired_at < self._config.part_term_s:
      return None
    return self._remove(gid)

  def _remove(self, gid: str) -> Row:
    row = self.rows.pop(gid)
    for part in row.lost_parts:
      self._part_row.pop(part)
      self._written_off_parts[part] = row.budget
      if len(self._written_off_parts) > _MAX_REMEMBERED_PARTS:
        del self._written_off_parts[next(iter(self._written_off_parts))]
    gids = self.by_budget[row.budget]
    gids.remove(gid)
    if not gids:
      del self.by_budget[row.budget]
    return row

  def tick(self, now: float, elapsed_s: float) -> list[Row]:
    """Runs the systems; returns rows finished, due to be settled.

    A row retires after its term; once retired with nothing in flight it
    is removed here.
    """
    self._update_rates(elapsed_s)
    for row in self.rows.values():
      row.update_ceiling(now, self.renewed_at)
      if row.drawn != row.last_drawn or row.in_flight:
        row.last_drawn_at, row.last_drawn = now, row.drawn
      term_s = self._config.part_term_s if row.source else self._config.term_s
      if now - row.acquired_at >= term_s:
        row.retiring = True
    finished = [r.gid for r in self.rows.values() if r.retiring and r.idle]
    return [self._remove(gid) for gid in finished]

  def _update_rates(self, elapsed_s: float) -> None:
    """Averages what was drawn, newer seconds weighing more.

    A budget that was just drawn on for the first time is held to have been
    quiet for a moment before, else one request would make a high rate.
    """
    kept = math.exp(-elapsed_s / self._config.rate_s)
    for budget in set(self.rate) | set(self._drawn_since_tick):
      before_s = self._averaging_window_s.get(
          budget, self._config.rate_s * _INITIAL_QUIET_FRACTION
      )
      averaged_s = before_s * kept + elapsed_s
      drawn = self.rate.get(budget, 0.0) * before_s * kept
      drawn += self._drawn_since_tick.pop(budget, 0)
      rate = drawn / averaged_s
      if rate < _MIN_RATE_TOKENS_S and budget not in self.by_budget:
        for table in (self.rate, self.mean_request, self._averaging_window_s):
          table.pop(budget, None)
      else:
        self.rate[budget] = rate
        self._averaging_window_s[budget] = averaged_s

  def clear(self) -> list[Row]:
    """Removes and returns every row, for a graceful stop."""
    rows = [self._remove(gid) for gid in list(self.rows)]
    for row in rows:
      for part, held in row.parts.items():
        del self._part_row[part]
        self.outstanding_parts[part] = OutstandingPart(
            row.budget, row.gid, held.tokens
        )
    return rows
