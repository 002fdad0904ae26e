"""Measures the unit costs that docs/CAPACITY.md extrapolates.

Each measurement starts a small fleet of real processes, varies one parameter
and reports the cost for a router or the KV: processor time per request and
per token, memory per open stream, control costs while idle, and the time until
a catalogue change is in force for different numbers of routers.
"""

import statistics
import time

import anyio
import httpx

from mustardfall import settings
from mustardfall.bench import fleet as fleet_lib
from mustardfall.bench import load
from mustardfall.bench import probe
from mustardfall.bench import sample
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client

_IDLE_S = 6.0
"""Time over which the costs of an idle fleet (control only) are measured."""
_CHANGE_COUNT = 7
"""Number of catalogue changes that are timed per number of routers."""
_STREAM_COUNTS = (50, 300)
"""Numbers of open streams; the difference gives the memory of one stream."""
_LENGTHS_AND_COUNTS = ((20, 150), (320, 40))
"""Pairs of answer length in tokens and number of answers. Two lengths separate
the processor time per request from that per token."""


class _TestFleet:
  """A running fleet and the resource usage of its processes."""

  def __init__(self, fleet, urls, routers) -> None:
    self.urls = urls
    self.routers = routers
    self.admin = fleet.admin
    self.pids = [
        p.popen.pid for n, p in fleet.procs.items() if n.startswith("router")
    ]
    self.kv_pid = fleet.procs["kv"].popen.pid

  def cpu_s(self) -> float:
    return sum(probe.read(pid).cpu_s for pid in self.pids)

  def rss_mb(self) -> float:
    return sum(probe.read(p).rss_bytes for p in self.pids) / 2**20

  async def kv_stats(self) -> dict:
    async with httpx.AsyncClient() as http:
      return (await http.get(self.urls["kv"] + "/standin/stats")).json()


async def _with_fleet(routers: int, measure, tokens_per_s=400.0) -> dict:
  engine = {"slots": 400, "tokens_per_s": tokens_per_s}
  with fleet_lib.Fleet() as fleet:
    urls = await anyio.to_thread.run_sync(
        lambda: fleet_lib.start_platform(fleet, engine=engine)
    )
    kv = kv_client.Client(urls["kv"], "operator")
    await store.apply(kv, sample.catalogue(tokens=50_000_000))
    dcs = tuple(fleet_lib.RETOURHUIS_DCS[i % 3] for i in range(routers))
    scheduler = settings.Scheduler(initial_limit=400, max_limit=400)
    urls_r = fleet_lib.start_routers(fleet, urls, dcs, scheduler=scheduler)
    await anyio.to_thread.run_sync(lambda: fleet.wait_ready(60.0))
    await anyio.sleep(2.0)
    try:
      return await measure(_TestFleet(fleet, urls, urls_r), kv)
    finally:
      await kv.close()
      await anyio.to_thread.run_sync(fleet.stop)


async def _stream_answer(
    http, url: str, entry: model.EntrySpec, words: int
) -> int:
  """Streams one answer; returns its tokens."""
  body = {
      "model": entry.model,
      "messages": [{"role": "user", "content": f"n words={words}"}],
      "max_tokens": words,
      "stream": True,
      "stream_options": {"include_usage": True},
  }
  headers = {"authorization": f"Bearer {entry.api_key}"}
  tokens = 0
  async with http.stream(
      "POST", url + "/v1/chat/completions", json=body, headers=headers
  ) as reply:
    async for line in reply.aiter_lines():
      tokens += line.startswith("data: {")
  return tokens


async def processor_time() -> dict:
  """Measures a router's processor time per request and per token.

  Loads with short and with long answers on one router give two equations.
  """

  async def _measure(test_fleet: _TestFleet, _) -> dict:
    entries = sample.catalogue().entries[:8]
    points = []
    async with httpx.AsyncClient(timeout=60) as http:
      await _stream_answer(http, test_fleet.routers[0], entries[0], 20)
      for words, count in _LENGTHS_AND_COUNTS:
        before = test_fleet.cpu_s()
        async with anyio.create_task_group() as tg:
          for i in range(count):
            entry = entries[i % len(entries)]
            tg.start_soon(
                _stream_answer, http, test_fleet.routers[0], entry, words
            )
            await anyio.sleep(0.02)
        points.append((words, (test_fleet.cpu_s() - before) / count))
    (w1, c1), (w2, c2) = points
    per_token = (c2 - c1) / (w2 - w1)
    return {
        "cpu_ms_per_request": round((c1 - per_token * w1) * 1e3, 2),
        "cpu_us_per_token": round(per_token * 1e6, 1),
        "points": [
            {"words": w, "cpu_ms": round(c * 1e3, 2)} for w, c in points
        ],
    }

  return await _with_fleet(1, _measure)


