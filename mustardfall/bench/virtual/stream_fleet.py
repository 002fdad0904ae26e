"""Records of streams in fleets of any size, in virtual time.

Each router runs the product's `stream_keepers`; datagrams, calls, endpoints
and callers are simulated. Streams begin at one of several software versions,
some at a second attempt; routers are killed and start again with nothing, and
callers come back at any router that is up.
"""

import collections
import dataclasses
import statistics
from typing import Any, NamedTuple

import anyio

from mustardfall import errors
from mustardfall.bench.virtual import loop
from mustardfall.bench.virtual import routers
from mustardfall.membership import members as members_lib
from mustardfall.membership import stream_keepers
from mustardfall.routing import stream_holders
from mustardfall.routing import stream_records

_VERSIONS = ("v1", "v2", "v3")
_HOP_S = 0.001
_LEASE_S = 6.0
"""How long a router that was killed stays listed."""
_PREFILL_S = 0.06
"""Mean time from sending a request to its first event."""
_RECORD_S = 15.0


class Day(NamedTuple):
  """A fleet, its load and its troubles."""

  routers: int = 9
  datacentres: int = 3
  regions: int = 1
  streams_per_s: float = 4.0
  """Begun at each router."""
  stream_s: float = 3.0
  """Mean duration of a stream."""
  broken: float = 0.05
  """Share of the streams that their endpoint breaks off."""
  second_attempts: float = 0.05
  """Share of the streams whose first attempt fails before the first event."""
  killed: float = 1 / 3
  """Share of the routers that are killed together."""
  kill_at_s: float = 4.0
  down_s: float = 0.8
  unheard: float = 0.0
  """Share of the routers whose datagrams are all lost."""
  seconds: float = 10.0
  loss: float = 0.005
  doubled: float = 0.01
  late: float = 0.01
  """Share of the datagrams that take up to 50 ms longer."""


@dataclasses.dataclass
class Result:
  """What came of a day."""

  day: Day
  resumed: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Resumptions by outcome: `known`, `unknown` or `wrong`."""
  begin_waits_s: list[float] = dataclasses.field(default_factory=list)
  """How long each first event was held back."""
  lookups_s: list[float] = dataclasses.field(default_factory=list)
  datagrams: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Datagrams sent, by router."""
  sent_bytes: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  calls: int = 0
  streams: int = 0
  most_records: int = 0
  """Most records at one router."""

  def summary(self) -> dict[str, Any]:
    """The figures of the day."""
    resumed = max(1, self.resumed.total())
    seconds, routers = self.day.seconds, self.day.routers
    waits = sorted(self.begin_waits_s) or [0.0]
    lookups = sorted(self.lookups_s) or [0.0]
    return {
        "routers": routers,
        "streams": self.streams,
        "resumed": self.resumed.total(),
        "known": round(self.resumed["known"] / resumed, 4),
        "wrong": self.resumed["wrong"],
        "begin_wait_mean_ms": round(1000 * statistics.fmean(waits), 2),
        "begin_wait_99_ms": round(1000 * waits[int(0.99 * len(waits))], 1),
        "lookup_mean_ms": round(1000 * statistics.fmean(lookups), 1),
        "lookup_max_ms": round(1000 * lookups[-1], 1),
        "datagrams_s": round(self.datagrams.total() / routers / seconds, 1),
        "bytes_s": round(self.sent_bytes.total() / routers / seconds),
        "bytes_busiest_s": round(max(self.sent_bytes.values()) / seconds),
        "calls": self.calls,
        "records": self.most_records,
    }


class _Router:
  """One life of a router."""

  def __init__(self, fleet: "_Fleet", me: members_lib.Member) -> None:
    self.me = me
    self.port = routers.Port(fleet, me.name)
    self.keepers = stream_keepers.StreamKeepers(
        routers.Members(fleet, me), self.port, fleet.call, loop.Clock()
    )
    self.scope = anyio.CancelScope()

  async def run(self) -> None:
    with self.scope:
      await self.keepers.run()


