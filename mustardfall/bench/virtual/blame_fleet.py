"""Blame for crashing parts of prompts in fleets of any size, in virtual time.

Each router runs the product's `quarantine`, `verdicts`, `trials` and `permits`;
datagrams, endpoints and callers are simulated. Some requests have a part that
crashes the endpoints that begin to write on it, no two of them alike. Sound
requests share their team and their other parts.
"""

import collections
from collections.abc import Iterable
import dataclasses
import json
import random
import statistics
from typing import Any, NamedTuple

import anyio

from mustardfall import errors
from mustardfall.bench.virtual import loop
from mustardfall.bench.virtual import routers
from mustardfall.kv import protocol
from mustardfall.membership import members as members_lib
from mustardfall.membership import permits as permits_lib
from mustardfall.membership import trials as trials_lib
from mustardfall.membership import verdicts as verdicts_lib
from mustardfall.routing import limited_endpoints
from mustardfall.routing import quarantine

CONTACT_S = 3.0
"""Time after the fifth crash within which all routers must know of a part."""
_BORNE_CRASHES = 5
_TEAM = "acme"
_QUEUE_S = 0.1
"""Mean time from sending a request to the begin of its answer."""
_MAX_ATTEMPTS = 2
_TICK_S = 0.05
_STORE_CALL_S = 0.004
_PEER_CALL_S = 0.003


class Way(NamedTuple):
  """A way to find what crashes endpoints."""

  name: str
  policy: quarantine.Policy = quarantine.DEFAULT_POLICY
  counts_parts: bool = True
  has_proof: bool = True
  """Whether successes speak for parts."""
  stops_retries: bool = True


_NO_TRIALS = quarantine.Policy(
    trial_crashes=1_000_000, proven_trial_crashes=1_000_000
)
WAYS = (
    Way("requests", counts_parts=False, stops_retries=False),
    Way("parts", _NO_TRIALS, has_proof=False, stops_retries=False),
    Way("proof", _NO_TRIALS, stops_retries=False),
    Way("no retries", _NO_TRIALS),
    Way("trials", stops_retries=False),
    Way("deployed"),
)
"""From blame for whole requests to what is deployed."""


class Day(NamedTuple):
  """A fleet, its load and its troubles."""

  routers: int = 9
  datacentres: int = 3
  regions: int = 1
  requests_per_s: float = 6.0
  """Sound requests of the team at each router."""
  first_parts: int = 20
  """First parts of the prompts; they are drawn unevenly."""
  second_parts: int = 130
  bad_first: int | None = None
  """The first part of all requests with a bad part; None: any."""
  like_requests: int = 0
  """Number of different sound requests, each sent by many callers; 0: no two are
  alike."""
  run_s: float = 1.0
  """Mean duration of an answer, beyond the least one."""
  least_run_s: float = 0.0
  endpoints_per_router: float = 2.0
  endpoint_down_s: float = 2.5
  bad_parts: int = 1
  bad_per_s: float = 4.0
  """Requests with a bad part, at all routers together, for each part."""
  bad_from_s: float = 6.0
  bad_writes_s: float = 0.0
  """How long endpoints write an answer on a bad part until they crash."""
  sound_before: bool = False
  """Whether requests had the bad parts before they crashed endpoints."""
  bad_until_s: float = float("inf")
  """When the bad parts become sound."""
  deaths_per_s: float = 0.0
  """Endpoints that crash for other reasons, one at a time."""
  rack: int = 0
  """Endpoints that end together, twice."""
  rollout_per_s: float = 0.0
  """Endpoints that are replaced; they end with requests in flight."""
  killed: float = 0.0
  kill_at_s: float = 7.0
  down_s: float = 0.8
  unheard: float = 0.0
  seconds: float = 20.0
  loss: float = 0.005
  doubled: float = 0.01
  late: float = 0.01


@dataclasses.dataclass
class _Endpoint:
  """One life of an endpoint."""

  life: str
  ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
  is_leaving: bool = False


class _Request(NamedTuple):
  """A request."""

  key: str
  """The key of the whole request."""
  parts: tuple[str, ...]
  """The parts of its prompt but the last."""


