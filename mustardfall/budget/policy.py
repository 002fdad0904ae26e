"""Customers' preferences at the edge of a budget, and the resulting policies.

No budget is overspent under either preference; they differ in how requests are
treated when a budget is nearly used up. Mahakama prefers to avoid overspend: a
margin of each budget is never granted, as a reserve for engines that generate
more than they were allowed. Retourhuis prefers to avoid false refusals: there
is no margin, and a request waits briefly for other requests' reservations to
settle, since most answers use less than was reserved for them.
"""

import enum
from typing import NamedTuple


class Preference(enum.StrEnum):
  """Which error a customer prefers to avoid."""

  OVERSPEND = "overspend"
  FALSE_REFUSALS = "false_refusals"


class Policy(NamedTuple):
  """How requests are treated when a budget is nearly used up."""

  margin: float
  """Fraction of a budget's limit that is never granted."""
  max_wait_s: float
  """Longest time that a request waits for tokens before it is refused, seconds.
  """


POLICIES = {
    Preference.OVERSPEND: Policy(margin=0.01, max_wait_s=0.0),
    Preference.FALSE_REFUSALS: Policy(margin=0.0, max_wait_s=0.4),
}

CONFIGURED_BUDGETS = Policy(margin=0.01, max_wait_s=0.05)
"""Policy of budgets set by a platform's configuration, for all customers. The
margin of one hundredth covers requests of a router that was frozen between its
check and its send: they may run after their tokens were granted to others. The
wait lets reservations of answers that just ended return. It ends within an
eighth of the shortest objective, as a caller that will be refused is better off
retrying at once than waiting here."""
