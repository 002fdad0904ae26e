"""`mustardfall bench`: the design against its baseline, and the slopes.

Runs the demo workload on a fresh fleet once with the allotment design
and once with the per-request baseline (a grant of exactly one
request's reservation, settled at once: one CAS per request and one per
settlement), and reports both with their ratios. Then measures the
slopes that docs/CAPACITY.md extrapolates: router CPU per request and
per token, router memory, KV calls per request, and catalogue
propagation time against the number of routers.
"""

import time

import anyio
import httpx

from mustardfall import settings
from mustardfall.bench import demo
from mustardfall.bench import fleet as fleet_lib
from mustardfall.bench import probe
from mustardfall.bench import sample
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client

_IDLE_S = 3.0
"""Seconds over which idle (control-only) costs are sampled."""

BASELINE = settings.Allotment(
    min_tokens=1, horizon_s=0.001, headroom_share=1.0, term_s=0.001
)
"""Allotments that behave as one compare-and-swap per request."""


def _router_usage(fleet: fleet_lib.Fleet) -> probe.Usage:
  cpu, rss = 0.0, 0
  for name, proc in fleet.procs.items():
    if name.startswith("router"):
      got = probe.read(proc.popen.pid)
      cpu, rss = cpu + got.cpu_s, rss + got.rss_bytes
  return probe.Usage(cpu, rss)


async def scenario(
    name: str, allotment: settings.Allotment, count: int, seed: int
) -> dict:
  """Runs the demo workload with `allotment`; returns summary and costs."""
  with fleet_lib.Fleet() as fleet:
    urls = await anyio.to_thread.run_sync(fleet_lib.start_platform, fleet)
    kv = kv_client.Client(urls["kv"], "operator")
    await store.apply(kv, sample.catalogue())
    await kv.close()
    routers = fleet_lib.start_routers(
        fleet, urls, fleet_lib.RETOURHUIS_DCS, allotment=allotment
    )
    await anyio.to_thread.run_sync(fleet.wait_ready)
    await anyio.sleep(0.6)
    idle = _router_usage(fleet)
    started = time.monotonic()
    tally = await demo.drive(routers, count, seed)
    wall = time.monotonic() - started
    busy = _router_usage(fleet)
    for proc in [n for n in fleet.procs if n.startswith("router")]:
      fleet.signal(proc, 15)
      await anyio.to_thread.run_sync(fleet.procs[proc].popen.wait)
    async with httpx.AsyncClient() as http:
      kv_stats = (await http.get(urls["kv"] + "/standin/stats")).json()
    ledgers = await demo._ledgers(urls["kv"])  # noqa: SLF001
    stops = await anyio.to_thread.run_sync(fleet.stop)
  summary = demo.summarise(tally, ledgers, kv_stats, stops)
  tokens = sum(tally.used.values())
  requests = max(summary["requests"], 1)
  summary.update(
      scenario=name,
      wall_s=round(wall, 2),
      router_cpu_ms_per_request=round(
          (busy.cpu_s - idle.cpu_s) * 1e3 / requests, 3
      ),
      router_cpu_us_per_token=round(
          (busy.cpu_s - idle.cpu_s) * 1e6 / max(tokens, 1), 2
      ),
      router_rss_mb=round(busy.rss_bytes / 3 / 2**20, 1),
      kv_calls_per_request=round(kv_stats["calls"] / requests, 3),
  )
  return summary


async def propagation(routers: int) -> dict:
  """Measures how long a catalogue change takes to be in force everywhere."""
  with fleet_lib.Fleet() as fleet:
    urls = await anyio.to_thread.run_sync(
        lambda: fleet_lib.start_platform(fleet, ("lier-a",))
    )
    kv = kv_client.Client(urls["kv"], "operator")
    await store.apply(kv, sample.catalogue())
    dcs = tuple(fleet_lib.RETOURHUIS_DCS[i % 3] for i in range(routers))
    urls_r = fleet_lib.start_routers(fleet, urls, dcs)
    await anyio.to_thread.run_sync(lambda: fleet.wait_ready(60.0))
    pids = [
        p.popen.pid for n, p in fleet.procs.items() if n.startswith("router")
    ]
    idle_rss = sum(probe.read(pid).rss_bytes for pid in pids) / len(pids)
    cpu_before = sum(probe.read(pid).cpu_s for pid in pids)
    calls_before = await _kv_calls(urls["kv"])
    await anyio.sleep(_IDLE_S)
    idle_cpu = (sum(probe.read(pid).cpu_s for pid in pids) - cpu_before) / len(
        pids
    )
    kv_calls = (
        (await _kv_calls(urls["kv"]) - calls_before) / _IDLE_S / len(pids)
    )
    spec = sample.catalogue()
    times = []
    async with httpx.AsyncClient() as http:
      for i in range(5):
        entries = spec.entries[: 10 + i]
        started = time.monotonic()
        revision = await store.apply(kv, model.CatalogueSpec(entries=entries))
        pending = set(urls_r)
        while pending:
          for url in list(pending):
            got = (await http.get(url + "/admin/stats")).json()
            if got["catalogue_revision"] >= revision:
              pending.discard(url)
          await anyio.sleep(0.002)
        times.append(time.monotonic() - started)
    await kv.close()
    await anyio.to_thread.run_sync(fleet.stop)
  times.sort()
  return {
      "routers": routers,
      "median_ms": round(times[len(times) // 2] * 1e3, 1),
      "max_ms": round(times[-1] * 1e3, 1),
      "router_idle_rss_mb": round(idle_rss / 2**20, 1),
      "router_idle_cpu_percent": round(idle_cpu / _IDLE_S * 100, 2),
      "kv_calls_per_router_s_idle": round(kv_calls, 3),
  }


async def _kv_calls(url: str) -> int:
  async with httpx.AsyncClient() as http:
    return (await http.get(url + "/standin/stats")).json()["calls"]


async def run(count: int, seed: int, sizes: tuple[int, ...]) -> dict:
  """Runs every scenario; returns the report."""
  design = await scenario("allotments", settings.Allotment(), count, seed)
  baseline = await scenario("per-request CAS", BASELINE, count, seed)

  def _ratio(key: str) -> float | None:
    if not baseline.get(key):
      return None
    return round(design[key] / baseline[key], 3)

  keys = (
      "kv_writes_per_request",
      "kv_calls_per_request",
      "p95_ttft_ms",
      "router_cpu_ms_per_request",
      "refused",
  )
  spread = [await propagation(n) for n in sizes]
  return {
      "design": design,
      "baseline": baseline,
      "ratio_design_to_baseline": {k: _ratio(k) for k in keys},
      "propagation": spread,
  }
