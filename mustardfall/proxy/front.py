"""The HTTP front: callers' connections, one request at a time on each.

It checks what callers may send, reads requests whole, tells the handler
when a caller leaves, and never lets a failed answer look complete.
"""

from collections.abc import Awaitable, Callable, Iterator
import contextlib
import logging
import re

import anyio
from anyio import abc
import h11

from mustardfall import errors
from mustardfall import settings
from mustardfall.proxy import messages
from mustardfall.proxy import room as room_lib
from mustardfall.routing import configuration
from mustardfall.util import clock as clock_lib
from mustardfall.util import sockets

logger = logging.getLogger(__name__)

_READ_BYTES = 65_536
_MOST_PIPELINED_BYTES = 65_536
"""Bytes of later requests read while one is served. The read goes on only
to notice that the caller has left; past this it waits, which bounds memory."""
_LINGER_S = 0.5
"""How long bytes are still taken after the last answer. Closing while
unread bytes wait resets the connection, and the caller may lose the answer
that it has not read yet."""
_COME_BACK_S = 1.0
"""When a caller that found no room may try again, seconds. It will mostly meet
another router."""
_ACCEPT_AGAIN_S = 0.1
"""Pause after a connection could not be accepted. Without descriptors the
call fails at once, again and again, until some are free."""
_FOLDED = re.compile(rb"\n[ \t]")
_LENGTH = re.compile(rb"\ncontent-length[ \t]*:", re.IGNORECASE)
_CODING = re.compile(rb"\ntransfer-encoding[ \t]*:", re.IGNORECASE)
_GONE = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Responder:
  """Writes the answer to one request.

  An answer that was started and not ended is cut off by closing the
  connection, so that it never looks complete.
  """

  def __init__(self, session: "_Session") -> None:
    self._session = session
    self.started = False
    self.ended = False

  def hold(self, size: int) -> bool:
    """Holds `size` bytes of an answer; returns False if there is no room."""
    return self._session.hold_answer(size)

  async def hold_whole(self, size: int) -> bool:
    """Holds a whole answer of `size` bytes, as soon as there is room.

    Returns:
      False: there will never be.
    """
    return await self._session.hold_whole_answer(size)

  async def answer(
      self, status: int, headers: list[messages.Header], body: bytes = b""
  ) -> None:
    """Sends a whole answer."""
    self.started = True
    length = (b"content-length", b"%d" % len(body))
    head = h11.Response(
        status_code=status, headers=[*headers, length, *self._ending()]
    )
    await self._session.send(head, h11.Data(data=body), h11.EndOfMessage())
    self.ended = True

  async def start(self, status: int, headers: list[messages.Header]) -> None:
    """Sends the head of an answer whose body follows in chunks."""
    self.started = True
    chunked = (b"transfer-encoding", b"chunked")
    await self._session.send(
        h11.Response(
            status_code=status, headers=[*headers, chunked, *self._ending()]
        )
    )

  async def write(self, data: bytes) -> None:
    """Sends a piece of the body."""
    await self._session.send(h11.Data(data=data))

  async def end(self) -> None:
    """Sends the end of the body."""
    await self._session.send(h11.EndOfMessage())
    self.ended = True

  def _ending(self) -> list[messages.Header]:
    return [(b"connection", b"close")] if self._session.is_last else []


Handler = Callable[[messages.Request, bytes, Responder], Awaitable[None]]


