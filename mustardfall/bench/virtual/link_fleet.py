"""Callers mapped to hosts with links of a limited rate, in steps of virtual time.

Each router runs the product's `routing.link_relief`. Teams are of very different
size, and the largest have a single caller, which a load balancer maps to one host
as long as that is ready. Connections are kept for further requests. What is not
answered in time is sent once more, and is mapped in the same way.
"""

import collections
import dataclasses
import random
from typing import Any, NamedTuple

from mustardfall.routing import link_relief

_STEP_S = 0.1
_CHECK_INTERVAL_S = 1.0
_FAILED_CHECKS = 2
_RATE_WEIGHT = 0.5
_QUEUE_S = 1.0
"""Longest queue of a link; what arrives later is dropped."""
_PASSES = 4
"""How often a request or its response waits for the link of its host."""
_RETRY_S = 1.5
_MAX_CALLERS = 50
"""Callers of a team that has more than one."""


class Day(NamedTuple):
  """A fleet and its load."""

  hosts: int = 78
  large_hosts: int = 6
  teams: int = 24
  per_s: float = 200.0
  """Requests a second of all teams together."""
  skew: float = 1.1
  """Exponent of the teams' sizes: the n-th sends in proportion to n to the power
  of minus this."""
  single_callers: int = 6
  """So many of the largest teams have one caller; the others have tens."""
  request_bytes: float = 9_000.0
  link_bytes_per_s: float = 625_000.0
  large_factor: float = 10.0
  """Rate of a large host's link, relative to the others'."""
  new_share: float = 0.2
  """Part of the requests that open a connection."""
  deadline_s: float = 4.0
  seconds: float = 40.0
  relieves: bool = True


@dataclasses.dataclass
class _Host:
  """A host, its link and its router."""

  number: int
  bytes_per_s: float
  queue_bytes: float = 0.0
  utilisation: float = 0.0
  failed_checks: int = 0
  is_out: bool = False
  state: link_relief.State = link_relief.State()

  @property
  def wait_s(self) -> float:
    """How long bytes wait for the link."""
    return self.queue_bytes / self.bytes_per_s


