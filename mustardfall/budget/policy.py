"""What a customer weighs more, and what the budget code does about it.

No budget is overspent under either weighting; they differ in what is
done at the edge of a budget. Mahakama weighs overspend: it keeps a
margin of each budget ungranted, a cushion for engines that generate more
than they were allowed. Retourhuis weighs false refusals: it has no
margin, and at the edge a request waits a moment for the reservations of
others to settle, since they hold more than most answers use.
"""

import enum
from typing import NamedTuple


class Weighs(enum.StrEnum):
  """Which of the two measures a customer weighs more."""

  OVERSPEND = "overspend"
  FALSE_REFUSALS = "false_refusals"


class Policy(NamedTuple):
  """How the edge of a customer's budgets is treated."""

  margin: float
  """Share of a budget's limit that is never granted."""
  patience_s: float
  """Seconds a request may wait for tokens before it is refused."""


POLICIES = {
    Weighs.OVERSPEND: Policy(margin=0.01, patience_s=0.0),
    Weighs.FALSE_REFUSALS: Policy(margin=0.0, patience_s=0.4),
}
