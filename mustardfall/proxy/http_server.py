"""The HTTP/1.1 server: serves one request at a time on each connection.

It rejects invalid and ambiguous requests, reads request bodies completely,
cancels the handler when the caller disconnects, and cuts off the connection
under a failed response, so that the response never looks complete.
"""

from collections.abc import Awaitable, Callable, Iterator
import contextlib
import logging
import re

import anyio
from anyio import abc
from anyio import lowlevel
import h11

from mustardfall import errors
from mustardfall import settings
from mustardfall.proxy import chunked_bodies
from mustardfall.proxy import connection_table
from mustardfall.proxy import draining
from mustardfall.proxy import heads
from mustardfall.proxy import host_load as host_load_lib
from mustardfall.proxy import link_limiter as link_limiter_lib
from mustardfall.proxy import messages
from mustardfall.proxy import open_requests
from mustardfall.proxy import receive_buffer
from mustardfall.proxy import resource_limiter as resource_limiter_lib
from mustardfall.proxy import saturation_limiter as saturation_limiter_lib
from mustardfall.routing import configuration
from mustardfall.util import accept_queue
from mustardfall.util import clock as clock_lib
from mustardfall.util import sockets

logger = logging.getLogger(__name__)

_READ_BYTES = 65_536
_SEND_BYTES = 16_384
"""Bytes of a response that are sent at once. A caller has to take so many within
the timeout."""
_LINGER_S = 0.5
"""How long bytes are still read after the last response. Closing a connection
with unread bytes resets it, and the caller may lose a response that it has not
read yet."""
_MIN_SEND_S = 0.25
"""Least time for sending what completes a response, or begins it, also if the
request is cancelled meanwhile."""
_FINAL_DRAIN_S = 1.0
"""End of the time for draining, in which responses that wait for memory are given
up, so that their callers get an answer."""
_FINAL_STALL_S = 0.5
"""How long a caller must have taken nothing to be closed in that time."""
_ROOM_CHECK_INTERVAL_S = 0.25
"""Time between two attempts to make room for a response that waits."""
_RETRY_AFTER_S = 1.0
"""Retry-After of callers refused for lack of connections or memory, in seconds.
Mostly the load balancer sends the retry to another router."""
_CONTENT_LENGTH = re.compile(rb"\ncontent-length[ \t]*:", re.IGNORECASE)
_TRANSFER_ENCODING = re.compile(rb"\ntransfer-encoding[ \t]*:", re.IGNORECASE)
_DISCONNECT_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Responder:
  """Writes the response to one request.

  A response that was started and not ended is cut off by closing the
  connection, so that it never looks complete.
  """

  def __init__(self, connection: "_CallerConnection") -> None:
    self._connection = connection
    self.head_read_at = 0.0
    """When the head of the request had been read, monotonic seconds."""
    self.started = False
    self.ended = False
    self.sent_bytes = 0
    """Bytes of the response whose sending has ended."""

  def hold(self, size: int) -> bool:
    """Allocates `size` bytes for a response; returns whether they fit."""
    return self._connection.allocate_response(size)

  def hold_encoded(self, size: int) -> bool:
    """Allocates an encoded response; returns whether it fits."""
    return self._connection.allocate_for_request(size)

  async def hold_whole(self, size: int) -> bool:
    """Allocates a complete response of `size` bytes, waiting until it fits.

    Returns:
      False if it can never fit, or the server stops before.
    """
    return await self._connection.wait_and_allocate_response(size)

  async def respond(
      self, status: int, headers: list[messages.Header], body: bytes = b""
  ) -> None:
    """Sends a complete response, also if the request has been cancelled.

    The response to a HEAD request has the length of the body, and not the body.
    """
    self.started = True
    length = (b"content-length", b"%d" % len(body))
    head = h11.Response(
        status_code=status,
        headers=[*headers, length, *self._connection_headers()],
    )
    data = () if self._connection.is_head else (h11.Data(data=body),)
    await self._finish(head, *data, h11.EndOfMessage())

  async def start(self, status: int, headers: list[messages.Header]) -> None:
    """Sends the head of a response whose body follows in chunks.

    If the request has been cancelled, the response is not started, so that an
    error response can still be sent.
    """
    await lowlevel.checkpoint_if_cancelled()
    self.started = True
    chunked = (b"transfer-encoding", b"chunked")
    head = h11.Response(
        status_code=status,
        headers=[*headers, chunked, *self._connection_headers()],
    )
    with _shield_for_sending():
      await self._send(head)

  async def write(self, data: bytes) -> None:
    """Sends a piece of the body."""
    await self._send(h11.Data(data=data))

  async def end(self) -> None:
    """Sends the end of the body, also if the request has been cancelled."""
    await self._finish(h11.EndOfMessage())

  async def _finish(self, *events: h11.Event) -> None:
    with _shield_for_sending():
      await self._send(*events)
      self.ended = True
    if not self.ended:
      await lowlevel.checkpoint_if_cancelled()

  async def _send(self, *events: h11.Event) -> None:
    self.sent_bytes += await self._connection.send(*events)

  def _connection_headers(self) -> list[messages.Header]:
    self._connection.note_response()
    return (
        [(b"connection", b"close")]
        if self._connection.closes_after_response
        else []
    )


