"""Named scenarios: a load, the faults injected and the settings under test.

Each scenario runs on a new fleet of real processes. `faults` runs concurrently
with the load and injects faults at fixed times. The report combines the
callers' records, the ledgers and the KV's counters.
"""

from collections.abc import Awaitable, Callable
import functools
import signal
import time
from typing import NamedTuple

import anyio
import httpx

from mustardfall import errors
from mustardfall import settings
from mustardfall.bench import fleet as fleet_lib
from mustardfall.bench import load
from mustardfall.bench import probe
from mustardfall.bench import sample
from mustardfall.budget import ledger
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client

ROUTERS = 6
SECONDS = 10.0
RATE = 60.0

_MEMBERSHIP = settings.Membership(ttl_s=2, grace_s=1.5, watch_idle_s=3.0)

OWNED_GRANTS = settings.Allotment()
ROUTER_GRANTS = settings.Allotment(owned=False)
"""Baseline: each router takes grants itself; budgets have no owners."""
PER_REQUEST = settings.Allotment(
    owned=False,
    min_tokens=1,
    horizon_s=0.001,
    headroom_share=1.0,
    term_s=0.001,
    low_mark=0.0,
)
"""Baseline: two compare-and-swaps per request, to reserve and to settle."""


class Environment:
  """A running fleet under load, on which faults are injected."""

  def __init__(
      self, fleet: fleet_lib.Fleet, urls: dict[str, str], routers: list[str]
  ) -> None:
    self.fleet = fleet
    self.urls = urls
    self.routers = {
        f"router-{i}": url for i, url in enumerate(routers, start=1)
    }
    self.removed: set[str] = set()
    """Routers that the load balancer has removed."""
    self.load: load.Load | None = None
    self.notes: dict[str, object] = {}

  def in_service(self) -> list[str]:
    """Returns the routers that the load balancer uses."""
    return [u for n, u in self.routers.items() if n not in self.removed]

  async def inject(self, **faults) -> None:
    """Sets faults in the KV stand-in."""
    async with httpx.AsyncClient() as http:
      await http.post(self.urls["kv"] + "/standin/faults", json=faults)

  async def operate(self, action: Callable[[kv_client.Client], Awaitable]):
    """Runs `action` with a KV client of an operator."""
    kv = kv_client.Client(self.urls["kv"], "operator")
    try:
      return await action(kv)
    finally:
      await kv.close()

  async def top_up(self, name: str, tokens: int, op: str) -> None:
    """Raises a budget's limit, also in the callers' count of its usage."""
    change = ledger.TopUp(tokens, op)
    await self.operate(lambda kv: ledger.write(kv, name, change))
    self.load.accounts[name].limit += tokens


FaultSchedule = Callable[[Environment], Awaitable[None]]


async def _no_faults(_: Environment) -> None:
  pass


async def _kv_outage(environment: Environment) -> None:
  await anyio.sleep(3.0)
  await environment.inject(down=True)
  await anyio.sleep(4.0)
  await environment.inject(down=False)


async def _kv_slow(environment: Environment) -> None:
  await anyio.sleep(2.0)
  await environment.inject(delay_s=0.4)
  await anyio.sleep(6.0)
  await environment.inject(delay_s=0.0)


async def _kv_lost_replies(environment: Environment) -> None:
  for _ in range(12):
    await anyio.sleep(0.7)
    await environment.inject(lose_replies=3)


async def _partition_with_top_up(environment: Environment) -> None:
  """Two routers cannot reach the KV while small budgets are topped up."""
  await anyio.sleep(2.0)
  await environment.inject(blocked=["router-1", "router-2"])
  for i in range(5):
    await anyio.sleep(1.0)
    for entry in sample.catalogue().entries:
      if entry.team == f"t{sample.TEAMS}":
        await environment.top_up(entry.name, 300, f"top-{i}")
  await environment.inject(blocked=[])


async def _router_kill(environment: Environment) -> None:
  """Two routers are killed with open streams, and are not replaced."""
  for name in ("router-1", "router-2"):
    await anyio.sleep(2.5)
    environment.fleet.signal(name, signal.SIGKILL)
    await anyio.sleep(0.5)
    environment.removed.add(name)


async def _router_freeze(environment: Environment) -> None:
  """A router is paused for longer than its lease, then resumed."""
  await anyio.sleep(2.0)
  environment.fleet.signal("router-1", signal.SIGSTOP)
  await anyio.sleep(0.5)
  environment.removed.add("router-1")
  await anyio.sleep(4.5)
  environment.fleet.signal("router-1", signal.SIGCONT)
  environment.removed.discard("router-1")


async def _stop_in_turn(environment: Environment) -> None:
  """Three routers are stopped one after the other and not started again."""
  for name in ("router-1", "router-2", "router-3"):
    await anyio.sleep(2.0)
    environment.fleet.signal(name, signal.SIGTERM)
    await anyio.sleep(0.4)  # until the load balancer's next readiness check
    environment.removed.add(name)


