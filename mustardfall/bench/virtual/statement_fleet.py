"""Endpoints that say that they leave or want rest, in virtual time.

Each router runs the product's table of statements and its gossip; endpoints,
callers and the choice among endpoints are simulated. The list of endpoints has
all of them as live throughout.
"""

import dataclasses
import random
from typing import Any, NamedTuple

import anyio

from mustardfall import settings
from mustardfall.bench.virtual import loop as loop_lib
from mustardfall.bench.virtual import routers as routers_lib
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import gossip as gossip_lib
from mustardfall.membership import members as members_lib
from mustardfall.routing import endpoints
from mustardfall.routing import statements

POLICIES = ("unread", "alone", "shared")
"""`unread`: statements are not read; `alone`: each router knows those in answers
to its own requests; `shared`: the product, which tells others who leaves."""
_KIND = "pool"
_HOP_S = 0.001
_DRAWN_ENDPOINTS = 2
_MAX_ATTEMPTS = 2
_DRAIN_S = 2.0
_REST_SLACK_S = 0.5
_FAILED_S = 0.5
"""How long an endpoint that turned a request away is avoided."""
_HERD_WINDOW_S = 0.05


class Day(NamedTuple):
  """A fleet, and what its endpoints say."""

  routers: int = 9
  datacentres: int = 3
  regions: int = 1
  endpoints: int = 12
  slots: int = 16
  answer_s: float = 0.2
  load: float = 0.5
  """Requests, relative to what the endpoints run."""
  leaving: float = 0.0
  """Share of the endpoints that say from `at_s` on that they leave."""
  resting: float = 0.0
  """Share of the endpoints that turn all away from `at_s` to `until_s`, and ask
  for `rest_s` each time."""
  rest_s: float = 3.0
  at_s: float = 3.0
  until_s: float = 5.0
  seconds: float = 12.0
  loss: float = 0.005
  unheard: float = 0.0
  killed: float = 0.0
  kill_at_s: float = 5.0
  down_s: float = 1.0
  doubled: float = 0.0
  late: float = 0.0


@dataclasses.dataclass
class _Endpoint:
  """One simulated endpoint."""

  name: str
  leaves: bool
  rests: bool
  running: int = 0
  arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)
  """When requests arrived, and of which router's life."""
  turned_away_at: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Result:
  """What came of a day."""

  day: Day
  outcomes: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
  """When each caller first came, and whether it was served at last."""
  late_leaving: int = 0
  """Requests that reached an endpoint so long after their router was told that
  it leaves."""
  to_leaving: int = 0
  """All requests that reached an endpoint that leaves."""
  most_in_rest: int = 0
  """The most requests of one router at one endpoint during a rest, once it had
  been asked for it."""
  shed_after_rest: int = 0
  """Requests for which there was no room in the two seconds after the rests."""
  herd: int = 0
  """The most requests that reached one endpoint within `_HERD_WINDOW_S` in these
  two seconds."""
  datagrams: int = 0

  def served(self, since: float, until: float) -> float:
    """Share of the callers that came in a span and were served at last."""
    rows = [ok for at, ok in self.outcomes if since <= at < until]
    return sum(rows) / len(rows) if rows else float("nan")

  def summary(self) -> dict[str, Any]:
    """The figures of the day."""
    day = self.day
    return {
        "routers": day.routers,
        "before": round(self.served(1.0, day.at_s), 3),
        "during": round(self.served(day.at_s, day.until_s), 3),
        "after": round(self.served(day.until_s + day.rest_s, day.seconds), 3),
        "late_leaving": self.late_leaving,
        "to_leaving": self.to_leaving,
        "most_in_rest": self.most_in_rest,
        "shed_after_rest": self.shed_after_rest,
        "herd": self.herd,
        "datagrams": self.datagrams,
    }


