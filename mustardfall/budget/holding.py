"""Computes how much of a budget a router holds and how far it may draw.

Tokens held by a router cover an outage of the store; tokens below its ceiling
are lost when it dies. These are pure functions, so that the router, experiments
and tests run the same code.
"""

from typing import NamedTuple

from mustardfall import settings
from mustardfall.membership import members as members_lib

_MIN_CEILING_GROWTH = 0.003
"""Smallest growth of a ceiling per second of an unused budget, as a fraction of
its limit. It is small because a holder of an idle budget reports rarely, and all
that it might have drawn since its last report is lost with it."""


_UNMEASURED_GROWTH = 0.5
"""Share of the tokens to hold by which a ceiling may grow within `horizon_s`
while the draw is not measured."""


class SizingInput(NamedTuple):
  """The figures from which a holder sizes its share of one budget."""

  limit: int
  """The budget's limit, tokens."""
  headroom: int | None
  """The ledger's headroom as of the last read, at least 0; None if the ledger
  was never read."""
  held: int
  """Tokens held by this router that are not known to be used."""
  rate: float
  """Tokens drawn per second by this router, recent average."""
  others_rate: float
  """Tokens drawn per second by other holders, estimated from their ceilings."""
  mean_request: float
  """Mean tokens reserved per request by this router."""
  holders: int
  """Number of routers that should hold grants of the budget."""
  measured: float = 1.0
  """How far `rate` is measured: 0 before the first request, 1 once it has been
  averaged for long enough."""


def target(sizing: SizingInput, config: settings.Allotment) -> int:
  """Returns how many tokens to hold.

  This covers the draw during an outage of the store, or an equal share of what
  all routers hold if that is more, since a team may send its next request to
  any router. It is limited to this router's share of the available tokens: by
  its part of the draw, or an equal share if that is more.
  """
  available = _available(sizing)
  outage_draw = (
      sizing.rate * config.horizon_s
      + sizing.mean_request * config.requests_held
  )
  wanted = max(outage_draw, available * equal_share(sizing, config))
  return int(
      min(wanted, available * config.headroom_share * _own_share(sizing))
  )


def equal_share(sizing: SizingInput, config: settings.Allotment) -> float:
  """Returns the minimum fraction of the available tokens to hold."""
  return config.share_held / max(sizing.holders, 1)


def slack(sizing: SizingInput, config: settings.Allotment) -> int:
  """Returns how many tokens a holder may draw until its next report.

  It covers the draw between two reports and the first seconds of a network
  partition. All of it is lost with the holder, which matters only if the budget
  runs out later. The total that all holders risk therefore falls with the
  square of the available fraction: a partition early on causes few refusals,
  and a death near the end of the budget loses little.

  While the draw is not measured, the slack is as large as the acceptable loss.
  """
  expected = (
      sizing.rate * config.slack_s + sizing.mean_request * config.requests_slack
  )
  acceptable_loss = _available(sizing) * config.slack_left * _left(sizing)
  acceptable_loss *= _own_share(sizing)
  unmeasured = acceptable_loss * (1 - sizing.measured)
  return int(min(max(expected, unmeasured), acceptable_loss))


def outage_draw(
    sizing: SizingInput, config: settings.Allotment, slack_tokens: int
) -> int:
  """Returns how many tokens a holder may draw without a report, in all.

  This is what its ceiling allows after `outage_s`, but at most its part of
  `outage_share` of the available tokens: so much is lost if the holder's host
  never comes back. The rest of its grant then returns to the budget.

  Args:
    sizing: the figures of the budget.
    config: the limits.
    slack_tokens: the tokens that may be drawn until the next report.
  """
  grown = slack_tokens + ceiling_growth(sizing, config) * config.outage_s
  available = min(_available(sizing), sizing.limit)  # the headroom may be old
  most = available * config.outage_share * _own_share(sizing)
  return int(max(slack_tokens, min(grown, most)))


def ceiling_growth(sizing: SizingInput, config: settings.Allotment) -> float:
  """Returns a ceiling's growth without reports, tokens per second.

  While the draw is not measured, the ceiling grows so that half of the tokens
  to hold can be drawn during `horizon_s`. Near the end of a budget, a ceiling
  grows no faster than the draw, and that of an idle holder hardly at all: what
  they allow in vain is lost with the holder.
  """
  left = _left(sizing)
  rate = max(sizing.rate, sizing.limit * _MIN_CEILING_GROWTH * left)
  unmeasured = target(sizing, config) * left * (1 - sizing.measured)
  unmeasured_rate = unmeasured * _UNMEASURED_GROWTH / config.horizon_s
  return round(max(rate * growth_factor(left, config), unmeasured_rate), 1)


def growth_factor(left: float, config: settings.Allotment) -> float:
  """Returns a ceiling's growth as a multiple of the draw.

  Args:
    left: the available tokens as a fraction of the limit.
    config: the multiple for an unused budget.
  """
  return 1 + (config.ceiling_rate - 1) * left


def _available(sizing: SizingInput) -> int:
  """Returns the tokens that are neither used nor held by other routers."""
  headroom = sizing.limit if sizing.headroom is None else sizing.headroom
  return headroom + sizing.held


def _left(sizing: SizingInput) -> float:
  """Returns the available tokens as a fraction of the limit."""
  return min(1.0, _available(sizing) / max(sizing.limit, 1))


def _own_share(sizing: SizingInput) -> float:
  """Returns the fraction of a budget that this holder may use."""
  equal = 1.0 / max(sizing.holders, 1)
  drawn = sizing.rate + sizing.others_rate
  return max(equal, sizing.rate / drawn) if drawn else equal


def report_interval_s(
    config: settings.Allotment, routers: int, budgets: int = 0
) -> float:
  """Returns the time between two reports of a router, seconds.

  It grows with the number of routers that report. Each report updates the
  ledgers of all budgets drawn on by compare-and-swap. With as many writers at a
  fixed interval, most writes would conflict and be retried.

  Args:
    config: the interval of a small fleet.
    routers: the number of routers that are up.
    budgets: the number of budgets; mostly only their owners report. 0: unknown.
  """
  reporting = min(routers, budgets) if budgets else routers
  return config.report_s * max(1.0, reporting / members_lib.MAX_SMALL_FLEET)
