"""The entry host's application object for deployments behind an adapter.

Like `router.Router`, but what it serves is described by the operators'
configuration of a platform: routes, services, teams with prepaid budgets.
The adapter gives it a store, a dialect and news of the deployment; all
decisions are here and in the parts it wires.
"""

from collections.abc import Awaitable, Callable
import json
import logging
from typing import NamedTuple

import anyio
from anyio import abc

from mustardfall import accounts as accounts_lib
from mustardfall import errors
from mustardfall import events
from mustardfall import metrics
from mustardfall import overhead as overhead_lib
from mustardfall import settings
from mustardfall.budget import ledger
from mustardfall.budget import policy
from mustardfall.kv import protocol
from mustardfall.membership import clockcheck
from mustardfall.membership import copies as copies_lib
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import loadshare
from mustardfall.membership import notices as notices_lib
from mustardfall.membership import relay as relay_lib
from mustardfall.membership import trackers as trackers_lib
from mustardfall.membership import verdicts as verdicts_lib
from mustardfall.proxy import calls
from mustardfall.proxy import forwarder as forwarder_lib
from mustardfall.proxy import front
from mustardfall.proxy import guard as guard_lib
from mustardfall.proxy import internal
from mustardfall.proxy import links as links_lib
from mustardfall.proxy import messages
from mustardfall.proxy import placer as placer_lib
from mustardfall.proxy import room as room_lib
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import loads as loads_lib
from mustardfall.routing import quarantine
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_RELEASE_S = 3.0
"""After SIGTERM, callers' idle connections are kept this long: the balancer
asks every second and takes a host out after two misses, and whoever uses
the connection meanwhile is told that it closes."""
_HAND_BACK_SHARE = 0.095
"""Kept of the time to stop for handing the budgets back: 0.7 s of 8 s, many
times what the store takes when it answers. A stream that is cut for more is
worse than tokens handed back late: the next life gives them back."""


class _Page(NamedTuple):
  """Something served beside callers."""

  name: str
  handle: front.Handler
  host: str
  port: int