async def _engines_leave(environment: Environment) -> None:
  """An engine leaves; the requests it gets two seconds later are counted."""
  await anyio.sleep(2.0)
  name = "engine-lier-a"
  url = environment.urls[name]
  entry = {"name": name, "url": url, "datacentre": "lier-a", "kind": "engine"}
  entry |= {"models": ["appraisal", "assistant"], "state": "leaving"}
  async with httpx.AsyncClient() as http:
    await http.post(environment.urls["hosts"] + "/hosts", json=entry)
    await anyio.sleep(2.0)
    before = (await http.get(url + "/standin/stats")).json()["requests"]
    await anyio.sleep(4.0)
    after = (await http.get(url + "/standin/stats")).json()["requests"]
  environment.notes["new_work_after_2s"] = after - before


async def _operators_race(environment: Environment) -> None:
  """Three operators edit the catalogue concurrently.

  Counts lost edits, and how often a router goes back to an older revision.
  """
  accepted, lost, reverts = [], 0, 0
  last: dict[str, int] = {}
  lags = []

  async def _edit(name: str) -> None:
    nonlocal lost
    for i in range(8):

      tag = f"{name}-{i}"
      try:
        revision = await environment.operate(
            functools.partial(_set_team, tag=tag)
        )
      except errors.CatalogueConflictError:
        lost += 1
        continue
      accepted.append(revision)
      started = time.monotonic()
      await _wait_in_force(environment, revision)
      lags.append(time.monotonic() - started)

  async def _count_reverts() -> None:
    nonlocal reverts
    async with httpx.AsyncClient() as http:
      while True:
        for url in environment.in_service():
          got = (await http.get(environment.fleet.admin[url] + "/stats")).json()
          revision = got["catalogue_revision"]
          reverts += revision < last.get(url, 0)
          last[url] = revision
        await anyio.sleep(0.05)

  async with anyio.create_task_group() as watcher:
    watcher.start_soon(_count_reverts)
    async with anyio.create_task_group() as tg:
      for name in ("ann", "bert", "cleo"):
        tg.start_soon(_edit, name)
    watcher.cancel_scope.cancel()
  environment.notes.update(
      accepted=len(accepted),
      told_lost=lost,
      reverts=reverts,
      in_force_everywhere_ms_max=round(max(lags) * 1e3, 1),
  )


async def _set_team(kv: kv_client.Client, tag: str) -> int:
  """Changes the team of one entry; returns the revision."""
  revision, spec = await store.read(kv)
  entries = list(spec.entries)
  entries[0] = entries[0].model_copy(update={"team": tag})
  edit = model.CatalogueSpec(
      base=revision, customers=spec.customers, entries=entries
  )
  return await store.apply(kv, edit)


async def _wait_in_force(environment: Environment, revision: int) -> None:
  async with httpx.AsyncClient() as http:
    for url in environment.in_service():
      while True:
        got = (await http.get(environment.fleet.admin[url] + "/stats")).json()
        if got["catalogue_revision"] >= revision:
          break
        await anyio.sleep(0.005)


def _mostly_last_teams(entry: model.EntrySpec) -> float:
  """Returns weight 3 for the last team of each customer, otherwise 1."""
  return 3.0 if entry.team == f"t{sample.TEAMS}" else 1.0


def _mostly_deferrable(entry: model.EntrySpec) -> float:
  return 1.0 if entry.klass is model.Klass.URGENT else 7.0


class Scenario(NamedTuple):
  """Parameters of one scenario."""

  faults: FaultSchedule = _no_faults
  allotment: settings.Allotment = OWNED_GRANTS
  scheduler: settings.Scheduler = settings.Scheduler()
  tokens: int = 200_000
  """Limit of each team's budget, except the last team's."""
  small: int = 1_500
  """Limit of the budget of each customer's last team."""
  rate: float = RATE
  words: tuple[int, int] = (4, 40)
  """Minimum and maximum length of a response, in words."""
  weight: Callable[[model.EntrySpec], float] = _mostly_last_teams
  engine_slots: int = 16


