"""Counts the final responses of each team's requests, from routers' logs.

Sums over all teams do not show a team that is hardly served. The report puts the
team that is served least beside all others, with the responses that it got, the
routers that gave them and how busy their hosts were.
"""

import collections
from collections.abc import Iterable
import dataclasses
import json
from typing import NamedTuple

_ENDED = "request ended"
_REFUSED = "request refused"
_FIRST_NON_SUCCESS = 300
_CALLER_LEFT = "caller_left"


class Response(NamedTuple):
  """The final response of a router to one attempt of a caller."""

  team: str
  """Empty: none was found, or the request was refused before."""
  router: str
  status: int
  """0: the caller left."""
  reason: str
  """The reason of a refusal, or the outcome."""
  lag_ms: float
  """Mean delay of the router's timers then."""


@dataclasses.dataclass
class TeamOutcomes:
  """The responses of one team."""

  team: str
  served: int = 0
  total: int = 0
  reasons: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Responses by status and reason."""
  routers: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Responses by router."""
  lags_ms: list[float] = dataclasses.field(default_factory=list)

  @property
  def served_share(self) -> float:
    """Served responses relative to all."""
    return self.served / self.total

  @property
  def median_lag_ms(self) -> float:
    """Median delay of timers at the routers that responded."""
    return sorted(self.lags_ms)[len(self.lags_ms) // 2]

  def add(self, response: Response) -> None:
    """Counts a response."""
    is_served = 0 < response.status < _FIRST_NON_SUCCESS
    self.total += 1
    self.served += is_served and response.reason != _CALLER_LEFT
    self.reasons[f"{response.status} {response.reason}"] += 1
    self.routers[response.router] += 1
    self.lags_ms.append(response.lag_ms)


def read_responses(router: str, lines: Iterable[str]) -> Iterable[Response]:
  """Yields the responses in a router's log; skips all other lines.

  Args:
    router: the router's name, for lines that do not begin with one.
    lines: the lines, each with any prefix before its JSON object. The last word
      of the prefix names the router.
  """
  for line in lines:
    prefix, brace, rest = line.partition("{")
    if not brace or _ENDED not in rest and _REFUSED not in rest:
      continue
    try:
      fields = json.loads(brace + rest)
      if fields["message"] not in (_ENDED, _REFUSED):
        continue
      reason = fields["reason" if "reason" in fields else "outcome"]
      yield Response(
          str(fields["team"]),
          (prefix.split() or [router])[-1],
          int(fields["status"]),
          str(reason),
          float(fields.get("lag_ms", 0.0)),
      )
    except (KeyError, TypeError, ValueError):
      continue


def count(responses: Iterable[Response]) -> list[TeamOutcomes]:
  """Returns the outcomes of each team, that served least first."""
  teams: dict[str, TeamOutcomes] = {}
  for response in responses:
    teams.setdefault(response.team, TeamOutcomes(response.team)).add(response)
  return sorted(teams.values(), key=lambda team: team.served_share)


def to_table(teams: list[TeamOutcomes], reasons: int = 4) -> str:
  """Formats the outcomes, with so many of each team's most frequent ones."""
  rows = ["served  total  routers  lag_ms  team  responses"]
  for team in teams:
    most = ", ".join(f"{n} {r}" for r, n in team.reasons.most_common(reasons))
    rows.append(
        f"{team.served_share:6.3f} {team.total:6d} {len(team.routers):8d}"
        f" {team.median_lag_ms:7.0f}  {team.team or '-'}  {most}"
    )
  return "\n".join(rows)
