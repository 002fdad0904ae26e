"""Serves tunnels: connects other routers to endpoints that they do not reach.

The endpoint is connected directly, never through a further router, so that
tunnels form no loops.
"""

import collections
from collections.abc import Awaitable, Callable
import logging

import anyio
from anyio import abc
import h11

from mustardfall import errors
from mustardfall import metrics
from mustardfall import settings
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import host_load as host_load_lib
from mustardfall.proxy import resource_limiter as resource_limiter_lib
from mustardfall.proxy import tunnels
from mustardfall.routing import endpoints
from mustardfall.routing import statements as statements_lib
from mustardfall.util import sockets

logger = logging.getLogger(__name__)

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 4_096
_HEAD_TIMEOUT_S = 1.0
_MAX_UNIDENTIFIED_CONNECTIONS = 32
"""Connections of which no complete head was received. Routers send it at once, so
that others than the newest ones are not from routers."""
_CHECK_INTERVAL_S = 1.0
"""Time between two searches for tunnels that are not used."""
_ROOM_SHARE = 0.5
"""Share of the memory and connections of callers that tunnels may take, so that
this router's own callers are served."""
_MAX_LAG_S = 0.15
"""Mean delay of this router's own timers from which it opens no further tunnels:
its processor is busy, and more work would make its own callers wait."""
_ANNOUNCE_S = 0.2
"""Longest time for telling other routers that no tunnel may be used again."""
_PAUSE_S = 1.0
"""Pause in a response after which it counts as complete. Other routers resume a
stream elsewhere after such a pause."""
_POLL_INTERVAL_S = 0.02
_STATUSES = {
    "unknown": 404,
    tunnels.REFUSED: tunnels.BAD_GATEWAY,
    tunnels.LEAVING: tunnels.BAD_GATEWAY,
    tunnels.RESTING: tunnels.BAD_GATEWAY,
    "unreached": tunnels.BAD_GATEWAY,
}
"""HTTP statuses by the reason of a refusal; of the others, 503."""


