"""Router hosts: each runs one life of a router's accounts at a time."""

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
from mustardfall.membership import peers

_STOP_S = 0.7
"""What a stopping router keeps for handing its budgets back."""
_DRAIN_S = 7.0
"""What it leaves its requests at most."""
_DRAIN_STEP_S = 0.1
START_S = 0.5
"""From switching a host on, or starting a process, to a router's first
decision."""
_MOST_UPTIME_S = 100_000.0
"""A boot clock that starts anew need not start at zero."""
_ENDPOINTS = "endpoints/"
"""Prefix of the entries that a router's follower reads."""
_FOLLOW_S = 1.0
_FOLLOW_AGAIN_S = 0.3
"""Pauses of the loop that reads a document of the store now and then, and so
finds out when it is back."""


class Fleet:
  """All hosts, the store and the network between them.

  Args:
    config: settings of a router; names and addresses are set per host.
    names: the hosts' names.
    seed: of all that is drawn here.
    tasks: where the hosts run.
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
    """What the operators have set, whether a host has heard of it or not."""
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
      raise errors.PeerUnavailableError("it died")
    answer = {}
    with anyio.move_on_after(timeout_s) as scope:
      answer = await _serve(called.accounts, f"/{path}", body)
    if scope.cancelled_caught:
      raise errors.PeerUnavailableError("no answer")
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


class Host:
  """A host and, while it is up, its router's accounts.

  Args:
    fleet: the hosts it is one of.
    name: its name.
  """

  def __init__(self, fleet: Fleet, name: str) -> None:
    self._fleet = fleet
    self.name = name
    self.clock = loop_lib.Clock()
    self.accounts: accounts_lib.Accounts | None = None
    self.reserver: reserving.Reserver | None = None
    self.serving = False
    """Whether callers' new requests reach it."""
    self.in_flight = 0
    self._limits: dict[str, ledger.Limit] = {}
    self._scope: anyio.CancelScope | None = None
    self._client: store_lib.Client | None = None

  def start(self) -> None:
    """Starts the next life."""
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
    )
    async with anyio.create_task_group() as tasks:
      self._scope = tasks.cancel_scope
      for loop in (
          *accounts.loops(),
          accounts.members.follow,
          self._tick,
          self._follow,
      ):
        tasks.start_soon(
            accounts_lib.supervise, loop, config.tick_s, _raise_again
        )
      self.accounts = accounts
      wait_s = config.proxy.reserve_s
      self.reserver = reserving.Reserver(accounts.pool, tasks, wait_s)
      self.serving = True

  async def _follow(self) -> None:
    """Reads the store as the routers' followers of documents do."""
    while True:
      pause_s = _FOLLOW_S
      try:
        await self._client.get_prefix(_ENDPOINTS)
      except (errors.KvUnavailableError, errors.KvUnknownError):
        pause_s = _FOLLOW_AGAIN_S
      await anyio.sleep(pause_s)

  async def _tick(self) -> None:
    last = self.clock.monotonic()
    while True:
      await anyio.sleep(self._fleet.config.tick_s)
      now = self.clock.monotonic()
      if self.accounts is None:
        continue
      self._hear()
      self.accounts.pool.tick(now - last)
      last = now

  def _hear(self) -> None:
    """Takes limits in that the operators have changed."""
    if not self._fleet.network.reaches_store(self.name):
      return
    for budget, limit in self._fleet.limits.items():
      before = self._limits.get(budget, limit)
      self._limits[budget] = limit
      if limit.tokens < before.tokens:
        self.accounts.pool.retire(budget)

  def kill(self, power: bool) -> None:
    """Ends the life at once, unheard."""
    self.serving = False
    self.in_flight = 0
    self.accounts = None
    if power:
      self._fleet.network.powered_off.add(self.name)
    if self._scope is not None:
      self._scope.cancel()
      self._scope = None

  def restart(self, power: bool) -> None:
    """Starts a life after `kill`; after a loss of power clocks are new."""
    if power:
      self._fleet.network.powered_off.discard(self.name)
      step_s = self.clock.step_s
      uptime_s = self._fleet.rng.uniform(0.0, _MOST_UPTIME_S)
      self.clock = loop_lib.Clock(self.clock.monotonic() - uptime_s)
      self.clock.step_s = step_s
    self.start()

  async def stop(self) -> None:
    """Ends the life in good order: hands everything back, then exits."""
    self.serving = False
    accounts = self.accounts
    if accounts is None:
      return
    with anyio.move_on_after(_DRAIN_S):
      while self.in_flight:
        await anyio.sleep(_DRAIN_STEP_S)
    if self.accounts is not accounts:
      return  # killed meanwhile
    with anyio.move_on_after(_STOP_S):
      await accounts.return_allotments()
      await accounts.writer.flush(_STOP_S)
    self.kill(power=False)


def _raise_again() -> None:
  """Lets a fault in a loop end the day: here it is a fault to be found."""
  raise RuntimeError("a router's loop failed")
