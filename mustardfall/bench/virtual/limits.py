"""Simulation of a fleet before endpoints that name a request rate.

The routers run the product's modules for limits, permits, gossip, membership
and the choice of endpoints, in virtual time. Datagrams are lost and delayed,
routers are cut off from each other, from the store or from the endpoints, and
restart. Other policies than the product's are simulated for comparison.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Iterator
import dataclasses
import datetime
import itertools
import random
from typing import Any, NamedTuple

import anyio
from anyio import abc

from mustardfall import errors
from mustardfall import events
from mustardfall import metrics
from mustardfall import settings
from mustardfall.bench.virtual import loop as loop_lib
from mustardfall.bench.virtual import network as network_lib
from mustardfall.bench.virtual import store as store_lib
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import gossip as gossip_lib
from mustardfall.membership import limit_records
from mustardfall.membership import members as members_lib
from mustardfall.membership import permits as permits_lib
from mustardfall.proxy import endpoint_limiter
from mustardfall.proxy import endpoint_selector
from mustardfall.proxy import messages
from mustardfall.proxy import request_context
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import issuing
from mustardfall.routing import limited_endpoints
from mustardfall.routing import rate_limits
from mustardfall.routing import statements as statements_lib

WARM_UP_S = 8.0
"""Time from the routers' start to the first request."""
_LIST_INTERVAL_S = 1.0
"""Interval at which a router learns the list of routers."""
_TICK_S = 0.5
_HOP_S = 0.001
"""Shortest time of a message between two hosts."""
_JITTER_S = 0.002
_CONNECT_TIMEOUT_S = 0.3
_LENIENT_S = 3.0
"""Time from which brittle endpoints let no request wait."""
_MAX_ATTEMPTS = 2
_POOL = "pool"


class Fault(NamedTuple):
  """A fault of some routers."""

  kind: str
  """`store`, `peers` or `endpoints`: cut off from these; `kill`: the process
  ends and starts again after `for_s`; `part`: cut off from all routers that are
  not part of the same fault."""
  at_s: float
  for_s: float
  routers: tuple[int, ...]


class Day(NamedTuple):
  """Parameters of a simulation; times are seconds from the first request."""

  routers: int = 9
  datacentres: int = 3
  endpoints: int = 9
  seconds: float = 20.0
  requests_per_s: float = 60.0
  per_s: float = 1.0
  """The rate that limited endpoints name."""
  limited: int = 1
  """Endpoints that name a limit."""
  named_from_s: float = 4.0
  named_until_s: float = float("inf")
  slots: int = 0
  """Requests that each endpoint runs at a time, and turns others away, if it is
  brittle from `named_from_s` on; 0: endpoints are not brittle."""
  turned_away: int = 5
  """A brittle endpoint falls over if it turns more away in a second."""
  down_s: float = 3.0
  """How long it is down then."""
  burst_per_s: float = 0.0
  """Requests per second in a burst; 0: there is none."""
  burst_from_s: float = 10.0
  burst_for_s: float = 5.0
  loss: float = 0.005
  """Share of datagrams that are lost."""
  answer_s: float = 0.15
  objective_s: float = 0.5
  faults: tuple[Fault, ...] = ()


class Arrival(NamedTuple):
  """A request that reached a limited endpoint."""

  at_s: float
  router: str
  """The router's life."""
  was_told: bool
  """Whether the router had an answer that named the limit half a second
  before."""


