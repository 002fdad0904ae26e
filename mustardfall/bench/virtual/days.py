"""Simulated days: the traffic on each budget and the schedule of faults.

`draw` generates a day from a seed, with the faults of the users' deployments.
Twice a day, many or all hosts cannot reach the store for about eight seconds,
while they still reach each other. On most days all hosts lose power or all
routers are killed near the end.
"""

import pathlib
import random
from typing import Annotated, Literal

import pydantic
import yaml

_REQUESTS_PER_S = 29.0
"""Requests per second: 17.1 summaries and 11.6 queries."""
_TRAFFIC_DURATION_S = 52.0
"""Duration of the traffic; it continues while the fleet recovers."""
_BUDGET_FACTOR = 1.3
_BUDGET_WINDOW_S = 34.0
"""A budget's limit is `_BUDGET_FACTOR` times the tokens that its team usually
requests in this time."""
_TEAM_WEIGHTS = (19, 17, 11, 9, 6, 5.5, 5, 3.5, 3, 3)
"""Relative traffic of the teams, a few of which are large."""
_CALLERS = 33
"""Number of callers; each uses one host."""
_SINGLE_HOST_TEAMS = 3
"""Number of teams whose callers all use the same host."""
_HOSTS = tuple(f"host-{number}" for number in range(8))


class _BaseEvent(pydantic.BaseModel):
  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
  at_s: float
  for_s: float = 0.0


class _HostEvent(_BaseEvent):
  """An event on a share of the hosts, drawn at random unless they are named."""

  share: float = 1.0
  hosts: tuple[str, ...] = ()


class Partition(_HostEvent):
  """Hosts cannot reach the store and, with `peers`, any other host."""

  kind: Literal["cut"] = "cut"
  peers: bool = False


class StoreRefusal(_HostEvent):
  """The store refuses the calls of some hosts and serves the others."""

  kind: Literal["refused"] = "refused"


class StoreOutage(_BaseEvent):
  """The store is unresponsive, refuses all calls, is slow or loses replies."""

  kind: Literal["outage"] = "outage"
  how: Literal["silent", "busy", "slow", "lost"]
  x: float = 1.0
  """For "slow" the factor on latency, for "lost" the share of replies lost."""
  late_s: float = 0.0
  """Maximum delay after which a write whose reply is lost is applied."""


class Kill(_HostEvent):
  """Routers are killed, and started again after `for_s`.

  With `power`, their hosts lose power.
  """

  kind: Literal["kill"] = "kill"
  power: bool = False


class RollingRestart(_HostEvent):
  """Routers shut down gracefully and start again, one after the other."""

  kind: Literal["roll"] = "roll"
  gap_s: float = 2.0
  overlap: bool = False
  """Whether the next router stops `gap_s` after this one has begun to, instead
  of after its restart."""


class TrafficBurst(_BaseEvent):
  """One team sends `x` times its usual traffic; `rank` 1 is the largest."""

  kind: Literal["hot"] = "hot"
  rank: int
  x: float


class ConnectionSkew(_HostEvent):
  """The load balancer sends most new connections to the first of `hosts`.

  While that one is not up, they go to any other; `share` is that of the
  requests.
  """

  kind: Literal["skew"] = "skew"


class LimitIncrease(_BaseEvent):
  """The limit of a team's budget is multiplied by `x`."""

  kind: Literal["top up"] = "top up"
  rank: int
  x: float = 1.25


Event = Annotated[
    Partition
    | StoreRefusal
    | StoreOutage
    | Kill
    | RollingRestart
    | TrafficBurst
    | ConnectionSkew
    | LimitIncrease,
    pydantic.Field(discriminator="kind"),
]


class RequestClass(pydantic.BaseModel):
  """One kind of request; sizes are tokens."""

  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
  share: float
  """Share of all requests."""
  shared_tokens: int
  own_tokens: int
  """Mean of the prompt's own tokens."""
  max_own_tokens: int
  output_tokens: int
  """Mean of the generated tokens."""
  duration_s: float
  """Mean duration until the end of its stream."""
  timeout_s: float
  """Time that its caller waits."""


