"""A router's allotments: tokens obtained from budgets and drawn on locally.

Requests reserve tokens before they are forwarded and settle the actual usage
afterwards, all in memory. A router may delegate parts of an allotment to other
routers. The table has one row per allotment. `tick` updates each budget's draw
rate, retires rows whose term has ended and removes finished rows, which the
caller then settles. The terms (router life, drawn, used) are defined in
`ledger`.
"""

import dataclasses
import itertools
import math
from typing import NamedTuple

from mustardfall import settings
from mustardfall.budget import ceilings as ceilings_lib

_INITIAL_QUIET_FRACTION = 0.33
"""Fraction of the averaging time that a budget is assumed to have been idle
before its first reservation."""
_MIN_RATE_TOKENS_S = 0.5
"""Tokens per second below which a budget's rate is dropped once no row is left.
"""
_LOW_SLACK_FRACTION = 0.4
"""A ceiling is raised early once less than this fraction of its slack is left.
"""
_REQUEST_MEAN_WEIGHT = 0.1
"""Weight of the latest request in the moving average of request sizes."""
_MAX_REMEMBERED_PARTS = 20_000
"""Ended parts that are remembered to detect late or repeated messages."""


@dataclasses.dataclass
class DelegatedPart:
  """Tokens of a row delegated to another router and not yet settled by it."""

  tokens: int
  holder: str
  """Life (`name:epoch`) of the router that holds the part."""


class IssuedCeiling(NamedTuple):
  """A ceiling that the ledger holds, or may hold, for a row."""

  ceiling: ceilings_lib.Ceiling
  at: float
  """Time of issue, monotonic seconds."""
  slack: int
  """Tokens that it permitted beyond those in use at the time of issue."""


@dataclasses.dataclass
class Row:
  """One allotment held by this router."""

  budget: str
  gid: str
  """Id of the grant, or of the part if `source` is set."""
  granted: int
  acquired_at: float
  source: str = ""
  """Life of the router that delegated this part; empty if the grant came from
  the ledger."""
  source_gid: str = ""
  """Grant of that router, under which the part is settled in the ledger once
  the router is gone."""
  own_drawn: int = 0
  """Tokens reserved by this router's requests in flight plus those used by its
  finished requests."""
  used: int = 0
  """Tokens used by this router's finished requests."""
  in_flight: int = 0
  parts: dict[str, DelegatedPart] = dataclasses.field(default_factory=dict)
  parts_used: dict[str, int] = dataclasses.field(default_factory=dict)
  lost_parts: dict[str, int] = dataclasses.field(default_factory=dict)
  """Tokens of parts whose holder is gone; the holder may still return."""
  delegated: int = 0
  """Tokens of open and lost parts plus those used of ended parts."""
  retiring: bool = False
  settled_in_ledger: bool = False
  """Whether this is a part that was settled in the ledger."""
  issued_ceilings: list[IssuedCeiling] = dataclasses.field(default_factory=list)
  """Ceilings that may be in force: the one last seen in the ledger and later
  ones whose write is unconfirmed."""
  ceiling: float = math.inf
  """Tokens that may be in use under these ceilings, as of the last
  `update_ceiling`."""
  last_active_at: float = -math.inf
  """When a reservation or delegation was last made or in flight, as of the last
  tick."""
  drawn_at_last_tick: int = 0
  """Tokens in use at the last tick."""

  @property
  def drawn(self) -> int:
    """Tokens in use: reserved, used or delegated."""
    return self.own_drawn + self.delegated

  @property
  def undrawn(self) -> int:
    """Granted tokens that are not in use, including those above the ceiling."""
    return self.granted - self.drawn

  @property
  def free(self) -> int:
    """Tokens that may be reserved or delegated now."""
    return int(min(self.granted, self.ceiling)) - self.drawn

  def update_ceiling(self, now: float, renewed_at: float) -> None:
    """Recomputes how many tokens the issued ceilings permit now.

    The lowest one applies: after a lost reply the ledger may hold either the
    new ceiling or the previous one. Each grows from its issue or from the last
    renewal, whichever is later.
    """
    allowed = (
        issued.ceiling.allowed_after(now - max(issued.at, renewed_at))
        for issued in self.issued_ceilings
    )
    self.ceiling = min(allowed, default=math.inf)

  @property
  def within_issued_ceilings(self) -> bool:
    """Whether use is within all ceilings as issued, without their growth."""
    return all(
        self.drawn <= issued.ceiling.tokens for issued in self.issued_ceilings
    )

  @property
  def unconsumed(self) -> int:
    """Granted tokens that are not known to be used."""
    return self.granted - self.used - sum(self.parts_used.values())

  @property
  def idle(self) -> bool:
    """Whether no request in flight and no delegated part uses the row."""
    return self.in_flight == 0 and not self.parts


