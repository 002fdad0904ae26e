"""The requests of a day: teams, sizes and the hosts that callers come to."""

import math
import random
from typing import NamedTuple

from mustardfall.bench.virtual import days

_SUMMARY_SHARE = 0.6
"""Of the generations, the part that reads long prompts."""
_SUMMARY_TOKENS = (6_300, 2_890, 39_600)
"""Shared and own tokens of a long prompt in the mean, and the most own."""
_QUERY_TOKENS = (198, 628, 3_310)
_OUTPUT_TOKENS = {True: 50, False: 290}
"""Generated tokens in the mean, of summaries and queries."""
_RUN_S = {True: 0.6, False: 1.0}
"""How long a request takes in the mean, with its stream."""
_SPREAD = 0.8
"""Of a prompt's own length (sigma of a log-normal)."""
_PATIENCE_S = {True: 5.0, False: 15.0}
_CALLERS = 33
"""Callers, each of which comes through one host at a time."""


class Request(NamedTuple):
  """A request as its caller sends it first."""

  at_s: float
  team: str
  host: str
  tokens: int
  """The most that it can use."""
  used: int
  run_s: float
  patience_s: float


class Plan(NamedTuple):
  """A day's requests in order, and the budgets' limits."""

  requests: list[Request]
  limits: dict[str, int]
  ranked: list[str]
  """Teams, the largest first."""


def plan(day: days.Day, seed: int) -> Plan:
  """Draws the requests of a day."""
  rng = random.Random(f"traffic {seed}")
  teams = [f"team-{number}" for number in range(len(day.shares))]
  steady = set(rng.sample(teams, day.steady))
  home = {team: rng.choice(day.hosts) for team in steady}
  callers = [rng.choice(day.hosts) for _ in range(_CALLERS)]
  hot = [event for event in day.events if isinstance(event, days.Hot)]
  requests, usual = [], dict.fromkeys(teams, 0)
  count = int(day.traffic_s * day.requests_s)
  for _ in range(count):
    team = rng.choices(teams, day.shares)[0]
    host = home.get(team) or rng.choice(callers)
    request = _request(rng, rng.uniform(0.0, day.traffic_s), team, host)
    usual[team] += request.tokens
    requests.append(request)
    for event in hot:
      if team == teams[event.rank - 1] and _within(request.at_s, event):
        requests += _more(rng, request, event)
  paid = day.spare * day.paid_s / day.traffic_s
  limits = {team: int(tokens * paid) for team, tokens in usual.items()}
  requests.sort()
  return Plan(requests, limits, teams)


def _within(at_s: float, event: days.Hot) -> bool:
  return event.at_s <= at_s < event.at_s + event.for_s


def _more(
    rng: random.Random, request: Request, event: days.Hot
) -> list[Request]:
  """Returns what a hot team sends beside one of its usual requests."""
  count = int(event.x - 1 + rng.random())
  times = [event.at_s + rng.uniform(0.0, event.for_s) for _ in range(count)]
  return [_request(rng, at_s, request.team, request.host) for at_s in times]


def _request(rng: random.Random, at_s: float, team: str, host: str) -> Request:
  summary = rng.random() < _SUMMARY_SHARE
  shared, own, most = _SUMMARY_TOKENS if summary else _QUERY_TOKENS
  mean = math.log(own) - _SPREAD**2 / 2
  prompt = shared + min(most, int(rng.lognormvariate(mean, _SPREAD)))
  output = max(1, int(rng.expovariate(1 / _OUTPUT_TOKENS[summary])))
  return Request(
      at_s=at_s,
      team=team,
      host=host,
      tokens=prompt + 2 * output,
      used=prompt + output,
      run_s=rng.uniform(0.3, 1.7) * _RUN_S[summary],
      patience_s=_PATIENCE_S[summary],
  )
