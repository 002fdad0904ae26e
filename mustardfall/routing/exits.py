"""Chooses the routers through which endpoints are reached.

An exit is a router that reaches a kind of endpoints and opens tunnels to them.
"""

from collections.abc import Iterable
import random
from typing import NamedTuple

MAX_AGE_S = 3.0
"""Age from which an exit's answer is no longer relied on."""
_NEARBY_WEIGHT = 4.0
"""Weight of an exit in the data centre of the router or of the endpoint. Through
any other, the bytes pass between data centres once more."""


class Exit(NamedTuple):
  """A router that has said that it reaches a kind of endpoints."""

  life: str
  datacentre: str
  busy: int
  """Its requests in flight and open tunnels, as last heard."""
  age_s: float
  """Seconds since it was last heard from."""


def order(
    exits: Iterable[Exit], nearby: frozenset[str], rng: random.Random
) -> list[Exit]:
  """Returns the exits in the order in which to try them.

  They are drawn at random, the less busy ones more often, so that routers that
  know the same exits do not all choose the same one.

  Args:
    exits: the known exits.
    nearby: the data centres of the router and of the endpoint.
    rng: draws.
  """
  keyed = [
      (rng.expovariate(_weight(exit_, nearby)), number, exit_)
      for number, exit_ in enumerate(exits)
      if exit_.age_s <= MAX_AGE_S
  ]
  return [exit_ for _, _, exit_ in sorted(keyed)]


def _weight(exit_: Exit, nearby: frozenset[str]) -> float:
  weight = 1 / (1 + exit_.busy)
  return weight * (_NEARBY_WEIGHT if exit_.datacentre in nearby else 1.0)
