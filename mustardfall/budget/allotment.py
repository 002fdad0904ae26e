"""A router's allotments: tokens granted to it from budgets, spent locally.

Requests reserve from an allotment before they are forwarded and
settle the real count after, all in memory: the KV sees one write per
grant and one per settlement, not one per request. The table holds a
row per allotment; `tick` runs the systems over it (retire old rows,
return finished ones, update each budget's draw rate).
"""

import dataclasses
import itertools
import logging
from typing import NamedTuple

from mustardfall import settings

logger = logging.getLogger(__name__)

_RATE_WEIGHT = 0.3
"""Weight of the newest tick in each budget's draw-rate average."""


@dataclasses.dataclass
class Row:
  """One allotment held by this router."""

  budget: str
  gid: str
  granted: int
  taken_at: float
  committed: int = 0
  """Tokens reserved by requests in flight plus tokens settled."""
  in_flight: int = 0
  retiring: bool = False


class Reservation(NamedTuple):
  """Tokens set aside for one request from one allotment."""

  budget: str
  gid: str
  tokens: int


class Table:
  """The allotments of one router, and each budget's draw rate.

  Args:
    router: the router's name; grant ids start with it.
    config: how grants are sized.
  """

  def __init__(self, router: str, config: settings.Allotment) -> None:
    self._config = config
    self._router = router
    self._ids = itertools.count(1)
    self.rows: dict[str, Row] = {}
    self.active: dict[str, str] = {}
    """Budget name to the gid that takes new reservations."""
    self.rate: dict[str, float] = {}
    """Budget name to tokens reserved per second here (moving average)."""
    self._drawn: dict[str, int] = {}

  def new_gid(self, epoch: int) -> str:
    """Returns a grant id unique to this router's life (`epoch` lease)."""
    return f"{self._router}:{epoch:x}:{next(self._ids)}"

  def want(self, budget: str, tokens: int) -> int:
    """Returns the grant size to ask for: the horizon's draw, at least."""
    rate = self.rate.get(budget, 0.0)
    return max(
        self._config.min_tokens, tokens, int(rate * self._config.horizon_s)
    )

  def reserve(self, budget: str, tokens: int) -> Reservation | None:
    """Sets `tokens` aside from the active allotment, if it has room."""
    gid = self.active.get(budget)
    row = self.rows.get(gid) if gid else None
    if row is None or row.retiring or row.granted - row.committed < tokens:
      return None
    row.committed += tokens
    row.in_flight += 1
    self._drawn[budget] = self._drawn.get(budget, 0) + tokens
    return Reservation(budget, row.gid, tokens)

  def add(self, budget: str, gid: str, granted: int, now: float) -> None:
    """Records a new grant as the budget's active allotment."""
    old = self.active.get(budget)
    if old in self.rows:
      self.rows[old].retiring = True
    self.rows[gid] = Row(budget, gid, granted, now)
    self.active[budget] = gid

  def settle(self, reservation: Reservation, used: int) -> int:
    """Ends a reservation; returns the tokens billed.

    `used` above the reservation is billed as the reservation: the
    engine was capped by it, so more would be a miscount, not spend.
    """
    row = self.rows[reservation.gid]
    billed = min(used, reservation.tokens)
    row.committed -= reservation.tokens - billed
    row.in_flight -= 1
    return billed

  def tick(self, now: float, elapsed_s: float) -> list[Row]:
    """Runs the systems; returns rows finished and due back to the KV.

    A row retires after `term_s`; once retired with nothing in flight it
    is removed here and handed back for settlement.
    """
    for budget in set(self.rate) | set(self._drawn):
      drawn = self._drawn.pop(budget, 0) / max(elapsed_s, 1e-3)
      old = self.rate.get(budget, drawn)
      self.rate[budget] = old + _RATE_WEIGHT * (drawn - old)
    done = []
    for row in list(self.rows.values()):
      if now - row.taken_at >= self._config.term_s:
        row.retiring = True
      if row.retiring and row.in_flight == 0:
        done.append(self.rows.pop(row.gid))
        if self.active.get(row.budget) == row.gid:
          del self.active[row.budget]
    return done

  def retire_all(self) -> None:
    """Stops new reservations everywhere, for a graceful stop."""
    for row in self.rows.values():
      row.retiring = True