@contextlib.contextmanager
def _shield_for_sending() -> Iterator[None]:
  """Postpones a cancellation that is due, until `_MIN_SEND_S` from now at most.

  The connection must be closed after a response whose first bytes were encoded
  and not sent: the caller would get no response at all. Later cancellations are
  not postponed, so that a slow caller does not delay them.
  """
  now = anyio.current_time()
  if anyio.current_effective_deadline() - now >= _MIN_SEND_S:
    yield
    return
  with anyio.CancelScope(shield=True, deadline=now + _MIN_SEND_S):
    yield


Handler = Callable[[messages.Request, bytes, Responder], Awaitable[None]]


def _estimate_no_need(request: messages.Request) -> draining.Need:
  del request
  return draining.Need(0.0, 0.0)


class HttpServer:
  """Accepts connections and calls the handler for each request on them.

  Args:
    dialect: decodes and encodes the deployment's headers.
    handler: serves one request; cancelled when the caller disconnects.
    limits: returns the current limits on requests.
    clock: the time source.
    name: whom the server serves, for the log.
    resource_limiter: limits connections and memory; by default, only the
      process's descriptors limit the connections.
    sheds_connections: whether to close waiting connections when overloaded.
    saturation: turns callers to other routers while the processor is saturated.
    host_load: counts the bytes of callers; None: they are not counted.
    link_limiter: has connections closed while the link is full.
    connections: limits of what is held for the peer of each connection.
    drain: the stop of the process; None: requests are served until the end.
    estimate_need: estimates the time that a request takes; None: it takes none.
  """

  def __init__(
      self,
      dialect: messages.Dialect,
      handler: Handler,
      limits: Callable[[], configuration.Limits],
      clock: clock_lib.Clock,
      name: str = "callers",
      resource_limiter: resource_limiter_lib.ResourceLimiter | None = None,
      sheds_connections: bool = False,
      saturation: saturation_limiter_lib.SaturationLimiter | None = None,
      host_load: host_load_lib.HostLoad | None = None,
      link_limiter: link_limiter_lib.LinkLimiter | None = None,
      connections: settings.Connections | None = None,
      drain: draining.Drain | None = None,
      estimate_need: open_requests.EstimateNeed | None = None,
  ) -> None:
    self._saturation = saturation
    self._host_load = host_load
    self._link_limiter = link_limiter
    self._name = name
    self.resource_limiter = (
        resource_limiter
        or resource_limiter_lib.new_caller_limiter(settings.Limits())
    )
    self._sheds_connections = sheds_connections
    self.dialect = dialect
    self.handler = handler
    self.limits = limits
    self.clock = clock
    self.draining = False
    self.in_flight = 0
    """Requests that have been read completely and are being served."""
    self.is_drain_ending = False
    """Whether the time for draining ends soon."""
    self._drain = drain or draining.Drain(clock)
    self.open_requests = open_requests.OpenRequests(
        self._drain,
        clock,
        estimate_need or _estimate_no_need,
        lambda: self.connections.new_count,
    )
    self._accepting = anyio.CancelScope()
    self._port_closed = anyio.Event()
    self.config = connections or settings.Connections()
    self.connections = connection_table.ConnectionTable(
        name, self.resource_limiter, clock, self.config
    )

  async def serve(
      self,
      host: str,
      port: int,
      *,
      task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
  ) -> None:
    """Serves until cancelled; reports as started once the port is open."""
    buffers = sockets.BufferSizes(
        self.config.receive_buffer_bytes, self.config.send_buffer_bytes
    )
    listeners = await sockets.listen(self._name, host, port, buffers)
    task_status.started()
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self.connections.run)
      with self._accepting:
        await self._accept(listeners, tasks)
      self._port_closed.set()

  async def _accept(
      self, listeners: list[abc.SocketListener], tasks: abc.TaskGroup
  ) -> None:
    async with anyio.create_task_group() as accepting:
      for listener in listeners:
        queue = None
        if self._sheds_connections:
          queue = accept_queue.AcceptQueue(self._name, listener)
        accepting.start_soon(
            sockets.accept,
            self._name,
            listener,
            self._serve_connection,
            tasks,
            queue,
        )

  def note_bytes(self, size: int) -> None:
    """Counts bytes that a caller has sent or is sent."""
    if self._host_load is not None:
      self._host_load.note_bytes(size)

  @property
  def is_leaving_connections(self) -> bool:
    """Whether connections are closed after the request that is served."""
    saturation = self._saturation
    return self.draining or (saturation is not None and saturation.is_saturated)

  def draw_close(self, drawn_in: int) -> tuple[bool, int]:
    """Draws whether to close a connection; see `LinkLimiter`."""
    if self._link_limiter is None:
      return False, drawn_in
    return self._link_limiter.closes_connection(drawn_in)

  async def _serve_connection(self, stream: abc.ByteStream) -> None:
    if self._saturation is not None and self._saturation.closes_unread():
      await anyio.aclose_forcefully(stream)
      return
    row = self.connections.open(stream)
    try:
      with row.scope:
        connection = _CallerConnection(self, stream, row)
        if self.connections.admit_connection(row):
          await connection.run()
        elif not self.resource_limiter.is_refusal_limit_reached:
          await connection.refuse_connection()
    except* _DISCONNECT_ERRORS:
      pass  # the caller has disconnected, and its request was cancelled
    except* Exception:  # noqa: BLE001  a fault must not end other connections
      logger.exception("connection failed")
    finally:
      self.connections.remove(row)
      with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)

  def start_draining(self) -> None:
    """Closes idle connections; the others are closed after their request."""
    self.draining = True
    self.connections.end_waits()

  async def wait_until_drained(self, give_up: Callable[[], None]) -> bool:
    """Waits for the open requests; returns whether all of them ended in time.

    Those of callers that take no response are ended. Afterwards no request is
    served any more.

    Args:
      give_up: called if the time has run out; ends the requests being served.
    """
    has_drained = await self.open_requests.wait(self._end_stalled)
    if not has_drained:
      give_up()
      await self.open_requests.wait_for_final_responses()
    self._drain.close()
    return has_drained

  def _end_stalled(self) -> None:
    self.is_drain_ending = self._drain.left_s <= _FINAL_DRAIN_S
    stall_s = _FINAL_STALL_S if self.is_drain_ending else None
    self.connections.close_stalled(stall_s)

  async def finish(self, timeout_s: float) -> None:
    """Closes the port, and waits for the last responses to be sent.

    Args:
      timeout_s: seconds; then connections may be closed without a response.
    """
    self._accepting.cancel()
    with anyio.move_on_after(timeout_s):
      await self._port_closed.wait()
      await self.open_requests.wait_until_answered()


