"""The application object of a router process.

`Router` creates and connects the components: the KV client and its batch
writer, the catalogue follower, the membership, the pool of allotments, the
endpoint table and the scheduler. Components publish changes on the event
bus; the HTTP APIs (`api`) reach them only through attributes of `Router`.
"""

import collections
from collections.abc import Awaitable, Callable
import logging
import secrets

import anyio
import httpx

from mustardfall import accounts
from mustardfall import errors
from mustardfall import events
from mustardfall import idempotency
from mustardfall import metrics
from mustardfall import settings
from mustardfall.budget import policy
from mustardfall.catalogue import evacuations
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client
from mustardfall.routing import endpoints
from mustardfall.routing import hostlist
from mustardfall.routing import orders
from mustardfall.routing import retries
from mustardfall.routing import scheduler
from mustardfall.routing import statements as statements_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_HTTP_LIMITS = httpx.Limits(
    max_connections=4_000, max_keepalive_connections=400
)
_LEASES_PER_RETENTION = 8
"""Leases granted per `records.keep_s`; a record is kept up to 1/8 longer."""
_FLUSH_TIMEOUT_S = 5.0
"""Longest time in which a stopping router flushes its pending writes."""


class Router:
  """One router: admits, bills and routes requests.

  Args:
    config: the router's settings.
    clock: the time source.
  """

  def __init__(
      self, config: settings.Router, clock: clock_lib.Clock | None = None
  ) -> None:
    self.config = config
    self.clock = clock or clock_lib.SystemClock()
    self.bus = events.Bus()
    self.counts: collections.Counter[str] = collections.Counter()
    self.instruments = metrics.Instruments(config.name)
    self.stopping = False
    self.http = httpx.AsyncClient(
        timeout=httpx.Timeout(60.0, connect=1.0, pool=1.0), limits=_HTTP_LIMITS
    )
    self.kv = kv_client.Client(config.kv_url, config.name, config.kv_timeout_s)
    self.catalogue = store.Follower(
        self.kv, self.bus, self.clock, config.membership.watch_idle_s
    )
    self.accounts = accounts.Accounts(
        config,
        self.clock,
        self.kv,
        self.bus,
        self._post,
        self._get_policy,
        get_lease=self._get_lease,
    )
    self.writer = self.accounts.writer
    self.members = self.accounts.members
    self.peers = self.accounts.peers
    self.pool = self.accounts.pool
    self.statements = statements_lib.Table(
        self.clock,
        lambda life: self.endpoints.find_life(life) is not None,
        config.proxy.max_rest_s,
        lambda: len(self.members.lives),
    )
    self.endpoints = endpoints.Table(
        config.scheduler, is_withheld=self.statements.is_withheld
    )
    self.evacuations = evacuations.Follower(
        self.kv, self._apply_evacuations, config.membership.watch_idle_s
    )
    self.scheduler = scheduler.Scheduler(config, self.endpoints, self.clock)
    self._poller = hostlist.Poller(self.http, config.hosts_url)
    self.orders = orders.Orders(
        config,
        self.http,
        self.kv,
        self.members,
        self.catalogue,
        self.endpoints,
    )
    self.retries = retries.RetryBudget()
    self._record_lease = 0
    self.bus.connect(
        events.Name.ENDPOINTS_CHANGED, lambda _: self.scheduler.dispatch()
    )
    for name in (events.Name.CATALOGUE_CHANGED, events.Name.MEMBERS_CHANGED):
      self.bus.connect(name, lambda _, n=name: self._count(n.name.lower()))

  def _count(self, name: str) -> None:
    self.counts[name] += 1

  def _apply_evacuations(self, evacuated: frozenset[str]) -> None:
    if self.endpoints.evacuate(evacuated):
      self.bus.emit(events.Name.ENDPOINTS_CHANGED, self.endpoints)

  def _get_policy(self, customer: str) -> policy.Policy:
    return self.catalogue.current.policy_of(customer)

  def _get_lease(self, key: str) -> int:
    """Returns the lease with which `key` is written; 0 means no lease.

    Call records expire with their lease; other keys, such as budgets, do not
    expire.
    """
    return self._record_lease if key.startswith(idempotency.PREFIX) else 0

  def new_claim_id(self) -> str:
    """Returns a new id for a claim on an Idempotency-Key."""
    return f"{self.members.me.life}:{secrets.token_hex(6)}"

  @property
  def ready(self) -> bool:
    """Whether the load balancer should send requests to this router."""
    return self.catalogue.current.revision > 0 and not self.stopping

  def stats(self) -> dict[str, object]:
    """Returns the counters, for `/admin/stats`."""
    counts = self.counts + self.pool.counts + self.scheduler.counts
    counts += self.orders.counts
    return {
        "counts": dict(counts),
        "writer": dict(self.writer.counts),
        "kv_calls": self.kv.calls,
        "peer_calls": self.peers.calls,
        "catalogue_revision": self.catalogue.current.revision,
        "catalogue_since": self.catalogue.since.timestamp()
        if self.catalogue.since
        else None,
        "members": len(self.members.lives),
        "allotments": len(self.pool.table.rows),
        "limits": {r.name: r.limit for r in self.endpoints.rows.values()},
    }

  async def _poll_hosts(self) -> None:
    """Polls the host list each tick.

    This loop is separate from the budget's writes: a slow KV would delay
    the poll, and a leaving endpoint would still get new requests.
    """
    while True:
      try:
        hosts = await self._poller.poll()
        if hosts is not None and self.endpoints.update(hosts):
          self.bus.emit(events.Name.ENDPOINTS_CHANGED, self.endpoints)
      except (httpx.HTTPError, KeyError, ValueError):
        self.counts["hosts_failures"] += 1
      await anyio.sleep(self.config.tick_s)

  async def _run_ticks(self) -> None:
    """Updates the pool, the endpoint table and the scheduler each tick."""
    last = self.clock.monotonic()
    while True:
      await anyio.sleep(self.config.tick_s)
      now = self.clock.monotonic()
      self.pool.tick(now - last)
      self.endpoints.tick(now)
      self.statements.prune()
      self.scheduler.tick(now - last)
      last = now

  async def _post(self, url: str, body: dict, timeout_s: float) -> dict:
    try:
      reply = await self.http.post(url, json=body, timeout=timeout_s)
      reply.raise_for_status()
      return reply.json()
    except (httpx.HTTPError, ValueError) as exc:
      raise errors.PeerUnavailableError(repr(exc)) from exc

  async def _replace_record_lease(self) -> None:
    """Obtains a new lease for call records periodically; renews none."""
    keep_s = self.config.records.keep_s
    while True:
      try:
        self._record_lease = await self.kv.grant_lease(
            keep_s + keep_s // _LEASES_PER_RETENTION
        )
      except (errors.KvUnavailableError, errors.KvUnknownError):
        await anyio.sleep(1.0)
        continue
      await anyio.sleep(keep_s / _LEASES_PER_RETENTION)

  async def run(self) -> None:
    """Runs the router's background loops until cancelled."""
    async with anyio.create_task_group() as tg:
      for loop in (
          *self.accounts.loops(),
          self.accounts.members.follow,
          self.catalogue.follow,
          self.evacuations.follow,
          self._replace_record_lease,
          self._poll_hosts,
          self._run_ticks,
          self.orders.run,
      ):
        tg.start_soon(self._supervise, loop)

  async def _supervise(self, loop: Callable[[], Awaitable[None]]) -> None:
    await accounts.supervise(
        loop, self.config.tick_s, lambda: self._count("loop_failures")
    )

  def begin_stop(self) -> None:
    """Makes the router report not ready; it still serves requests."""
    self.stopping = True

  async def return_allotments(self) -> None:
    """Returns all allotments; called after open requests have drained."""
    await self.accounts.return_allotments()

  async def finish(self) -> None:
    """Flushes pending writes.

    The caller must have stopped the peer server, so that other routers
    cannot add writes.
    """
    await self.writer.flush(_FLUSH_TIMEOUT_S)
    logger.info(
        "stopped",
        extra={"unwritten": self.writer.backlog, **dict(self.counts)},
    )

  async def close(self) -> None:
    """Closes all connections; called when no loop is running."""
    await self.http.aclose()
    await self.kv.close()
