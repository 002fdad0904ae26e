"""Simulated hosts, each of which runs at most one router process."""

import random

import anyio
from anyio import abc

from mustardfall import accounts as accounts_lib
from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.bench.virtual import loop as loop_lib
from mustardfall.bench.virtual import network as network_lib
from mustardfall.bench.virtual import store as store_lib
from mustardfall.budget import ledger
from mustardfall.budget import policy
from mustardfall.budget import reserving
from mustardfall.membership import clockcheck
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers

_HAND_BACK_TIMEOUT_S = 0.7
"""Time limit for a stopping router to return its tokens to the ledgers."""
_DRAIN_TIMEOUT_S = 7.0
"""Time limit for requests in flight to end when a router stops."""
_DRAIN_POLL_S = 0.1
STARTUP_S = 0.5
"""Time from powering a host on, or starting a process, to the router's first
decision."""
_MAX_UPTIME_S = 100_000.0
"""Maximum uptime of a host after a power loss; its boot clock does not have to
restart at zero."""
_ENDPOINTS = "endpoints/"
"""Prefix of the keys that a router polls for the list of endpoints."""
_POLL_S = 1.0
_FIND_RELAYS_S = 0.005
"""Time to ask other routers by datagram whether they reach the store."""
_POLL_RETRY_S = 0.3
"""Pauses between polls after a success and after a failure. Polling also
detects that the store is reachable again."""


class Fleet:
  """All hosts, the store and the network between them.

  Args:
    config: settings of a router; names and addresses are set per host.
    names: the hosts' names.
    seed: of the random numbers of the hosts and their clients.
    tasks: task group in which the hosts run.
  """

  def __init__(
      self,
      config: settings.Router,
      names: tuple[str, ...],
      seed: int,
      tasks: abc.TaskGroup,
  ) -> None:
    self.config = config
    self.network = network_lib.Network()
    self.store = store_lib.Store()
    self.limits: dict[str, ledger.Limit] = {}
    """Limits that the operators have set; a host may not know them yet."""
    self.rng = random.Random(seed)
    self.tasks = tasks
    self.hosts = {name: Host(self, name) for name in names}

  async def post(
      self, caller: str, url: str, body: dict, timeout_s: float
  ) -> dict:
    """Calls another host; see `peers.Post`."""
    name, _, path = url.removeprefix("http://").partition("/")
    called = self.hosts[name.partition(":")[0]]
    await self.network.call_peer(
        caller, called.name, called.accounts is not None, timeout_s
    )
    if called.accounts is None:
      raise errors.PeerUnavailableError(f"{called.name} died during the call")
    answer = {}
    with anyio.move_on_after(timeout_s) as scope:
      answer = await _serve(called.accounts, f"/{path}", body)
    if scope.cancelled_caught:
      raise errors.PeerUnavailableError(f"no answer from {called.name}")
    return answer


async def _serve(accounts: accounts_lib.Accounts, path: str, body: dict):
  pool = accounts.pool
  if path == peers.RESERVE_PATH:
    return (
        await pool.owner.serve_part_request(peers.ReserveRequest(**body))
    )._asdict()
  if path == peers.SETTLE_PATH:
    pool.owner.serve_settle([peers.EndedPart(**row) for row in body["ended"]])
  elif path == peers.RECALL_PATH:
    await pool.recaller.serve(body["budget"])
  elif path == peers.REVIEW_PATH:
    await pool.reviewer.serve(body["budget"])
  elif path == clockcheck.PATH:
    return await accounts.clock_check.serve(body)
  return {}


class _Relays:
  """Routers that reach the store, as found by asking them.

  Args:
    fleet: all hosts.
    name: the host that asks.
  """

  def __init__(self, fleet: Fleet, name: str) -> None:
    self._fleet = fleet
    self._name = name
    self._dropped: set[str] = set()

  async def find(self) -> list[members_lib.Member]:
    """Returns routers whose client reaches the store, in random order."""
    await anyio.sleep(_FIND_RELAYS_S)
    found = [
        host.accounts.members.me
        for host in self._fleet.hosts.values()
        if host.accounts is not None
        and host.name != self._name
        and host.serving
        and host.reaches_store
        and host.accounts.members.me.life not in self._dropped
    ]
    self._dropped.clear()
    self._fleet.rng.shuffle(found)
    return found

  def drop(self, life: str, reason: str) -> None:
    """Leaves a router out of the next list."""
    del reason
    self._dropped.add(life)


