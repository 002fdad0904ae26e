"""Generates the requests of a simulated day: time, team, size and host."""

import math
import random
from typing import NamedTuple

from mustardfall.bench.virtual import days

_PROMPT_LENGTH_SIGMA = 0.8
"""Sigma of the log-normal distribution of a prompt's own tokens."""


class Request(NamedTuple):
  """The first attempt of a request."""

  at_s: float
  team: str
  host: str
  max_tokens: int
  """Maximum number of tokens it can use, which is reserved for it."""
  used_tokens: int
  duration_s: float
  timeout_s: float


class Plan(NamedTuple):
  """A day's requests in order of time, and the budgets' limits."""

  requests: list[Request]
  limits: dict[str, int]
  teams_by_size: list[str]
  """Teams, the largest first."""


def plan(day: days.Day, seed: int) -> Plan:
  """Generates the requests of a day at random from `seed`."""
  rng = random.Random(f"traffic {seed}")
  teams = [f"team-{number}" for number in range(len(day.shares))]
  single_host_teams = set(rng.sample(teams, day.steady))
  single_host = {team: rng.choice(day.hosts) for team in single_host_teams}
  callers = [rng.choice(day.hosts) for _ in range(day.callers)]
  bursts = [
      event for event in day.events if isinstance(event, days.TrafficBurst)
  ]
  requests, baseline_tokens = [], dict.fromkeys(teams, 0)
  count = int(day.traffic_s * day.requests_s)
  for _ in range(count):
    team = rng.choices(teams, day.shares)[0]
    host = single_host.get(team) or rng.choice(callers)
    at_s = rng.uniform(0.0, day.traffic_s)
    request = _draw_request(rng, at_s, team, host, day.classes)
    baseline_tokens[team] += request.max_tokens
    requests.append(request)
    for event in bursts:
      if team == teams[event.rank - 1] and _is_active(request.at_s, event):
        requests += _burst_requests(rng, request, event, day.classes)
  # Tokens that a limit pays for, per token of the usual traffic of the day.
  paid = day.spare * day.paid_s / day.traffic_s
  limits = {
      team: int(tokens * paid) for team, tokens in baseline_tokens.items()
  }
  requests = _skew(day, seed, requests)
  requests.sort()
  return Plan(requests, limits, teams)


def _skew(day: days.Day, seed: int, requests: list[Request]) -> list[Request]:
  """Returns the requests at the hosts to which the load balancer sends them."""
  rng = random.Random(f"skew {seed}")
  for event in day.events:
    if isinstance(event, days.ConnectionSkew):
      host = event.hosts[0] if event.hosts else rng.choice(day.hosts)
      requests = [
          request._replace(host=host)
          if _is_active(request.at_s, event) and rng.random() < event.share
          else request
          for request in requests
      ]
  return requests


def _is_active(
    at_s: float, event: days.TrafficBurst | days.ConnectionSkew
) -> bool:
  return event.at_s <= at_s < event.at_s + event.for_s


def _burst_requests(
    rng: random.Random,
    request: Request,
    event: days.TrafficBurst,
    classes: tuple[days.RequestClass, ...],
) -> list[Request]:
  """Returns the extra requests that a burst adds for one usual request."""
  count = int(event.x - 1 + rng.random())
  times = [event.at_s + rng.uniform(0.0, event.for_s) for _ in range(count)]
  return [
      _draw_request(rng, at_s, request.team, request.host, classes)
      for at_s in times
  ]


def _draw_request(
    rng: random.Random,
    at_s: float,
    team: str,
    host: str,
    classes: tuple[days.RequestClass, ...],
) -> Request:
  class_ = _draw_class(rng, classes)
  mu = math.log(class_.own_tokens) - _PROMPT_LENGTH_SIGMA**2 / 2
  own = min(
      class_.max_own_tokens, int(rng.lognormvariate(mu, _PROMPT_LENGTH_SIGMA))
  )
  prompt = class_.shared_tokens + own
  output = max(1, int(rng.expovariate(1 / class_.output_tokens)))
  return Request(
      at_s=at_s,
      team=team,
      host=host,
      max_tokens=prompt + 2 * output,
      used_tokens=prompt + output,
      duration_s=rng.uniform(0.3, 1.7) * class_.duration_s,
      timeout_s=class_.timeout_s,
  )


def _draw_class(
    rng: random.Random, classes: tuple[days.RequestClass, ...]
) -> days.RequestClass:
  drawn = rng.random()
  for class_ in classes:
    drawn -= class_.share
    if drawn < 0:
      return class_
  return classes[-1]
