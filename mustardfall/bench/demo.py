"""`mustardfall demo`: a small fleet, a mixed workload, a one-line summary.

Starts the KV, the host list, three engines (one per Retourhuis data
centre), a booking service and three routers as processes; applies the
sample catalogue; sends chat requests to the routers with the official
`openai` client (streamed and not, urgent and deferrable) and bookings that
are retried with the same Idempotency-Key; stops everything with SIGTERM; and
compares the usage that the callers counted with the usage that the ledgers
billed.
"""

import collections
from collections.abc import Callable
import random
import signal
import statistics
import time
import uuid

import anyio
import httpx
import openai

from mustardfall.bench import fleet as fleet_lib
from mustardfall.bench import sample
from mustardfall.budget import ledger
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client

_MAX_CONCURRENT_REQUESTS = 24


class CallerStats:
  """Results as counted by the callers, overall and per budget."""

  def __init__(self) -> None:
    self.counts: collections.Counter[str] = collections.Counter()
    self.used: collections.Counter[str] = collections.Counter()
    self.ttft_s: list[float] = []


async def _chat(
    client: openai.AsyncOpenAI, entry, stats: CallerStats, rng: random.Random
) -> None:
  nonce = f"n{uuid.uuid4().hex[:10]}"
  words = rng.randint(4, 60)
  stream = rng.random() < 0.6
  messages = [
      {"role": "user", "content": f"{nonce} appraise lot words={words}"}
  ]
  started = time.monotonic()
  try:
    if stream:
      parts, usage, first = [], None, None
      response = await client.chat.completions.create(
          model=entry.model,
          messages=messages,
          max_tokens=64,
          stream=True,
          stream_options={"include_usage": True},
      )
      async for chunk in response:
        if chunk.usage:
          usage = chunk.usage
        if chunk.choices and chunk.choices[0].delta.content:
          first = first or time.monotonic()
          parts.append(chunk.choices[0].delta.content)
      text = "".join(parts)
      stats.ttft_s.append((first or time.monotonic()) - started)
    else:
      response = await client.chat.completions.create(
          model=entry.model,
          messages=messages,
          max_tokens=64,
      )
      text, usage = response.choices[0].message.content, response.usage
  except openai.APIStatusError as exc:
    verdict = (
        (exc.body or {}).get("verdict") if isinstance(exc.body, dict) else None
    )
    stats.counts["refused" if exc.status_code in (429, 503) else "failed"] += 1
    stats.counts[f"verdict:{verdict}"] += 1
    return
  except openai.APIError:
    stats.counts["may_have_run"] += 1
    return
  words_received = text.split()
  if (
      not words_received
      or words_received[0] != nonce
      or usage is None
      or len(words_received) != usage.completion_tokens
  ):
    stats.counts["crossed"] += 1
  stats.counts["completed"] += 1
  stats.used[entry.name] += usage.total_tokens if usage else 0


async def _book(
    http: httpx.AsyncClient, router: str, entry, stats: CallerStats
) -> None:
  key = uuid.uuid4().hex
  for attempt in range(2):  # The second call is a retry of the first.
    reply = await http.post(
        router + "/v1/bookings",
        json={"item": "pallet"},
        headers={
            "authorization": f"Bearer {entry.api_key}",
            "idempotency-key": key,
        },
    )
    if reply.status_code == 200 and not reply.headers.get(
        "x-mustardfall-replayed"
    ):
      stats.used[entry.name] += 1
      stats.counts["completed"] += 1
      stats.counts["booked"] += 1
    elif reply.status_code == 200:
      stats.counts["replayed"] += 1
    else:
      stats.counts["refused"] += 1
    if attempt == 0:
      stats.counts["requests"] += 1


async def drive(routers: list[str], count: int, seed: int) -> CallerStats:
  """Sends `count` requests to `routers` in turn; returns the callers' counts."""
  rng = random.Random(seed)
  entries = sample.catalogue().entries
  stats = CallerStats()
  limiter = anyio.Semaphore(_MAX_CONCURRENT_REQUESTS)
  clients = {
      (r, e.api_key): openai.AsyncOpenAI(
          base_url=r + "/v1", api_key=e.api_key, max_retries=0, timeout=30
      )
      for r in routers
      for e in entries
  }
  async with httpx.AsyncClient(timeout=30) as http:

    async def _send_request(i: int) -> None:
      async with limiter:
        router = routers[i % len(routers)]
        # Small budgets get a larger share of the load, so that some requests
        # are refused.
        entry = (
            entries[rng.choice([9, 19])]
            if rng.random() < 0.15
            else rng.choice(entries)
        )
        if rng.random() < 0.1:
          await _book(http, router, entry, stats)
        else:
          stats.counts["requests"] += 1
          await _chat(clients[(router, entry.api_key)], entry, stats, rng)

    async with anyio.create_task_group() as tg:
      for i in range(count):
        tg.start_soon(_send_request, i)
  return stats