class Host:
  """A host and, while its router runs, that router's accounts.

  Args:
    fleet: the fleet that it belongs to.
    name: its name.
  """

  def __init__(self, fleet: Fleet, name: str) -> None:
    self._fleet = fleet
    self.name = name
    self.clock = loop_lib.Clock()
    self.accounts: accounts_lib.Accounts | None = None
    self.reserver: reserving.Reserver | None = None
    self.serving = False
    """Whether the router accepts new requests."""
    self.in_flight = 0
    self._limits: dict[str, ledger.Limit] = {}
    self._scope: anyio.CancelScope | None = None
    self._client: store_lib.Client | None = None

  @property
  def reaches_store(self) -> bool:
    """Whether the router takes the store for reachable."""
    return self._client is not None and self._client.reachable

  def start(self) -> None:
    """Starts a new router process."""
    self._fleet.tasks.start_soon(self._run)

  async def _run(self) -> None:
    fleet = self._fleet
    host = settings.Listen(host=self.name, port=1)
    config = fleet.config.model_copy(
        update={"name": self.name, "peer_listen": host}
    )
    client = self._client = store_lib.Client(
        fleet.store, fleet.network, self.name, fleet.rng, self.clock
    )
    self._limits.clear()
    self._limits.update(fleet.limits)

    async def _post(url: str, body: dict, timeout_s: float) -> dict:
      return await fleet.post(self.name, url, body, timeout_s)

    accounts = accounts_lib.Accounts(
        config,
        self.clock,
        client,
        events.Bus(),
        _post,
        lambda customer: policy.CONFIGURED_BUDGETS,
        self._limits.get,
        epoch=f"{fleet.rng.getrandbits(32):08x}",
        budgets=self._limits.keys,
        relays=_Relays(fleet, self.name),
    )
    async with anyio.create_task_group() as tasks:
      self._scope = tasks.cancel_scope
      for loop in (
          *accounts.loops(),
          accounts.members.follow,
          self._tick,
          self._poll_store,
      ):
        tasks.start_soon(
            accounts_lib.supervise, loop, config.tick_s, _fail_simulation
        )
      self.accounts = accounts
      wait_s = config.proxy.reserve_s
      self.reserver = reserving.Reserver(accounts.pool, tasks, wait_s)
      self.serving = True

  async def _poll_store(self) -> None:
    """Polls the store as a router does for its shared documents."""
    while True:
      pause_s = _POLL_S
      try:
        await self._client.get_prefix(_ENDPOINTS)
      except (errors.KvUnavailableError, errors.KvUnknownError):
        pause_s = _POLL_RETRY_S
      await anyio.sleep(pause_s)

  async def _tick(self) -> None:
    last = self.clock.monotonic()
    while True:
      await anyio.sleep(self._fleet.config.tick_s)
      now = self.clock.monotonic()
      if self.accounts is None:
        continue
      self._apply_limits()
      self.accounts.pool.tick(now - last)
      last = now

  def _apply_limits(self) -> None:
    """Applies the operators' changes to limits, if the store is reachable."""
    if not self._fleet.network.reaches_store(self.name):
      return
    for budget, limit in self._fleet.limits.items():
      before = self._limits.get(budget, limit)
      self._limits[budget] = limit
      if limit.tokens < before.tokens:
        self.accounts.pool.retire(budget)

  def kill(self, power_loss: bool) -> None:
    """Kills the router process without a shutdown, and cuts power on request."""
    self.serving = False
    self.in_flight = 0
    self.accounts = None
    if power_loss:
      self._fleet.network.powered_off.add(self.name)
    if self._scope is not None:
      self._scope.cancel()
      self._scope = None

  def restart(self, power_loss: bool) -> None:
    """Starts the router after `kill`; a power loss resets the boot clock."""
    if power_loss:
      self._fleet.network.powered_off.discard(self.name)
      wall_offset_s = self.clock.wall_offset_s
      uptime_s = self._fleet.rng.uniform(0.0, _MAX_UPTIME_S)
      self.clock = loop_lib.Clock(self.clock.monotonic() - uptime_s)
      self.clock.wall_offset_s = wall_offset_s
    self.start()

  async def stop(self) -> None:
    """Shuts down gracefully: drains requests, returns tokens, then exits."""
    self.serving = False
    accounts = self.accounts
    if accounts is None:
      return
    with anyio.move_on_after(_DRAIN_TIMEOUT_S):
      while self.in_flight:
        await anyio.sleep(_DRAIN_POLL_S)
    if self.accounts is not accounts:
      return  # The router was killed while it drained.
    with anyio.move_on_after(_HAND_BACK_TIMEOUT_S):
      await accounts.return_allotments()
      await accounts.writer.flush(_HAND_BACK_TIMEOUT_S)
    self.kill(power_loss=False)


def _fail_simulation() -> None:
  """Fails the simulation, so that an exception in a router's loop is noticed."""
  raise RuntimeError("a background loop of a simulated router failed")