class TunnelServer:
  """Opens and serves tunnels for other routers.

  Args:
    config: the port, and the address for calls of other routers.
    find_endpoint: returns the endpoint at an address, None if none is known.
    connect: connects to an endpoint directly; raises
      `errors.EndpointUnreachableError`.
    is_cut: whether this router is cut off from a kind of endpoints.
    statements: which endpoints have said that they leave or want rest.
    connection_pool: closes the connections to endpoints.
    resource_limiter: limits connections and memory.
    host_load: tells whether this router's processor is busy.
    instruments: exports counters.
  """

  def __init__(
      self,
      config: settings.Router,
      find_endpoint: Callable[[str], endpoints.Row | None],
      connect: Callable[
          [endpoints.Row], Awaitable[connection_pool_lib.Connection]
      ],
      is_cut: Callable[[str], bool],
      statements: statements_lib.Table,
      connection_pool: connection_pool_lib.ConnectionPool,
      resource_limiter: resource_limiter_lib.ResourceLimiter,
      host_load: host_load_lib.HostLoad,
      instruments: metrics.Instruments,
  ) -> None:
    self._config = config
    self._find_endpoint = find_endpoint
    self._connect = connect
    self._is_cut = is_cut
    self._statements = statements
    self._connection_pool = connection_pool
    self._resource_limiter = resource_limiter
    self._host_load = host_load
    self._tunnels: set[_Tunnel] = set()
    self._unidentified: dict[anyio.CancelScope, None] = {}
    """Closes connections of which no complete head was received, oldest first."""
    self._is_closing = False
    self._tasks: abc.TaskGroup | None = None
    self._counts: collections.Counter[str] = collections.Counter()
    instruments.observe_totals(
        "mustardfall.tunnels", "", "tunnels served, by outcome", self._counts
    )

  @property
  def open_count(self) -> int:
    """The number of open tunnels."""
    return len(self._tunnels)

  async def run(self) -> None:
    """Serves tunnels until cancelled."""
    port = self._config.tunnel_port
    if not port:
      await anyio.sleep_forever()
    host = self._config.peer_listen.host
    config = self._config.connections
    buffers = sockets.BufferSizes(
        config.receive_buffer_bytes, config.send_buffer_bytes
    )
    listeners = await sockets.listen("tunnels", host, port, buffers)
    async with anyio.create_task_group() as tasks:
      self._tasks = tasks
      for listener in listeners:
        tasks.start_soon(
            sockets.accept, "tunnels", listener, self._serve_connection, tasks
        )
      while True:
        await anyio.sleep(_CHECK_INTERVAL_S)
        self._close_unused()

  def _close_unused(self) -> None:
    """Closes tunnels through which nothing passes, or whose ends do not read."""
    config = self._config.connections
    for tunnel in self._tunnels:
      if tunnel.idle_s() > config.tunnel_idle_s:
        tunnel.close("idle")
      elif tunnel.stalled_s() > config.send_timeout_s:
        tunnel.close("reads nothing")

  @property
  def is_busy(self) -> bool:
    """Whether this router's processor is too busy for further tunnels."""
    return self._host_load.lag_s > _MAX_LAG_S

  async def close(self) -> None:
    """Opens no further tunnels, and has the open ones used no more."""
    self._is_closing = True
    with anyio.move_on_after(_ANNOUNCE_S):
      async with anyio.create_task_group() as tasks:
        for tunnel in self._tunnels:
          tasks.start_soon(tunnel.announce_close)

  async def wait_until_unused(self, timeout_s: float) -> None:
    """Waits for the responses that pass through tunnels.

    Args:
      timeout_s: seconds; then they are cut off.
    """
    with anyio.move_on_after(timeout_s):
      while any(tunnel.is_in_use for tunnel in self._tunnels):
        await anyio.sleep(_POLL_INTERVAL_S)
    count = sum(tunnel.is_in_use for tunnel in self._tunnels)
    if count:
      logger.info("tunnels cut off", extra={"count": count})

  def stop_reuse(self, address: str) -> None:
    """Has open tunnels to an endpoint used for no further request."""
    for tunnel in self._tunnels:
      if tunnel.address == address and self._tasks is not None:
        self._tasks.start_soon(tunnel.announce_close)

  async def _serve_connection(self, stream: abc.ByteStream) -> None:
    allocation = self._resource_limiter.new_allocation()
    try:
      sockets.detect_silence(stream)
      await self._serve(stream, allocation)
    except* (
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        anyio.EndOfStream,
        h11.ProtocolError,
        OSError,
    ) as group:
      logger.info("tunnel broken off", extra={"error": repr(group.exceptions)})
    except* Exception:  # noqa: BLE001  a fault must not end other tunnels
      logger.exception("tunnel failed")
    finally:
      allocation.close()
      with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)

  async def _serve(
      self,
      stream: abc.ByteStream,
      allocation: resource_limiter_lib.Allocation,
  ) -> None:
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES
    )
    request = await self._identify(stream, parser)
    if request is None:
      return
    address = request.target.decode("latin-1")
    row = self._find_endpoint(address)
    reason = self._reason_to_refuse(request, row, allocation)
    if reason or row is None:
      withheld = self._withheld(row) if row is not None else None
      rest_s = (withheld.left_s or 0.0) if withheld is not None else 0.0
      await self._refuse(stream, parser, request, reason, rest_s)
      return
    try:
      connection = await self._connect(row)
    except errors.EndpointUnreachableError as exc:
      reason = tunnels.REFUSED if exc.is_refused else "unreached"
      await self._refuse(stream, parser, request, reason)
      return
    self._counts["opened"] += 1
    logger.info(
        "tunnel opened",
        extra={"request": _request_id(request), "endpoint": row.life},
    )
    self._statements.note_sent(row)
    tunnel = _Tunnel(row.url, stream, connection.stream)
    self._tunnels.add(tunnel)
    try:
      response = h11.Response(status_code=200, headers=[])
      await stream.send(parser.send(response) or b"")
      await tunnel.run()
    finally:
      self._tunnels.remove(tunnel)
      with anyio.CancelScope(shield=True):
        await self._connection_pool.discard(connection)

  async def _identify(
      self, stream: abc.ByteStream, parser: h11.Connection
  ) -> h11.Request | None:
    """Returns the head of a connection; None if others came meanwhile.

    Raises:
      TimeoutError: it took too long.
    """
    if len(self._unidentified) >= _MAX_UNIDENTIFIED_CONNECTIONS:
      oldest = next(iter(self._unidentified))
      del self._unidentified[oldest]
      oldest.cancel()
    with anyio.CancelScope() as scope, anyio.fail_after(_HEAD_TIMEOUT_S):
      self._unidentified[scope] = None
      try:
        return await _read_head(stream, parser)
      finally:
        self._unidentified.pop(scope, None)
    logger.info("tunnel connection closed", extra={"reason": "no head"})
    return None

  def _reason_to_refuse(
      self,
      request: h11.Request,
      row: endpoints.Row | None,
      allocation: resource_limiter_lib.Allocation,
  ) -> str:
    """Returns why a tunnel is refused; empty if it may be opened."""
    if request.method != b"CONNECT" or row is None:
      return "unknown"
    if self._is_closing:
      return "closing"
    if self._is_cut(row.kind):
      return "cut"
    if self.is_busy:
      return "busy"
    withheld = self._withheld(row)
    if withheld is not None:
      return tunnels.LEAVING if withheld.left_s is None else tunnels.RESTING
    if not self._allocate(allocation):
      return "full"
    return ""

  def _withheld(self, row: endpoints.Row) -> statements_lib.Withheld | None:
    """Returns why an endpoint must be sent no request through this router.

    A tunnel may be meant for a stream that goes on at an endpoint that leaves.
    """
    use_s = self._config.proxy.leaving_use_s
    return self._statements.reason_against(row, use_s)

  def _allocate(self, allocation: resource_limiter_lib.Allocation) -> bool:
    limiter = self._resource_limiter
    if limiter.connections >= limiter.max_connections * _ROOM_SHARE:
      return False
    size = resource_limiter_lib.REQUEST_OVERHEAD_BYTES
    if not allocation.allocate(size, _ROOM_SHARE):
      return False
    allocation.add_connection()
    return True

  async def _refuse(
      self,
      stream: abc.ByteStream,
      parser: h11.Connection,
      request: h11.Request,
      reason: str,
      rest_s: float = 0.0,
  ) -> None:
    self._counts[reason] += 1
    extra = {
        "request": _request_id(request),
        "address": request.target.decode("latin-1"),
        "reason": reason,
        "tunnels": self.open_count,
        **self._resource_limiter.log_fields,
    }
    logger.info("tunnel refused", extra=extra)
    headers = [
        (tunnels.REASON_HEADER, reason.encode()),
        (b"content-length", b"0"),
    ]
    if reason == tunnels.RESTING:
      headers.append((tunnels.REST_HEADER, f"{rest_s:.3f}".encode()))
    response = h11.Response(
        status_code=_STATUSES.get(reason, 503), headers=headers
    )
    data = parser.send(response) or b""
    await stream.send(data + (parser.send(h11.EndOfMessage()) or b""))
    await stream.send_eof()


