"""Simulated hosts, each of which runs at most one router process."""

import collections
import math
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
_READERS = 2
"""Routers that read the shared documents for all others in a large fleet."""
_ANNOUNCERS = 8
"""These and six standby routers read them even while the store is unreachable.
"""
_MAX_SILENCE_S = {_ENDPOINTS: 1.1, members_lib.PREFIX: 6.0}
"""Time without a notice after which any router reads a document itself."""
_PAUSE_S = {_ENDPOINTS: 0.5, members_lib.PREFIX: 0.15}
"""Pause of a reader after each read of a document."""
_READER_BACKOFF_S = (0.3, 1.0)
_BACKOFF_S = (1.2, 4.0)
"""First and longest pause after a failed read, of readers and of the others."""
_BACKOFF_JITTER = 0.3
"""Fraction of a pause that is random."""
_MAX_REVISION_AGE_S = 5.0
"""Age of the list of routers up to which only its changes are read."""
_MEMBERS_POLL_S = 3.0
"""Maximum time that a watch of the routers waits for a change. These constants
are those of `platform.followers` and `platform.sources`."""


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
    self.ended_transactions: collections.Counter[str] = collections.Counter()
    """Transactions of routers that have ended; see `Writer.transactions`."""
    self.read_at = {_ENDPOINTS: -math.inf, members_lib.PREFIX: -math.inf}
    """When a reader last announced each document."""
    self.hosts = {name: Host(self, name) for name in names}

  @property
  def is_large(self) -> bool:
    """Whether two readers follow the shared documents for all routers."""
    return len(self.hosts) > members_lib.MAX_SMALL_FLEET

  def total_transactions(self) -> collections.Counter[str]:
    """Returns the transactions of all routers so far, by what is in them."""
    total = self.ended_transactions.copy()
    for host in self.hosts.values():
      if host.accounts is not None:
        total.update(host.accounts.writer.transactions)
    return total

  def announce(self, reader: members_lib.Members, document: str) -> None:
    """Records that a reader has read a document, and tells the others.

    Notices are not modelled one by one: all routers that the reader reaches
    have the list of routers at once.
    """
    if self.network.cut_from_peers[reader.me.name]:
      return
    now = anyio.current_time()
    self.read_at[document] = now
    if document != members_lib.PREFIX:
      return
    rows = list(reader.lives.values())
    for host in self.hosts.values():
      is_deaf = self.network.cut_from_peers[host.name]
      if (
          host.name != reader.me.name
          and host.accounts is not None
          and not is_deaf
      ):
        host.accounts.members.set_list_current(True)
        host.accounts.members.update(rows, now)

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
    self._listed_at = -math.inf
    """When this router last read the list of routers itself."""
    self._listed_revision = 0

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
    self._listed_at = -math.inf
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
          self._tick,
          *self._followers(accounts),
      ):
        tasks.start_soon(
            accounts_lib.supervise, loop, config.tick_s, _fail_simulation
        )
      self.accounts = accounts
      wait_s = config.proxy.reserve_s
      self.reserver = reserving.Reserver(accounts.pool, tasks, wait_s)
      self.serving = True

  def _followers(self, accounts: accounts_lib.Accounts) -> tuple:
    """Returns the loops that follow the documents that routers share."""
    if not self._fleet.is_large:
      return accounts.members.follow, self._poll_store
    return (
        lambda: self._follow(accounts.members, _ENDPOINTS),
        lambda: self._follow(accounts.members, members_lib.PREFIX),
    )

  async def _follow(self, members: members_lib.Members, document: str) -> None:
    """Follows a document like `platform.followers` in a large fleet.

    Two readers read it. The others read it at their start, and once no reader
    has announced it for a while.
    """
    max_silence_s, failures, has_copy = _MAX_SILENCE_S[document], 0, False
    while True:
      now = anyio.current_time()
      silent_s = now - self._fleet.read_at[document]
      is_reader = members.rank < _READERS
      if has_copy and not is_reader and silent_s < max_silence_s:
        await anyio.sleep(max_silence_s - silent_s)
        continue
      try:
        if not (self._client.reachable or members.rank < _ANNOUNCERS):
          raise errors.KvUnavailableError("the store is unreachable")
        if document == members_lib.PREFIX:
          await self._read_members(members)
        else:
          await self._client.get_prefix(document)
      except (errors.KvUnavailableError, errors.KvUnknownError):
        reads_early = members.rank < _ANNOUNCERS
        initial_s, max_s = _READER_BACKOFF_S if reads_early else _BACKOFF_S
        pause_s = min(max_s, initial_s * 2.0**failures)
        failures += 1
        jitter = 1 + _BACKOFF_JITTER * (self._fleet.rng.random() - 0.5)
        await anyio.sleep(pause_s * jitter)
        continue
      failures, has_copy = 0, True
      self._fleet.announce(members, document)
      await anyio.sleep(_PAUSE_S[document])

  async def _read_members(self, members: members_lib.Members) -> None:
    """Reads the list of routers, or waits for its next change."""
    if anyio.current_time() - self._listed_at <= _MAX_REVISION_AGE_S:
      revision, records = await self._client.poll(
          members_lib.PREFIX, self._listed_revision, _MEMBERS_POLL_S
      )
    else:
      revision, records = await self._client.get_prefix(members_lib.PREFIX)
    self._listed_at, self._listed_revision = anyio.current_time(), revision
    members.set_list_current(True)
    members.update(members_lib.decode(records), self._listed_at)

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
    if self.accounts is not None:
      self._fleet.ended_transactions.update(self.accounts.writer.transactions)
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
