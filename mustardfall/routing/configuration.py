"""The operators' configuration of a deployment, and look-ups in it.

A `Configuration` is one complete, immutable version. Routers replace it as a
unit, so that no request sees a partly applied change.
"""

import datetime
import enum
import hashlib
from typing import NamedTuple


class Kind(enum.Enum):
  """The semantics of a route's requests, which decide what may be retried."""

  IDEMPOTENT = enum.auto()
  """May run more than once."""
  ONCE = enum.auto()
  """Runs at most once per request."""
  STREAM = enum.auto()
  """Answered by a stream of events; runs once unless the route is resumable."""


class WeightedService(NamedTuple):
  """One service's share of a route's traffic."""

  service: str
  weight: float


class Route(NamedTuple):
  """Where and how requests for an authority and path prefix are sent."""

  name: str
  authority: str
  prefix: str
  kind: Kind
  timeout: datetime.timedelta
  """Longest time until the complete answer."""
  objective: datetime.timedelta
  """Target for the time to the answer, or to the first event of a stream."""
  priority: int
  """0 is the most urgent."""
  split: tuple[WeightedService, ...]
  max_attempts: int
  """Most endpoints that one request may be sent to."""
  public: bool
  """Whether requests are accepted without an API key."""
  resumable: bool
  """Whether a broken stream may be resumed at another endpoint."""

  @property
  def repeatable(self) -> bool:
    """Whether a request that may already have run may be sent again."""
    if self.kind is Kind.STREAM:
      return self.resumable
    return self.kind is Kind.IDEMPOTENT


class Engine(NamedTuple):
  """Properties common to the servers of a model service."""

  slots: int
  """Requests that one server runs at the same time."""
  memory_tokens: int
  """Tokens that fit into the server's KV cache."""
  tokens_per_event: int
  """Most generated tokens per event of a stream."""


class Service(NamedTuple):
  """A set of interchangeable endpoints."""

  name: str
  max_connections: int
  """Connections that one endpoint accepts from all routers together."""
  engine: Engine | None
  cold_start: datetime.timedelta = datetime.timedelta()
  """How long an endpoint is cold after its start."""
  cold_rate: float = 0.0
  """Requests per second that a cold endpoint bears; 0: as many as others."""


class Team(NamedTuple):
  """A team with its API keys and its prepaid budget."""

  name: str
  api_keys: tuple[str, ...]
  priority: int | None
  """Overrides the route's priority if set."""
  prepaid: int | None
  """Tokens that the team may use in total; None: it has no budget."""


class TeamChange(NamedTuple):
  """What a version of the configuration changes for a team's requests."""

  team: str
  keys: int
  """API keys that the team has now; 0: none of its requests is accepted."""
  added: list[str]
  """Digests of some of the keys that were added."""
  removed: list[str]
  """Digests of some of the keys that were removed."""
  priority: int | None


class Limits(NamedTuple):
  """Limits on the size and duration of callers' requests."""

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
"""In force until the first configuration has been read."""


_MAX_LOGGED_KEYS = 4


def key_digest(api_key: str) -> str:
  """Returns a short hash that names an API key in logs."""
  return hashlib.blake2b(api_key.encode(), digest_size=4).hexdigest()


class Configuration:
  """One version of the configuration, indexed for look-ups.

  Args:
    version: increases with each change.
    routes: all routes.
    services: all services.
    teams: all teams.
    limits: the limits on callers' requests.
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
    """Returns the route with the longest matching prefix, if any.

    Prefixes begin and end with a slash, so only the parts of `path` up to a
    slash are looked up: the cost depends on the path's depth and not on the
    number of routes.
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

  def routes_to(self, service: str) -> list[Route]:
    """Returns the routes whose requests may go to a service."""
    return [
        route
        for prefixes in self._routes.values()
        for route in prefixes.values()
        if any(share.service == service for share in route.split)
    ]

  def team_of(self, api_key: str) -> Team | None:
    """Returns the team that `api_key` belongs to, if any."""
    return self._by_key.get(api_key)


def team_changes(old: Configuration, new: Configuration) -> list[TeamChange]:
  """Returns the teams whose API keys or priority a version changes."""
  changes = []
  for name in sorted(old.teams.keys() | new.teams.keys()):
    before, after = old.teams.get(name), new.teams.get(name)
    old_keys = set(before.api_keys) if before else set()
    new_keys = set(after.api_keys) if after else set()
    priority = after.priority if after else None
    was_priority = before.priority if before else None
    if old_keys == new_keys and priority == was_priority:
      continue
    changes.append(
        TeamChange(
            name,
            len(new_keys),
            _digests(new_keys - old_keys),
            _digests(old_keys - new_keys),
            priority,
        )
    )
  return changes


def _digests(api_keys: set[str]) -> list[str]:
  return sorted(map(key_digest, api_keys))[:_MAX_LOGGED_KEYS]
