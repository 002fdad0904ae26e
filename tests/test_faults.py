"""Faults through real processes: SIGTERM, kill -9, partitions, leaving hosts."""

import signal
import time
import uuid

import anyio
import httpx
import openai
import testtools

from mustardfall.bench import fleet as fleet_lib
from mustardfall.bench import sample
from mustardfall.budget import ledger
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client

_ENTRY = sample.catalogue().entries[0]
_SMALL = sample.catalogue().entries[9]


async def _kv_do(url: str, fn):
  kv = kv_client.Client(url, "operator")
  try:
    return await fn(kv)
  finally:
    await kv.close()


class FaultTest(testtools.TestCase):

  def _fleet(self, dcs=("lier-a",), routers=1, tokens_per_s=400.0):
    fleet = fleet_lib.Fleet()
    self.addCleanup(fleet.__exit__)
    urls = fleet_lib.start_platform(fleet, dcs, tokens_per_s)
    anyio.run(
        _kv_do, urls["kv"], lambda kv: store.apply(kv, sample.catalogue())
    )
    names = tuple(dcs[i % len(dcs)] for i in range(routers))
    self.routers = fleet_lib.start_routers(
        fleet, urls, names, tick_s=0.2, drain_s=10.0
    )
    fleet.wait_ready()
    time.sleep(0.6)
    return fleet, urls

  def _client(self, router: str, entry=_ENTRY) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=router + "/v1",
        api_key=entry.api_key,
        max_retries=0,
        timeout=20,
    )

  def _ledger(self, urls, name=_ENTRY.name):
    return anyio.run(_kv_do, urls["kv"], lambda kv: ledger.read(kv, name))

  def _stream(self, router: str, words: int):
    return self._client(router).chat.completions.create(
        model=_ENTRY.model,
        messages=[{"role": "user", "content": f"nx words={words}"}],
        max_tokens=words,
        stream=True,
    )

  def test_sigterm_lets_open_stream_finish_then_settles(self):
    # The caller sees its whole answer: SIGTERM arrives while the stream
    # is open; the router stops taking connections, finishes the stream,
    # then returns its grants, so the ledger holds none afterwards.
    fleet, urls = self._fleet(tokens_per_s=100.0)
    stream = self._stream(self.routers[0], 150)
    words = []
    for chunk in stream:
      if chunk.choices and chunk.choices[0].delta.content:
        if not words:
          fleet.signal("router-1", signal.SIGTERM)
        words.extend(chunk.choices[0].delta.content.split())
    self.assertEqual(150, len(words))
    self.assertEqual(0, fleet.procs["router-1"].popen.wait(timeout=15))
    self.assertEqual({}, self._ledger(urls)["grants"])

  def test_kill_9_breaks_stream_loudly_and_strands_only_its_grant(self):
    # The caller's stream fails with an error, never ends as if whole:
    # the router dies mid-stream; its grant stays counted in the ledger
    # (stranded, not reused), so the budget is never overspent.
    fleet, urls = self._fleet(routers=2, tokens_per_s=100.0)
    stream = self._stream(self.routers[0], 150)
    got = 0

    def _read():
      nonlocal got
      for chunk in stream:
        if chunk.choices and chunk.choices[0].delta.content:
          got += 1
          if got == 3:
            fleet.signal("router-1", signal.SIGKILL)

    self.assertRaises((openai.APIError, httpx.HTTPError), _read)
    self.assertLess(got, 150)
    after = self._ledger(urls)
    self.assertGreaterEqual(ledger.headroom(after), 0)
    self.assertTrue(any(g.startswith("router-1:") for g in after["grants"]))

  def test_booking_retried_after_router_death_is_not_run_twice(self):
    # The caller retries a booking on another router after the first
    # router died: it gets the stored answer, and the service ran once.
    fleet, urls = self._fleet(routers=2)
    key = uuid.uuid4().hex
    headers = {
        "authorization": f"Bearer {_ENTRY.api_key}",
        "idempotency-key": key,
    }
    first = httpx.post(
        self.routers[0] + "/v1/bookings", json={"item": "x"}, headers=headers
    )
    fleet.signal("router-1", signal.SIGKILL)
    again = httpx.post(
        self.routers[1] + "/v1/bookings", json={"item": "x"}, headers=headers
    )
    self.assertEqual(first.json()["booking"], again.json()["booking"])
    stats = httpx.get(urls["service"] + "/standin/stats").json()
    self.assertEqual((1, 0), (stats["executions"], stats["duplicates"]))

  def test_partition_with_top_up_never_overspends(self):
    # A router cut off from the KV serves only from what it holds, and
    # refuses with "not run" once that is gone; a top-up made meanwhile
    # is used by the router that still reaches the KV.
    fleet, urls = self._fleet(routers=2)
    cut, whole = (self._client(r, _SMALL) for r in self.routers)
    used = 0

    def _ask(client) -> str:
      nonlocal used
      try:
        r = client.chat.completions.create(
            model=_SMALL.model,
            messages=[{"role": "user", "content": "nz words=30"}],
            max_tokens=30,
        )
      except openai.APIStatusError as exc:
        self.assertEqual("not_run", exc.body["verdict"])
        return "refused"
      used += r.usage.total_tokens
      return "ok"

    _ask(cut)
    httpx.post(urls["kv"] + "/standin/faults", json={"blocked": ["router-1"]})
    anyio.run(
        _kv_do,
        urls["kv"],
        lambda kv: ledger.top_up(kv, _SMALL.name, 2000, "t1"),
    )
    cut_results = [_ask(cut) for _ in range(12)]
    whole_results = [_ask(whole) for _ in range(12)]
    httpx.post(urls["kv"] + "/standin/faults", json={"blocked": []})
    self.assertIn("refused", cut_results)
    self.assertEqual(["ok"] * 12, whole_results)
    self.assertLessEqual(used, self._ledger(urls, _SMALL.name)["limit"])

  def test_leaving_engine_gets_no_new_work_after_lag(self):
    # No new request reaches an engine a few seconds after the host list
    # marks it leaving: the router polls the list each tick.
    fleet, urls = self._fleet(dcs=("lier-a", "lier-b"))
    leaving = "engine-lier-a"
    entry = {
        "name": leaving,
        "url": urls[leaving],
        "datacentre": "lier-a",
        "kind": "engine",
        "models": ["appraisal", "assistant"],
        "state": "leaving",
    }
    httpx.post(urls["hosts"] + "/hosts", json=entry)
    time.sleep(0.5 + 0.2 + 0.5)  # host-list lag + one tick + margin
    before = httpx.get(urls[leaving] + "/standin/stats").json()["requests"]
    client = self._client(self.routers[0])
    for _ in range(8):
      client.chat.completions.create(
          model=_ENTRY.model,
          messages=[{"role": "user", "content": "nl words=3"}],
          max_tokens=3,
      )
    after = httpx.get(urls[leaving] + "/standin/stats").json()["requests"]
    self.assertEqual(before, after)
