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


class Preference(enum.StrEnum):
  """Which of the two measures a customer weighs more."""

  OVERSPEND = "overspend"
  FALSE_REFUSALS = "false_refusals"


class Policy(NamedTuple):
  """How the edge of a customer's budgets is treated."""

  margin: float
  """Share of a budget's limit that is never granted."""
  max_wait_s: float
  """Seconds a request may wait for tokens before it is refused."""


POLICIES = {
    Preference.OVERSPEND: Policy(margin=0.01, max_wait_s=0.0),
    Preference.FALSE_REFUSALS: Policy(margin=0.0, max_wait_s=0.4),
}

CONFIGURED_BUDGETS = Policy(margin=0.01, max_wait_s=0.05)
"""For budgets that a platform's configuration sets, whoever the customer is.
A hundredth is never granted: a request of ours that was cut off between its
check and its send (a frozen host) may run after its tokens were given on.
The wait lets reservations of answers that just ended come back; it ends
within an eighth of the shortest objective, as a caller that is to be refused
is better off trying again at once than waiting here."""
