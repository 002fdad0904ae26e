"""The operators' configuration of a deployment, and look-ups in it.

One `Configuration` is one version, whole and immutable. Routers replace
it as a unit, so a request never sees half of a change.
"""

import datetime
import enum
from typing import NamedTuple


class Kind(enum.Enum):
  """What a route's requests are, and so what may be repeated."""

  IDEMPOTENT = enum.auto()
  """May run more than once."""
  ONCE = enum.auto()
  """Runs at most once per request."""
  STREAM = enum.auto()
  """Answered by events; runs once unless the route is resumable."""


class WeightedService(NamedTuple):
  """One service's part of a route's traffic."""

  service: str
  weight: float


class Route(NamedTuple):
  """Where requests for a host and path prefix go, and on what terms."""

  name: str
  authority: str
  prefix: str
  kind: Kind
  timeout: datetime.timedelta
  """Longest that a request may be kept waiting for its whole answer."""
  objective: datetime.timedelta
  """Time to the answer, or a stream's first event, that callers want."""
  priority: int
  """0 is the most urgent."""
  split: tuple[WeightedService, ...]
  max_attempts: int
  """Endpoints that one request may be sent to."""
  public: bool
  """Whether requests need no API key."""
  resumable: bool
  """Whether a broken stream may go on at another endpoint."""

  @property
  def repeatable(self) -> bool:
    """Whether a request that may have run may be sent again."""
    if self.kind is Kind.STREAM:
      return self.resumable
    return self.kind is Kind.IDEMPOTENT


class Engine(NamedTuple):
  """What the servers of a model service have in common."""

  slots: int
  memory_tokens: int
  tokens_per_event: int
  """Most generated tokens in one event of a stream."""


class Service(NamedTuple):
  """A set of like endpoints."""

  name: str
  max_connections: int
  """Connections that one endpoint takes from all routers together."""
  engine: Engine | None


class Team(NamedTuple):
  """Who draws on a prepaid budget, and with which API keys."""

  name: str
  api_keys: tuple[str, ...]
  priority: int | None
  """Goes before the route's priority when set."""
  prepaid: int | None
  """Tokens that may be used in all; None: no budget."""


class Limits(NamedTuple):
  """What callers may send, and how long they may take."""

  header_bytes: int
  body_bytes: int
  header_timeout: datetime.timedelta
  idle_timeout: datetime.timedelta


DEFAULT_LIMITS = Limits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_timeout=datetime.timedelta(seconds=3),
    idle_timeout=datetime.timedelta(seconds=15),
)
"""Used until a configuration is known."""


class Configuration:
  """One version of the configuration, indexed for look-ups.

  Args:
    version: rises with each change.
    routes: all routes.
    services: all services.
    teams: all teams.
    limits: what callers may send.
  """

  def __init__(
      self,
      version: int,
      routes: list[Route],
      services: list[Service],
      teams: list[Team],
      limits: Limits,
  ) -> None:
    self.version = version
    self.limits = limits
    self.services = {service.name: service for service in services}
    self.teams = {team.name: team for team in teams}
    self._by_key = {key: team for team in teams for key in team.api_keys}
    self._routes: dict[str, dict[str, Route]] = {}
    for route in routes:
      self._routes.setdefault(route.authority, {})[route.prefix] = route

  def match(self, authority: str, path: str) -> Route | None:
    """Returns the route with the longest prefix of `path`, if any.

    Prefixes begin and end with a slash, so only the path's own slashes
    are tried: the cost grows with the path's depth, not with the routes.
    """
    prefixes = self._routes.get(authority)
    if not prefixes:
      return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
      route = prefixes.get(path[: end + 1])
      if route is not None:
        return route
    return None

  def team_of(self, api_key: str) -> Team | None:
    """Returns the team that holds `api_key`, if any."""
    return self._by_key.get(api_key)
