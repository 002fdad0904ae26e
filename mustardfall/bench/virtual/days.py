"""Days: who draws how much on which budget, and what fails when.

`draw` makes one from a seed, of the kinds that the users' deployments have:
many hosts or all lose the store twice, for some eight seconds, while they
still reach each other, and on most days all lose power or are killed near the
end.
"""

import pathlib
import random
from typing import Annotated, Literal

import pydantic
import yaml

_REQUESTS_S = 29.0
"""Generations a second: 17.1 summaries and 11.6 queries."""
_TRAFFIC_S = 52.0
"""Traffic goes on through the recovery."""
_SPARE = 1.3
_PAID_S = 34.0
"""Budgets are so many times what is usually asked of them in this time."""
_SHARES = (19, 17, 11, 9, 6, 5.5, 5, 3.5, 3, 3)
"""Weights of the teams, a few of them large."""
_STEADY = 3
"""Teams all of whose callers come through one host."""
_HOSTS = tuple(f"host-{number}" for number in range(8))


class _Base(pydantic.BaseModel):
  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
  at_s: float
  for_s: float = 0.0


class _Some(_Base):
  """Befalls some hosts, drawn anew unless they are named."""

  share: float = 1.0
  hosts: tuple[str, ...] = ()


class Cut(_Some):
  """Hosts lose their way to the store, and maybe to each other."""

  kind: Literal["cut"] = "cut"
  peers: bool = False


class Refused(_Some):
  """The store turns some hosts away and serves the others."""

  kind: Literal["refused"] = "refused"


class Outage(_Base):
  """The store is silent, turns all away, is slow or loses answers."""

  kind: Literal["outage"] = "outage"
  how: Literal["silent", "busy", "slow", "lost"]
  x: float = 1.0
  """Times as slow, or the share of answers lost."""
  late_s: float = 0.0
  """Lost writes are done so much later, at most."""


class Kill(_Some):
  """Routers die and start again after `for_s`."""

  kind: Literal["kill"] = "kill"
  power: bool = False


class Roll(_Some):
  """Routers stop in good order and start again, one after the other."""

  kind: Literal["roll"] = "roll"
  gap_s: float = 2.0


class Hot(_Base):
  """One team sends `x` times its usual; `rank` 1 is the largest."""

  kind: Literal["hot"] = "hot"
  rank: int
  x: float


class TopUp(_Base):
  """A budget's limit is raised to `x` times of what it was."""

  kind: Literal["top up"] = "top up"
  rank: int
  x: float = 1.25


Event = Annotated[
    Cut | Refused | Outage | Kill | Roll | Hot | TopUp,
    pydantic.Field(discriminator="kind"),
]


class Day(pydantic.BaseModel):
  """One day; its requests are drawn from the seed with which it is played."""

  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
  name: str
  hosts: tuple[str, ...] = _HOSTS
  traffic_s: float = _TRAFFIC_S
  requests_s: float = _REQUESTS_S
  spare: float = _SPARE
  paid_s: float = _PAID_S
  shares: tuple[float, ...] = _SHARES
  steady: int = _STEADY
  events: list[Event] = []


def load(path: pathlib.Path) -> list[Day]:
  """Reads days from a YAML file.

  Raises:
    pydantic.ValidationError: a day makes no sense.
  """
  return [Day.model_validate(raw) for raw in yaml.safe_load(path.read_text())]


def draw(seed: int) -> Day:
  """Returns a day with the troubles that the seed draws."""
  rng = random.Random(f"day {seed}")
  events: list[Event] = [
      _cut(rng, rng.uniform(1.0, 8.0)),
      _cut(rng, rng.uniform(22.0, 26.0)),
      TopUp(at_s=16.0, rank=rng.randint(1, 10)),
      TopUp(at_s=21.0, rank=rng.randint(1, 10)),
      Hot(at_s=16.0, for_s=6.0, rank=rng.randint(1, 4), x=rng.uniform(2, 3)),
  ]
  for make in rng.sample(_TROUBLES, rng.randint(1, 3)):
    events.append(make(rng, rng.uniform(0.5, 30.0)))
  if rng.random() < 0.85:
    power = rng.random() < 0.5
    down_s = rng.uniform(0.5, 1.6)
    events.append(Kill(at_s=34.0, for_s=down_s, power=power))
  events.sort(key=lambda event: event.at_s)
  return Day(name=f"seed {seed}", events=events)


def _cut(rng: random.Random, at_s: float) -> Cut:
  share = rng.choice((0.35, 0.75, 1.0, 1.0))
  return Cut(at_s=at_s, for_s=rng.uniform(7.0, 9.0), share=share)


def _refused(rng: random.Random, at_s: float) -> Refused:
  return Refused(at_s=at_s, for_s=rng.uniform(8.0, 9.0), share=0.35)


def _apart(rng: random.Random, at_s: float) -> Cut:
  """Hosts that reach neither the store nor each other."""
  for_s = rng.uniform(4.0, 5.5)
  return Cut(at_s=at_s, for_s=for_s, share=0.25, peers=True)


def _outage(rng: random.Random, at_s: float) -> Outage:
  how, x, late_s = rng.choice(
      (
          ("silent", 1.0, 0.0),
          ("busy", 1.0, 0.0),
          ("slow", 50.0, 0.0),
          ("lost", 0.3, 0.0),
          ("lost", 0.3, 6.0),
      )
  )
  for_s = rng.uniform(3.0, 5.0)
  return Outage(at_s=at_s, for_s=for_s, how=how, x=x, late_s=late_s)


def _kill(rng: random.Random, at_s: float) -> Kill:
  share = rng.choice((0.125, 0.125, 0.55, 1.0))
  power = rng.random() < 0.5
  return Kill(at_s=at_s, for_s=rng.uniform(2.0, 3.5), share=share, power=power)


def _roll(rng: random.Random, at_s: float) -> Roll:
  gap_s = rng.uniform(1.0, 2.0)
  return Roll(at_s=min(at_s, 18.0), for_s=2.6, share=1.0, gap_s=gap_s)


_TROUBLES = (_refused, _apart, _outage, _outage, _kill, _kill, _roll)