class Gateway:
  """One router of a platform deployment.

  Args:
    config: the router's settings, whole.
    clock: the time source.
    dialect: the deployment's headers.
    make_store: makes the store's client from a caller.
    store_headers: sent with each call to the store.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      dialect: messages.Dialect,
      make_store: Callable[[calls.Caller], protocol.Store],
      store_headers: tuple[messages.Header, ...] = (),
  ) -> None:
    self.config = config
    self.clock = clock
    self.bus = events.Bus()
    self.instruments = metrics.Instruments(config.name)
    self._room = room_lib.for_callers(config.limits)
    self.links = links_lib.Links(clock, self._room.most_connections)
    self.overhead = overhead_lib.Overhead(self.instruments)
    self.kv = make_store(calls.Caller(self.links, self.overhead, store_headers))
    self._peer_caller = calls.Caller(self.links, self.overhead)
    self.directory = directory_lib.Directory(
        config.scheduler, clock, config.first_start
    )
    self.accounts = accounts_lib.Accounts(
        config,
        clock,
        self.kv,
        self.bus,
        self._post,
        lambda customer: policy.CONFIGURED,
        self._limit_of,
        budgets=self._budgets,
    )
    self.loads = loads_lib.Loads(
        self.directory.endpoints, self.accounts.members.me.life
    )
    self.datagrams = datagrams_lib.Datagrams(
        config.peer_listen.host, config.load_port, self.overhead
    )
    self.load_share = loadshare.LoadShare(
        self.loads, self.accounts.members, self.datagrams, clock
    )
    self.trackers = trackers_lib.Trackers(
        self.accounts.members, self.datagrams, clock
    )
    self._placer = placer_lib.Placer(
        config, self.directory, self.load_share, self.trackers
    )
    self.copies = copies_lib.Copies(clock)
    self.notices = notices_lib.Notices(
        self.datagrams, self.accounts.members, self.copies, clock
    )
    self.quarantine = quarantine.Table(clock)
    self.verdicts = verdicts_lib.Verdicts(
        self.quarantine,
        self.accounts.members,
        self.datagrams,
        self.notices,
        self.kv,
        clock,
    )
    self.relay = relay_lib.Relay(
        self.accounts.members, self._post, self.copies, clock
    )
    self._dialect = dialect
    self.stopping = False
    self.front: front.Front | None = None

  async def _post(self, url: str, body: dict, timeout_s: float) -> dict:
    """Calls another router; see `peers.Post`."""
    address, _, path = url.removeprefix("http://").partition("/")
    try:
      reply = await self._peer_caller.call(
          address, "POST", f"/{path}", json.dumps(body).encode(), timeout_s
      )
      if reply.status != 200:  # noqa: PLR2004
        raise errors.PeerUnavailableError(f"status {reply.status}")
      return json.loads(reply.body)
    except (
        errors.EndpointUnreachableError,
        errors.BadResponseError,
        ValueError,
    ) as exc:
      raise errors.PeerUnavailableError(repr(exc)) from exc

  def _limit_of(self, budget: str) -> ledger.Limit | None:
    config = self.directory.configuration
    team = config.teams.get(budget) if config else None
    if config is None or team is None or team.prepaid is None:
      return None
    return ledger.Limit(team.prepaid, config.version)

  def _budgets(self) -> list[str]:
    config = self.directory.configuration
    teams = config.teams.values() if config else ()
    return [team.name for team in teams if team.prepaid is not None]

  def take_configuration(self, new: configuration.Configuration) -> None:
    """Puts a newer configuration in force, and reduced budgets with it."""
    old = self.directory.configuration
    if not self.directory.take_configuration(new) or old is None:
      return
    for name, team in new.teams.items():
      before = old.teams.get(name)
      if before is None or team.prepaid == before.prepaid:
        continue
      logger.info(
          "budget limit changed",
          extra={
              "budget": name,
              "before": before.prepaid,
              "after": team.prepaid,
              "version": new.version,
          },
      )
      if (team.prepaid or 0) < (before.prepaid or 0):
        # Tokens granted under the old limit may not fit under the new
        # one; they go back, and are granted anew if they do.
        self.accounts.pool.retire(name)

  async def take_endpoints(self, hosts: list[endpoints.Host]) -> None:
    """Takes a complete list of endpoints in.

    Idle connections to a server that has gone, or was started again, lead
    nowhere: a request sent on one may have run, as far as is known, and
    one that must not run twice is lost.
    """
    before = self._lives_by_address()
    self.directory.take_endpoints(hosts)
    after = self._lives_by_address()
    for address, life in before.items():
      if after.get(address) != life:
        await self.links.close_address(address)

  def _lives_by_address(self) -> dict[str, str]:
    return {row.url: row.life for row in self.directory.endpoints.rows.values()}

  @property
  def ready(self) -> bool:
    """Whether the balancer should send callers here."""
    return self.directory.configuration is not None and not self.stopping

  async def run(
      self,
      adapter_loops: list[Callable[[], Awaitable[None]]],
      ready: settings.Listen,
      stop: anyio.Event,
      stop_s: float,
  ) -> None:
    """Serves until `stop` is set and all is handed back.

    Args:
      adapter_loops: the adapter's followers, run supervised.
      ready: where the balancer asks.
      stop: set at SIGTERM.
      stop_s: seconds from `stop` to the end, at most.
    """
    async with anyio.create_task_group() as tasks:
      forwarder = forwarder_lib.Forwarder(
          self.config,
          self.clock,
          self._dialect,
          self.directory,
          self.accounts,
          self.links,
          tasks,
          self.instruments,
          self._placer,
          guard_lib.Guard(self.quarantine, self.verdicts, self.links),
      )
      self.front = front.Front(
          self._dialect,
          forwarder.handle,
          lambda: self.directory.limits,
          self.clock,
          room=self._room,
      )
      # Before the followers: once the configuration is known the balancer
      # is told to send callers, who must find the port open.
      listen = self.config.listen
      await tasks.start(self.front.serve, listen.host, listen.port)
      for loop in (
          *adapter_loops,
          *self.accounts.loops(),
          self.datagrams.run,
          self.load_share.run,
          self.verdicts.run,
          self.overhead.run,
          self._run_systems,
      ):
        tasks.start_soon(
            accounts_lib.supervise,
            loop,
            self.config.tick_s,
            lambda: self.instruments.outcomes.add(
                1, {"outcome": "loop failed"}
            ),
        )
      self._serve_internal(tasks, ready)
      logger.info("started", extra={"listen": listen.port})
      await stop.wait()
      await self._stop(self.front, stop_s)
      tasks.cancel_scope.cancel()

  def _serve_internal(
      self, tasks: abc.TaskGroup, ready: settings.Listen
  ) -> None:
    """Serves other routers, the balancer's question and the metrics."""
    peer = self.config.peer_listen
    handler = internal.Handler(
        self.accounts,
        {
            relay_lib.PATH: self.relay.serve,
            clockcheck.PATH: self.accounts.clock_check.serve,
        },
    )
    ready_handler = internal.ReadyHandler(lambda: self.ready)
    pages = [
        _Page("routers", handler.handle, peer.host, peer.port),
        _Page("readiness", ready_handler.handle, ready.host, ready.port),
    ]
    if self.config.proxy.metrics_port:
      text = internal.TextHandler(self.instruments.render)
      metrics_port = self.config.proxy.metrics_port
      pages.append(_Page("metrics", text.handle, peer.host, metrics_port))
    room = room_lib.for_routers()
    for page in pages:
      served = front.Front(
          internal.Dialect(),
          page.handle,
          lambda: configuration.DEFAULT_LIMITS,
          self.clock,
          page.name,
          room,
      )
      tasks.start_soon(served.serve, page.host, page.port)

  async def _run_systems(self) -> None:
    """Runs the systems over the tables each tick."""
    last = self.clock.monotonic()
    while True:
      await anyio.sleep(self.config.tick_s)
      now = self.clock.monotonic()
      self.accounts.pool.tick(now - last)
      self.directory.endpoints.tick(now)
      self.loads.add_up(now)
      self.trackers.forget()
      await self.links.close_idle()
      last = now

  async def _stop(self, served: front.Front, stop_s: float) -> None:
    """Finishes what is in flight and hands the budgets back."""
    ends = self.clock.monotonic() + stop_s
    self.stopping = True
    logger.info("stopping", extra={"in_flight": served.in_flight})
    await anyio.sleep(min(_RELEASE_S, stop_s / 2))
    served.stop_idle()
    hand_back_s = stop_s * _HAND_BACK_SHARE
    left_s = ends - self.clock.monotonic() - hand_back_s
    finished = await served.finish(max(0.0, left_s))
    with anyio.move_on_after(max(0.1, ends - self.clock.monotonic())):
      try:
        await self.accounts.hand_back()
      except Exception:  # noqa: BLE001  the next life gives it back
        logger.exception("budgets not handed back")
      await self.accounts.writer.flush(hand_back_s)
    logger.info(
        "stopped",
        extra={
            "finished": finished,
            "unwritten": self.accounts.writer.backlog,
        },
    )