@dataclasses.dataclass
class Result:
  """What came of a day."""

  crashes: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Endpoints ended, by the part, or the reason."""
  late: int = 0
  """Requests with a bad part sent later than `CONTACT_S` after the fifth
  crash under it."""
  sound: int = 0
  served: int = 0
  """Sound requests completed at the first attempt of their caller."""
  waits_s: list[float] = dataclasses.field(default_factory=list)
  """How long sound requests were held back."""
  refused: int = 0
  """Sound requests that were refused for a quarantine."""
  blamed: set[str] = dataclasses.field(default_factory=set)
  """Sound parts that were quarantined at a router."""
  sound_again_s: float = -1.0
  """Time from when a bad part is sound until one such request completes."""
  most_rows: int = 0
  peer_calls: int = 0
  """Calls between routers."""

  def summary(self, fleet: "_Fleet") -> dict[str, Any]:
    """The figures of the day."""
    day = fleet.day
    waits = sorted(self.waits_s) or [0.0]
    bad = [n for part, n in self.crashes.items() if part.startswith("bad")]
    rate = day.routers * day.seconds
    return {
        "routers": day.routers,
        "ended": sum(bad),
        "ended_most": max(bad, default=0),
        "late": self.late,
        "served": round(self.served / max(1, self.sound), 4),
        "refused": self.refused,
        "false_parts": len(self.blamed),
        "held_mean_ms": round(1000 * statistics.fmean(waits), 2),
        "held_99_ms": round(1000 * waits[int(0.99 * len(waits))], 1),
        "held_max_ms": round(1000 * waits[-1]),
        "again_s": round(self.sound_again_s, 1),
        "rows": self.most_rows,
        "datagrams_s": round(fleet.datagrams.total() / rate, 2),
        "bytes_s": round(fleet.sent_bytes.total() / rate),
        "store_calls": fleet.store.calls,
        "peer_calls": self.peer_calls,
    }


class _Store:
  """The store, as far as verdicts need it."""

  def __init__(self) -> None:
    self.records: dict[str, protocol.Record] = {}
    self.calls = 0

  async def _call(self) -> None:
    self.calls += 1
    await anyio.sleep(_STORE_CALL_S)

  async def grant_lease(self, ttl_s: float) -> int:
    """Returns a lease; it does not end on the day."""
    del ttl_s
    await self._call()
    return 1

  async def put(self, key: str, value: bytes, lease: int = 0) -> None:
    """Writes a record."""
    await self._call()
    self.records[key] = protocol.Record(key, value, 1, lease)

  async def get_prefix(self, prefix: str) -> tuple[int, list[protocol.Record]]:
    """Returns all records."""
    del prefix
    await self._call()
    return 1, list(self.records.values())


class _Notices:
  """Says that the router does not read the store."""

  is_reader = False


class _Limits:
  """No endpoint is limited; see `limited_endpoints.LimitedEndpoints`."""

  def find_life(self, life: str) -> limited_endpoints.LimitedEndpoint | None:
    del life

  def listed_at(self, life: str) -> float:
    del life
    return -float("inf")

  def all(self) -> list[limited_endpoints.LimitedEndpoint]:
    return []


class _Instruments:
  """Exports nothing."""

  def observe_totals(self, *args: Any) -> None:
    del args


class _Router:
  """One life of a router."""

  def __init__(self, fleet: "_Fleet", me: members_lib.Member) -> None:
    self.me = me
    self.port = routers.Port(fleet, me.name)
    self.scope = anyio.CancelScope()
    clock = loop.Clock()
    members = routers.Members(fleet, me)
    self.table = quarantine.Table(clock, fleet.way.policy)
    self.verdicts = verdicts_lib.Verdicts(
        self.table,
        members,
        self.port,
        _Notices(),
        fleet.store,
        clock,
        fleet.post,
        random.Random(fleet.rng.random()),
    )
    instruments = _Instruments()
    self.permits = permits_lib.Permits(
        members, self.port, _Limits(), instruments, clock
    )
    self.trials = trials_lib.Trials(
        self.table, self.permits, instruments, clock
    )

  async def run(self) -> None:
    """Runs the router's modules until its scope is cancelled."""
    with self.scope:
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(self.verdicts.run)
        tasks.start_soon(self.permits.run)