async def _ledgers(kv_url: str) -> dict[str, ledger.Ledger]:
  kv = kv_client.Client(kv_url, "demo")
  try:
    out = {}
    for e in sample.catalogue().entries:
      out[e.name] = await ledger.read(kv, e.name)
    return out
  finally:
    await kv.close()


async def _apply(kv_url: str) -> int:
  kv = kv_client.Client(kv_url, "operator")
  try:
    return await store.apply(kv, sample.catalogue())
  finally:
    await kv.close()


def summarise(
    stats: CallerStats,
    ledgers: dict[str, ledger.Ledger],
    kv_stats: dict,
    stops: dict,
) -> dict:
  """Returns the summary, which compares the callers' counts and the ledgers."""
  overspend = sum(
      max(0, stats.used[name] - ld["limit"]) for name, ld in ledgers.items()
  )
  overbilled = sum(
      max(0, ld["spent"] - stats.used[name]) for name, ld in ledgers.items()
  )
  ttft = sorted(stats.ttft_s)
  p95 = ttft[int(0.95 * (len(ttft) - 1))] * 1000 if ttft else None
  requests = stats.counts["requests"]
  return {
      "requests": requests,
      "completed": stats.counts["completed"],
      "refused": stats.counts["refused"],
      "may_have_run": stats.counts["may_have_run"],
      "replayed_bookings": stats.counts["replayed"],
      "overspend_tokens": overspend,
      "double_billed": overbilled,
      "crossed_answers": stats.counts["crossed"],
      "stranded_grants": sum(len(ld["grants"]) for ld in ledgers.values()),
      "p95_ttft_ms": round(p95, 1) if p95 is not None else None,
      "median_ttft_ms": round(statistics.median(ttft) * 1000, 1)
      if ttft
      else None,
      "kv_writes": kv_stats.get("writes"),
      "kv_calls": kv_stats.get("calls"),
      "kv_writes_per_request": round(
          kv_stats.get("writes", 0) / max(requests, 1), 3
      ),
      "unclean_exits": sum(1 for c in stops.values() if c != 0),
  }


def format_usage(routers: list[str]) -> str:
  """Returns instructions for sending a request to the running fleet."""
  key = sample.catalogue().entries[0].api_key
  body = '{"messages": [{"role": "user", "content": "hi"}], "max_tokens": 5}'
  lines = [f"router: {url}" for url in routers]
  lines += [f"API key: {key}", "try:"]
  lines += [
      f"  curl -H 'Authorization: Bearer {key}' -H 'content-type:"
      f" application/json' -d '{body}' {routers[0]}/v1/chat/completions"
  ]
  return "\n".join([*lines, "Ctrl-C ends the fleet."])


async def run(
    count: int = 240,
    seed: int = 7,
    keep: Callable[[str], None] | None = None,
) -> dict:
  """Runs the demo; returns the summary.

  Args:
    count: number of requests.
    seed: of the load's random choices.
    keep: if given, it is called with instructions for sending a request once
      the load has ended, and the fleet runs until SIGINT or SIGTERM.
  """
  with fleet_lib.Fleet() as fleet:
    urls = await anyio.to_thread.run_sync(fleet_lib.start_platform, fleet)
    await _apply(urls["kv"])
    routers = fleet_lib.start_routers(fleet, urls, fleet_lib.RETOURHUIS_DCS)
    await anyio.to_thread.run_sync(fleet.wait_ready)
    await anyio.sleep(0.6)  # until the routers have read the host list
    stats = await drive(routers, count, seed)
    if keep is not None:
      keep(format_usage(routers))
      with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
          break
    for name in [n for n in fleet.procs if n.startswith("router")]:
      fleet.signal(name, 15)
    for name in [n for n in fleet.procs if n.startswith("router")]:
      await anyio.to_thread.run_sync(fleet.procs[name].popen.wait)
    async with httpx.AsyncClient() as http:
      kv_stats = (await http.get(urls["kv"] + "/standin/stats")).json()
    ledgers = await _ledgers(urls["kv"])
    stops = await anyio.to_thread.run_sync(fleet.stop)
  return summarise(stats, ledgers, kv_stats, stops)
