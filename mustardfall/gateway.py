"""The application object of a router on a platform.

It corresponds to `router.Router`, but serves what the operators' configuration
of the platform describes: routes, services, and teams with prepaid budgets. The
platform's adapter provides the store's client, the header dialect and updates
of configuration and endpoints. `Gateway` creates the components that do the
rest and connects them.
"""

from collections.abc import Awaitable, Callable
import json
import logging
import socket
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
from mustardfall.membership import exits as exits_lib
from mustardfall.membership import gossip as gossip_lib
from mustardfall.membership import limit_records as limit_records_lib
from mustardfall.membership import loadshare
from mustardfall.membership import notices as notices_lib
from mustardfall.membership import permits as permits_lib
from mustardfall.membership import relay as relay_lib
from mustardfall.membership import store_relays as store_relays_lib
from mustardfall.membership import stream_keepers as stream_keepers_lib
from mustardfall.membership import trackers as trackers_lib
from mustardfall.membership import trials as trials_lib
from mustardfall.membership import verdicts as verdicts_lib
from mustardfall.proxy import cold_start_limiter as cold_start_limiter_lib
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import crash_guard as crash_guard_lib
from mustardfall.proxy import draining
from mustardfall.proxy import endpoint_limiter as endpoint_limiter_lib
from mustardfall.proxy import endpoint_paths as endpoint_paths_lib
from mustardfall.proxy import endpoint_selector as endpoint_selector_lib
from mustardfall.proxy import endpoint_statements as endpoint_statements_lib
from mustardfall.proxy import forwarder as forwarder_lib
from mustardfall.proxy import host_load as host_load_lib
from mustardfall.proxy import http_client
from mustardfall.proxy import http_server
from mustardfall.proxy import internal
from mustardfall.proxy import link_limiter as link_limiter_lib
from mustardfall.proxy import messages
from mustardfall.proxy import resource_limiter as resource_limiter_lib
from mustardfall.proxy import resumption as resumption_lib
from mustardfall.proxy import saturation_limiter as saturation_limiter_lib
from mustardfall.proxy import tunnel_server as tunnel_server_lib
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import limited_endpoints as limited_endpoints_lib
from mustardfall.routing import loads as loads_lib
from mustardfall.routing import quarantine
from mustardfall.routing import rate_limits as rate_limits_lib
from mustardfall.routing import reach as reach_lib
from mustardfall.routing import statements as statements_lib
from mustardfall.util import clock as clock_lib
from mustardfall.util import sockets

logger = logging.getLogger(__name__)

_DRAIN_DELAY_S = 3.0
"""How long callers' idle connections stay open after SIGTERM. The load balancer
checks readiness every second and removes a host after two failed checks. From
then on idle connections are closed and responses say `Connection: close`."""
_BUDGET_RETURN_SHARE = 0.095
"""Share of the stop timeout reserved for returning budgets to the store. With
the platform's default grace period of 8 s the stop timeout is 7.6 s, and 0.7 s
are reserved, many times what the store takes if it responds. Cutting streams
off to reserve more would be worse than returning tokens late: the restarted
process returns them."""


_MIN_FINISH_S = 0.05
_MAX_FINISH_S = 0.6
"""Least and most time for the last responses after the budgets were returned. It
covers the time for which closed connections are still read."""
_INTERNAL_BUFFER_BYTES = 65_536
"""Size of the receive and send buffers of internal connections. Documents of
some MB are sent to routers in other regions, whose packets take long."""
_MAX_LOGGED_TEAMS = 16
"""Teams that are named in the log line on a new configuration."""


class _InternalService(NamedTuple):
  """An internal port and its handler."""

  name: str
  handle: http_server.Handler
  host: str
  port: int
  share: resource_limiter_lib.InternalShare


