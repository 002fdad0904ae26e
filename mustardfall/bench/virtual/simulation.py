"""Simulates one day and reports what happened to its requests and tokens."""

import collections
import logging
import random
from typing import NamedTuple

import anyio
from anyio import abc

from mustardfall import settings
from mustardfall.bench.virtual import days
from mustardfall.bench.virtual import hosts as hosts_lib
from mustardfall.bench.virtual import loop
from mustardfall.bench.virtual import traffic
from mustardfall.budget import ledger
from mustardfall.budget import retry_hint
from mustardfall.kv import change

_WARM_UP_S = 3.0
"""Time between the start of the hosts and the first request."""
_COOL_DOWN_S = 3.0
"""Time after the end of the traffic for requests in flight to finish."""
_COVERED_SHARE = 0.97
"""A budget covers a request if usage stays below this share of the limit."""
_NO_ROUTER = "no router"
"""Cause of a failed request while no router was up. It is counted separately,
as no budget policy can prevent it."""
_FAILOVER_S = 0.1
"""Time until a connection attempt fails, and delay before the caller then tries
another host."""


class TeamOutcome(NamedTuple):
  """What happened to the requests of one team that its budget covered."""

  covered: int
  """Number of them, without those that found no router."""
  refused: int
  """Those of them that were refused finally."""

  @property
  def served_share(self) -> float:
    """Part of them that was served."""
    return 1 - self.refused / self.covered if self.covered else 1.0


class Result(NamedTuple):
  """The outcome of a simulated day."""

  requests: int
  unserved: int
  """Requests that failed as no router was up."""
  refused: int
  """Requests refused finally, whether or not their budget covered them."""
  falsely: int
  """Refused requests that their budget covered."""
  falsely_cut: int
  """Falsely refused requests while a network or store fault was active."""
  turned_back: int
  """Refused attempts, including those that were retried."""
  lost: float
  """Tokens that no router can use any more, as a share of all limits."""
  overspend: int
  """Largest excess of a budget's used and reserved tokens over its limit."""
  calls: dict[str, int]
  """Number of calls to the store, by kind."""
  failed_calls: dict[str, int]
  """Those of `calls` that were refused or not answered, by outcome and kind."""
  transactions: dict[str, int]
  """Transactions with budgets, by what is in them; among the writes of `calls`.
  """
  seconds: dict[int, int]
  """False refusals by second of the day."""
  causes: dict[str, int]
  """Number of false refusals by cause; see `_refusal_cause`."""
  teams: dict[str, TeamOutcome]
  """By team. Sums over all teams do not show one that is hardly served."""

  @property
  def worst_team_share(self) -> float:
    """Served part of the covered requests of the team that is served least."""
    return min(team.served_share for team in self.teams.values())

  @property
  def served_share(self) -> float:
    """Served part of the covered requests of all teams."""
    covered = sum(team.covered for team in self.teams.values())
    refused = sum(team.refused for team in self.teams.values())
    return TeamOutcome(covered, refused).served_share


class _BudgetUsage:
  """The actual usage of one budget, independent of what routers know."""

  def __init__(self, limit: int) -> None:
    self.limit = limit
    self.used = 0
    self.in_flight = 0

  def covers(self, tokens: int) -> bool:
    left = self.limit * _COVERED_SHARE - self.used - self.in_flight
    return tokens <= left