@dataclasses.dataclass
class Result:
  """The outcome of a simulation."""

  day: Day
  arrivals: dict[str, list[Arrival]] = dataclasses.field(
      default_factory=lambda: collections.defaultdict(list)
  )
  """By the limited endpoint's name."""
  requests: int = 0
  served: int = 0
  refused: int = 0
  waits_s: list[float] = dataclasses.field(default_factory=list)
  """How long each served request waited until it was sent."""
  falls: int = 0
  """How often brittle endpoints have fallen over."""
  served_at: list[float] = dataclasses.field(default_factory=list)
  refused_at: list[float] = dataclasses.field(default_factory=list)
  datagrams: int = 0
  datagram_bytes: int = 0

  def most(self, window_s: float, after_s: float, told: bool = False) -> int:
    """Returns the most requests that reached an endpoint in any window.

    Args:
      window_s: the window's length, seconds.
      after_s: the earliest begin of a window.
      told: whether only routers count that had been told of the limit.
    """
    most = 0
    for arrivals in self.arrivals.values():
      times = sorted(
          a.at_s
          for a in arrivals
          if a.at_s >= after_s and (a.was_told or not told)
      )
      start = 0
      for end, time in enumerate(times):
        while times[start] <= time - window_s:
          start += 1
        most = max(most, end - start + 1)
    return most

  def served_per_s(self, begin_s: float, end_s: float) -> float:
    """Requests served per second in a time."""
    served = sum(begin_s <= at < end_s for at in self.served_at)
    return served / (end_s - begin_s)

  def served_share(self, begin_s: float, end_s: float) -> float:
    """Share of the requests that ended in a time that were served."""
    served = sum(begin_s <= at < end_s for at in self.served_at)
    refused = sum(begin_s <= at < end_s for at in self.refused_at)
    return served / (served + refused)

  @property
  def used_share(self) -> float:
    """Requests at limited endpoints, as a share of what they had named."""
    day = self.day
    begin_s = day.named_from_s + 1.0
    end_s = min(day.seconds, day.named_until_s)
    arrived = sum(
        begin_s <= arrival.at_s < end_s
        for arrivals in self.arrivals.values()
        for arrival in arrivals
    )
    return arrived / (day.per_s * day.limited * (end_s - begin_s))

  @property
  def datagrams_per_s(self) -> float:
    """Datagrams sent by a router, mean per second."""
    seconds = self.day.seconds + WARM_UP_S
    return self.datagrams / self.day.routers / seconds


class _Port:
  """A router's datagrams; stands in for `datagrams.Datagrams`.

  Args:
    fleet: the fleet that carries them.
    name: the router's name, which is also its address.
  """

  is_open = True

  def __init__(self, fleet: "Fleet", name: str) -> None:
    self._fleet = fleet
    self._name = name
    self._handlers: dict[datagrams_lib.Kind, Callable[[bytes, str], None]] = {}

  def connect(
      self, kind: datagrams_lib.Kind, handler: Callable[[bytes], None]
  ) -> None:
    self.connect_with_sender(kind, lambda content, sender: handler(content))

  def connect_with_sender(
      self, kind: datagrams_lib.Kind, handler: Callable[[bytes, str], None]
  ) -> None:
    self._handlers[kind] = handler

  def enqueue(
      self,
      kind: datagrams_lib.Kind,
      content: bytes,
      member: members_lib.Member,
  ) -> None:
    self.enqueue_to(kind, content, member.name)

  def enqueue_to(
      self, kind: datagrams_lib.Kind, content: bytes, receiver: str
  ) -> None:
    self._fleet.carry(self._name, receiver, kind, content)

  async def send(self, kind, content, receivers) -> None:
    for member in receivers:
      self.enqueue(kind, content, member)

  def handle(
      self, kind: datagrams_lib.Kind, content: bytes, sender: str
  ) -> None:
    handler = self._handlers.get(kind)
    if handler is not None:
      handler(content, sender)


class _NoLoadShare:
  """Stands in for `loadshare.LoadShare`: routers know their own load only."""

  def note_sent(self, endpoint: str, prefix: str) -> None:
    """Does nothing."""

  def note_unanswered(self) -> None:
    """Does nothing."""

  def mark_changed(self) -> None:
    """Does nothing."""


class _NoTrackers:
  """Stands in for `trackers.Trackers` of a small fleet."""

  is_used = False


class _Server:
  """An endpoint.

  Args:
    name: its name.
    is_limited: whether it names a limit.
  """

  def __init__(self, name: str, is_limited: bool) -> None:
    self.name = name
    self.is_limited = is_limited
    self.running = 0
    self.down_until_s = -float("inf")
    self._turned_away_at: list[float] = []

  def is_brittle(self, day: Day, at_s: float) -> bool:
    """Whether it says that it is brittle."""
    return bool(day.slots) and day.named_from_s <= at_s < day.named_until_s

  def has_room(self, day: Day, at_s: float) -> bool:
    """Whether it runs another request; it lets some wait for 3 s at first."""
    strict = self.is_brittle(day, at_s - _LENIENT_S)
    return not strict or self.running < day.slots

  def turn_away(self, day: Day, at_s: float) -> bool:
    """Turns a request away; returns whether it falls over."""
    recent = [at for at in self._turned_away_at if at_s - at < 1.0]
    self._turned_away_at = [*recent, at_s]
    if len(self._turned_away_at) <= day.turned_away:
      return False
    self._turned_away_at.clear()
    self.down_until_s = at_s + day.down_s
    return True

  def named(self, day: Day, at_s: float) -> rate_limits.NamedRate | None:
    """Returns the limit that an answer at a time names."""
    if self.is_limited and day.named_from_s <= at_s < day.named_until_s:
      return rate_limits.NamedRate(day.per_s, f"{day.per_s:g}")
    return None


