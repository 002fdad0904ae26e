"""How much of a budget a router holds and promises: pure functions.

What a router holds bridges an outage of the store; what it promises is lost
when it dies. Both take what is known and return what to do, so that the same
functions run in the router, in experiments and in tests.
"""

from typing import NamedTuple

from mustardfall import settings
from mustardfall.membership import members as members_lib

_LEAST_RATE = 0.003
"""Part of a budget's limit that a holder out of touch may draw a second at
least. Small: a budget that has been quiet reports seldom, and all that its
holder might have drawn since is lost with it."""


class View(NamedTuple):
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
  request: float
  """Tokens of a request here, in the mean."""
  holders: int
  """Routers that shall hold grants of it."""


def target(view: View, config: settings.Allotment) -> int:
  """Returns how many tokens to hold.

  A holder wants what it draws in an outage of the store, or an equal part of
  what all hold, since a team may send its next request to any router. It
  takes no more than its part of what is left: by its part of the draw, or
  an equal one where that is more.
  """
  left = view.held + (view.limit if view.free is None else view.free)
  bridge = view.rate * config.horizon_s + view.request * config.requests_held
  wanted = max(bridge, left * equal_share(view, config))
  return int(min(wanted, left * config.headroom_share * _share(view)))


def equal_share(view: View, config: settings.Allotment) -> float:
  """Returns the part of what is left that each router holds at least."""
  return config.share_held / max(view.holders, 1)


def slack(view: View, config: settings.Allotment) -> int:
  """Returns how many tokens a holder may draw until it reports again.

  Enough for the draw between two reports and for a cut's first seconds. All
  of it is lost with the holder, which hurts only if the budget runs out
  later. So what holders risk together falls with the square of what is left:
  an early cut refuses few, a death near the end loses little.
  """
  usual = view.rate * config.slack_s + view.request * config.requests_slack
  free = view.limit if view.free is None else view.free
  left = free + view.held
  risked = left * config.slack_left * left / max(view.limit, 1)
  return int(min(usual, risked * _share(view)))


def growth(view: View, config: settings.Allotment) -> float:
  """Returns how many tokens a second more a holder out of touch may draw."""
  rate = max(view.rate, view.limit * _LEAST_RATE)
  return round(rate * config.ceiling_rate, 1)


def _share(view: View) -> float:
  """Returns the part of a budget that is this holder's to use."""
  equal = 1.0 / max(view.holders, 1)
  drawn = view.rate + view.others_rate
  return max(equal, view.rate / drawn) if drawn else equal


def report_s(config: settings.Allotment, routers: int) -> float:
  """Returns the time between two reports of a router, seconds.

  Longer in a larger fleet. Each report changes the ledgers of all budgets that
  were drawn on, by compare-and-swap: with as many writers as routers, most
  would find that another was first, and try again.
  """
  return config.report_s * max(1.0, routers / members_lib.MAX_SMALL_FLEET)