@dataclasses.dataclass
class _Caller:
  """A caller with its open connections."""

  team: int
  number: int
  connections: collections.Counter[int] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Open connections by host."""


class _Fleet:
  """All hosts and callers of a day."""

  def __init__(self, day: Day, seed: int) -> None:
    self.day = day
    self.rng = random.Random(seed)
    self.hosts = [
        _Host(
            number,
            day.link_bytes_per_s
            * (day.large_factor if number < day.large_hosts else 1.0),
        )
        for number in range(day.hosts)
    ]
    self.orders: dict[int, list[int]] = {}
    self.callers: dict[int, list[_Caller]] = {}
    for team in range(day.teams):
      count = 1 if team < day.single_callers else _MAX_CALLERS
      self.callers[team] = [_Caller(team, n) for n in range(count)]
    sizes = [(n + 1) ** -day.skew for n in range(day.teams)]
    self.rates = [day.per_s * size / sum(sizes) for size in sizes]
    self.asked: collections.Counter[int] = collections.Counter()
    self.served: collections.Counter[int] = collections.Counter()
    self.retries: list[tuple[float, _Caller]] = []

  def host_of(self, caller: _Caller) -> _Host:
    """Returns the host to which a caller's new connections go now."""
    key = caller.team * 1_000 + caller.number
    order = self.orders.get(key)
    if order is None:
      order = list(range(len(self.hosts)))
      random.Random(key).shuffle(order)
      self.orders[key] = order
    for number in order:
      if not self.hosts[number].is_out:
        return self.hosts[number]
    return self.hosts[order[0]]

  def send(self, caller: _Caller, now: float, is_retry: bool) -> None:
    """Sends a request; sends it again later if it is not answered in time."""
    if not is_retry:
      self.asked[caller.team] += 1
    open_ = caller.connections.total()
    is_new = is_retry or not open_ or self.rng.random() < self.day.new_share
    if is_new:
      host = self.host_of(caller)
      caller.connections[host.number] += 1
      if open_ > 30:  # noqa: PLR2004  a caller keeps some tens of connections
        self._close(caller, self._draw_host(caller))
    else:
      host = self.hosts[self._draw_host(caller)]
    is_lost = host.wait_s >= _QUEUE_S
    if not is_lost:
      host.queue_bytes += self.day.request_bytes
    if not is_lost and _PASSES * host.wait_s < self.day.deadline_s:
      self.served[caller.team] += 1
    elif not is_retry:
      self.retries.append((now + _RETRY_S, caller))

  def _draw_host(self, caller: _Caller) -> int:
    numbers = list(caller.connections)
    counts = list(caller.connections.values())
    return self.rng.choices(numbers, counts)[0]

  def _close(self, caller: _Caller, number: int) -> None:
    caller.connections[number] -= 1
    if caller.connections[number] <= 0:
      del caller.connections[number]

  def step(self, now: float) -> None:
    """Sends the requests of a step and lets routers and balancer decide."""
    due = [caller for at, caller in self.retries if at <= now]
    self.retries = [retry for retry in self.retries if retry[0] > now]
    for caller in due:
      self.send(caller, now, is_retry=True)
    for team, rate in enumerate(self.rates):
      count = int(rate * _STEP_S + self.rng.random())
      for _ in range(count):
        self.send(self.rng.choice(self.callers[team]), now, is_retry=False)
    is_check = round(now / _STEP_S) % round(_CHECK_INTERVAL_S / _STEP_S) == 0
    for host in self.hosts:
      self._update(host, now, is_check)

  def _move(self, host: _Host) -> None:
    """Closes the drawn part of the connections to a host."""
    for callers in self.callers.values():
      for caller in callers:
        for _ in range(caller.connections.get(host.number, 0)):
          if self.rng.random() < host.state.closed_share:
            self._close(caller, host.number)

  def _update(self, host: _Host, now: float, is_check: bool) -> None:
    carried = min(host.queue_bytes, host.bytes_per_s * _STEP_S)
    host.queue_bytes -= carried
    measured = min(1.0, carried / (host.bytes_per_s * _STEP_S))
    host.utilisation += _RATE_WEIGHT * (measured - host.utilisation)
    if not self.day.relieves:
      return
    if is_check:
      is_open = host.state.phase is link_relief.Phase.OPEN
      host.failed_checks = 0 if is_open else host.failed_checks + 1
      host.is_out = host.failed_checks >= _FAILED_CHECKS
    sample = link_relief.Sample(host.utilisation, host.failed_checks)
    rounds = host.state.rounds
    host.state = link_relief.update(host.state, sample, now)
    if host.state.rounds != rounds:
      self._move(host)


def simulate(day: Day, seed: int = 1) -> dict[str, Any]:
  """Plays a day; returns its figures.

  Returns:
    `served`, the share of all requests that was served; `worst`, that of the
    team served least; `ratio` of both; `worst_late`, that of the team served
    least in the second half; `not_ready`, the mean share of routers out of
    rotation.
  """
  fleet = _Fleet(day, seed)
  out_steps, steps = 0, round(day.seconds / _STEP_S)
  halfway: tuple[collections.Counter[int], collections.Counter[int]]
  halfway = collections.Counter(), collections.Counter()
  for number in range(steps):
    if number == steps // 2:
      halfway = fleet.asked.copy(), fleet.served.copy()
    fleet.step(number * _STEP_S)
    out_steps += sum(host.is_out for host in fleet.hosts)
  shares = [fleet.served[t] / fleet.asked[t] for t in fleet.asked]
  served = fleet.served.total() / fleet.asked.total()
  asked_late = fleet.asked - halfway[0]
  served_late = fleet.served - halfway[1]
  late = [served_late[t] / asked_late[t] for t in asked_late]
  return {
      "hosts": day.hosts,
      "served": round(served, 4),
      "worst": round(min(shares), 4),
      "ratio": round(min(shares) / served, 4),
      "worst_late": round(min(late), 4),
      "not_ready": round(out_steps / (steps * day.hosts), 4),
  }