def _replace_taken_ports(config: settings.Router) -> settings.Router:
  """Returns the settings with free ports for datagrams and tunnels.

  The process before may still hold them while it drains. Without them, this
  router would hear no other until it ends.
  """
  host = config.peer_listen.host
  kinds = {
      "load_port": ("datagrams", socket.SOCK_DGRAM),
      "tunnel_port": ("tunnels", socket.SOCK_STREAM),
  }
  found = {}
  for field, (purpose, kind) in kinds.items():
    port = getattr(config, field)
    if port:
      ports = range(port, max(port, config.last_spare_port) + 1)
      found[field] = sockets.find_free_port(purpose, host, kind, ports)
  return config.model_copy(update=found)


class Gateway:
  """One router of a platform deployment.

  Args:
    config: all of the router's settings.
    clock: the time source.
    dialect: decodes and encodes the deployment's headers.
    make_store: creates the store's client from an HTTP client.
    store_headers: sent with each call to the store.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      dialect: messages.Dialect,
      make_store: Callable[[http_client.HttpClient], protocol.Store],
      store_headers: tuple[messages.Header, ...] = (),
  ) -> None:
    config = _replace_taken_ports(config)
    self.config = config
    self.clock = clock
    self.bus = events.Bus()
    self.instruments = metrics.Instruments(config.name)
    self._resource_limiter = resource_limiter_lib.new_caller_limiter(
        config.limits
    )
    self.connection_pool = connection_pool_lib.ConnectionPool(
        clock, self._resource_limiter.max_connections
    )
    self.overhead = overhead_lib.Overhead(self.instruments)
    self.kv = make_store(
        http_client.HttpClient(
            self.connection_pool, self.overhead, store_headers
        )
    )
    self._peer_client = http_client.HttpClient(
        self.connection_pool, self.overhead
    )
    self.statements = statements_lib.Table(
        clock,
        lambda life: self.directory.endpoints.find_life(life) is not None,
        config.proxy.max_rest_s,
        lambda: len(self.accounts.members.lives),
    )
    self.directory = directory_lib.Directory(
        config.scheduler,
        clock,
        config.first_start,
        self.statements.is_withheld,
    )
    self.accounts = accounts_lib.Accounts(
        config,
        clock,
        self.kv,
        self.bus,
        self._call_peer,
        lambda customer: policy.CONFIGURED_BUDGETS,
        self._limit_of,
        budgets=self._budgets,
        relays=store_relays_lib.StoreRelays(
            lambda: self.exits, config.datacentre
        ),
    )
    self.reach = reach_lib.Reach(self.directory.endpoints, clock)
    self.loads = loads_lib.Loads(
        self.directory.endpoints, self.accounts.members.me.life
    )
    self.datagrams = datagrams_lib.Datagrams(
        config.peer_listen.host, config.load_port, self.overhead
    )
    self.exits = exits_lib.Exits(
        self.accounts.members,
        self.datagrams,
        self._reaches,
        self._busy,
        clock,
    )
    self.paths = endpoint_paths_lib.EndpointPaths(
        config, self.connection_pool, self.reach, self.exits, self.instruments
    )
    self.host_load = host_load_lib.HostLoad(config, clock, self._busy)
    self.tunnel_server = tunnel_server_lib.TunnelServer(
        config,
        self.directory.endpoints.find_address,
        self.paths.acquire_for_other,
        self.reach.is_cut,
        self.statements,
        self.connection_pool,
        self._resource_limiter,
        self.host_load,
        self.instruments,
    )
    self.link_limiter = link_limiter_lib.LinkLimiter(
        config,
        clock,
        self.host_load,
        lambda: len(self.accounts.members.lives) > 1,
        self.instruments,
    )
    self.load_share = loadshare.LoadShare(
        self.loads, self.accounts.members, self.datagrams, clock
    )
    self.trackers = trackers_lib.Trackers(
        self.accounts.members, self.datagrams, clock
    )
    self.rate_limits = rate_limits_lib.Table(
        clock,
        lambda life: self.directory.endpoints.find_life(life) is not None,
    )
    self._limit_gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.RATE_LIMIT,
        self.rate_limits,
        self.accounts.members,
        self.datagrams,
        clock,
        rate_limits_lib.MAX_UPDATES_PER_DATAGRAM,
    )
    self._statement_gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.STATEMENT,
        self.statements,
        self.accounts.members,
        self.datagrams,
        clock,
        statements_lib.MAX_FACTS_PER_DATAGRAM,
    )
    self.brittle = rate_limits_lib.Table(
        clock, self.directory.endpoints.has_kind, "brittle endpoints"
    )
    self._brittle_gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.BRITTLE,
        self.brittle,
        self.accounts.members,
        self.datagrams,
        clock,
        rate_limits_lib.MAX_UPDATES_PER_DATAGRAM,
    )
    limits = limited_endpoints_lib.LimitedEndpoints(
        self.directory.endpoints, self.rate_limits, self.brittle
    )
    self.permits = permits_lib.Permits(
        self.accounts.members, self.datagrams, limits, self.instruments, clock
    )
    self._limit_records = limit_records_lib.LimitRecords(
        self.kv, self.accounts.members, self.permits, limits, self.rate_limits
    )
    self._endpoint_limiter = endpoint_limiter_lib.EndpointLimiter(
        self.rate_limits,
        self._limit_gossip,
        self.brittle,
        self._brittle_gossip,
        limits,
        self.permits,
        clock,
    )
    self._endpoint_statements = endpoint_statements_lib.EndpointStatements(
        self.statements,
        self._statement_gossip,
        self._endpoint_limiter,
        self.directory,
        self.accounts.members,
        self.tunnel_server,
        self.instruments,
    )
    self._cold_start_limiter = cold_start_limiter_lib.ColdStartLimiter(
        self.accounts.members, clock
    )
    self._endpoint_selector = endpoint_selector_lib.EndpointSelector(
        config,
        self.directory,
        self.load_share,
        self.trackers,
        self._cold_start_limiter,
        self._endpoint_limiter,
        self.statements,
        clock,
        self.instruments,
    )
    self.stream_keepers = stream_keepers_lib.StreamKeepers(
        self.accounts.members, self.datagrams, self._call_peer, clock
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
        self._call_peer,
    )
    self.trials = trials_lib.Trials(
        self.quarantine, self.permits, self.instruments, clock
    )
    self.relay = relay_lib.Relay(
        self.accounts.members, self._call_peer, self.copies, clock
    )
    self._dialect = dialect
    self.stopping = False
    self._drain = draining.Drain(clock)
    self.http_server: http_server.HttpServer | None = None

  def _reaches(self, kind: str) -> bool:
    """Whether this router opens tunnels to a kind, or reaches the store."""
    if kind == store_relays_lib.QUESTION:
      return self.kv.reachable and not self.stopping
    is_closed = self.stopping or self.tunnel_server.is_busy
    return not (is_closed or self.reach.is_cut(kind))

  def _busy(self) -> int:
    """Returns this router's requests in flight and open tunnels."""
    in_flight = self.http_server.in_flight if self.http_server else 0
    return in_flight + self.tunnel_server.open_count

  async def _call_peer(self, url: str, body: dict, timeout_s: float) -> dict:
    """Calls another router; see `peers.Post`."""
    address, _, path = url.removeprefix("http://").partition("/")
    try:
      reply = await self._peer_client.call(
          address, "POST", f"/{path}", json.dumps(body).encode(), timeout_s
      )
      if reply.status != 200:  # noqa: PLR2004
        raise errors.PeerUnavailableError(f"status {reply.status}")
      return json.loads(reply.body)
    except (
        errors.EndpointUnreachableError,
        errors.InvalidResponseError,
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

  def apply_configuration(self, new: configuration.Configuration) -> None:
    """Applies a newer configuration, and retires grants of reduced budgets."""
    old = self.directory.configuration
    if not self.directory.apply_configuration(new) or old is None:
      return
    self._log_team_changes(old, new)
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
        # Tokens granted under the old limit may exceed the new one. They are
        # returned, and granted again if the new limit allows.
        self.accounts.pool.retire(name)

  def _log_team_changes(
      self, old: configuration.Configuration, new: configuration.Configuration
  ) -> None:
    changes = configuration.team_changes(old, new)
    if changes:
      extra = {
          "version": new.version,
          "count": len(changes),
          "teams": [change._asdict() for change in changes[:_MAX_LOGGED_TEAMS]],
      }
      logger.info("teams changed", extra=extra)

  async def apply_endpoints(
      self,
      endpoint_list: list[endpoints.EndpointEntry],
      as_of: float | None = None,
  ) -> None:
    """Applies a complete list of endpoints; see `Directory.apply_endpoints`.

    Idle connections to endpoints that were removed or restarted are closed. A
    request sent on one would fail with an unknown outcome, so it could not be
    retried if it must not run twice.
    """
    before = self._lives_by_address()
    self.directory.apply_endpoints(endpoint_list, as_of)
    after = self._lives_by_address()
    for address, life in before.items():
      if after.get(address) != life:
        await self.connection_pool.close_address(address)

  def _lives_by_address(self) -> dict[str, str]:
    """Returns each endpoint's life, one run of its process, by address."""
    return {row.url: row.life for row in self.directory.endpoints.rows.values()}

  @property
  def ready(self) -> bool:
    """Whether the load balancer should send callers to this router."""
    is_informed = (
        self.directory.configuration is not None and self.directory.is_listed
    )
    return is_informed and not self.stopping

  async def run(
      self,
      adapter_loops: list[Callable[[], Awaitable[None]]],
      ready: settings.Listen,
      stop: anyio.Event,
      stop_s: float,
  ) -> None:
    """Serves until `stop` is set and the budgets are returned.

    Args:
      adapter_loops: the adapter's loops that follow the deployment's state; run
        under supervision.
      ready: address and port of the load balancer's readiness checks.
      stop: set at SIGTERM.
      stop_s: most seconds from `stop` until this method returns.
    """
    async with anyio.create_task_group() as tasks:
      forwarder = forwarder_lib.Forwarder(
          self.config,
          self.clock,
          self._dialect,
          self.directory,
          self.accounts,
          self.connection_pool,
          tasks,
          self.instruments,
          self._endpoint_selector,
          crash_guard_lib.CrashGuard(
              self.quarantine,
              self.verdicts,
              self.trials,
              self.paths,
              self.statements,
              self.clock,
          ),
          self._endpoint_limiter,
          self._endpoint_statements,
          self.paths,
          self.reach,
          resumption_lib.Resumption(
              self.stream_keepers, self.directory, self.host_load
          ),
          self.host_load,
          self._drain,
      )
      self.http_server = http_server.HttpServer(
          self._dialect,
          forwarder.handle,
          lambda: self.directory.limits,
          self.clock,
          resource_limiter=self._resource_limiter,
          sheds_connections=True,
          saturation=saturation_limiter_lib.SaturationLimiter(
              self.config,
              self.clock,
              self.host_load,
              lambda: len(self.accounts.members.lives) > 1,
              self.instruments,
          ),
          host_load=self.host_load,
          link_limiter=self.link_limiter,
          connections=self.config.connections,
          drain=self._drain,
          estimate_need=forwarder.estimate_need,
      )
      # The callers' port is opened before the loops start: the router reports
      # readiness as soon as the loops have read the configuration.
      listen = self.config.listen
      await tasks.start(self.http_server.serve, listen.host, listen.port)
      for loop in (
          *adapter_loops,
          *self.accounts.loops(),
          self.datagrams.run,
          self.load_share.run,
          self.verdicts.run,
          self._limit_gossip.run,
          self._brittle_gossip.run,
          self._statement_gossip.run,
          self.permits.run,
          self._limit_records.run,
          self.stream_keepers.run,
          forwarder.run,
          self.paths.run,
          self.tunnel_server.run,
          self.host_load.run,
          self.link_limiter.run,
          self.overhead.run,
          self._run_periodic_tasks,
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
      await self._stop(self.http_server, forwarder, stop_s)
      tasks.cancel_scope.cancel()

  def _serve_internal(
      self, tasks: abc.TaskGroup, ready: settings.Listen
  ) -> None:
    """Serves other routers, the load balancer's checks and the metrics."""
    peer = self.config.peer_listen
    peer_handler = internal.PeerHandler(
        self.accounts,
        {
            relay_lib.PATH: self.relay.serve,
            stream_keepers_lib.PATH: self.stream_keepers.serve,
            verdicts_lib.PATH: self.verdicts.serve,
            clockcheck.PATH: self.accounts.clock_check.serve,
        },
    )
    readiness_handler = internal.ReadyHandler(
        lambda: self.ready and self.link_limiter.answer_check()
    )
    services = [
        _InternalService(
            "routers",
            peer_handler.handle,
            peer.host,
            peer.port,
            resource_limiter_lib.ROUTERS_SHARE,
        ),
        _InternalService(
            "readiness",
            readiness_handler.handle,
            ready.host,
            ready.port,
            resource_limiter_lib.READINESS_SHARE,
        ),
    ]
    if self.config.proxy.metrics_port:
      metrics_handler = internal.TextHandler(self.instruments.render)
      metrics_port = self.config.proxy.metrics_port
      services.append(
          _InternalService(
              "metrics",
              metrics_handler.handle,
              peer.host,
              metrics_port,
              resource_limiter_lib.METRICS_SHARE,
          )
      )
    connections = self.config.connections.model_copy(
        update={
            "receive_buffer_bytes": _INTERNAL_BUFFER_BYTES,
            "send_buffer_bytes": _INTERNAL_BUFFER_BYTES,
        }
    )
    for service in services:
      server = http_server.HttpServer(
          internal.Dialect(),
          service.handle,
          lambda: configuration.DEFAULT_LIMITS,
          self.clock,
          service.name,
          resource_limiter_lib.new_internal_limiter(
              self.config.limits, service.share
          ),
          connections=connections,
      )
      tasks.start_soon(server.serve, service.host, service.port)

  async def _run_periodic_tasks(self) -> None:
    """Updates and expires the state of the components each tick."""
    last = self.clock.monotonic()
    while True:
      await anyio.sleep(self.config.tick_s)
      now = self.clock.monotonic()
      self.accounts.pool.tick(now - last)
      self.directory.endpoints.tick(now)
      self.loads.recompute_totals(now)
      self.trackers.prune()
      self.reach.prune()
      self.stream_keepers.prune()
      self._cold_start_limiter.prune()
      self._endpoint_limiter.prune()
      self.statements.prune()
      await self.connection_pool.close_expired()
      last = now

  async def _stop(
      self,
      server: http_server.HttpServer,
      forwarder: forwarder_lib.Forwarder,
      stop_s: float,
  ) -> None:
    """Finishes the open requests, then returns the budgets.

    The budgets are returned after the last request, since it may draw on them.
    """
    stops_at = self.clock.monotonic() + stop_s
    budget_return_s = stop_s * _BUDGET_RETURN_SHARE
    schedule = draining.Schedule(
        min(_DRAIN_DELAY_S, stop_s / 2), stop_s - budget_return_s
    )
    self.stopping = True
    self._drain.start(schedule)
    extra = {"in_flight": len(server.open_requests), **schedule._asdict()}
    logger.info("stopping", extra=extra)
    await anyio.sleep(schedule.notice_s)
    server.start_draining()
    await self.tunnel_server.close()
    drained = await server.wait_until_drained(forwarder.give_up)
    with anyio.move_on_after(max(0.1, stops_at - self.clock.monotonic())):
      try:
        await self.accounts.return_allotments()
      except Exception:  # noqa: BLE001  the restarted process returns them
        logger.exception("budgets not returned to the store")
      await self.accounts.writer.flush(budget_return_s)
    await self.tunnel_server.wait_until_unused(self._drain.left_s)
    left_s = max(_MIN_FINISH_S, stops_at - self.clock.monotonic())
    await server.finish(min(_MAX_FINISH_S, left_s))
    logger.info(
        "stopped",
        extra={
            "finished": drained,
            "unwritten": self.accounts.writer.backlog,
        },
    )