class _Router:
  """One life of a router."""

  def __init__(
      self, fleet: "StatementFleet", member: members_lib.Member
  ) -> None:
    self.fleet = fleet
    self.me = member
    self.scope = anyio.CancelScope()
    self.port = routers_lib.Port(fleet, member.name)
    self.clock = loop_lib.Clock()
    rng = random.Random(fleet.rng.random())
    self.rng = rng
    self.statements = statements.Table(
        self.clock,
        lambda life: True,
        settings.Proxy().max_rest_s,
        lambda: len(fleet.lives),
        rng,
    )
    self.gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.STATEMENT,
        self.statements,
        routers_lib.Members(fleet, member),
        self.port,
        self.clock,
        statements.MAX_FACTS_PER_DATAGRAM,
        rng,
    )
    is_withheld = self.statements.is_withheld
    if fleet.policy == "unread":
      is_withheld = _is_never_withheld
    self.table = endpoints.Table(settings.Scheduler(), is_withheld=is_withheld)
    self.table.update(
        [
            {
                "name": name,
                "url": f"{name}:1",
                "datacentre": "dc0",
                "kind": _KIND,
                "slots": fleet.day.slots,
            }
            for name in fleet.endpoints
        ]
    )
    self.told_leaving: dict[str, float] = {}
    self.told_rest: dict[str, list[tuple[float, float]]] = {}
    """Begin and end of the rests that endpoints have asked for."""
    self.failed_at: dict[str, float] = {}

  async def run(self) -> None:
    """Gossips until killed."""
    with self.scope:
      if self.fleet.policy == "shared":
        await self.gossip.run()

  def choose(self, tried: set[str]) -> endpoints.Row | None:
    """Returns the less busy of two endpoints, or None."""
    now = self.clock.monotonic()
    rows = self.table.eligible(_KIND, "", frozenset(tried))
    good = [
        row
        for row in rows
        if now - self.failed_at.get(row.name, -1.0) >= _FAILED_S
    ]
    rows = good or rows
    if not rows:
      return None
    drawn = self.rng.sample(rows, min(_DRAWN_ENDPOINTS, len(rows)))
    return min(drawn, key=lambda row: row.in_flight)

  async def send(self, row: endpoints.Row) -> bool:
    """Sends a request to an endpoint; returns whether it was served."""
    sent_at = self.clock.monotonic()
    self.statements.note_sent(row)
    row.in_flight += 1
    try:
      rest_s, leaves = await self.fleet.run_at(row.name, self)
    finally:
      row.in_flight -= 1
    now = self.clock.monotonic()
    if leaves:
      self.told_leaving.setdefault(row.name, now)
      if self.statements.note_leaving(row, "r", 200, 0.0):
        self.gossip.publish(row.life)
    if rest_s is None:
      self.statements.note_accepted(row, sent_at)
      return True
    self.failed_at[row.name] = now
    if rest_s:
      self.told_rest.setdefault(row.name, []).append((now, now + rest_s))
      rest = statements.NamedRest(rest_s, f"{rest_s:g}")
      self.statements.note_rest(row, "r", 503, rest)
    return False

  def retry_after_s(self) -> float:
    """Returns when a caller may return whom no endpoint takes."""
    rows = self.table.live(_KIND, "")
    reasons = [self.statements.reason_against(row) for row in rows]
    if self.fleet.policy == "unread" or None in reasons:
      return self.rng.uniform(0.125, 0.25)
    return statements.retry_after_s(reasons, 1.0, self.rng.random())


def _is_never_withheld(row: endpoints.Row) -> bool:
  del row
  return False