class _Fleet(routers.Fleet):
  """All routers of a day, their endpoints and their callers."""

  def __init__(self, day: Day, way: Way, seed: int, tasks) -> None:
    self.way = way
    self.result = Result()
    self.store = _Store()
    self.load_rng = random.Random(f"load {seed}")
    count = max(4, round(day.routers * day.endpoints_per_router))
    self.endpoints = {n: _Endpoint(f"e{n}-0") for n in range(count)}
    self._fifth_crash_at: dict[str, float] = {}
    self._numbers = 0
    super().__init__(day, seed, tasks)

  def make_router(self, member: members_lib.Member) -> _Router:
    """Returns a new life of a router."""
    return _Router(self, member)

  async def post(
      self, url: str, body: dict[str, Any], timeout_s: float
  ) -> dict[str, Any]:
    """Calls a router; see `peers.Post`."""
    self.result.peer_calls += 1
    router = self.up.get(url.removeprefix("http://").partition(":")[0])
    await anyio.sleep(_PEER_CALL_S if router is not None else timeout_s)
    if router is None:
      raise errors.PeerUnavailableError("killed")
    return await router.verdicts.serve(json.loads(json.dumps(body)))

  def is_bad(self, part: str) -> bool:
    """Whether a part crashes endpoints now."""
    now = anyio.current_time()
    is_time = self.day.bad_from_s <= now < self.day.bad_until_s
    return part.startswith("bad") and is_time

  async def end_endpoint(self, endpoint: _Endpoint, reason: str) -> None:
    """Ends an endpoint and starts another in its place after a while."""
    if endpoint.ended.is_set():
      return
    self.result.crashes[reason] += 1
    if self.result.crashes[reason] == _BORNE_CRASHES:
      self._fifth_crash_at[reason] = anyio.current_time()
    endpoint.ended.set()
    slot = next(n for n, e in self.endpoints.items() if e is endpoint)
    del self.endpoints[slot]
    self.tasks.start_soon(self._start_endpoint, slot, endpoint.life)

  async def _start_endpoint(self, slot: int, life: str) -> None:
    await anyio.sleep(self.day.endpoint_down_s)
    self.endpoints[slot] = _Endpoint(life + "+")

  async def trouble(self) -> None:
    """Ends endpoints for other reasons than bad parts."""
    racks = [self.day.bad_from_s, self.day.bad_from_s + 4.0]
    while True:
      await anyio.sleep(_TICK_S)
      up = list(self.endpoints.values())
      if self.day.rack and racks and anyio.current_time() >= racks[0]:
        racks.pop(0)
        for endpoint in self.rng.sample(up, min(len(up) - 1, self.day.rack)):
          self.tasks.start_soon(self._end_soon, endpoint)
      elif self.rng.random() < self.day.deaths_per_s * _TICK_S:
        await self.end_endpoint(self.rng.choice(up), "other")
      elif self.rng.random() < self.day.rollout_per_s * _TICK_S:
        endpoint = self.rng.choice(up)
        endpoint.is_leaving = True
        await self.end_endpoint(endpoint, "rollout")

  async def _end_soon(self, endpoint: _Endpoint) -> None:
    await anyio.sleep(self.rng.uniform(0.0, 0.05))
    await self.end_endpoint(endpoint, "rack")

  def _make_request(self, bad: str | None) -> _Request:
    self._numbers += 1
    rng, day = self.load_rng, self.day
    if bad is None and day.like_requests:
      number = rng.randrange(day.like_requests)
      return _Request(f"like{number}", (f"a{number}", f"b{number}"))
    first = int(day.first_parts * rng.random() ** 1.5)
    if bad is not None and day.bad_first is not None:
      first = day.bad_first
    second = int(day.second_parts * rng.random() ** 1.5)
    parts = (f"a{first}", bad or f"b{second}")
    return _Request(f"q{self._numbers:06}", parts)

  async def call(self, bad: str | None = None) -> None:
    """Plays one request at any router."""
    request = self._make_request(bad)
    router = self.load_rng.choice(list(self.up.values()))
    began_at = anyio.current_time()
    outcome = await self._serve(router, request)
    if bad is not None:
      is_sound = began_at >= self.day.bad_until_s
      if is_sound and outcome == "served" and self.result.sound_again_s < 0:
        now = anyio.current_time()
        self.result.sound_again_s = now - self.day.bad_until_s
      return
    if began_at < self.day.bad_from_s or outcome == "killed":
      return
    self.result.sound += 1
    self.result.served += outcome == "served"
    self.result.refused += outcome == "refused"

  async def _serve(self, router: _Router, request: _Request) -> str:
    """Returns `served`, `refused`, `lost`, or `killed` with the router."""
    parts = request.parts if self.way.counts_parts else ()
    for attempt in range(1, _MAX_ATTEMPTS + 1):
      began_at = anyio.current_time()
      units = (request.key, *parts)
      trial = await router.trials.begin(request.key, units)
      if not any(part.startswith("bad") for part in request.parts):
        self.result.waits_s.append(anyio.current_time() - began_at)
      if self.up.get(router.me.name) is not router:
        return "killed"
      if any(map(router.table.remaining_s, units)):
        if trial is not None:
          router.trials.end(trial, "")
        return "refused" if attempt == 1 else "lost"
      if not self.endpoints:
        return "lost"
      sent_at = anyio.current_time()
      wrote_s, crashed = await self._attempt(request)
      ran_s = anyio.current_time() - sent_at
      if self.up.get(router.me.name) is not router:
        return "killed"
      if crashed is None:
        keys = parts if self.way.has_proof else ()
        router.verdicts.note_success(request.key, *keys, age_s=ran_s)
      was_writing = wrote_s >= quarantine.WRITING_S
      if crashed is not None and not crashed.is_leaving:
        self._report(router, request, parts, crashed, ran_s, was_writing)
      if trial is not None and (crashed is None or was_writing):
        router.trials.end(trial, "")
      elif trial is not None:
        router.trials.abandon(trial)
      if crashed is None:
        return "served"
      is_open = not was_writing and any(map(router.table.is_suspected, parts))
      if self.way.stops_retries and is_open and not crashed.is_leaving:
        return "lost"
    return "lost"

  def _report(
      self,
      router: _Router,
      request: _Request,
      parts: tuple[str, ...],
      crashed: _Endpoint,
      ran_s: float,
      was_writing: bool,
  ) -> None:
    suspects = router.table.rank_suspects(parts)
    report = quarantine.CrashReport(
        request.key,
        _TEAM,
        crashed.life,
        ran_s,
        was_writing=was_writing,
    )
    router.verdicts.note_end(report, suspects)

  async def _attempt(self, request: _Request) -> tuple[float, _Endpoint | None]:
    """Runs a request at any endpoint.

    Returns:
      How long the answer was being written, and the endpoint if it ended.
    """
    for part in request.parts:
      since = self._fifth_crash_at.get(part, float("inf"))
      is_late = anyio.current_time() > since + CONTACT_S
      self.result.late += is_late and self.is_bad(part)
    endpoint = self.load_rng.choice(list(self.endpoints.values()))
    if await self._wait(endpoint, self.load_rng.expovariate(1 / _QUEUE_S)):
      return 0.0, endpoint
    for part in request.parts:
      if self.is_bad(part):
        await anyio.sleep(self.day.bad_writes_s)
        await self.end_endpoint(endpoint, part)
        return self.day.bad_writes_s, endpoint
    began_at = anyio.current_time()
    run_s = self.load_rng.expovariate(1 / self.day.run_s)
    is_ended = await self._wait(endpoint, run_s + self.day.least_run_s)
    wrote_s = anyio.current_time() - began_at
    return wrote_s, endpoint if is_ended else None

  async def _wait(self, endpoint: _Endpoint, seconds: float) -> bool:
    """Waits for some time; returns whether the endpoint has ended by then."""
    with anyio.move_on_after(seconds):
      await endpoint.ended.wait()
    return endpoint.ended.is_set()

  async def send(self, per_s: float, bad: Iterable[str | None]) -> None:
    """Sends requests until the end of the day."""
    kinds = list(bad)
    while anyio.current_time() < self.day.seconds:
      await anyio.sleep(self.load_rng.expovariate(per_s))
      self.tasks.start_soon(self.call, self.load_rng.choice(kinds))

  async def send_bad(self) -> None:
    """Sends requests with bad parts once these crash endpoints."""
    if not self.day.sound_before:
      await anyio.sleep(self.day.bad_from_s)
    parts = [f"bad{n}" for n in range(self.day.bad_parts)]
    if parts:
      await self.send(self.day.bad_per_s * len(parts), parts)

  async def watch(self) -> None:
    """Records the size of tables and false blame."""
    while True:
      await anyio.sleep(0.25)
      for router in self.up.values():
        rows = len(router.table)
        self.result.most_rows = max(self.result.most_rows, rows)
        for key in router.table.keys() if rows else ():
          if router.table.remaining_s(key) and key[0] not in "q":
            if not key.startswith("bad"):
              self.result.blamed.add(key)


async def _play(day: Day, way: Way, seed: int) -> dict[str, Any]:
  async with anyio.create_task_group() as tasks:
    fleet = _Fleet(day, way, seed, tasks)
    for job in (fleet.kill, fleet.trouble, fleet.watch, fleet.send_bad):
      tasks.start_soon(job)
    await fleet.send(day.requests_per_s * day.routers, [None])
    await anyio.sleep(2.0)
    tasks.cancel_scope.cancel()
  return fleet.result.summary(fleet)


def simulate(day: Day, way: Way = WAYS[-1], seed: int = 1) -> dict[str, Any]:
  """Plays a day; returns its figures."""
  return loop.run(_play, day, way, seed)