class Fleet:
  """All routers, the endpoints, the store and the network between them.

  Args:
    day: the parameters.
    policy: a key of `POLICIES`.
    seed: of all random numbers.
    tasks: task group in which the routers run.
  """

  def __init__(
      self, day: Day, policy: str, seed: int, tasks: abc.TaskGroup
  ) -> None:
    self.day = day
    self.policy = POLICIES[policy]
    self.rng = random.Random(f"limits {seed}")
    self.tasks = tasks
    self.network = network_lib.Network()
    self.cut_from_endpoints: collections.Counter[str] = collections.Counter()
    self.parts: dict[str, int] = {}
    """The part of the fleet in which a router is; others are in part 0."""
    self.store = store_lib.Store()
    self.result = Result(day)
    self.servers = [
        _Server(f"e-{n}", n < day.limited) for n in range(day.endpoints)
    ]
    self.routers: dict[str, Router] = {}
    self.started_at = anyio.current_time() + WARM_UP_S
    self._listed: list[members_lib.Member] = []
    self._listed_revision = 0

  @property
  def now_s(self) -> float:
    """Seconds since the first request."""
    return anyio.current_time() - self.started_at

  def start(self, number: int) -> None:
    """Starts a router's process."""
    router = Router(self, number)
    self.routers[router.name] = router
    self.tasks.start_soon(router.run)

  def listed(self) -> list[members_lib.Member]:
    """Returns the routers that the store lists."""
    if self.store.revision != self._listed_revision:
      self._listed_revision = self.store.revision
      self._listed = members_lib.decode(
          record
          for key, record in self.store.records.items()
          if key.startswith(members_lib.PREFIX)
      )
    return self._listed

  def carry(
      self,
      sender: str,
      receiver: str,
      kind: datagrams_lib.Kind,
      content: bytes,
  ) -> None:
    """Delivers a datagram after some time, unless it is lost."""
    self.result.datagrams += 1
    self.result.datagram_bytes += len(content)
    if self.rng.random() < self.day.loss or not self._connects(
        sender, receiver
    ):
      return
    delay_s = _HOP_S + self.rng.random() * _JITTER_S
    asyncio.get_running_loop().call_later(
        delay_s, self._deliver, sender, receiver, kind, content
    )

  def _connects(self, one: str, other: str) -> bool:
    cut = self.network.cut_from_peers
    same_part = self.parts.get(one, 0) == self.parts.get(other, 0)
    return same_part and not cut[one] and not cut[other]

  def _deliver(
      self,
      sender: str,
      receiver: str,
      kind: datagrams_lib.Kind,
      content: bytes,
  ) -> None:
    router = self.routers.get(receiver)
    if router is not None and router.is_up:
      router.port.handle(kind, content, sender)

  async def run_fault(self, number: int, fault: Fault) -> None:
    """Begins a fault at its time and ends it."""
    names = [_name(router) for router in fault.routers]
    await anyio.sleep(max(0.0, fault.at_s - self.now_s))
    counters = {
        "store": self.network.cut_from_store,
        "peers": self.network.cut_from_peers,
        "endpoints": self.cut_from_endpoints,
    }
    if fault.kind in counters:
      counters[fault.kind].update(names)
      await anyio.sleep(fault.for_s)
      counters[fault.kind].subtract(names)
    elif fault.kind == "part":
      self.parts.update(dict.fromkeys(names, number + 1))
      await anyio.sleep(fault.for_s)
      for name in names:
        self.parts.pop(name, None)
    else:
      for name in names:
        self.routers[name].kill()
      await anyio.sleep(fault.for_s)
      for router in fault.routers:
        self.start(router)


def _name(number: int) -> str:
  return f"front-{number}"