_ENGINE_QUEUES = settings.Scheduler(
    policy="fifo", target_s=1000.0, initial_limit=64.0
)
"""Baseline: requests are sent at once and wait in the engines' queues."""
_TIGHT = Scenario(tokens=1_200, small=600)
_OVERLOAD = Scenario(
    rate=90.0, words=(40, 160), weight=_mostly_deferrable, engine_slots=4
)
SCENARIOS = {
    "calm": Scenario(),
    "calm_router_grants": Scenario(allotment=ROUTER_GRANTS),
    "calm_per_request": Scenario(allotment=PER_REQUEST),
    "tight": _TIGHT,
    "tight_router_grants": _TIGHT._replace(allotment=ROUTER_GRANTS),
    "tight_per_request": _TIGHT._replace(allotment=PER_REQUEST),
    "overload": _OVERLOAD,
    "overload_fifo": _OVERLOAD._replace(
        scheduler=settings.Scheduler(policy="fifo")
    ),
    "overload_engine_queue": _OVERLOAD._replace(scheduler=_ENGINE_QUEUES),
    "kv_outage": Scenario(_kv_outage),
    "kv_slow": Scenario(_kv_slow),
    "kv_lost_replies": Scenario(_kv_lost_replies),
    "partition_with_top_up": Scenario(_partition_with_top_up),
    "router_kill": Scenario(_router_kill),
    "router_kill_router_grants": Scenario(
        _router_kill, allotment=ROUTER_GRANTS
    ),
    "router_freeze": Scenario(_router_freeze),
    "router_freeze_router_grants": Scenario(
        _router_freeze, allotment=ROUTER_GRANTS
    ),
    "rolling_restart": Scenario(_stop_in_turn),
    "engines_leave": Scenario(_engines_leave),
    "operators_race": Scenario(_operators_race),
}


async def run(name: str, seed: int, seconds: float = SECONDS) -> dict:
  """Runs one scenario on a new fleet; returns its part of the report."""
  scenario = SCENARIOS[name]
  catalogue = sample.catalogue(scenario.tokens, scenario.small)
  with fleet_lib.Fleet() as fleet:
    urls = await anyio.to_thread.run_sync(
        lambda: fleet_lib.start_platform(
            fleet, engine={"slots": scenario.engine_slots}
        )
    )
    kv = kv_client.Client(urls["kv"], "operator")
    await store.apply(kv, catalogue)
    datacentres = fleet_lib.RETOURHUIS_DCS * (ROUTERS // 3)
    routers = fleet_lib.start_routers(
        fleet,
        urls,
        datacentres,
        allotment=scenario.allotment,
        scheduler=scenario.scheduler,
        membership=_MEMBERSHIP,
        lame_duck_s=1.0,
    )
    await anyio.to_thread.run_sync(fleet.wait_ready)
    await anyio.sleep(1.0)  # until routers know the host list and each other
    environment = Environment(fleet, urls, routers)
    mix = load.Mix(scenario.rate, seconds, scenario.words, scenario.weight)
    environment.load = load.Load(
        catalogue.entries, environment.in_service, mix, seed
    )
    before = await _count_kv(urls)
    cpu = _router_cpu(fleet)
    async with anyio.create_task_group() as tg:
      tg.start_soon(scenario.faults, environment)
      tg.start_soon(environment.load.run)
    cpu = _router_cpu(fleet) - cpu
    await environment.inject(
        down=False, delay_s=0.0, blocked=[], lose_replies=0
    )
    for proc in environment.routers:
      if fleet.procs[proc].popen.poll() is None:
        fleet.signal(proc, signal.SIGTERM)
    for proc in environment.routers:
      await anyio.to_thread.run_sync(fleet.procs[proc].popen.wait)
    after = await _count_kv(urls)
    ledgers = {e.name: await ledger.read(kv, e.name) for e in catalogue.entries}
    await kv.close()
    await anyio.to_thread.run_sync(fleet.stop)
  return _report(name, environment, ledgers, before, after, cpu)


def _report(
    name: str,
    environment: Environment,
    ledgers: dict[str, ledger.Ledger],
    before: dict,
    after: dict,
    cpu_s: float,
) -> dict:
  records = environment.load.records
  requests = max(1, len(records))
  accounts = environment.load.accounts
  report = load.summarise(records, accounts)
  report.update(
      scenario=name,
      kv_writes_per_request=round(
          (after["writes"] - before["writes"]) / requests, 3
      ),
      kv_reads_per_request=round(
          (after["reads"] - before["reads"]) / requests, 3
      ),
      router_cpu_ms_per_request=round(cpu_s * 1e3 / requests, 2),
      ledger_over_limit=sum(
          max(0, -ledger.headroom(found)) for found in ledgers.values()
      ),
      billed_twice_tokens=sum(
          max(0, found["spent"] - accounts[n].used - accounts[n].unsure)
          for n, found in ledgers.items()
      ),
      lost_tokens=sum(ledger.lost(found) for found in ledgers.values()),
      stranded_tokens=sum(
          sum(found["grants"].values()) for found in ledgers.values()
      ),
      notes=environment.notes,
  )
  return report


async def _count_kv(urls: dict[str, str]) -> dict:
  async with httpx.AsyncClient() as http:
    return (await http.get(urls["kv"] + "/standin/stats")).json()


def _router_cpu(fleet: fleet_lib.Fleet) -> float:
  total = 0.0
  for name, proc in fleet.procs.items():
    if name.startswith("router") and proc.popen.poll() is None:
      total += probe.read(proc.popen.pid).cpu_s
  return total