class _Tunnel:
  """Passes bytes between another router and an endpoint.

  Args:
    address: `HOST:PORT` of the endpoint.
    router: the connection of the other router.
    endpoint: the connection to the endpoint.
  """

  def __init__(
      self, address: str, router: abc.ByteStream, endpoint: abc.ByteStream
  ) -> None:
    self.address = address
    self._router = router
    self._endpoint = endpoint
    self._send_lock = anyio.Lock()
    self._scope = anyio.CancelScope()
    self._used_at = anyio.current_time()
    """When bytes last passed, seconds of the event loop's clock."""
    self._awaits_response = False
    """Whether the last bytes went to the endpoint."""
    self._responded_at = self._used_at
    """When the endpoint last sent bytes, or the tunnel was opened."""
    self._sending_since: dict[abc.ByteStream, float] = {}
    """When sends that have not ended began, by connection."""

  def idle_s(self) -> float:
    """Returns the seconds since bytes have passed."""
    return anyio.current_time() - self._used_at

  @property
  def is_in_use(self) -> bool:
    """Whether a response is awaited, or brought bytes a moment ago."""
    pause_s = anyio.current_time() - self._responded_at
    return self._awaits_response or pause_s < _PAUSE_S

  def stalled_s(self) -> float:
    """Returns for how long one side has not taken what is sent to it."""
    now = anyio.current_time()
    return now - min(self._sending_since.values(), default=now)

  def close(self, reason: str) -> None:
    """Closes both connections."""
    extra = {"reason": reason, "endpoint": self.address}
    logger.info("tunnel closed", extra=extra)
    self._scope.cancel()

  async def run(self) -> None:
    """Passes bytes on until one side closes its connection, or `close`."""
    with self._scope:
      await self._pass_both_ways()

  async def _pass_both_ways(self) -> None:
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._pass_to_endpoint, tasks.cancel_scope)
      await self._pass_to_router()
      tasks.cancel_scope.cancel()

  async def announce_close(self) -> None:
    """Tells the other router not to use the tunnel for another request."""
    try:
      await self._send_frame(tunnels.CLOSING_FRAME)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
      logger.info("tunnel not announced to close", extra={"error": repr(exc)})

  async def _send_frame(self, frame: bytes) -> None:
    async with self._send_lock:
      await self._send(self._router, frame)

  async def _send(self, stream: abc.ByteStream, data: bytes) -> None:
    self._sending_since[stream] = self._used_at = anyio.current_time()
    try:
      await stream.send(data)
    finally:
      del self._sending_since[stream]

  async def _pass_to_router(self) -> None:
    while True:
      try:
        data = await self._endpoint.receive(_READ_BYTES)
      except anyio.EndOfStream:
        await self._send_frame(tunnels.END_FRAME)
        return
      except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return  # without the end frame, so that no response looks complete
      self._awaits_response = False
      self._responded_at = anyio.current_time()
      await self._send_frame(tunnels.encode_frame(data))

  async def _pass_to_endpoint(self, scope: anyio.CancelScope) -> None:
    while True:
      try:
        data = await self._router.receive(_READ_BYTES)
      except (
          anyio.EndOfStream,
          anyio.BrokenResourceError,
          anyio.ClosedResourceError,
      ):
        scope.cancel()  # the other router has given the request up
        return
      self._awaits_response = True
      try:
        await self._send(self._endpoint, data)
      except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return  # the endpoint may have responded before it closed


async def _read_head(
    stream: abc.ByteStream, parser: h11.Connection
) -> h11.Request:
  while (event := parser.next_event()) is h11.NEED_DATA:
    parser.receive_data(await stream.receive(_READ_BYTES))
  if not isinstance(event, h11.Request):
    raise h11.RemoteProtocolError("no request")
  return event


def _request_id(request: h11.Request) -> str:
  return dict(request.headers).get(b"request-id", b"").decode("latin-1")