class Router:
  """One run of a router's process.

  Args:
    fleet: the fleet that it belongs to.
    number: its number.
  """

  def __init__(self, fleet: Fleet, number: int) -> None:
    self.fleet = fleet
    self.name = _name(number)
    self.is_up = True
    self.clock = loop_lib.Clock()
    self.port = _Port(fleet, self.name)
    datacentre = f"dc{number % fleet.day.datacentres}"
    me = members_lib.Member(
        self.name,
        f"{fleet.rng.getrandbits(32):08x}",
        f"http://{self.name}",
        datacentre,
        "region",
    )
    kv = store_lib.Client(
        fleet.store, fleet.network, self.name, fleet.rng, self.clock
    )
    self.members = members_lib.Members(
        kv, me, settings.Membership(ttl_s=8), self.clock, events.Bus()
    )
    self.directory = directory_lib.Directory(settings.Scheduler(), self.clock)
    self.directory.apply_endpoints(
        [
            {
                "name": server.name,
                "url": f"{server.name}:1",
                "datacentre": f"dc{n % fleet.day.datacentres}",
                "kind": _POOL,
                "models": [],
                "slots": fleet.day.slots,
            }
            for n, server in enumerate(fleet.servers)
        ]
    )
    self.rate_limits = rate_limits.Table(self.clock, lambda life: True)
    self.gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.RATE_LIMIT,
        self.rate_limits,
        self.members,
        self.port,
        self.clock,
        rate_limits.MAX_UPDATES_PER_DATAGRAM,
        random.Random(fleet.rng.random()),
    )
    self.brittle = rate_limits.Table(self.clock, lambda kind: True)
    self.brittle_gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.BRITTLE,
        self.brittle,
        self.members,
        self.port,
        self.clock,
        rate_limits.MAX_UPDATES_PER_DATAGRAM,
        random.Random(fleet.rng.random()),
    )
    self.limits = limited_endpoints.LimitedEndpoints(
        self.directory.endpoints,
        self.rate_limits,
        self.brittle,
    )
    self.permits = permits_lib.Permits(
        self.members,
        self.port,
        self.limits,
        metrics.Instruments(self.name),
        self.clock,
    )
    self.records = limit_records.LimitRecords(
        kv, self.members, self.permits, self.limits, self.rate_limits
    )
    self.limiter = fleet.policy(self)
    statements = statements_lib.Table(
        self.clock, lambda life: True, 0.0, lambda: 1
    )
    self.selector = endpoint_selector.EndpointSelector(
        settings.Router(
            name=self.name,
            datacentre=datacentre,
            listen=settings.Listen(port=0),
            peer_listen=settings.Listen(port=0),
            kv_url="",
            hosts_url="",
        ),
        self.directory,
        _NoLoadShare(),
        _NoTrackers(),
        _NotCold(),
        self.limiter,
        statements,
        self.clock,
        rng=random.Random(fleet.rng.random()),
    )
    self.told_at: dict[str, float] = {}
    """When an endpoint's answer first named a limit to this router."""
    self._scope = anyio.CancelScope()

  async def run(self) -> None:
    """Runs the router's loops until it is killed."""
    with self._scope:
      async with anyio.create_task_group() as tasks:
        loops: list[Callable[[], Awaitable[None]]] = [
            self.members.register,
            self._follow_list,
            self._tick,
            self.gossip.run,
            self.permits.run,
            self.records.run,
        ]
        for loop in loops:
          tasks.start_soon(loop)

  def kill(self) -> None:
    """Ends the process."""
    self.is_up = False
    self._scope.cancel()

  async def _follow_list(self) -> None:
    """Learns the list of routers while the store is reachable."""
    await anyio.sleep(self.fleet.rng.random() * _LIST_INTERVAL_S)
    while True:
      if self.fleet.network.reaches_store(self.name):
        listed = self.fleet.listed()
        self.members.set_list_current(True)
        self.members.update(listed, self.clock.monotonic())
      else:
        self.members.set_list_current(False)
      await anyio.sleep(_LIST_INTERVAL_S)

  async def _tick(self) -> None:
    while True:
      await anyio.sleep(_TICK_S)
      self.directory.endpoints.tick(self.clock.monotonic())
      self.limiter.prune()

  async def serve(self, request: str) -> None:
    """Serves one request: chooses an endpoint, sends it and waits."""
    result = self.fleet.result
    result.requests += 1
    context = _context(request, self.fleet.day, self.clock.monotonic())
    begun_at = self.clock.monotonic()
    for _ in range(_MAX_ATTEMPTS):
      placement = await self.selector.select(context)
      if placement is None:
        break
      result.waits_s.append(self.clock.monotonic() - begun_at)
      try:
        await self._attempt(placement.row, context)
      except errors.EndpointUnreachableError:
        continue
      result.served += 1
      result.served_at.append(self.fleet.now_s)
      return
    result.refused += 1
    result.refused_at.append(self.fleet.now_s)

  async def _attempt(
      self, row: endpoints.Row, context: request_context.RequestContext
  ) -> None:
    row.in_flight += 1
    context.tried_endpoints.add(row.name)
    try:
      await self._send(row, context)
    finally:
      row.in_flight -= 1
      self.limiter.end(context)

  async def _send(
      self, row: endpoints.Row, context: request_context.RequestContext
  ) -> None:
    fleet = self.fleet
    if fleet.cut_from_endpoints[self.name]:
      await anyio.sleep(_CONNECT_TIMEOUT_S)
      row.failures += 2
      raise errors.EndpointUnreachableError(row.name)
    sent_at = self.clock.monotonic()
    await anyio.sleep(_HOP_S + fleet.rng.random() * _JITTER_S)
    server = fleet.servers[int(row.name.partition("-")[2])]
    if fleet.now_s < server.down_until_s:
      row.failures += 2
      raise errors.EndpointUnreachableError(row.name)
    if server.is_limited:
      self._record_arrival(row)
    if not server.has_room(fleet.day, fleet.now_s):
      await self._be_turned_away(row, context, server, sent_at)
    server.running += 1
    try:
      await anyio.sleep(fleet.rng.expovariate(1 / fleet.day.answer_s))
    finally:
      server.running -= 1
    if fleet.now_s < server.down_until_s:
      raise errors.EndpointUnreachableError(row.name)
    named = server.named(fleet.day, fleet.now_s)
    await anyio.sleep(_HOP_S)
    if named is not None:
      self.told_at.setdefault(row.name, fleet.now_s)
    brittle = server.is_brittle(fleet.day, fleet.now_s)
    head = _head(named, fleet.day.turned_away + 1 if brittle else None)
    self.limiter.note_answer(row, context, sent_at, head)

  async def _be_turned_away(
      self,
      row: endpoints.Row,
      context: request_context.RequestContext,
      server: _Server,
      sent_at: float,
  ) -> None:
    """Gets the answer of an endpoint without room.

    Raises:
      errors.EndpointUnreachableError: always.
    """
    day = self.fleet.day
    self.fleet.result.falls += server.turn_away(day, self.fleet.now_s)
    await anyio.sleep(_HOP_S)
    head = _head(None, day.turned_away + 1)
    self.limiter.note_answer(row, context, sent_at, head)
    row.failures += 1
    raise errors.EndpointUnreachableError(row.name)

  def _record_arrival(self, row: endpoints.Row) -> None:
    now_s = self.fleet.now_s
    told_at = self.told_at.get(row.name)
    was_told = told_at is not None and told_at <= now_s - 0.5
    arrival = Arrival(now_s, self.members.me.life, was_told)
    self.fleet.result.arrivals[row.name].append(arrival)