class Front:
  """Accepts callers' connections and hands their requests on.

  Args:
    dialect: knows the deployment's headers.
    handler: serves one request; cancelled when its caller leaves.
    limits: returns the limits in force.
    clock: the time source.
    name: what is served, for the log.
    room: what connections may hold; left out: as much as there is.
  """

  def __init__(
      self,
      dialect: messages.Dialect,
      handler: Handler,
      limits: Callable[[], configuration.Limits],
      clock: clock_lib.Clock,
      name: str = "callers",
      room: room_lib.Room | None = None,
  ) -> None:
    self._name = name
    self.room = room or room_lib.for_callers(settings.Limits())
    self.dialect = dialect
    self.handler = handler
    self.limits = limits
    self.clock = clock
    self.stopping = False
    self.in_flight = 0
    self._idle: dict[anyio.CancelScope, room_lib.Holding] = {}
    """Connections that wait for a request, the longest first: the scopes of
    their waits, and what they hold."""

  async def serve(
      self,
      host: str,
      port: int,
      *,
      task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
  ) -> None:
    """Serves until cancelled; has started once it accepts connections."""
    listeners = await sockets.listen(self._name, host, port)
    task_status.started()
    async with anyio.create_task_group() as tasks:
      for listener in listeners:
        tasks.start_soon(self._accept, listener, tasks)

  async def _accept(
      self, listener: abc.SocketListener, tasks: abc.TaskGroup
  ) -> None:
    """Accepts connections until cancelled, whatever becomes of one."""
    async with listener:
      while True:
        try:
          stream = await listener.accept()
        except OSError as exc:
          logger.warning(
              "connection not accepted",
              extra={"serves": self._name, "error": str(exc)},
          )
          await anyio.sleep(_ACCEPT_AGAIN_S)
          continue
        tasks.start_soon(self._serve_connection, stream)

  async def _serve_connection(self, stream: abc.SocketStream) -> None:
    held = self.room.hold()
    held.connect()
    try:
      session = _Session(self, stream, held)
      if self._make_room_for_connection():
        await session.run()
      elif not self.room.is_far_over:
        await session.refuse_connection()
    except* _GONE:
      pass  # the caller has gone; what it asked for was cancelled
    except* Exception:  # noqa: BLE001  one connection must not end the rest
      logger.exception("connection failed")
    finally:
      held.close()
      with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)

  def _make_room_for_connection(self) -> bool:
    while self.room.is_over:
      if not self._close_idlest():
        return False
    return True

  def make_room(
      self, held: room_lib.Holding, size: int, share: float = 1.0
  ) -> bool:
    """Holds `size` more bytes, idle connections making room."""
    while not held.take(size, share):
      if not self._close_idlest():
        return False
    return True

  def _close_idlest(self) -> bool:
    """Closes the connection that has waited longest; False: none waits."""
    for scope, held in self._idle.items():
      del self._idle[scope]
      held.give_way()
      scope.cancel()
      return True
    return False

  @contextlib.contextmanager
  def wait(self, timeout_s: float, held: room_lib.Holding) -> Iterator[None]:
    """Limits a wait for a request, in which the connection may be closed."""
    with anyio.move_on_after(timeout_s) as scope:
      self._idle[scope] = held
      try:
        yield
      finally:
        self._idle.pop(scope, None)

  def stop_idle(self) -> None:
    """Closes idle connections; those with a request end after it."""
    self.stopping = True
    for scope in list(self._idle):
      scope.cancel()

  async def finish(self, timeout_s: float) -> bool:
    """Waits for requests in flight; returns whether all ended."""
    with anyio.move_on_after(timeout_s):
      while self.in_flight:
        await anyio.sleep(0.02)
    return not self.in_flight


