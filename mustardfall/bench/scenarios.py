"""Named experiments: a load, the troubles it meets, and the design.

Each runs on a fresh fleet of real processes. `troubles` runs beside the
load and breaks things at set times; what the callers saw, what the
ledgers say and what the KV counted go into the report.
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

DESIGN = settings.Allotment()
ROUTER_GRANTS = settings.Allotment(owned=False)
"""Baseline: each router takes grants by itself, no owners."""
PER_REQUEST = settings.Allotment(
    owned=False,
    min_tokens=1,
    horizon_s=0.001,
    headroom_share=1.0,
    term_s=0.001,
    low_mark=0.0,
)
"""Baseline: a compare-and-swap per request, and one to settle it."""


class Stage:
  """A running fleet under load, as the troubles see it."""

  def __init__(
      self, fleet: fleet_lib.Fleet, urls: dict[str, str], routers: list[str]
  ) -> None:
    self.fleet = fleet
    self.urls = urls
    self.routers = {
        f"router-{i}": url for i, url in enumerate(routers, start=1)
    }
    self.out: set[str] = set()
    """Routers that the balancer has taken out."""
    self.load: load.Load | None = None
    self.notes: dict[str, object] = {}

  def in_service(self) -> list[str]:
    """Returns the routers that the balancer sends callers to."""
    return [u for n, u in self.routers.items() if n not in self.out]

  async def inject(self, **faults) -> None:
    """Sets faults of the KV stand-in."""
    async with httpx.AsyncClient() as http:
      await http.post(self.urls["kv"] + "/standin/faults", json=faults)

  async def operate(self, fn: Callable[[kv_client.Client], Awaitable]):
    """Does something as an operator, on a KV client of its own."""
    kv = kv_client.Client(self.urls["kv"], "operator")
    try:
      return await fn(kv)
    finally:
      await kv.close()

  async def top_up(self, name: str, tokens: int, op: str) -> None:
    """Tops a budget up, once, for the callers' accounts too."""
    change = ledger.TopUp(tokens, op)
    await self.operate(lambda kv: ledger.write(kv, name, change))
    self.load.accounts[name].limit += tokens


Troubles = Callable[[Stage], Awaitable[None]]


async def _calm(_: Stage) -> None:
  pass


async def _kv_outage(stage: Stage) -> None:
  await anyio.sleep(3.0)
  await stage.inject(down=True)
  await anyio.sleep(4.0)
  await stage.inject(down=False)


async def _kv_slow(stage: Stage) -> None:
  await anyio.sleep(2.0)
  await stage.inject(delay_s=0.4)
  await anyio.sleep(6.0)
  await stage.inject(delay_s=0.0)


async def _kv_lost_replies(stage: Stage) -> None:
  for _ in range(12):
    await anyio.sleep(0.7)
    await stage.inject(lose_replies=3)


async def _partition_with_top_up(stage: Stage) -> None:
  """Two routers lose the KV; small budgets are topped up meanwhile."""
  await anyio.sleep(2.0)
  await stage.inject(blocked=["router-1", "router-2"])
  for i in range(5):
    await anyio.sleep(1.0)
    for entry in sample.catalogue().entries:
      if entry.team == f"t{sample.TEAMS}":
        await stage.top_up(entry.name, 300, f"top-{i}")
  await stage.inject(blocked=[])


async def _router_kill(stage: Stage) -> None:
  """Two routers are killed with streams open, and nobody replaces them."""
  for name in ("router-1", "router-2"):
    await anyio.sleep(2.5)
    stage.fleet.signal(name, signal.SIGKILL)
    await anyio.sleep(0.5)
    stage.out.add(name)


async def _router_freeze(stage: Stage) -> None:
  """A router is paused past its lease and wakes unaware."""
  await anyio.sleep(2.0)
  stage.fleet.signal("router-1", signal.SIGSTOP)
  await anyio.sleep(0.5)
  stage.out.add("router-1")
  await anyio.sleep(4.5)
  stage.fleet.signal("router-1", signal.SIGCONT)
  stage.out.discard("router-1")


async def _rolling_restart(stage: Stage) -> None:
  """Routers are stopped one after the other while they serve."""
  for name in ("router-1", "router-2", "router-3"):
    await anyio.sleep(2.0)
    stage.fleet.signal(name, signal.SIGTERM)
    await anyio.sleep(0.4)  # the balancer's next look at its readiness
    stage.out.add(name)


async def _engines_leave(stage: Stage) -> None:
  """An engine leaves, and what it gets after two seconds is counted."""
  await anyio.sleep(2.0)
  name = "engine-lier-a"
  url = stage.urls[name]
  entry = {"name": name, "url": url, "datacentre": "lier-a", "kind": "engine"}
  entry |= {"models": ["appraisal", "assistant"], "state": "leaving"}
  async with httpx.AsyncClient() as http:
    await http.post(stage.urls["hosts"] + "/hosts", json=entry)
    await anyio.sleep(2.0)
    before = (await http.get(url + "/standin/stats")).json()["requests"]
    await anyio.sleep(4.0)
    after = (await http.get(url + "/standin/stats")).json()["requests"]
  stage.notes["new_work_after_2s"] = after - before


