"""Test case that starts a small fleet of router processes and stand-ins."""

import time

import anyio
import httpx
import openai
import testtools

from mustardfall import settings
from mustardfall.bench import fleet as fleet_lib
from mustardfall.bench import sample
from mustardfall.budget import ledger
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client

ENTRY = sample.catalogue().entries[0]
SMALL_ENTRY = sample.catalogue().entries[9]
"""The entry with the small budget, of the first customer's last team."""
SHORT_LEASE = settings.Membership(ttl_s=2, grace_s=1.0, watch_idle_s=3.0)
"""Routers notice within about three seconds that another has exited."""


async def call_kv(url: str, fn):
  kv = kv_client.Client(url, "operator")
  try:
    return await fn(kv)
  finally:
    await kv.close()


class FleetCase(testtools.TestCase):

  def start(
      self,
      dcs=("lier-a",),
      routers=1,
      tokens_per_s=400.0,
      engine=None,
      **overrides,
  ):
    """Starts stand-ins and routers; sets `fleet`, `urls` and `routers`.

    `engine` overrides settings of the engines, `overrides` of the routers.
    """
    self.fleet = fleet_lib.Fleet()
    self.addCleanup(self.fleet.__exit__)
    engine = {"tokens_per_s": tokens_per_s} | (engine or {})
    self.urls = fleet_lib.start_platform(self.fleet, dcs, engine)
    self.call_kv(lambda kv: store.apply(kv, sample.catalogue()))
    datacentres = tuple(dcs[i % len(dcs)] for i in range(routers))
    settings_overrides = {
        "tick_s": 0.2,
        "drain_s": 10.0,
        "lame_duck_s": 0.2,
    } | overrides
    self.routers = fleet_lib.start_routers(
        self.fleet, self.urls, datacentres, **settings_overrides
    )
    self.fleet.wait_ready()
    time.sleep(0.6)

  def call_kv(self, fn):
    return anyio.run(call_kv, self.urls["kv"], fn)

  def client(self, router: str, entry=ENTRY) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=router + "/v1",
        api_key=entry.api_key,
        max_retries=0,
        timeout=20,
    )

  def ledger(self, name=ENTRY.name) -> ledger.Ledger:
    return self.call_kv(lambda kv: ledger.read(kv, name))

  def ask(self, router: str, words: int, entry=ENTRY, **more):
    return self.client(router, entry).chat.completions.create(
        model=entry.model,
        messages=[{"role": "user", "content": f"nx words={words}"}],
        max_tokens=words,
        **more,
    )

  def stream(self, router: str, words: int, entry=ENTRY):
    return self.ask(router, words, entry, stream=True)

  def book(self, router: str, key: str, entry=ENTRY) -> httpx.Response:
    headers = {
        "authorization": f"Bearer {entry.api_key}",
        "idempotency-key": key,
    }
    body = {"item": "pallet"}
    return httpx.post(
        router + "/v1/bookings", json=body, headers=headers, timeout=20
    )

  def inject(self, name: str, **faults) -> None:
    """Injects faults into the stand-in `name`."""
    httpx.post(self.urls[name] + "/standin/faults", json=faults)

  def standin_stats(self, name: str) -> dict:
    return httpx.get(self.urls[name] + "/standin/stats").json()

  def set_host(self, name: str, state: str) -> None:
    """Changes an engine's state in the host list."""
    entry = settings.HostEntry(
        name=name,
        url=self.urls[name],
        datacentre=name.removeprefix("engine-"),
        kind="engine",
        models=["appraisal", "assistant"],
        state=state,
    )
    httpx.post(self.urls["hosts"] + "/hosts", json=entry.model_dump())

  def wait_until(self, check, timeout_s: float = 10.0) -> None:
    """Waits until `check()` is true; fails after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while not check():
      if time.monotonic() > deadline:
        self.fail(f"condition not met within {timeout_s} s")
      time.sleep(0.1)
