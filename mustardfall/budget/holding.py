"""How much of a budget a router holds: a pure function of what it knows.

What a router holds bridges an outage of the store. It takes what is known
and returns what to do, so that the same function runs in the router, in the
experiments and in tests.
"""

from typing import NamedTuple

from mustardfall import settings

_LOSS_WEIGHT = 6.0
"""How strongly a loss makes holders careful: one loss of a usual store, some
a tenth of a budget, brings the next to two fifths of its size."""
_LEAST_SCALE = 0.1
"""Holders never go below this: the largest requests take a tenth of a
small budget, and a grant for each would cost a write a request."""


class View(NamedTuple):
  """What a holder knows of one budget when it decides how much to hold."""

  limit: int
  """Tokens of the budget in all."""
  want: int
  """Tokens that the draw here asks for."""
  held: int
  """Tokens here that are not used for certain."""
  free: int | None
  """Tokens neither used nor held by anybody, as last seen; None: never."""
  lost: int
  """Tokens written off, as last seen."""


def ask(view: View, config: settings.Allotment) -> int:
  """Returns how many more tokens to ask for; 0 or less: none.

  Of a budget that runs out a router holds a share only, so that a death
  near the end does not take all that is left.
  """
  scale = _LEAST_SCALE if view.free is None else _scale(view)
  least = int(view.limit * config.least_share * scale)
  want = max(view.want, least)
  if view.free is not None:
    left = view.free + view.held
    want = min(want, int(left * config.headroom_share * scale))
  return want - view.held


def _scale(view: View) -> float:
  """Returns what part of the usual store of tokens to hold, 0.1 to 1.

  Where routers have died with a part of a budget they may die again, and
  each death takes what is held: three losses of all routers in a day left
  a budget with nothing, and every request after the third was refused.
  """
  lost = view.lost / max(view.limit, 1)
  return max(_LEAST_SCALE, 1.0 - _LOSS_WEIGHT * lost)