_CLASSES = (
    RequestClass(
        share=0.6,
        shared_tokens=6_300,
        own_tokens=2_890,
        max_own_tokens=39_600,
        output_tokens=50,
        duration_s=0.6,
        timeout_s=5.0,
    ),
    RequestClass(
        share=0.4,
        shared_tokens=198,
        own_tokens=628,
        max_own_tokens=3_310,
        output_tokens=290,
        duration_s=1.0,
        timeout_s=15.0,
    ),
)
"""Summaries, which have long prompts, and queries."""


class Day(pydantic.BaseModel):
  """One simulated day; the simulation's seed determines its requests."""

  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
  name: str
  hosts: tuple[str, ...] = _HOSTS
  traffic_s: float = _TRAFFIC_DURATION_S
  requests_s: float = _REQUESTS_PER_S
  spare: float = _BUDGET_FACTOR
  paid_s: float = _BUDGET_WINDOW_S
  shares: tuple[float, ...] = _TEAM_WEIGHTS
  steady: int = _SINGLE_HOST_TEAMS
  callers: int = _CALLERS
  classes: tuple[RequestClass, ...] = _CLASSES
  events: list[Event] = []


def load(path: pathlib.Path) -> list[Day]:
  """Reads days from a YAML file.

  Raises:
    pydantic.ValidationError: a day does not match the schema.
  """
  return [Day.model_validate(raw) for raw in yaml.safe_load(path.read_text())]


def draw(seed: int) -> Day:
  """Returns a day whose faults are drawn at random from `seed`."""
  rng = random.Random(f"day {seed}")
  events: list[Event] = [
      _partition(rng, rng.uniform(1.0, 8.0)),
      _partition(rng, rng.uniform(22.0, 26.0)),
      LimitIncrease(at_s=16.0, rank=rng.randint(1, 10)),
      LimitIncrease(at_s=21.0, rank=rng.randint(1, 10)),
      TrafficBurst(
          at_s=16.0, for_s=6.0, rank=rng.randint(1, 4), x=rng.uniform(2, 3)
      ),
  ]
  for make_event in rng.sample(_FAULT_FACTORIES, rng.randint(1, 3)):
    events.append(make_event(rng, rng.uniform(0.5, 30.0)))
  if rng.random() < 0.85:
    power = rng.random() < 0.5
    down_s = rng.uniform(0.5, 1.6)
    events.append(Kill(at_s=34.0, for_s=down_s, power=power))
  events.sort(key=lambda event: event.at_s)
  return Day(name=f"seed {seed}", events=events)


def _partition(rng: random.Random, at_s: float) -> Partition:
  share = rng.choice((0.35, 0.75, 1.0, 1.0))
  return Partition(at_s=at_s, for_s=rng.uniform(7.0, 9.0), share=share)


def _store_refusal(rng: random.Random, at_s: float) -> StoreRefusal:
  return StoreRefusal(at_s=at_s, for_s=rng.uniform(8.0, 9.0), share=0.35)


def _isolation(rng: random.Random, at_s: float) -> Partition:
  """Isolates hosts from the store and from each other."""
  for_s = rng.uniform(4.0, 5.5)
  return Partition(at_s=at_s, for_s=for_s, share=0.25, peers=True)


def _store_outage(rng: random.Random, at_s: float) -> StoreOutage:
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
  return StoreOutage(at_s=at_s, for_s=for_s, how=how, x=x, late_s=late_s)


def _kill(rng: random.Random, at_s: float) -> Kill:
  share = rng.choice((0.125, 0.125, 0.55, 1.0))
  power = rng.random() < 0.5
  return Kill(at_s=at_s, for_s=rng.uniform(2.0, 3.5), share=share, power=power)


def _rolling_restart(rng: random.Random, at_s: float) -> RollingRestart:
  gap_s = rng.uniform(1.0, 2.0)
  return RollingRestart(at_s=min(at_s, 18.0), for_s=2.6, share=1.0, gap_s=gap_s)


_FAULT_FACTORIES = (
    _store_refusal,
    _isolation,
    _store_outage,
    _store_outage,
    _kill,
    _kill,
    _rolling_restart,
)
