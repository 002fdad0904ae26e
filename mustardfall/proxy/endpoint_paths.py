"""Connects to endpoints: directly, or through another router while cut off.

A loop checks by new connections what the requests in flight cannot tell: whether
endpoints that have fallen silent are still reached, and whether those that were
not can be reached again.
"""

import collections
import logging
import random

import anyio

from mustardfall import errors
from mustardfall import metrics
from mustardfall import settings
from mustardfall.membership import exits as exits_lib
from mustardfall.membership import members as members_lib
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import tunnels
from mustardfall.routing import endpoints
from mustardfall.routing import reach as reach_lib
from mustardfall.util import sockets

logger = logging.getLogger(__name__)

_CONNECT_S = 0.3
"""Timeout of connecting to an endpoint. Within a region it takes 2 ms; if the
endpoint's accept queue is full, the kernel retries after a second, too late."""
_MAX_LATE_S = 0.1
"""Delay of that timeout from which it says nothing of the endpoint: this process
was paused, and what arrived meanwhile was not looked at."""
_TUNNEL_S = 0.45
"""Timeout of opening a tunnel: the exit's connection, and time for its answer."""
_MAX_EXITS_TRIED = 3
"""Exits that are tried for one connection."""
_TRIED_ENDPOINTS = 3
"""Other endpoints that are tried once some are not reached."""
_MAX_CONFIRMED_ENDPOINTS = 4
"""Unreached endpoints to which another router's connection is tried at a time."""
_CHECK_INTERVAL_S = 0.1
"""Interval at which silence is looked for while requests are in flight."""
_PROBE_INTERVAL_S = 0.5
"""Interval between two rounds of probes of endpoints that were not reached."""
_REFRESH_INTERVAL_S = 0.5
"""Interval at which known exits are asked whether they still reach endpoints."""
_MIN_PROBES_PER_ROUND = 2
_MAX_PROBES_PER_ROUND = 64
"""Probes in a round; doubled after each round in which all succeed."""


