"""Plays one day and tells what became of its requests and tokens."""

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

_LEAD_S = 3.0
"""Hosts are up so long before the first request."""
_END_S = 3.0
"""After the last request, for what is still on its way."""
_OWED_SHARE = 0.97
"""A request that fits into this part of a budget's limit is owed."""
_NO_ROUTER = "no router"
"""Why a request got no answer while no router was up; no policy helps it."""
_ELSEWHERE_S = 0.1
"""After no connection could be made, a caller tries another host."""


class Result(NamedTuple):
  """What came of a day."""

  requests: int
  unserved: int
  """Came while no router was up."""
  refused: int
  """Refused for good, owed or not."""
  falsely: int
  """Of those, the ones that their budget covered."""
  falsely_cut: int
  """Of those, the ones refused while a host was cut off or the store away."""
  turned_back: int
  """Refusals, with those of callers that came back."""
  lost: float
  """Tokens that nobody can use any more, over all limits."""
  overspend: int
  calls: dict[str, int]
  """Calls to the store by kind."""
  seconds: dict[int, int]
  """False refusals by second."""
  causes: dict[str, int]
  """False refusals by where the budget's tokens were then."""


class _Budget:
  """The truth about one budget."""

  def __init__(self, limit: int) -> None:
    self.limit = limit
    self.used = 0
    self.in_flight = 0

  def owes(self, tokens: int) -> bool:
    left = self.limit * _OWED_SHARE - self.used - self.in_flight
    return tokens <= left