class StatementFleet(routers_lib.Fleet):
  """All routers and endpoints of a day.

  Args:
    day: sizes and troubles.
    policy: one of `POLICIES`.
    seed: of all random draws.
    tasks: runs the routers.
  """

  def __init__(self, day: Day, policy: str, seed: int, tasks) -> None:
    self.policy = policy
    self.result = Result(day)
    leaving = round(day.leaving * day.endpoints)
    resting = round(day.resting * day.endpoints)
    self.endpoints = {
        f"e{n:03}": _Endpoint(
            f"e{n:03}", n < leaving, leaving <= n < leaving + resting
        )
        for n in range(day.endpoints)
    }
    super().__init__(day, seed, tasks)

  def make_router(self, member: members_lib.Member) -> _Router:
    """Returns a new life of a router."""
    return _Router(self, member)

  async def run_at(
      self, name: str, router: _Router
  ) -> tuple[float | None, bool]:
    """Runs a request at an endpoint.

    Returns:
      The rest that it asks for, 0 if it only turned the request away, None if it
      has run it; and whether it says that it leaves.
    """
    await anyio.sleep(_HOP_S * (1 + self.rng.random()))
    endpoint, day, now = self.endpoints[name], self.day, anyio.current_time()
    self._record_arrival(endpoint, router, now)
    leaves = endpoint.leaves and now >= day.at_s
    if endpoint.rests and day.at_s <= now < day.until_s:
      endpoint.turned_away_at.append(now)
      await anyio.sleep(_HOP_S)
      return day.rest_s, leaves
    if endpoint.running >= day.slots:
      endpoint.turned_away_at.append(now)
      await anyio.sleep(_HOP_S)
      return 0.0, leaves
    endpoint.running += 1
    try:
      await anyio.sleep(self.rng.expovariate(1 / day.answer_s))
    finally:
      endpoint.running -= 1
    return None, leaves

  def _record_arrival(
      self, endpoint: _Endpoint, router: _Router, now: float
  ) -> None:
    result = self.result
    endpoint.arrivals.append((now, router.me.life))
    if endpoint.leaves and now >= self.day.at_s:
      result.to_leaving += 1
      told_at = router.told_leaving.get(endpoint.name)
      late = told_at is not None and now - told_at > _DRAIN_S
      result.late_leaving += late

  async def call(self) -> None:
    """Makes one caller's request, and comes back once if it is refused."""
    came_at = anyio.current_time()
    for attempt in range(2):
      names = sorted(self.up)
      if not names:
        break
      router = self.up[self.rng.choice(names)]
      if await self._serve(router):
        self.result.outcomes.append((came_at, True))
        return
      if attempt == 0:
        await anyio.sleep(router.retry_after_s())
    self.result.outcomes.append((came_at, False))

  async def _serve(self, router: _Router) -> bool:
    tried: set[str] = set()
    for _ in range(_MAX_ATTEMPTS):
      row = router.choose(tried)
      if row is None:
        return False
      tried.add(row.name)
      if await router.send(row):
        return True
    return False

  def finish(self) -> Result:
    """Returns what came of the day."""
    result, day = self.result, self.day
    result.datagrams = self.datagrams.total()
    for router in self.up.values():
      for name, rests in router.told_rest.items():
        result.most_in_rest = max(
            result.most_in_rest, self._most_in_rest(router, name, rests)
        )
    ends_at = day.until_s + day.rest_s
    for endpoint in self.endpoints.values():
      if not endpoint.rests:
        continue
      span = (day.until_s, ends_at + 2.0)
      after = [at for at, _ in endpoint.arrivals if span[0] <= at < span[1]]
      result.herd = max(result.herd, _most_within(after, _HERD_WINDOW_S))
      result.shed_after_rest += sum(
          day.until_s <= at < ends_at + 2.0 for at in endpoint.turned_away_at
      )
    return result

  def _most_in_rest(
      self, router: _Router, name: str, rests: list[tuple[float, float]]
  ) -> int:
    arrivals = [
        at
        for at, life in self.endpoints[name].arrivals
        if life == router.me.life
    ]
    return max(
        sum(begin + _REST_SLACK_S < at < end for at in arrivals)
        for begin, end in rests
    )


def _most_within(times: list[float], window_s: float) -> int:
  most = start = 0
  for end, at in enumerate(times):
    while times[start] <= at - window_s:
      start += 1
    most = max(most, end - start + 1)
  return most


async def _play(day: Day, policy: str, seed: int) -> Result:
  async with anyio.create_task_group() as tasks:
    fleet = StatementFleet(day, policy, seed, tasks)
    tasks.start_soon(fleet.kill)
    per_s = day.load * day.endpoints * day.slots / day.answer_s
    async with anyio.create_task_group() as callers:
      while anyio.current_time() < day.seconds:
        await anyio.sleep(fleet.rng.expovariate(per_s))
        callers.start_soon(fleet.call)
    tasks.cancel_scope.cancel()
  return fleet.finish()


def simulate(day: Day, policy: str, seed: int) -> Result:
  """Simulates a day with a policy; the same seed gives the same result."""
  return loop_lib.run(_play, day, policy, seed)