class _Session:
  """One caller's connection."""

  def __init__(
      self, front: Front, stream: abc.SocketStream, held: room_lib.Holding
  ) -> None:
    self._front = front
    self._stream = stream
    self._held_idle = held
    self._held = front.room.hold()
    """What the request being read or served holds."""
    self._parser = self._new_parser()
    self._raw = bytearray()
    """The head being read, as received."""
    self._ended = False
    self.is_last = False
    """Whether the connection closes after the answer being sent."""

  def _new_parser(self) -> h11.Connection:
    return h11.Connection(
        h11.SERVER,
        max_incomplete_event_size=self._front.limits().header_bytes,
    )

  async def run(self) -> None:
    """Serves requests until the connection ends."""
    while await self._serve_one():
      rest, _ = self._parser.trailing_data
      # A parser per request: the limits may have changed meanwhile.
      self._parser = self._new_parser()
      self._raw = bytearray(rest)
      if rest:
        self._parser.receive_data(rest)
    if not self._held_idle.gave_way:
      await self._linger()

  async def _serve_one(self) -> bool:
    """Serves one request; returns whether another may follow."""
    responder = Responder(self)
    try:
      return await self._serve_next(responder)
    except errors.BadRequestError as exc:
      await self._refuse(responder, exc)
      return False
    finally:
      self._held.close()

  async def _serve_next(self, responder: Responder) -> bool:
    head = await self._read_head()
    if head is None:
      return False
    self._take(room_lib.REQUEST_BYTES)
    request = self._decode(head)
    body = await self._read_body(head)
    self.is_last = self._front.stopping or _asks_close(head)
    self._front.in_flight += 1
    try:
      await self._handle(request, body, responder)
    finally:
      self._front.in_flight -= 1
    return responder.ended and not self.is_last and not self._ended

  async def _refuse(
      self, responder: Responder, exc: errors.BadRequestError
  ) -> None:
    self.is_last = True
    logger.info(
        "request not read",
        extra={"status": exc.status, "reason": str(exc)}
        | self._front.room.facts,
    )
    headers = self._front.dialect.encode_refusal("", exc.retry_after_s)
    if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
      await responder.answer(exc.status, headers, str(exc).encode())

  async def _read_head(self) -> h11.Request | None:
    """Returns the next request's head; None when there is none."""
    limits = self._front.limits()
    if not self._raw and not await self._wait_for_bytes(
        limits.idle_timeout.total_seconds()
    ):
      return None
    with anyio.move_on_after(limits.header_timeout.total_seconds()):
      event = await self._next_event()
      if isinstance(event, h11.ConnectionClosed):
        return None
      self._check_head()
      return event
    raise errors.BadRequestError("head took too long", 408)

  async def _wait_for_bytes(self, timeout_s: float) -> bool:
    """Waits for a request to begin; returns whether one did."""
    if self._front.stopping:
      return False
    with self._front.wait(timeout_s, self._held_idle):
      await self._receive()
    return bool(self._raw)

  async def _receive(self) -> None:
    """Reads once from the connection."""
    try:
      data = await self._stream.receive(_READ_BYTES)
    except anyio.EndOfStream:
      data = b""
      self._ended = True
    if self._parser.their_state is h11.IDLE:
      self._take(2 * len(data))
      self._raw += data
    self._parser.receive_data(data)

  async def _next_event(self) -> h11.Event:
    try:
      while (event := self._parser.next_event()) is h11.NEED_DATA:
        if self._parser.they_are_waiting_for_100_continue:
          await self.send(
              h11.InformationalResponse(status_code=100, headers=[])
          )
        await self._receive()
    except h11.RemoteProtocolError as exc:
      raise errors.BadRequestError(str(exc), exc.error_status_hint) from exc
    return event

  def _check_head(self) -> None:
    """Refuses heads that two programs might read differently.

    An endpoint that sees another end of the body than this router would
    run a request that was hidden inside it. The parser mends folded
    lines and repeated lengths, so they are looked for in the raw bytes.
    """
    end = self._raw.find(b"\r\n\r\n")
    head = bytes(self._raw if end < 0 else self._raw[: end + 2])
    if len(head) > self._front.limits().header_bytes:
      raise errors.BadRequestError("head too large", 431)
    if _FOLDED.search(head):
      raise errors.BadRequestError("folded header")
    lengths = len(_LENGTH.findall(head))
    if lengths > 1 or (lengths and _CODING.search(head)):
      raise errors.BadRequestError("ambiguous body length")

  def _decode(self, head: h11.Request) -> messages.Request:
    return self._front.dialect.decode_request(
        head.method, head.target, list(head.headers)
    )

  def _take(self, size: int) -> None:
    """Holds `size` more bytes for the request; raises `errors.OverloadedError`."""
    if not self._front.make_room(self._held, size):
      raise errors.OverloadedError("no room", _COME_BACK_S)

  def _take_body(self, size: int) -> None:
    """Holds `size` bytes of the request's body; raises `errors.OverloadedError`."""
    copies, share = room_lib.COPIES * size, room_lib.BODIES_SHARE
    if size and not self._front.make_room(self._held, copies, share):
      raise errors.OverloadedError("no room for a body", _COME_BACK_S)

  def hold_answer(self, size: int) -> bool:
    """Holds `size` bytes of an answer; returns False if they don't fit."""
    return self._front.make_room(self._held, room_lib.COPIES * size)

  async def hold_whole_answer(self, size: int) -> bool:
    """Holds an answer, waiting for room; returns False if it never fits.

    Answers that each held what has come of them so far would fill the room
    together, and none would ever be whole.
    """
    room = self._front.room
    if not room.can_ever_fit(room_lib.COPIES * size):
      return False
    while not self.hold_answer(size):
      await room.wait()
    return True

  async def refuse_connection(self) -> None:
    """Tells the caller, before it is read, that there is no room for it."""
    await self._refuse(
        Responder(self), errors.OverloadedError("full", _COME_BACK_S)
    )
    await self._linger()

  async def _read_body(self, head: h11.Request) -> bytes:
    limits = self._front.limits()
    body = bytearray()
    told = min(messages.length_of(head.headers), limits.body_bytes)
    self._take_body(told)
    while True:
      with anyio.move_on_after(limits.idle_timeout.total_seconds()) as scope:
        event = await self._next_event()
      if scope.cancelled_caught:
        raise errors.BadRequestError("body took too long", 408)
      if isinstance(event, h11.EndOfMessage):
        return bytes(body)
      if not isinstance(event, h11.Data):
        raise errors.BadRequestError("body ended early")
      body += event.data
      if len(body) > limits.body_bytes:
        raise errors.BadRequestError("body too large", 413)
      if len(body) > told:
        self._take_body(len(event.data))

  async def _handle(
      self, request: messages.Request, body: bytes, responder: Responder
  ) -> None:
    async with anyio.create_task_group() as tg:
      tg.start_soon(self._watch, tg.cancel_scope)
      await self._front.handler(request, body, responder)
      tg.cancel_scope.cancel()

  async def _watch(self, scope: anyio.CancelScope) -> None:
    """Cancels the request when its caller leaves."""
    early = 0
    try:
      while early < _MOST_PIPELINED_BYTES:
        data = await self._stream.receive(_READ_BYTES)
        early += len(data)
        self._parser.receive_data(data)
        if not self._held.take(len(data)):
          return
    except (anyio.EndOfStream, *_GONE):
      self._ended = True
      scope.cancel()

  async def send(self, *events: h11.Event) -> None:
    """Sends events of an answer."""
    data = b"".join(self._parser.send(event) or b"" for event in events)
    if data:
      await self._stream.send(data)

  async def _linger(self) -> None:
    """Ends the connection so that the last answer still arrives."""
    if self._ended:
      return
    with (
        contextlib.suppress(anyio.EndOfStream, *_GONE),
        anyio.move_on_after(_LINGER_S),
    ):
      await self._stream.send_eof()
      while True:
        await self._stream.receive(_READ_BYTES)


def _asks_close(head: h11.Request) -> bool:
  for name, value in head.headers:
    if name == b"connection" and b"close" in value.lower():
      return True
  return head.http_version < b"1.1"