class _Day:
  """A day being played."""

  def __init__(self, day: days.Day, config: settings.Router, seed: int) -> None:
    self._day = day
    self._config = config
    self._rng = random.Random(f"play {seed}")
    self._seed = seed
    self._plan = traffic.plan(day, seed)
    self._budgets = {
        team: _Budget(limit) for team, limit in self._plan.limits.items()
    }
    self._counts: collections.Counter[str] = collections.Counter()
    self._seconds: collections.Counter[int] = collections.Counter()
    self._causes: collections.Counter[str] = collections.Counter()
    self._overspend = 0
    self._troubles = 0
    self._fleet: hosts_lib.Fleet = None

  async def run(self) -> Result:
    async with anyio.create_task_group() as tasks:
      names = self._day.hosts
      self._fleet = hosts_lib.Fleet(self._config, names, self._seed, tasks)
      for team, budget in self._budgets.items():
        self._fleet.limits[team] = ledger.Limit(budget.limit, 1)
      for host in self._fleet.hosts.values():
        host.start()
      await anyio.sleep(_LEAD_S)
      self._began = anyio.current_time()
      for event in self._day.events:
        tasks.start_soon(self._befall, event)
      for request in self._plan.requests:
        tasks.start_soon(self._call, request, tasks)
      await anyio.sleep(self._day.traffic_s + _END_S)
      result = self._result()
      tasks.cancel_scope.cancel()
    return result

  async def _until(self, at_s: float) -> None:
    await anyio.sleep_until(self._began + at_s)

  # Callers.

  async def _call(self, request: traffic.Request, tasks: abc.TaskGroup) -> None:
    await self._until(request.at_s)
    budget = self._budgets[request.team]
    owed = budget.owes(request.tokens)
    self._counts["requests"] += 1
    patience_s = request.patience_s
    host, retry_s = self._pick(request.host), 0.0
    for attempt in range(2):
      began = anyio.current_time()
      if await self._try(host, request, budget):
        return
      cause = self._cause(host, request)
      self._counts["turned back"] += 1
      patience_s -= anyio.current_time() - began
      retry_s = self._retry_after_s(host, request, patience_s)
      if attempt or retry_s is None:
        break
      await anyio.sleep(retry_s)
      patience_s -= retry_s
      host = self._pick(None, avoid=host)
    if cause == _NO_ROUTER:
      self._counts["no router"] += 1
      return
    self._counts["refused"] += 1
    if owed:
      self._causes[cause] += 1
      self._counts["falsely"] += 1
      self._counts["falsely cut"] += bool(self._troubles)
      self._seconds[int(request.at_s)] += 1

  def _pick(
      self, wanted: str | None, avoid: hosts_lib.Host | None = None
  ) -> hosts_lib.Host | None:
    hosts = self._fleet.hosts
    if wanted is not None and hosts[wanted].serving:
      return hosts[wanted]
    up = [host for host in hosts.values() if host.serving and host is not avoid]
    return self._rng.choice(up) if up else None

  async def _try(
      self,
      host: hosts_lib.Host | None,
      request: traffic.Request,
      budget: _Budget,
  ) -> bool:
    """Returns whether the request ran."""
    if host is None or not host.serving:
      await anyio.sleep(_ELSEWHERE_S)
      return False
    accounts, reserver = host.accounts, host.reserver
    found = await reserver.reserve(request.team, request.tokens)
    if found is None or host.accounts is not accounts:
      return False
    budget.in_flight += request.tokens
    over = budget.used + budget.in_flight - budget.limit
    self._overspend = max(self._overspend, over)
    host.in_flight += 1
    await anyio.sleep(request.run_s)
    budget.in_flight -= request.tokens
    if host.accounts is not accounts:
      # Whatever the dead router passed on was generated.
      budget.used += request.tokens
      return True
    host.in_flight -= 1
    budget.used += request.used
    accounts.pool.settle(found, request.used)
    return True

  def _cause(
      self, host: hosts_lib.Host | None, request: traffic.Request
  ) -> str:
    """Returns where the tokens lay that a refused request needed."""
    if host is None or host.accounts is None:
      return _NO_ROUTER
    team, tokens = request.team, request.tokens
    network = self._fleet.network
    away = not network.reaches_store(host.name)
    away = away or network.is_refused(host.name)
    where = host.accounts.pool.budget_view.snapshot(team)
    if away and where is not None and where.idle >= tokens:
      return "cut off: promise too low"
    if away:
      return "cut off: too few held"
    record = self._fleet.store.records.get(ledger.key(team))
    if record is None:
      return "no ledger"
    found = change.decode(record.value)
    if ledger.headroom(found) - found["limit"] * 0.01 >= tokens:
      return "in the ledger"
    lives = {
        h.accounts.members.me.life
        for h in self._fleet.hosts.values()
        if h.accounts is not None
    }
    living = dead = 0
    for gid, held in found["grants"].items():
      if ledger.holder(gid) in lives:
        living += held
      else:
        dead += held
    if living >= tokens:
      return "held by others"
    return "held by the dead" if living + dead >= tokens else "lost"

  def _retry_after_s(
      self,
      host: hosts_lib.Host | None,
      request: traffic.Request,
      patience_s: float,
  ) -> float | None:
    """Returns when a refused caller returns, None: not at all."""
    if host is None or host.accounts is None:
      return _ELSEWHERE_S
    accounts = host.accounts
    if accounts.pool.budget_view.is_exhausted(request.team, request.tokens):
      return None
    wait_s = retry_hint.max_retry_s(accounts.store_unreachable, patience_s)
    wait_s *= self._rng.uniform(0.5, 1.0)
    return wait_s if wait_s < patience_s / 3 else None

  # Troubles.

  async def _befall(self, event: days.Event) -> None:
    await self._until(event.at_s)
    network = self._fleet.network
    if isinstance(event, days.TopUp):
      self._top_up(event)
    elif isinstance(event, days.Cut):
      peers = [network.from_peers] if event.peers else []
      await self._while(event, [network.from_store, *peers])
    elif isinstance(event, days.Refused):
      await self._while(event, [network.refused])
    elif isinstance(event, days.Outage):
      await self._outage(event)
    elif isinstance(event, days.Kill):
      await self._kill(event)
    elif isinstance(event, days.Roll):
      await self._roll(event)

  def _top_up(self, event: days.TopUp) -> None:
    team = self._plan.ranked[event.rank - 1]
    budget = self._budgets[team]
    budget.limit = int(budget.limit * event.x)
    version = self._fleet.limits[team].version + 1
    self._fleet.limits[team] = ledger.Limit(budget.limit, version)

  def _some(self, event) -> list[hosts_lib.Host]:
    names = event.hosts or self._rng.sample(
        self._day.hosts, max(1, round(event.share * len(self._day.hosts)))
    )
    return [self._fleet.hosts[name] for name in names]

  async def _while(
      self, event, counters: list[collections.Counter[str]]
  ) -> None:
    struck = self._some(event)
    self._troubles += 1
    for counter in counters:
      counter.update(host.name for host in struck)
    await anyio.sleep(event.for_s)
    for counter in counters:
      counter.subtract(host.name for host in struck)
    self._troubles -= 1

  async def _outage(self, event: days.Outage) -> None:
    network = self._fleet.network
    self._troubles += 1
    if event.how == "slow":
      network.slow_x = event.x
    elif event.how == "lost":
      network.lose, network.late_s = event.x, event.late_s
    else:
      setattr(network, event.how, getattr(network, event.how) + 1)
    await anyio.sleep(event.for_s)
    if event.how == "slow":
      network.slow_x = 1.0
    elif event.how == "lost":
      network.lose = 0.0
    else:
      setattr(network, event.how, getattr(network, event.how) - 1)
    self._troubles -= 1

  async def _kill(self, event: days.Kill) -> None:
    struck = [host for host in self._some(event) if host.accounts is not None]
    for host in struck:
      host.kill(event.power)
    await anyio.sleep(event.for_s + hosts_lib.START_S)
    for host in struck:
      if host.accounts is None:
        host.restart(event.power)

  async def _roll(self, event: days.Roll) -> None:
    for host in self._some(event):
      if host.accounts is not None:
        await host.stop()
        await anyio.sleep(event.for_s)
        if host.accounts is None:
          host.restart(power=False)
      await anyio.sleep(event.gap_s)

  # The end.

  def _result(self) -> Result:
    lost = sum(self._lost(team) for team in self._budgets)
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
        seconds=dict(self._seconds),
        causes=dict(self._causes),
    )

  def _lost(self, team: str) -> int:
    """Returns the tokens of a budget that nobody can use any more."""
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


def play(day: days.Day, config: settings.Router, seed: int) -> Result:
  """Plays a day; the same seed gives the same result."""
  logging.getLogger("mustardfall").setLevel(logging.CRITICAL)
  random.seed(seed)
  return loop.run(_Day(day, config, seed).run)