def _context(
    request: str, day: Day, now: float
) -> request_context.RequestContext:
  route = configuration.Route(
      "r",
      "",
      "/",
      configuration.Kind.IDEMPOTENT,
      datetime.timedelta(seconds=5),
      datetime.timedelta(seconds=day.objective_s),
      1,
      (configuration.WeightedService(_POOL, 1.0),),
      2,
      True,
      False,
  )
  return request_context.RequestContext(
      request=messages.Request(
          request, b"GET", b"/", "", "/", "", None, None, (), None, ()
      ),
      body=b"",
      responder=None,
      route=route,
      service=configuration.Service(_POOL, 100, None),
      team=None,
      arrived_at=now,
      deadline=now + 5,
      sequencer=streams.EventSequencer(None),
      fingerprint="",
  )


def _head(
    named: rate_limits.NamedRate | None, fells_at: float | None = None
) -> messages.ResponseHead:
  brittle = None
  if fells_at is not None:
    brittle = rate_limits.NamedRate(fells_at, f"{fells_at:g}")
  return messages.ResponseHead(
      status=200,
      request_id="r",
      signed=True,
      not_run=False,
      misdirected=False,
      has_content_encoding=False,
      is_event_stream=False,
      load=None,
      rate_limit=named,
      brittle=brittle,
      idle_timeout_s=None,
      closes_connection=False,
      headers=(),
  )