class Reservation(NamedTuple):
  """Tokens reserved for one request from one allotment."""

  budget: str
  gid: str
  tokens: int


class OutstandingPart(NamedTuple):
  """A part that another router still held when this router stopped."""

  budget: str
  gid: str
  tokens: int


class Settled(NamedTuple):
  """The tokens billed for one request, and its overrun."""

  billed: int
  overrun: int
  """Tokens that the engine generated beyond the reservation."""


class Table:
  """The allotments of one router life, and each budget's draw rate.

  Args:
    life: the router's life (`name:epoch`), the prefix of its grant ids.
    config: how grants are sized.
  """

  def __init__(self, life: str, config: settings.Allotment) -> None:
    self._config = config
    self._life = life
    self._ids = itertools.count(1)
    self.rows: dict[str, Row] = {}
    self.by_budget: dict[str, list[str]] = {}
    """Budget name to the grant ids of its rows, oldest first."""
    self.rate: dict[str, float] = {}
    """Budget name to tokens drawn per second by this router (moving average).
    """
    self.mean_request: dict[str, float] = {}
    """Budget name to tokens reserved per request by this router (moving
    average)."""
    self._averaging_window_s: dict[str, float] = {}
    """Budget name to the effective length of its rate's averaging window,
    seconds."""
    self._drawn_since_tick: dict[str, int] = {}
    self._part_row: dict[str, str] = {}
    self._ended_parts: dict[str, None] = {}
    self.renewed_at = -math.inf
    """Time of the last renewal, which may be unconfirmed, monotonic seconds."""
    self.outstanding_parts: dict[str, OutstandingPart] = {}
    """Parts that other routers still held when this router stopped."""
    self._written_off_parts: dict[str, str] = {}
    """Parts written off together with a settled row, and their budgets."""

  def new_id(self) -> str:
    """Returns an id for a grant or a part, unique within this router's life."""
    return f"{self._life}:{next(self._ids)}"

  def grant_size(self, budget: str, tokens: int) -> int:
    """Returns the grant size to ask for.

    This is the draw over the horizon, but at least the minimum grant and
    `tokens`.
    """
    rate = self.rate.get(budget, 0.0)
    return max(
        self._config.min_tokens, tokens, int(rate * self._config.horizon_s)
    )

  def part_size(self, budget: str, tokens: int) -> int:
    """Returns the part size to ask an owner for.

    There is no minimum, unlike for a grant. Another request to the owner costs
    a millisecond, while idle tokens of a small budget spread over many routers
    would cause refusals of requests that the budget covers.
    """
    rate = self.rate.get(budget, 0.0)
    return max(tokens, int(rate * self._config.part_horizon_s))

  def update_ceiling(self, budget: str, now: float) -> None:
    """Recomputes the ceilings of the budget's rows for time `now`."""
    for gid in self.by_budget.get(budget, ()):
      self.rows[gid].update_ceiling(now, self.renewed_at)

  def free(self, budget: str) -> int:
    """Returns the tokens that the budget's active rows can reserve now."""
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    return sum(row.free for row in rows if not row.retiring)

  def at_risk(self, budget: str) -> int:
    """Returns the tokens that would be lost if this router died now.

    These are all granted tokens except those known to be used: undrawn tokens,
    parts held by others, and reservations of requests in flight.
    """
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    return sum(max(row.unconsumed, 0) for row in rows if not row.source)

  def undrawn(self, budget: str) -> int:
    """Returns the budget's tokens in active rows that are not in use."""
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    return sum(row.undrawn for row in rows if not row.retiring)

  def measured_share(self, budget: str) -> float:
    """Returns how far the budget's rate is measured, from 0 to 1."""
    window_s = self._averaging_window_s.get(budget)
    if window_s is None:
      return 0.0
    # The time before the first reservation is assumed, not measured.
    assumed_s = self._config.rate_s * _INITIAL_QUIET_FRACTION
    share = (window_s - assumed_s) / (self._config.rate_s - assumed_s)
    return min(1.0, max(0.0, share))

  def is_below_low_mark(self, budget: str) -> bool:
    """Whether the budget's unused tokens are below the low mark.

    The low mark is a share of the size that a grant or part should have, not of
    the granted tokens: most of a grant that has grown repeatedly is already
    used.
    """
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    has_grant = any(not row.source for row in rows)
    size = (
        self.grant_size(budget, 0) if has_grant else self.part_size(budget, 0)
    )
    undrawn = sum(row.undrawn for row in rows if not row.retiring)
    return undrawn < size * self._config.low_mark

  def nears_ceiling(self, budget: str) -> bool:
    """Whether the ceiling of the budget's grant will soon block requests."""
    row = self.growable_row(budget)
    if row is None or row.ceiling >= row.granted:
      return False
    latest = row.issued_ceilings[-1]
    slack = latest.ceiling.tokens - row.drawn
    return slack < latest.slack * _LOW_SLACK_FRACTION

  @property
  def has_issued_ceilings(self) -> bool:
    """Whether any issued ceiling may be in force."""
    return any(row.issued_ceilings for row in self.rows.values())

  def within_issued_ceilings(self) -> bool:
    """Whether all rows are within their ceilings as issued."""
    return all(row.within_issued_ceilings for row in self.rows.values())

  def renew_ceilings(self, now: float) -> None:
    """Restarts the growth of all ceilings at `now`."""
    self.renewed_at = now
    for row in self.rows.values():
      row.update_ceiling(now, now)

  def add_ceiling(
      self, gid: str, ceiling: ceilings_lib.Ceiling, now: float
  ) -> None:
    """Records a ceiling that is about to be sent to the ledger."""
    row = self.rows.get(gid)
    if row is not None:
      slack = ceiling.tokens - row.drawn
      row.issued_ceilings.append(IssuedCeiling(ceiling, now, slack))
      row.update_ceiling(now, self.renewed_at)

  def withdraw_ceiling(
      self, gid: str, ceiling: ceilings_lib.Ceiling, now: float
  ) -> None:
    """Removes a ceiling that was not written to the ledger."""
    row = self.rows.get(gid)
    if row is not None:
      row.issued_ceilings = [
          issued for issued in row.issued_ceilings if issued.ceiling != ceiling
      ]
      row.update_ceiling(now, self.renewed_at)

  def confirm_ceiling(
      self, gid: str, ceiling: ceilings_lib.Ceiling, now: float
  ) -> None:
    """Records the ceiling seen in the ledger and drops the earlier ones."""
    row = self.rows.get(gid)
    if row is None:
      return
    later = [
        issued
        for issued in row.issued_ceilings
        if issued.ceiling.issued >= ceiling.issued
    ]
    if any(issued.ceiling == ceiling for issued in later):
      while later[0].ceiling != ceiling:
        del later[0]  # issued earlier, with the same timestamp
    row.issued_ceilings = later
    row.update_ceiling(now, self.renewed_at)

  def reserve(self, budget: str, tokens: int) -> Reservation | None:
    """Reserves `tokens` from a row of the budget that has that many free."""
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
    """Whether a row of the budget has `tokens` free."""
    return self._find_row(budget, tokens) is not None

  def _find_row(
      self, budget: str, tokens: int, from_ledger_only: bool = False
  ) -> Row | None:
    for gid in self.by_budget.get(budget, ()):
      row = self.rows[gid]
      if row.retiring or row.free < tokens:
        continue
      if not from_ledger_only or not row.source:
        return row
    return None

  def _note_draw(self, budget: str, tokens: int) -> None:
    self._drawn_since_tick[budget] = (
        self._drawn_since_tick.get(budget, 0) + tokens
    )

  def settle(self, reservation: Reservation, used: int) -> Settled:
    """Ends a reservation and bills all tokens used.

    An engine that generated more than it was allowed is billed in full. An
    overrun is the only way that spending can exceed a budget, so it must be
    visible. Policies that prefer to avoid overspend keep a margin for it.
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
    """Adds a row for a new allotment and retires the budget's idle rows."""
    for old in self.by_budget.get(budget, ()):
      if self.rows[old].idle:
        self.rows[old].retiring = True
    self.rows[gid] = Row(
        budget, gid, granted, now, source, source_gid, last_active_at=now
    )
    self.by_budget.setdefault(budget, []).append(gid)

  def growable_row(self, budget: str) -> Row | None:
    """Returns the budget's row that further grants enlarge, if any."""
    for gid in reversed(self.by_budget.get(budget, ())):
      row = self.rows[gid]
      if not row.source and not row.retiring:
        return row
    return None

  def grow(self, gid: str, granted: int, now: float) -> None:
    """Updates a row to the size that the ledger shows.

    While this router lives, only the router itself reduces its grant (see
    `ledger.Shrink`), and it reduces the row first. A smaller number therefore
    comes from an older read of the ledger, or from one in which the grant is
    written off, and is ignored.
    """
    row = self.rows.get(gid)
    if row is not None and granted > row.granted:
      row.granted = granted
      row.acquired_at = now

  def delegate(
      self, budget: str, part: str, least: int, want: int, share: float
  ) -> tuple[int, str]:
    """Delegates a part of a row to another router.

    Idempotent: the same `part` gets the same answer. A part that has ended gets
    nothing, so that a late repeat cannot reopen it.

    Returns:
      The tokens of the part and the grant id of the row; 0 if no row has
      `least` free.
    """
    if part in self._part_row:
      row = self.rows[self._part_row[part]]
      held = row.parts.get(part)
      return (held.tokens, row.gid) if held is not None else (0, "")
    row = self._find_row(budget, least, from_ledger_only=True)
    if row is None or part in self._ended_parts:
      return 0, ""
    size = min(want, max(least, int(row.free * share)))
    row.parts[part] = DelegatedPart(size, part.rpartition(":")[0])
    row.delegated += size
    self._part_row[part] = row.gid
    self._note_draw(budget, size)
    return size, row.gid

  def settle_delegated(self, part: str, used: int) -> str | None:
    """Ends a delegated part: `used` tokens are billed, the rest is free again.

    Returns:
      The budget if the part was written off and its row is already settled, so
      that the part must be settled in the ledger; otherwise None.
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
    """Returns the budget of a delegated part, or None if the part has ended."""
    row = self.rows.get(self._part_row.get(part, ""))
    return None if row is None else row.budget

  def write_off(self, part: str) -> None:
    """Counts a part as lost because its holder is considered gone."""
    row = self.rows[self._part_row[part]]
    row.lost_parts[part] = row.parts.pop(part).tokens

  def holders(self, budget: str) -> set[str]:
    """Returns the lives that hold parts of the budget's rows."""
    rows = [self.rows[gid] for gid in self.by_budget.get(budget, ())]
    return {p.holder for row in rows for p in row.parts.values()}

  def parts_held_by(self, life: str) -> list[str]:
    """Returns the ids of the parts held by router life `life`."""
    return [
        part
        for row in self.rows.values()
        for part, held in row.parts.items()
        if held.holder == life
    ]

  def retire(self, budget: str) -> list[Row]:
    """Retires the budget's rows; removes and returns the idle ones."""
    gids = list(self.by_budget.get(budget, ()))
    for gid in gids:
      self.rows[gid].retiring = True
    return [self._remove(gid) for gid in gids if self.rows[gid].idle]

  def pop_expired_received_part(self, gid: str, now: float) -> Row | None:
    """Removes and returns an idle row received from another router.

    None unless the row is retiring or its term has ended.
    """
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
    """Updates rates and rows; returns the finished rows, which must be settled.

    A row retires at the end of its term and is removed once it is retired and
    idle.
    """
    self._update_rates(elapsed_s)
    for row in self.rows.values():
      row.update_ceiling(now, self.renewed_at)
      if row.drawn != row.drawn_at_last_tick or row.in_flight:
        row.last_active_at, row.drawn_at_last_tick = now, row.drawn
      term_s = self._config.part_term_s if row.source else self._config.term_s
      if now - row.acquired_at >= term_s:
        row.retiring = True
    finished = [r.gid for r in self.rows.values() if r.retiring and r.idle]
    return [self._remove(gid) for gid in finished]

  def _update_rates(self, elapsed_s: float) -> None:
    """Updates the moving averages of the draw rates.

    A budget is assumed to have been idle before its first reservation;
    otherwise a single request would yield a high rate.
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
    """Removes and returns all rows, for a graceful stop."""
    rows = [self._remove(gid) for gid in list(self.rows)]
    for row in rows:
      for part, held in row.parts.items():
        del self._part_row[part]
        self.outstanding_parts[part] = OutstandingPart(
            row.budget, row.gid, held.tokens
        )
    return rows