class EndpointPaths:
  """Opens connections to endpoints.

  Args:
    config: the port for tunnels.
    connection_pool: the connections.
    reach: which endpoints this router reaches directly.
    exits: finds routers that reach the others.
    instruments: exports counters.
    rng: draws the endpoints that are probed.
  """

  def __init__(
      self,
      config: settings.Router,
      connection_pool: connection_pool_lib.ConnectionPool,
      reach: reach_lib.Reach,
      exits: exits_lib.Exits,
      instruments: metrics.Instruments,
      rng: random.Random | None = None,
  ) -> None:
    self._config = config
    self._connection_pool = connection_pool
    self._reach = reach
    self._exits = exits
    self._random = rng or random.Random()
    self._probes_per_round = _MIN_PROBES_PER_ROUND
    self._probed_at = -float("inf")
    self._refreshed_at = -float("inf")
    self._trials: dict[str, anyio.Event] = {}
    """Kinds of which other endpoints are being tried; set afterwards."""
    self._work = anyio.Event()
    """Set when the loop has something to check."""
    self._counts: collections.Counter[str] = collections.Counter()
    instruments.observe_totals(
        "mustardfall.paths",
        "",
        "connections opened to endpoints, by path and outcome",
        self._counts,
    )

  async def acquire(
      self, row: endpoints.Row, request_id: str, force_new: bool = False
  ) -> connection_pool_lib.Connection:
    """Returns a connection to an endpoint, direct if possible.

    Args:
      row: the endpoint.
      request_id: the request's id, for the log.
      force_new: whether to open a new connection even if one is idle.

    Raises:
      errors.EndpointUnreachableError: none could be opened; a
        `errors.NoExitError` if no known router reaches endpoints of its kind.
    """
    if not self._reach.is_detoured(row):
      try:
        return await self.acquire_directly(row, force_new)
      except errors.EndpointUnreachableError:
        if not self._reach.is_detoured(row):
          raise
    connection = await self._acquire_through_exit(row, request_id, force_new)
    logger.info(
        "request goes through another router",
        extra={
            "request": request_id,
            "endpoint": row.life,
            "exit": connection.via,
            "is_new": not connection.used,
            **self._reach.describe(row.kind),
        },
    )
    return connection

  async def acquire_directly(
      self, row: endpoints.Row, force_new: bool = True
  ) -> connection_pool_lib.Connection:
    """Returns a direct connection to an endpoint.

    Raises:
      errors.EndpointUnreachableError: none could be opened.
    """
    try:
      return await self._connect(row, force_new)
    except errors.EndpointUnreachableError:
      if self._reach.is_suspected(row.kind):
        await self._try_others(row.kind)
      raise

  async def acquire_for_other(
      self, row: endpoints.Row
  ) -> connection_pool_lib.Connection:
    """Returns a direct connection for the tunnel of another router.

    Other endpoints are not tried meanwhile: the other router would wait for that.

    Raises:
      errors.EndpointUnreachableError: none could be opened.
    """
    return await self._connect(row, force_new=True)

  async def _connect(
      self, row: endpoints.Row, force_new: bool
  ) -> connection_pool_lib.Connection:
    began_at = anyio.current_time()
    try:
      connection = await self._connection_pool.acquire(
          row.url,
          _CONNECT_S,
          force_new,
          receive_bytes=self._config.connections.receive_buffer_bytes,
      )
    except errors.EndpointUnreachableError as exc:
      self._counts["direct failed"] += 1
      took_s = anyio.current_time() - began_at
      if took_s > _CONNECT_S + _MAX_LATE_S:
        extra = {"endpoint": row.life, "took_s": round(took_s, 3)}
        logger.info("failed connection ignored after a pause", extra=extra)
        raise
      if self._reach.note_failed(row, str(exc)):
        await self._begin_detour(row.kind)
      self._wake()
      raise
    if not connection.used:
      self._counts["direct"] += 1
      self._reach.note_connected(row)
    return connection

  async def _try_others(self, kind: str) -> None:
    """Tries other endpoints, whose outcome shows whether this router is cut off.

    Requests whose connections fail meanwhile wait for the same outcome.
    """
    running = self._trials.get(kind)
    if running is not None:
      await running.wait()
      return
    done = self._trials[kind] = anyio.Event()
    try:
      await self._probe(
          self._reach.draw_untried(kind, _TRIED_ENDPOINTS, self._random)
      )
    finally:
      del self._trials[kind]
      done.set()

  async def _begin_detour(self, kind: str) -> None:
    """Closes idle connections that may be dead, and checks other kinds."""
    self._probed_at = self._refreshed_at = -float("inf")
    self._probes_per_round = _MIN_PROBES_PER_ROUND
    self._wake()
    for row in self._reach.rows_of(kind):
      await self._connection_pool.close_direct(row.url)

  async def _acquire_through_exit(
      self, row: endpoints.Row, request_id: str, force_new: bool
  ) -> connection_pool_lib.Connection:
    self._wake()
    found = await self._exits.find(row.kind, row.datacentre)
    for member in found[:_MAX_EXITS_TRIED]:
      try:
        connection = await self._open_tunnel(row, member, request_id, force_new)
      except errors.ExitUnavailableError as exc:
        self._counts["exit failed"] += 1
        self._exits.drop(member.life, str(exc))
        continue
      except errors.EndpointUnreachableError:
        self._counts["tunnel failed"] += 1
        raise
      self._counts["tunnel"] += 1
      if not connection.used:
        self._exits.note_opened(row.kind, member.life)
      self._reach.note_reached_by_other(row, member.life)
      return connection
    self._counts["no exit"] += 1
    raise errors.NoExitError(f"{row.url}: no router reaches it")

  async def _open_tunnel(
      self,
      row: endpoints.Row,
      member: members_lib.Member,
      request_id: str,
      force_new: bool,
  ) -> connection_pool_lib.Connection:
    host = sockets.split_address(member.url.removeprefix("http://"))[0]
    address = f"{host}:{member.tunnel_port or self._config.tunnel_port}"

    async def _connect(timeout_s: float) -> tunnels.TunnelStream:
      return await tunnels.connect(address, row.url, request_id, timeout_s)

    via = connection_pool_lib.Via(member.name, _connect)
    return await self._connection_pool.acquire(
        row.url, _TUNNEL_S, force_new, via
    )

  async def has_ended(self, row: endpoints.Row, request_id: str) -> bool:
    """Whether an endpoint refuses connections, also those of another router.

    A router that is cut off may be refused by endpoints that are up. If no other
    router says whether it reaches the endpoint, this router's own connections
    decide.
    """
    try:
      connection = await self.acquire_directly(row)
    except errors.EndpointUnreachableError as exc:
      if not exc.is_refused:
        return False
    else:
      await self._connection_pool.release(connection, None)
      return False
    try:
      connection = await self._acquire_through_exit(row, request_id, True)
    except errors.NoExitError:
      return not self._reach.is_detoured(row)
    except errors.EndpointUnreachableError as exc:
      if exc.is_refused:
        self._note_ended(row)
      return exc.is_refused
    await self._connection_pool.release(connection, None)
    return False

  def _note_ended(self, row: endpoints.Row) -> None:
    now = anyio.current_time()
    if not row.has_ended(now):
      extra = {"endpoint": row.life, "address": row.url, "state": row.state}
      logger.info("endpoint has ended", extra=extra)
    row.ended_at = now

  def note_sent(self, row: endpoints.Row) -> None:
    """Records that a request was sent on a direct connection."""
    self._reach.note_sent(row)
    self._wake()

  def _wake(self) -> None:
    self._work.set()

  async def run(self) -> None:
    """Checks silent endpoints and probes unreached ones until cancelled."""
    while True:
      if self._reach.is_idle:
        self._work = anyio.Event()
        await self._work.wait()
      await anyio.sleep(_CHECK_INTERVAL_S)
      async with anyio.create_task_group() as tasks:
        for row in self._reach.take_unconfirmed(_MAX_CONFIRMED_ENDPOINTS):
          tasks.start_soon(self._confirm, row)
      for rows in self._reach.take_silent():
        await self._check_silence(rows)
      now = anyio.current_time()
      if now - self._probed_at >= _PROBE_INTERVAL_S:
        self._probed_at = now
        await self._probe_unreached()
      if now - self._refreshed_at >= _REFRESH_INTERVAL_S:
        self._refreshed_at = now
        for kind in self._reach.cut_kinds:
          self._exits.refresh(kind)

  async def _check_silence(self, rows: list[endpoints.Row]) -> None:
    """Tries one endpoint of a kind that has fallen silent; if it fails, more."""
    if await self._probe(rows[:1]):
      return
    await self._probe(rows[1:_MIN_PROBES_PER_ROUND])
    if self._reach.is_suspected(rows[0].kind):
      await self._try_others(rows[0].kind)

  async def _confirm(self, row: endpoints.Row) -> None:
    """Finds out whether another router reaches an endpoint."""
    try:
      connection = await self._acquire_through_exit(row, "", True)
    except errors.EndpointUnreachableError as exc:
      extra = {"endpoint": row.life, "error": str(exc)}
      logger.info("endpoint not reached by another router", extra=extra)
      return
    await self._connection_pool.release(connection, None)

  async def _probe_unreached(self) -> None:
    """Probes endpoints that are detoured, and kinds that may be cut off, too."""
    unreached = [
        row
        for kind in self._reach.kinds
        for row in self._sample(self._reach.detoured_rows(kind))
    ]
    if not unreached:
      return
    if self._reach.cut_kinds:
      unreached += [
          row
          for kind in self._reach.kinds
          if not self._reach.is_cut(kind) and not self._reach.was_reached(kind)
          for row in self._sample(self._reach.rows_of(kind))
      ]
    succeeded = await self._probe(unreached)
    if succeeded == len(unreached):
      doubled = 2 * self._probes_per_round
      self._probes_per_round = min(_MAX_PROBES_PER_ROUND, doubled)
    else:
      self._probes_per_round = _MIN_PROBES_PER_ROUND

  def _sample(self, rows: list[endpoints.Row]) -> list[endpoints.Row]:
    return self._random.sample(rows, min(self._probes_per_round, len(rows)))

  async def _probe(self, rows: list[endpoints.Row]) -> int:
    """Opens direct connections; returns how many were opened."""
    opened: list[connection_pool_lib.Connection] = []

    async def _try(row: endpoints.Row) -> None:
      try:
        opened.append(await self._connect(row, force_new=True))
      except errors.EndpointUnreachableError:
        return  # recorded and logged by `reach`

    async with anyio.create_task_group() as tasks:
      for row in rows:
        tasks.start_soon(_try, row)
    for connection in opened:
      await self._connection_pool.release(connection, None)
    return len(opened)