async def _operators_race(stage: Stage) -> None:
  """Three operators edit at once; accepted changes must never revert."""
  accepted, lost, reverts = [], 0, 0
  last: dict[str, int] = {}
  lags = []

  async def _edit(name: str) -> None:
    nonlocal lost
    for i in range(8):

      tag = f"{name}-{i}"
      try:
        revision = await stage.operate(functools.partial(_retag, tag=tag))
      except errors.CatalogueConflictError:
        lost += 1
        continue
      accepted.append(revision)
      started = time.monotonic()
      await _until_in_force(stage, revision)
      lags.append(time.monotonic() - started)

  async def _watch() -> None:
    nonlocal reverts
    async with httpx.AsyncClient() as http:
      while True:
        for url in stage.in_service():
          got = (await http.get(stage.fleet.admin[url] + "/stats")).json()
          revision = got["catalogue_revision"]
          reverts += revision < last.get(url, 0)
          last[url] = revision
        await anyio.sleep(0.05)

  async with anyio.create_task_group() as watching:
    watching.start_soon(_watch)
    async with anyio.create_task_group() as tg:
      for name in ("ann", "bert", "cleo"):
        tg.start_soon(_edit, name)
    watching.cancel_scope.cancel()
  stage.notes.update(
      accepted=len(accepted),
      told_lost=lost,
      reverts=reverts,
      in_force_everywhere_ms_max=round(max(lags) * 1e3, 1),
  )


async def _retag(kv: kv_client.Client, tag: str) -> int:
  """Makes an edit that touches one entry's team."""
  revision, spec = await store.read(kv)
  entries = list(spec.entries)
  entries[0] = entries[0].model_copy(update={"team": tag})
  edit = model.CatalogueSpec(
      base=revision, customers=spec.customers, entries=entries
  )
  return await store.apply(kv, edit)


async def _until_in_force(stage: Stage, revision: int) -> None:
  async with httpx.AsyncClient() as http:
    for url in stage.in_service():
      while True:
        got = (await http.get(stage.fleet.admin[url] + "/stats")).json()
        if got["catalogue_revision"] >= revision:
          break
        await anyio.sleep(0.005)


def _evenly(entry: model.EntrySpec) -> float:
  return 3.0 if entry.team == f"t{sample.TEAMS}" else 1.0


def _mostly_deferrable(entry: model.EntrySpec) -> float:
  return 1.0 if entry.klass is model.Klass.URGENT else 7.0


class Scenario(NamedTuple):
  """One experiment."""

  troubles: Troubles = _calm
  allotment: settings.Allotment = DESIGN
  scheduler: settings.Scheduler = settings.Scheduler()
  tokens: int = 200_000
  small: int = 1_500
  rate: float = RATE
  words: tuple[int, int] = (4, 40)
  weight: Callable[[model.EntrySpec], float] = _evenly
  engine_slots: int = 16


_NO_LIMIT = settings.Scheduler(
    policy="fifo", target_s=1000.0, initial_limit=64.0
)
"""Baseline: all is sent at once, and waits in the engines' own queues."""
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
    "overload_engine_queue": _OVERLOAD._replace(scheduler=_NO_LIMIT),
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
    "rolling_restart": Scenario(_rolling_restart),
    "engines_leave": Scenario(_engines_leave),
    "operators_race": Scenario(_operators_race),
}


async def run(name: str, seed: int, seconds: float = SECONDS) -> dict:
  """Runs one scenario on a fresh fleet; returns its part of the report."""
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
    await anyio.sleep(1.0)  # routers see the host list and each other
    stage = Stage(fleet, urls, routers)
    mix = load.Mix(scenario.rate, seconds, scenario.words, scenario.weight)
    stage.load = load.Load(catalogue.entries, stage.in_service, mix, seed)
    before = await _count_kv(urls)
    cpu = _router_cpu(fleet)
    async with anyio.create_task_group() as tg:
      tg.start_soon(scenario.troubles, stage)
      tg.start_soon(stage.load.run)
    cpu = _router_cpu(fleet) - cpu
    await stage.inject(down=False, delay_s=0.0, blocked=[], lose_replies=0)
    for proc in stage.routers:
      if fleet.procs[proc].popen.poll() is None:
        fleet.signal(proc, signal.SIGTERM)
    for proc in stage.routers:
      await anyio.to_thread.run_sync(fleet.procs[proc].popen.wait)
    after = await _count_kv(urls)
    ledgers = {e.name: await ledger.read(kv, e.name) for e in catalogue.entries}
    await kv.close()
    await anyio.to_thread.run_sync(fleet.stop)
  return _report(name, stage, ledgers, before, after, cpu)


def _report(
    name: str,
    stage: Stage,
    ledgers: dict[str, ledger.Ledger],
    before: dict,
    after: dict,
    cpu_s: float,
) -> dict:
  seen = stage.load.seen
  requests = max(1, len(seen))
  accounts = stage.load.accounts
  report = load.summarise(seen, accounts)
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
      notes=stage.notes,
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