class _CallerConnection:
  """One caller's connection."""

  def __init__(
      self,
      server: HttpServer,
      stream: abc.ByteStream,
      row: connection_table.Row,
  ) -> None:
    self._server = server
    self._stream = stream
    self._row = row
    self._parser = self._new_parser()
    self._buffer = receive_buffer.ReceiveBuffer()
    """Bytes that were received and not passed to the parser."""
    self._head_bytes = bytearray()
    """The request head being read, as received."""
    self._head = heads.Section()
    self._body_left = 0
    """Bytes of the body that were not passed to the parser, if it has a
    length."""
    self._chunk_merger: chunked_bodies.ChunkMerger | None = None
    """Set while a body in chunks is read."""
    self._caller_closed = False
    self.closes_after_response = False
    """Whether the connection is closed after the current response."""
    self.is_head = False
    """Whether the current request's method is HEAD."""
    self._drawn_in = 0
    """The round in which the connection was last drawn; see `LinkLimiter`."""
    self._open_request: open_requests.OpenRequest | None = None
    """The current request, from its head to the end of its response."""

  def _new_parser(self) -> h11.Connection:
    return h11.Connection(
        h11.SERVER,
        max_incomplete_event_size=self._server.limits().header_bytes,
    )

  async def run(self) -> None:
    """Serves requests until the connection ends."""
    while await self._serve_one():
      # Each request gets a new parser, as the limits may have changed.
      self._parser = self._new_parser()
      self._head_bytes.clear()
      self._head = heads.Section()
    await self._close_lingering()

  def note_response(self) -> None:
    """Notes that the head of a response is about to be sent."""
    if self._server.draining:
      self.closes_after_response = True

  async def _serve_one(self) -> bool:
    """Serves one request, or refuses it; returns whether another may follow."""
    responder = Responder(self)
    try:
      return await self._serve_next(responder)
    except errors.RejectedRequestError as exc:
      await self._refuse(responder, exc)
      return False
    finally:
      self._row.request.close()
      if self._open_request is not None:
        self._server.open_requests.close(self._open_request)
        self._open_request = None

  async def _serve_next(self, responder: Responder) -> bool:
    head = await self._read_head()
    if head is None:
      return False
    self.is_head = head.method == b"HEAD"
    self._allocate(resource_limiter_lib.REQUEST_OVERHEAD_BYTES)
    request = self._decode(head)
    self._open_request = self._server.open_requests.open(request)
    self._server.connections.note_request(self._row)
    responder.head_read_at = self._open_request.head_read_at
    self._server.open_requests.check(self._open_request)
    with self._server.open_requests.reading(self._open_request):
      body = await self._read_body(head)
    self._note_pipelined()
    is_moved, self._drawn_in = self._server.draw_close(self._drawn_in)
    self.closes_after_response = (
        is_moved or self._server.is_leaving_connections or _requests_close(head)
    )
    self._server.in_flight += 1
    try:
      await self._handle(request, body, responder)
    finally:
      self._server.in_flight -= 1
      if responder.started and not responder.ended:
        self._log_cut_off(request, responder)
    return (
        responder.ended
        and not self.closes_after_response
        and not self._caller_closed
    )

  def _log_cut_off(
      self, request: messages.Request, responder: Responder
  ) -> None:
    logger.info(
        "response cut off",
        extra={
            "request": request.id,
            "sent_bytes": responder.sent_bytes,
            "caller_closed": self._caller_closed,
        },
    )

  async def _refuse(
      self, responder: Responder, exc: errors.RejectedRequestError
  ) -> None:
    self.closes_after_response = True
    logger.info(
        "request not read",
        extra={"status": exc.status, "reason": str(exc)}
        | self._server.resource_limiter.log_fields,
    )
    headers = self._server.dialect.encode_refusal("", exc.retry_after_s)
    if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
      await responder.respond(exc.status, headers, str(exc).encode())

  async def _read_head(self) -> h11.Request | None:
    """Returns the head of the next request; None if the connection ends."""
    limits = self._server.limits()
    if not self._buffer and not await self._wait_for_bytes(
        limits.idle_timeout.total_seconds()
    ):
      return None
    with anyio.move_on_after(limits.header_timeout.total_seconds()):
      event = await self._next_event()
      if isinstance(event, h11.ConnectionClosed):
        return None
      self._check_head()
      return event
    raise errors.RejectedRequestError("head took too long", 408)

  async def _wait_for_bytes(self, timeout_s: float) -> bool:
    """Waits for the first bytes of a request; returns whether any arrived."""
    if self._server.draining and not self._may_bring_request():
      return False
    with self._server.connections.waiting_for_request(self._row, timeout_s):
      await self._receive()
    if not self._buffer and sockets.is_readable(self._stream):
      await self._receive()  # bytes arrived as the wait was ended
    return bool(self._buffer)

  def _may_bring_request(self) -> bool:
    """Whether a request is read although the server drains."""
    return self._row.is_new or sockets.is_readable(self._stream)

  async def _receive(self) -> None:
    """Reads once from the connection."""
    try:
      data = await self._stream.receive(_READ_BYTES)
    except anyio.EndOfStream:
      self._caller_closed = True
      self._parser.receive_data(b"")
      return
    self._server.note_bytes(len(data))
    if self._is_reading_head:
      self._allocate(2 * len(data))
    self._buffer.append(data)

  @property
  def _is_reading_head(self) -> bool:
    return self._parser.their_state is h11.IDLE

  def _parse(self) -> None:
    """Passes received bytes to the parser: none after the current request.

    The end of a body in chunks is known to the parser only, which gets all.
    """
    if self._is_reading_head:
      data = self._buffer.take_head(self._head_bytes)
      self._head_bytes += data
      fault = self._head.find_fault(data)
      if fault:
        raise errors.RejectedRequestError(fault)
    elif self._chunk_merger is not None:
      data = self._chunk_merger.feed(self._buffer.take_all())
    else:
      data = self._buffer.take(self._body_left or len(self._buffer))
      self._body_left -= min(len(data), self._body_left)
    if data:
      self._parser.receive_data(data)

  async def _next_event(self) -> h11.Event:
    try:
      while (event := self._parser.next_event()) is h11.NEED_DATA:
        if self._buffer:
          self._parse()
          continue
        if self._parser.they_are_waiting_for_100_continue:
          await self.send(
              h11.InformationalResponse(status_code=100, headers=[])
          )
        await self._receive()
    except h11.RemoteProtocolError as exc:
      raise errors.RejectedRequestError(
          str(exc), exc.error_status_hint
      ) from exc
    return event

  def _check_head(self) -> None:
    """Refuses heads that allow request smuggling.

    An endpoint that finds the end of the body elsewhere than this router would
    run a request hidden in the body. The parser accepts repeated Content-Length
    headers, so the raw bytes are searched for them.
    """
    end = self._head_bytes.find(b"\r\n\r\n")
    head = bytes(self._head_bytes if end < 0 else self._head_bytes[: end + 2])
    if len(head) > self._server.limits().header_bytes:
      raise errors.RejectedRequestError("head too large", 431)
    lengths = len(_CONTENT_LENGTH.findall(head))
    if lengths > 1 or (lengths and _TRANSFER_ENCODING.search(head)):
      raise errors.RejectedRequestError("ambiguous body length")

  def _decode(self, head: h11.Request) -> messages.Request:
    return self._server.dialect.decode_request(
        head.method, head.target, list(head.headers)
    )

  def _allocate(self, size: int) -> None:
    """Allocates `size` more bytes for the request.

    Raises:
      errors.BusyError: they do not fit.
    """
    if not self.allocate_for_request(size):
      raise errors.OverloadedError("no room", _RETRY_AFTER_S)

  def _allocate_body(self, size: int) -> None:
    """Allocates the copies of `size` bytes of the request's body.

    Raises:
      errors.BusyError: they do not fit into the share for bodies.
    """
    copies, share = (
        resource_limiter_lib.BODY_COPIES * size,
        resource_limiter_lib.BODIES_SHARE,
    )
    if size and not self.allocate_for_request(copies, share):
      raise errors.OverloadedError("no room for a body", _RETRY_AFTER_S)

  def allocate_response(self, size: int) -> bool:
    """Allocates `size` bytes for a response; returns whether they fit."""
    return self.allocate_for_request(resource_limiter_lib.BODY_COPIES * size)

  def allocate_for_request(self, size: int, share: float = 1.0) -> bool:
    """Allocates `size` more bytes; returns whether they fit into a share."""
    return self._server.connections.allocate(
        self._row, self._row.request, size, share
    )

  def _note_pipelined(self) -> None:
    self._server.connections.note_pipelined(self._row, len(self._buffer))

  async def wait_and_allocate_response(self, size: int) -> bool:
    """Allocates a complete response; returns False if it does not fit in time.

    It waits until the complete response fits. Responses that were allocated
    piece by piece could together exhaust the memory before any is complete.
    """
    resource_limiter = self._server.resource_limiter
    if not resource_limiter.fits_when_empty(
        resource_limiter_lib.BODY_COPIES * size
    ):
      return False
    while not self.allocate_response(size):
      if self._server.is_drain_ending:
        return False
      # A caller that takes nothing may have to be closed meanwhile.
      with anyio.move_on_after(_ROOM_CHECK_INTERVAL_S):
        await resource_limiter.wait()
    return True

  async def refuse_connection(self) -> None:
    """Refuses the caller with 503 without reading its request."""
    await self._refuse(
        Responder(self), errors.OverloadedError("full", _RETRY_AFTER_S)
    )
    await self._close_lingering()

  async def _read_body(self, head: h11.Request) -> bytes:
    limits = self._server.limits()
    body = bytearray()
    if _is_chunked(head):
      self._chunk_merger = chunked_bodies.ChunkMerger()
    self._body_left = messages.content_length(head.headers)
    announced = min(self._body_left, limits.body_bytes)
    self._allocate_body(announced)
    ends_at = anyio.current_time() + self._server.config.body_timeout_s
    while True:
      left_s = ends_at - anyio.current_time()
      timeout_s = min(left_s, limits.idle_timeout.total_seconds())
      with anyio.move_on_after(max(0.0, timeout_s)) as scope:
        event = await self._next_event()
      if scope.cancelled_caught:
        raise errors.RejectedRequestError("body took too long", 408)
      if isinstance(event, h11.EndOfMessage):
        self._chunk_merger = None
        self._buffer.put_back(self._parser.trailing_data[0])
        return bytes(body)
      if not isinstance(event, h11.Data):
        raise errors.RejectedRequestError("body ended early")
      body += event.data
      if len(body) > limits.body_bytes:
        raise errors.RejectedRequestError("body too large", 413)
      if len(body) > announced:
        self._allocate_body(len(event.data))

  async def _handle(
      self, request: messages.Request, body: bytes, responder: Responder
  ) -> None:
    async with anyio.create_task_group() as tg:
      tg.start_soon(self._watch_for_disconnect, tg.cancel_scope)
      await self._server.handler(request, body, responder)
      tg.cancel_scope.cancel()

  async def _watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
    """Cancels the request when its caller disconnects.

    It reads what the caller sends ahead, as long as there is room for it.
    """
    try:
      while self._server.connections.may_read_ahead(self._row):
        self._buffer.append(await self._stream.receive(_READ_BYTES))
        self._note_pipelined()
    except (anyio.EndOfStream, *_DISCONNECT_ERRORS):
      self._caller_closed = True
      scope.cancel()

  async def send(self, *events: h11.Event) -> int:
    """Sends events of a response; returns the number of bytes."""
    data = b"".join(self._parser.send(event) or b"" for event in events)
    if not data:
      return 0
    self._server.note_bytes(len(data))
    connections = self._server.connections
    try:
      for start in range(0, len(data), _SEND_BYTES):
        connections.note_sending(self._row, len(data) - start)
        await self._stream.send(data[start : start + _SEND_BYTES])
    finally:
      connections.note_sent(self._row)
    return len(data)

  async def _close_lingering(self) -> None:
    """Shuts the connection down so that the last response still arrives."""
    if self._caller_closed:
      return
    with (
        self._server.open_requests.closing(),
        contextlib.suppress(anyio.EndOfStream, *_DISCONNECT_ERRORS),
        anyio.move_on_after(_LINGER_S),
    ):
      await self._stream.send_eof()
      while True:
        await self._stream.receive(_READ_BYTES)


def _is_chunked(head: h11.Request) -> bool:
  return any(name == b"transfer-encoding" for name, _ in head.headers)


def _requests_close(head: h11.Request) -> bool:
  for name, value in head.headers:
    if name == b"connection" and b"close" in value.lower():
      return True
  return head.http_version < b"1.1"
