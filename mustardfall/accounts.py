"""Budgets and membership of one router, connected through a KV store.

They work the same for every front end: a batch writer, lease-based membership,
calls between routers and the pool of allotments. `Accounts` owns these
components and runs their loops.
"""

from collections.abc import Awaitable, Callable, Iterable
import logging
import secrets

import anyio

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.budget import acquiring
from mustardfall.budget import ledger
from mustardfall.budget import policy
from mustardfall.budget import pool as pool_lib
from mustardfall.kv import change
from mustardfall.kv import protocol
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import clockcheck
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)


class Accounts:
  """Creates and runs the budget and membership components of one router.

  Args:
    config: the router's complete settings.
    clock: the time source.
    kv: the KV store.
    bus: the event bus for changes.
    post: makes calls to other routers.
    policy_of: returns a customer's policy.
    limit_of: see `pool.Pool`.
    get_lease: returns the lease to attach to a key (0: none).
    epoch: distinguishes this life from others; random if empty.
    budgets: returns the budgets that the configuration sets.
    relays: finds routers that reach the store; None: none are known.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      kv: protocol.Store,
      bus: events.Bus,
      post: peers_lib.Post,
      policy_of: Callable[[str], policy.Policy],
      limit_of: Callable[[str], ledger.Limit | None] = lambda budget: None,
      get_lease: Callable[[str], int] = lambda key: 0,
      epoch: str = "",
      budgets: Callable[[], Iterable[str]] = tuple,
      relays: acquiring.StoreRelays | None = None,
  ) -> None:
    self._config = config
    self._clock = clock
    self._bus = bus
    self._kv = kv
    self._balances: dict[str, ledger.Balance] = {}
    self.writer = writer_lib.Writer(
        kv, config.writer, clock, self._on_value, get_lease
    )
    peer = config.peer_listen
    me = members_lib.Member(
        name=config.name,
        epoch=epoch or secrets.token_hex(4),
        url=f"http://{peer.host}:{peer.port}",
        datacentre=config.datacentre,
        region=config.region,
        load_port=config.load_port,
        tunnel_port=config.tunnel_port,
    )
    self.members = members_lib.Members(kv, me, config.membership, clock, bus)
    self.peers = peers_lib.Client(post, config.membership)
    self.clock_check = clockcheck.ClockCheck(
        config.membership, self.members, post, clock
    )
    self.pool = pool_lib.Pool(
        config,
        clock,
        self.members,
        self.peers,
        self.writer,
        policy_of,
        limit_of,
        self.clock_check,
        budgets,
        relays,
    )
    bus.connect(
        events.Name.LEDGER_READ, lambda e: self.pool.update_from_ledger(*e)
    )

  def _on_value(self, key: str, value: change.Value) -> None:
    if key == self.pool.renewer.key:
      self.pool.renewer.update(value)
      return
    if key.startswith(ledger.PREFIX):
      name = key.removeprefix(ledger.PREFIX)
      self._balances[name] = ledger.Balance(
          limit=value["limit"],
          spent=value["spent"],
          held=sum(value["grants"].values()) + ledger.lost(value),
          at=self._clock.monotonic(),
      )
      self._bus.emit(events.Name.LEDGER_READ, (name, value))

  @property
  def store_unreachable(self) -> bool:
    """Whether no new tokens can be granted as the store does not answer."""
    return not self._kv.reachable

  def balance(self, budget: str) -> ledger.Balance | None:
    """Returns the budget's balance as last read; None if it was never read."""
    return self._balances.get(budget)

  async def fetch_balance(self, budget: str) -> ledger.Balance | None:
    """Returns the budget's balance, read from the KV if it was never read.

    This costs one read per budget and router; later calls use the balance last
    read. None if there is no such budget or the KV does not answer.
    """
    if budget not in self._balances:
      try:
        state = await ledger.read(self._kv, budget)
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.info(
            "ledger not read", extra={"budget": budget, "error": str(exc)}
        )
        return None
      if state is not None:
        self._on_value(ledger.key(budget), state)
    return self.balance(budget)

  def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
    """Returns the loops that keep the accounts up to date, to be supervised.

    The set of live routers is followed separately: by `members.follow`, or as
    the deployment provides it.
    """
    return (
        self.writer.run,
        self.members.register,
        self.pool.acquirer.run,
        self.pool.reviewer.run,
        self.clock_check.run,
        self._settle_parts,
    )

  async def _settle_parts(self) -> None:
    while True:
      await anyio.sleep(self._config.allotment.settle_s)
      await self.pool.settle_parts()

  async def return_allotments(self) -> None:
    """Leaves the membership, then returns every allotment.

    Called after the drain.
    """
    await self.members.leave()
    await self.pool.stop()


async def supervise(
    loop: Callable[[], Awaitable[None]],
    pause_s: float,
    on_failure: Callable[[], None],
) -> None:
  """Runs a loop until cancelled, restarting it when it fails or returns.

  A fault in one loop must not end the process: that would break every open
  stream and write off this router's allotments.
  """
  while True:
    try:
      await loop()
    except Exception:  # noqa: BLE001  open streams must continue
      on_failure()
      logger.exception("loop failed", extra={"loop": loop.__qualname__})
    await anyio.sleep(pause_s)