async def stream_memory() -> dict:
  """Measures a router's memory per open stream."""

  async def _measure(test_fleet: _TestFleet, _) -> dict:
    entry = sample.catalogue().entries[0]
    sizes = []
    limits = httpx.Limits(max_connections=1000)
    for count in _STREAM_COUNTS:
      async with (
          httpx.AsyncClient(timeout=60, limits=limits) as http,
          anyio.create_task_group() as tg,
      ):
        for _ in range(count):
          tg.start_soon(
              _stream_answer, http, test_fleet.routers[0], entry, 4000
          )
        await anyio.sleep(3.0)
        sizes.append(test_fleet.rss_mb())
        tg.cancel_scope.cancel()
      await anyio.sleep(1.0)
    per_stream = (sizes[1] - sizes[0]) / (_STREAM_COUNTS[1] - _STREAM_COUNTS[0])
    return {
        "kb_per_open_stream": round(per_stream * 1024, 1),
        "rss_mb": [round(s, 1) for s in sizes],
        "streams": list(_STREAM_COUNTS),
    }

  # Slow engines keep the streams open without much traffic.
  return await _with_fleet(1, _measure, tokens_per_s=5.0)


async def control(routers: int) -> dict:
  """Measures idle costs and the time until a change is in force everywhere."""

  async def _measure(test_fleet: _TestFleet, kv) -> dict:
    stats, cpu, kv_cpu = (
        await test_fleet.kv_stats(),
        test_fleet.cpu_s(),
        _cpu(test_fleet.kv_pid),
    )
    wire = probe.read_loopback_bytes()
    await anyio.sleep(_IDLE_S)
    per_router_s = len(test_fleet.pids) * _IDLE_S
    idle_cpu = (test_fleet.cpu_s() - cpu) / per_router_s
    idle_kv_cpu = (_cpu(test_fleet.kv_pid) - kv_cpu) / per_router_s
    idle_wire = (probe.read_loopback_bytes() - wire) / per_router_s
    after = await test_fleet.kv_stats()
    times = await _time_changes(test_fleet, kv)
    return {
        "routers": routers,
        "in_force_ms_median": round(statistics.median(times) * 1e3, 1),
        "in_force_ms_max": round(max(times) * 1e3, 1),
        "idle_rss_mb": round(test_fleet.rss_mb() / len(test_fleet.pids), 1),
        "idle_cpu_percent": round(idle_cpu * 100, 2),
        "idle_wire_kb_s": round(idle_wire / 1024, 2),
        "kv_cpu_percent_per_router": round(idle_kv_cpu * 100, 3),
        "kv_writes_per_router_s": round(
            (after["writes"] - stats["writes"]) / per_router_s, 3
        ),
        "kv_reads_per_router_s": round(
            (after["reads"] - stats["reads"]) / per_router_s, 3
        ),
    }

  return await _with_fleet(routers, _measure)


def _cpu(pid: int) -> float:
  return probe.read(pid).cpu_s


async def _time_changes(
    test_fleet: _TestFleet, kv: kv_client.Client
) -> list[float]:
  """Returns, for each change, the time until all routers have it in force.

  The time starts with the operator's command. Routers record when a revision
  came into force. They are queried only afterwards, so that polling does not
  affect the measurement.
  """
  spec = sample.catalogue()
  times = []
  async with httpx.AsyncClient() as http:
    for i in range(_CHANGE_COUNT):
      entries = spec.entries[: 10 + i]
      change = model.CatalogueSpec(customers=spec.customers, entries=entries)
      started = time.time()
      revision = await store.apply(kv, change)
      await anyio.sleep(1.5)
      worst = 0.0
      for url in test_fleet.routers:
        got = (await http.get(test_fleet.admin[url] + "/stats")).json()
        if got["catalogue_revision"] < revision:
          raise RuntimeError(
              f"{url}: catalogue revision {revision} not in force after 1.5 s"
          )
        worst = max(worst, got["catalogue_since"] - started)
      times.append(worst)
  return times


async def allotment_writes() -> dict:
  """Measures KV calls by request rate and number of budgets, with 6 routers."""
  out = []

  async def _measure(
      test_fleet: _TestFleet, _, rate: float, budgets: int
  ) -> dict:
    entries = sample.catalogue(tokens=50_000_000).entries[:budgets]
    mix = load.Mix(rate, 8.0, (4, 30), lambda _: 1.0)
    runner = load.Load(entries, lambda: list(test_fleet.routers), mix, 3)
    before = await test_fleet.kv_stats()
    peer_before = await _peer_calls(test_fleet)
    await runner.run()
    after = await test_fleet.kv_stats()
    return {
        "rate": rate,
        "budgets": budgets,
        "kv_writes_s": round((after["writes"] - before["writes"]) / 8.0, 2),
        "kv_reads_s": round((after["reads"] - before["reads"]) / 8.0, 2),
        "peer_calls_per_request": round(
            (await _peer_calls(test_fleet) - peer_before) / len(runner.records),
            2,
        ),
    }

  for rate, budgets in ((30.0, 4), (120.0, 4), (30.0, 18), (120.0, 18)):
    out.append(
        await _with_fleet(
            6,
            lambda test_fleet, kv, r=rate, b=budgets: _measure(
                test_fleet, kv, r, b
            ),
        )
    )
  return {"points": out}


async def _peer_calls(test_fleet: _TestFleet) -> int:
  total = 0
  async with httpx.AsyncClient() as http:
    for url in test_fleet.routers:
      total += (await http.get(test_fleet.admin[url] + "/stats")).json()[
          "peer_calls"
      ]
  return total


async def run(sizes: tuple[int, ...]) -> dict:
  """Runs all measurements; `sizes` are the numbers of routers to compare."""
  return {
      "processor_time": await processor_time(),
      "stream_memory": await stream_memory(),
      "allotment_writes": await allotment_writes(),
      "control": [await control(n) for n in sizes],
  }
