"""How much of a budget a router holds and promises: pure functions.

What a router holds bridges an outage of the store; what it promises is lost
when it dies. Both take what is known and return what to do, so that the same
functions run in the router, in experiments and in tests.
"""

from typing import NamedTuple

from mustardfall import settings
from mustardfall.membership import members as members_lib

_MIN_CEILING_GROWTH = 0.003
"""Part of a budget's limit that a holder out of touch may draw a second at
least. Small: a budget that has been quiet reports seldom, and all that its
holder might have drawn since is lost with it."""


class SizingInput(NamedTuple):
  """What a holder knows of one budget when it decides."""

  limit: int
  """Tokens of the budget in all."""
  free: int | None
  """Tokens neither used nor held by anybody, as last seen; None: never."""
  held: int
  """Tokens here that are not used for certain."""
  rate: float
  """Tokens drawn here a second, lately."""
  others_rate: float
  """Tokens that other holders draw a second, by their promises."""
  mean_request: float
  """Tokens of a request here, in the mean."""
  holders: int
  """Routers that shall hold grants of it."""


def target(sizing: SizingInput, config: settings.Allotment) -> int:
  """Returns how many tokens to hold.

  A holder wants what it draws in an outage of the store, or an equal part of
  what all hold, since a team may send its next request to any router. It
  takes no more than its part of what is left: by its part of the draw, or
  an equal one where that is more.
  """
  available = sizing.held + (
      sizing.limit if sizing.free is None else sizing.free
  )
  outage_draw = (
      sizing.rate * config.horizon_s
      + sizing.mean_request * config.requests_held
  )
  wanted = max(outage_draw, available * equal_share(sizing, config))
  return int(
      min(wanted, available * config.headroom_share * _own_share(sizing))
  )


def equal_share(sizing: SizingInput, config: settings.Allotment) -> float:
  """Returns the part of what is left that each router holds at least."""
  return config.share_held / max(sizing.holders, 1)


def slack(sizing: SizingInput, config: settings.Allotment) -> int:
  """Returns how many tokens a holder may draw until it reports again.

  Enough for the draw between two reports and for a cut's first seconds. All
  of it is lost with the holder, which hurts only if the budget runs out
  later. So what holders risk together falls with the square of what is left:
  an early cut refuses few, a death near the end loses little.
  """
  expected = (
      sizing.rate * config.slack_s + sizing.mean_request * config.requests_slack
  )
  free = sizing.limit if sizing.free is None else sizing.free
  available = free + sizing.held
  acceptable_loss = (
      available * config.slack_left * available / max(sizing.limit, 1)
  )
  return int(min(expected, acceptable_loss * _own_share(sizing)))


def ceiling_growth(sizing: SizingInput, config: settings.Allotment) -> float:
  """Returns how many tokens a second more a holder out of touch may draw."""
  rate = max(sizing.rate, sizing.limit * _MIN_CEILING_GROWTH)
  return round(rate * config.ceiling_rate, 1)


def _own_share(sizing: SizingInput) -> float:
  """Returns the part of a budget that is this holder's to use."""
  equal = 1.0 / max(sizing.holders, 1)
  drawn = sizing.rate + sizing.others_rate
  return max(equal, sizing.rate / drawn) if drawn else equal


def report_interval_s(config: settings.Allotment, routers: int) -> float:
  """Returns the time between two reports of a router, seconds.

  Longer in a larger fleet. Each report changes the ledgers of all budgets that
  were drawn on, by compare-and-swap: with as many writers as routers, most
  would find that another was first, and try again.
  """
  return config.report_s * max(1.0, routers / members_lib.CLOSE_FLEET)