class _Fleet(routers.Fleet):
  """All routers of a day, and the callers of their streams."""

  def __init__(self, day: Day, seed: int, tasks) -> None:
    self.result = Result(day)
    super().__init__(day, seed, tasks)
    self.result.datagrams = self.datagrams
    self.result.sent_bytes = self.sent_bytes

  def make_router(self, member: members_lib.Member) -> _Router:
    return _Router(self, member)

  async def call(self, url: str, body: dict, timeout_s: float) -> dict:
    """Calls a router; see `peers.Post`."""
    self.result.calls += 1
    router = self.up.get(url.removeprefix("http://").partition(":")[0])
    await anyio.sleep(_HOP_S if router is not None else timeout_s)
    if router is None:
      raise errors.PeerUnavailableError("killed")
    return await router.keepers.serve(body)

  async def serve(self, number: int) -> None:
    """Plays one stream, and its resumption if it breaks off."""
    self.result.streams += 1
    router = self.rng.choice(list(self.up.values()))
    key = stream_holders.key_of("team", str(number))
    version = await self._begin(router, key)
    if version is None:
      return  # the router was killed before the first event
    lasts_s = self.rng.expovariate(1 / self.day.stream_s)
    breaks = self.rng.random() < self.day.broken
    await self._wait(router, lasts_s)
    if not breaks and self.up.get(router.me.name) is router:
      return
    await anyio.sleep(self.rng.uniform(0.02, 0.3))
    await self._resume(key, version)

  async def _begin(self, router: _Router, key: bytes) -> str | None:
    """Begins a stream; returns the version of its first event."""
    announcement, version = None, ""
    attempts = 2 if self.rng.random() < self.day.second_attempts else 1
    for attempt in range(1, attempts + 1):
      version = self.rng.choice(_VERSIONS)
      origin = stream_records.origin_of("pool", version)
      if announcement is None or announcement.record.origin != origin:
        record = stream_records.make_record(key, origin, attempt, _RECORD_S)
        announcement = router.keepers.announce(record, announcement)
      await anyio.sleep(self.rng.expovariate(1 / _PREFILL_S))
    waits_from = anyio.current_time()
    await router.keepers.wait_confirmed(announcement)
    self.result.begin_waits_s.append(anyio.current_time() - waits_from)
    return version if self.up.get(router.me.name) is router else None

  async def _wait(self, router: _Router, seconds: float) -> None:
    """Waits for some time, or until a router is killed."""
    ends_at = anyio.current_time() + seconds
    while anyio.current_time() < ends_at:
      if self.up.get(router.me.name) is not router:
        return
      await anyio.sleep(min(0.05, ends_at - anyio.current_time()))

  async def _resume(self, key: bytes, version: str) -> None:
    router = self.rng.choice(list(self.up.values()))
    asked_at = anyio.current_time()
    lookup = await router.keepers.find(key)
    if self.up.get(router.me.name) is not router:
      return  # the caller's second router was killed, too
    self.result.lookups_s.append(anyio.current_time() - asked_at)
    origin = stream_records.origin_of("pool", version)
    if lookup.record is None:
      outcome = "unknown"
    else:
      outcome = "known" if lookup.record.origin == origin else "wrong"
    self.result.resumed[outcome] += 1

  def note_records(self) -> None:
    """Records the size of the largest table."""
    sizes = [len(router.keepers.table) for router in self.up.values()]
    self.result.most_records = max(self.result.most_records, *sizes)


async def _play(day: Day, seed: int) -> Result:
  async with anyio.create_task_group() as tasks:
    fleet = _Fleet(day, seed, tasks)
    tasks.start_soon(fleet.kill)
    number = 0
    while anyio.current_time() < day.seconds:
      await anyio.sleep(fleet.rng.expovariate(day.routers * day.streams_per_s))
      number += 1
      tasks.start_soon(fleet.serve, number)
    fleet.note_records()
    await anyio.sleep(2.0)
    tasks.cancel_scope.cancel()
  return fleet.result


def simulate(day: Day, seed: int) -> Result:
  """Plays a day."""
  return loop.run(_play, day, seed)