class _Simulation:
  """The state of one simulation."""

  def __init__(self, day: days.Day, config: settings.Router, seed: int) -> None:
    self._day = day
    self._config = config
    self._rng = random.Random(f"play {seed}")
    self._seed = seed
    self._plan = traffic.plan(day, seed)
    self._budgets = {
        team: _BudgetUsage(limit) for team, limit in self._plan.limits.items()
    }
    self._counts: collections.Counter[str] = collections.Counter()
    self._false_refusals_by_s: collections.Counter[int] = collections.Counter()
    self._false_refusals_by_cause: collections.Counter[str] = (
        collections.Counter()
    )
    self._covered_by_team: collections.Counter[str] = collections.Counter()
    self._refused_by_team: collections.Counter[str] = collections.Counter()
    """False refusals."""
    self._overspend = 0
    self._active_faults = 0
    self._fleet: hosts_lib.Fleet = None

  async def run(self) -> Result:
    async with anyio.create_task_group() as tasks:
      names = self._day.hosts
      self._fleet = hosts_lib.Fleet(self._config, names, self._seed, tasks)
      for team, budget in self._budgets.items():
        self._fleet.limits[team] = ledger.Limit(budget.limit, 1)
      for host in self._fleet.hosts.values():
        host.start()
      await anyio.sleep(_WARM_UP_S)
      self._traffic_start_s = anyio.current_time()
      for event in self._day.events:
        tasks.start_soon(self._apply_event, event)
      for request in self._plan.requests:
        tasks.start_soon(self._send, request, tasks)
      await anyio.sleep(self._day.traffic_s + _COOL_DOWN_S)
      result = self._result()
      tasks.cancel_scope.cancel()
    return result

  async def _wait_until(self, at_s: float) -> None:
    await anyio.sleep_until(self._traffic_start_s + at_s)

  # Callers

  async def _send(self, request: traffic.Request, tasks: abc.TaskGroup) -> None:
    await self._wait_until(request.at_s)
    budget = self._budgets[request.team]
    covered = budget.covers(request.max_tokens)
    self._counts["requests"] += 1
    self._covered_by_team[request.team] += covered
    timeout_s = request.timeout_s
    host, retry_s = self._choose_host(request.host), 0.0
    for attempt in range(2):
      began = anyio.current_time()
      if await self._try_host(host, request, budget):
        return
      cause = self._refusal_cause(host, request)
      self._counts["turned back"] += 1
      timeout_s -= anyio.current_time() - began
      retry_s = self._retry_after_s(host, request, timeout_s)
      if attempt or retry_s is None:
        break
      await anyio.sleep(retry_s)
      timeout_s -= retry_s
      host = self._choose_host(None, avoid=host)
    if cause == _NO_ROUTER:
      self._counts["no router"] += 1
      self._covered_by_team[request.team] -= covered
      return
    self._counts["refused"] += 1
    if covered:
      self._false_refusals_by_cause[cause] += 1
      self._counts["falsely"] += 1
      self._refused_by_team[request.team] += 1
      self._counts["falsely cut"] += bool(self._active_faults)
      self._false_refusals_by_s[int(request.at_s)] += 1

  def _choose_host(
      self, wanted: str | None, avoid: hosts_lib.Host | None = None
  ) -> hosts_lib.Host | None:
    hosts = self._fleet.hosts
    if wanted is not None and hosts[wanted].serving:
      return hosts[wanted]
    up = [host for host in hosts.values() if host.serving and host is not avoid]
    return self._rng.choice(up) if up else None

  async def _try_host(
      self,
      host: hosts_lib.Host | None,
      request: traffic.Request,
      budget: _BudgetUsage,
  ) -> bool:
    """Returns whether the request ran."""
    if host is None or not host.serving:
      await anyio.sleep(_FAILOVER_S)
      return False
    accounts, reserver = host.accounts, host.reserver
    found = await reserver.reserve(request.team, request.max_tokens)
    if found is None or host.accounts is not accounts:
      return False
    budget.in_flight += request.max_tokens
    over = budget.used + budget.in_flight - budget.limit
    self._overspend = max(self._overspend, over)
    host.in_flight += 1
    await anyio.sleep(request.duration_s)
    budget.in_flight -= request.max_tokens
    if host.accounts is not accounts:
      # The engine completed the requests that the dead router had forwarded.
      budget.used += request.max_tokens
      return True
    host.in_flight -= 1
    budget.used += request.used_tokens
    accounts.pool.settle(found, request.used_tokens)
    return True

  def _refusal_cause(
      self, host: hosts_lib.Host | None, request: traffic.Request
  ) -> str:
    """Returns why a request was refused: what kept the tokens from it."""
    if host is None or host.accounts is None:
      return _NO_ROUTER
    team, tokens = request.team, request.max_tokens
    network = self._fleet.network
    cut_off = not network.reaches_store(host.name)
    cut_off = cut_off or network.is_refused(host.name)
    if cut_off:
      return self._cause_without_store(team, tokens)
    record = self._fleet.store.records.get(ledger.key(team))
    if record is None:
      return "no ledger"
    found = change.decode(record.value)
    if ledger.headroom(found) - found["limit"] * 0.01 >= tokens:
      return "in the ledger"
    live_ids = {
        h.accounts.members.me.life
        for h in self._fleet.hosts.values()
        if h.accounts is not None
    }
    living = dead = 0
    for gid, held in found["grants"].items():
      if ledger.holder(gid) in live_ids:
        living += held
      else:
        dead += held
    if living >= tokens:
      return "held by others"
    return "held by the dead" if living + dead >= tokens else "lost"

  def _cause_without_store(self, team: str, tokens: int) -> str:
    """Returns why no router that a refused caller's host reaches had tokens."""
    rows = [
        row
        for host in self._fleet.hosts.values()
        if host.accounts is not None
        for row in host.accounts.pool.table.rows.values()
        if row.budget == team and not row.source and not row.retiring
    ]
    if any(row.free >= tokens for row in rows):
      return "cut off: free at another router"
    if any(row.undrawn >= tokens for row in rows):
      return "cut off: ceiling too low"
    return "cut off: too few held"

  def _retry_after_s(
      self,
      host: hosts_lib.Host | None,
      request: traffic.Request,
      timeout_s: float,
  ) -> float | None:
    """Returns the delay before a refused caller retries; None: no retry."""
    if host is None or host.accounts is None:
      return _FAILOVER_S
    accounts = host.accounts
    if accounts.pool.budget_view.is_exhausted(request.team, request.max_tokens):
      return None
    wait_s = retry_hint.max_retry_s(accounts.store_unreachable, timeout_s)
    wait_s *= self._rng.uniform(0.5, 1.0)
    return wait_s if wait_s < timeout_s / 3 else None

  # Events

  async def _apply_event(self, event: days.Event) -> None:
    await self._wait_until(event.at_s)
    network = self._fleet.network
    if isinstance(event, days.LimitIncrease):
      self._increase_limit(event)
    elif isinstance(event, days.Partition):
      peers = [network.cut_from_peers] if event.peers else []
      await self._apply_fault(event, [network.cut_from_store, *peers])
    elif isinstance(event, days.StoreRefusal):
      await self._apply_fault(event, [network.refused_by_store])
    elif isinstance(event, days.StoreOutage):
      await self._apply_outage(event)
    elif isinstance(event, days.Kill):
      await self._kill(event)
    elif isinstance(event, days.RollingRestart):
      await self._rolling_restart(event)

  def _increase_limit(self, event: days.LimitIncrease) -> None:
    team = self._plan.teams_by_size[event.rank - 1]
    budget = self._budgets[team]
    budget.limit = int(budget.limit * event.x)
    version = self._fleet.limits[team].version + 1
    self._fleet.limits[team] = ledger.Limit(budget.limit, version)

  def _select_hosts(self, event) -> list[hosts_lib.Host]:
    names = event.hosts or self._rng.sample(
        self._day.hosts, max(1, round(event.share * len(self._day.hosts)))
    )
    return [self._fleet.hosts[name] for name in names]

  async def _apply_fault(
      self, event, counters: list[collections.Counter[str]]
  ) -> None:
    affected = self._select_hosts(event)
    self._active_faults += 1
    for counter in counters:
      counter.update(host.name for host in affected)
    await anyio.sleep(event.for_s)
    for counter in counters:
      counter.subtract(host.name for host in affected)
    self._active_faults -= 1

  async def _apply_outage(self, event: days.StoreOutage) -> None:
    network = self._fleet.network
    self._active_faults += 1
    if event.how == "slow":
      network.latency_factor = event.x
    elif event.how == "lost":
      network.lost_write_share, network.max_late_s = event.x, event.late_s
    else:
      setattr(network, event.how, getattr(network, event.how) + 1)
    await anyio.sleep(event.for_s)
    if event.how == "slow":
      network.latency_factor = 1.0
    elif event.how == "lost":
      network.lost_write_share = 0.0
    else:
      setattr(network, event.how, getattr(network, event.how) - 1)
    self._active_faults -= 1

  async def _kill(self, event: days.Kill) -> None:
    affected = [
        host for host in self._select_hosts(event) if host.accounts is not None
    ]
    for host in affected:
      host.kill(event.power)
    await anyio.sleep(event.for_s + hosts_lib.STARTUP_S)
    for host in affected:
      if host.accounts is None:
        host.restart(event.power)

  async def _rolling_restart(self, event: days.RollingRestart) -> None:
    async with anyio.create_task_group() as tasks:
      for host in self._select_hosts(event):
        if event.overlap:
          tasks.start_soon(self._restart_host, host, event.for_s)
        else:
          await self._restart_host(host, event.for_s)
        await anyio.sleep(event.gap_s)

  async def _restart_host(self, host: hosts_lib.Host, down_s: float) -> None:
    """Stops a host's router gracefully and starts it again."""
    if host.accounts is None:
      return
    await host.stop()
    await anyio.sleep(down_s)
    if host.accounts is None:
      host.restart(power_loss=False)

  # Results

  def _result(self) -> Result:
    lost = sum(self._lost_tokens(team) for team in self._budgets)
    limits = sum(budget.limit for budget in self._budgets.values())
    counts = self._counts
    return Result(
        requests=counts["requests"],
        unserved=counts["no router"],
        refused=counts["refused"],
        falsely=counts["falsely"],
        falsely_cut=counts["falsely cut"],
        turned_back=counts["turned back"],
        lost=lost / limits,
        overspend=max(0, self._overspend),
        calls=dict(self._fleet.store.calls),
        failed_calls=dict(self._fleet.store.failed_calls),
        transactions=dict(self._fleet.total_transactions()),
        seconds=dict(self._false_refusals_by_s),
        causes=dict(self._false_refusals_by_cause),
        teams={
            team: TeamOutcome(
                self._covered_by_team[team], self._refused_by_team[team]
            )
            for team in self._budgets
        },
    )

  def _lost_tokens(self, team: str) -> int:
    """Returns the tokens of a budget that no router can use any more."""
    record = self._fleet.store.records.get(ledger.key(team))
    if record is None:
      return 0
    found = change.decode(record.value)
    held = sum(
        max(0, row.unconsumed)
        for host in self._fleet.hosts.values()
        if host.accounts is not None
        for row in host.accounts.pool.table.rows.values()
        if row.budget == team and not row.source
    )
    budget = self._budgets[team]
    known = budget.used + ledger.headroom(found) + held
    return max(0, found["limit"] - known)


def simulate(day: days.Day, config: settings.Router, seed: int) -> Result:
  """Simulates a day; within a process, a seed always gives the same result."""
  logging.getLogger("mustardfall").setLevel(logging.CRITICAL)
  random.seed(seed)
  return loop.run(_Simulation(day, config, seed).run)
