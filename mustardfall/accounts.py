"""Budgets and membership of one router, wired together over a KV store.

Whatever front a router has, its budgets work the same way: a batch
writer, the lease-based membership, calls among routers and the pool of
allotments. `Accounts` owns them and runs their loops.
"""

from collections.abc import Awaitable, Callable, Iterable
import logging
import secrets

import anyio

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
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
  """A router's share of the budgets, and the routers it shares them with.

  Args:
    config: the router's settings, whole.
    clock: the time source.
    kv: the KV store.
    bus: told of changes.
    post: makes calls to other routers.
    policy_of: returns a customer's policy.
    limit_of: see `pool.Pool`.
    get_lease: returns the lease to attach to a key (0: none).
    epoch: tells this life from others; drawn when left out.
    budgets: returns the budgets that the configuration sets.
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
    )
    bus.connect(events.Name.LEDGER_READ, lambda e: self.pool.sweep(*e))

  def _on_value(self, key: str, value: change.Value) -> None:
    if key == self.pool.renewer.key:
      self.pool.renewer.take(value)
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
  def store_away(self) -> bool:
    """Whether no new tokens can be had, since the store does not answer."""
    return not self._kv.reachable

  def balance(self, budget: str) -> ledger.Balance | None:
    """Returns what the budget's ledger said when last seen, if ever."""
    return self._balances.get(budget)

  async def look_up(self, budget: str) -> ledger.Balance | None:
    """Returns what the ledger says, read from the KV if it was never seen.

    One read per budget and router: from then on what was seen is known. None
    when there is no such budget, or the KV does not tell.
    """
    if budget not in self._balances:
      try:
        found = await ledger.read(self._kv, budget)
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.info(
            "ledger not read", extra={"budget": budget, "error": str(exc)}
        )
        return None
      if found is not None:
        self._on_value(ledger.key(budget), found)
    return self.balance(budget)

  def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
    """Returns the loops that keep the accounts going, to be supervised.

    Who is up is followed beside them: by `members.follow`, or as a deployment
    tells it.
    """
    return (
        self.writer.run,
        self.members.register,
        self.pool.drawer.run,
        self.pool.reviewer.run,
        self.clock_check.run,
        self._settle_parts,
    )

  async def _settle_parts(self) -> None:
    while True:
      await anyio.sleep(self._config.allotment.settle_s)
      await self.pool.settle_parts()

  async def hand_back(self) -> None:
    """Hands every allotment back; called after the drain."""
    await self.members.leave()
    await self.pool.stop()


async def supervise(
    loop: Callable[[], Awaitable[None]],
    pause_s: float,
    on_failure: Callable[[], None],
) -> None:
  """Runs a loop, again whenever it breaks, until cancelled.

  A fault in one loop must not end the process: that would cut every
  open stream off and write this router's allotments off.
  """
  while True:
    try:
      await loop()
    except Exception:  # noqa: BLE001  whatever it is, streams go on
      on_failure()
      logger.exception("loop failed", extra={"loop": loop.__qualname__})
    await anyio.sleep(pause_s)