class _NotCold:
  """Stands in for `cold_start_limiter.ColdStartLimiter`."""

  def filter_permitted(self, rows, service):
    del service
    return rows

  def acquire(self, row, service) -> bool:
    del row, service
    return True


class _LocalLimiter(endpoint_limiter.EndpointLimiter):
  """Base of policies that need no messages.

  Args:
    router: the router.
  """

  def __init__(self, router: Router) -> None:
    self._router = router
    super().__init__(
        router.rate_limits,
        router.gossip,
        router.brittle,
        router.brittle_gossip,
        router.limits,
        router.permits,
        router.clock,
    )

  async def acquire(self, row, context, max_wait_s: float = 0.0) -> bool:
    """Takes a permit of this router's own share of the rate."""
    limit = self._limits.find(row)
    if limit is None:
      return True
    now = self._clock.monotonic()
    interval_s = self._interval_s(limit)
    if interval_s is None:
      self._refused_until[row.life] = now + 1.0
      return False
    if now < self._refused_until.get(row.life, 0.0):
      return False
    self._refused_until[row.life] = now + interval_s
    return True

  def _interval_s(
      self, limit: limited_endpoints.LimitedEndpoint
  ) -> float | None:
    """Returns the time between two requests; None if none may be sent."""
    raise NotImplementedError


class _Ignoring(_LocalLimiter):
  """No router reads the limit."""

  def note_answer(self, row, context, sent_at, head) -> None:
    """Does nothing."""


class _Alone(_LocalLimiter):
  """Each router keeps to the limit by itself."""

  def _interval_s(self, limit):
    return 1 / limit.per_s


class _Even(_LocalLimiter):
  """Each router has the same part of the rate."""

  def _interval_s(self, limit):
    return len(self._router.members.names) / limit.per_s


class _Rendezvous(_LocalLimiter):
  """A few routers have all of half of the rate, the others none."""

  def _interval_s(self, limit):
    names = self._router.members.names
    usable = limit.per_s * 0.5
    count = max(1, int(usable))
    ranked = sorted(
        names, key=lambda name: issuing.rank_key(limit.endpoint, name)
    )
    if self._router.name not in ranked[:count]:
      return None
    return max(count / usable, 1.25)


def _permits(router: Router) -> endpoint_limiter.EndpointLimiter:
  """One router issues permits for each request."""
  return endpoint_limiter.EndpointLimiter(
      router.rate_limits,
      router.gossip,
      router.brittle,
      router.brittle_gossip,
      router.limits,
      router.permits,
      router.clock,
  )


POLICIES: dict[str, Callable[[Router], Any]] = {
    "ignored": _Ignoring,
    "alone": _Alone,
    "even": _Even,
    "rendezvous": _Rendezvous,
    "permits": _permits,
}
"""Ways to keep to a limit, by name."""


async def _play(day: Day, policy: str, seed: int) -> Result:
  async with anyio.create_task_group() as tasks:
    fleet = Fleet(day, policy, seed, tasks)
    for number in range(day.routers):
      fleet.start(number)
    for number, fault in enumerate(day.faults):
      tasks.start_soon(fleet.run_fault, number, fault)
    await anyio.sleep(WARM_UP_S)
    async with anyio.create_task_group() as requests:
      await _send_requests(fleet, requests)
    tasks.cancel_scope.cancel()
  return fleet.result


async def _send_requests(fleet: Fleet, tasks: abc.TaskGroup) -> None:
  """Sends requests to random routers that are up, until the day's end."""
  for number in _numbers(fleet):
    await anyio.sleep(fleet.rng.expovariate(_rate_per_s(fleet)))
    up = [router for router in fleet.routers.values() if router.is_up]
    if up:
      router = fleet.rng.choice(up)
      tasks.start_soon(router.serve, f"r{number}")


def _rate_per_s(fleet: Fleet) -> float:
  day = fleet.day
  in_burst = 0 <= fleet.now_s - day.burst_from_s < day.burst_for_s
  return day.burst_per_s if in_burst and day.burst_per_s else day.requests_per_s


def _numbers(fleet: Fleet) -> Iterator[int]:
  counted = itertools.count()
  return itertools.takewhile(lambda _: fleet.now_s < fleet.day.seconds, counted)


def simulate(day: Day, policy: str, seed: int) -> Result:
  """Simulates a day with a policy; the same seed gives the same result."""
  return loop_lib.run(_play, day, policy, seed)
