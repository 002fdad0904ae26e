"""Emulated platform server (plain service or model server) with faults.

Responses are written as raw bytes: an HTTP library would refuse to send
most of the faulty ones.
"""

import collections
from collections.abc import Callable
import dataclasses
import socket
import struct
from typing import Any, NamedTuple

import anyio
from anyio import abc
import h11

from mustardfall.emulator import malformed

_READ_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a connection resets it."""


@dataclasses.dataclass
class Behaviour:
  """How a server responds to its next requests; set by tests."""

  status: int = 200
  events: int = 0
  """Events in a streamed response; 0: a plain response."""
  first_id: int = 1
  event_interval_s: float = 0.0
  response_delay_s: float = 0.0
  reset_after_events: int | None = None
  """Closes the connection after this many events (0: before the head)."""
  cut_head_at: int | None = None
  """Position in the response head at which the connection ends; a negative one
  counts from the end of the head."""
  partial_event: bool = False
  """Sends part of the next event before the connection is closed."""
  not_run: bool = False
  foreign_response_first: bool = False
  """Sends a response with another request's id first."""
  extra_response: bool = False
  """Sends a second response after the first."""
  close_delimited: bool = False
  """Sends neither a length nor chunks; the end of the connection ends the body,
  also of a stream."""
  reset: bool = False
  """Resets the connection at the end, as if the server had crashed."""
  answer_after_bytes: int | None = None
  """Bytes of a request body after which it sends a part of its response, without
  a length, and ends the connection; None: it reads the whole body."""
  unsigned: bool = False
  padding: int = 0
  """Bytes appended to the body of a plain response."""
  crash_on: bytes | None = None
  """If the body contains this, the server crashes after the response head."""
  crash_on_part: str | None = None
  """If the prompt has this part, which must not be the last one, the server
  crashes after the response head."""
  crash_for_team: str = ""
  """If set, it does so for this team only."""
  encoded: bool = False
  rate_limit: str | None = None
  """Value of the `Server-Limit` header; None: the header is left out."""
  unfinished_event_bytes: int = 0
  """Bytes of an event that it begins and never ends; 0: it ends all events."""
  endless: str = ""
  """If set, sends bytes without end, of this kind of `endless_bytes`."""
  endless_interval_s: float = 0.0
  """Pause between these."""
  malformed: str = ""
  """If set, it sends an invalid answer, of this kind of `malformed`."""
  leaving: str | None = None
  """Value of the `Server-Leaving` header; None: the header is left out."""
  retry_after: str | None = None
  """Value of the `Retry-After` header of requests that are turned away; None: the
  header is left out."""
  slots: int | None = None
  """Requests that it runs at a time; it turns others away. None: any number."""
  queue: int = 0
  """Requests that wait for one of its slots, in order of arrival. If there are
  any, it states its true load; otherwise it states one running request."""
  brittle: int | None = None
  """Value of the `Server-Brittle` header: it crashes if it turns away more
  requests in a second. None: the header is left out."""


@dataclasses.dataclass
class ReceivedRequest:
  """A request as received."""

  method: str
  target: str
  headers: dict[str, str]
  body: bytes
  cancelled: bool = False
  received_at: float = 0.0
  """When it was received, seconds of the event loop's clock."""


class EndlessAnswer(NamedTuple):
  """An answer without end, until its connection was closed."""

  took_s: float
  sent: int
  """Bytes sent."""


def endless_bytes(kind: str, request: ReceivedRequest) -> tuple[bytes, bytes]:
  """Returns the first bytes of an answer without end, and those after them.

  Args:
    kind: what the bytes are: `garbage`, or where an answer has no end.
    request: the request that is answered.
  """
  id_ = request.headers.get("request-id", "")
  named = f"request-id: {id_}\r\nresponse-signature: s\r\n".encode()
  start = b"HTTP/1.1 200 X\r\n"
  chunked = named + b"transfer-encoding: chunked\r\n"
  events = chunked + b"content-type: text/event-stream\r\n\r\n"
  refusal = b"HTTP/1.1 503 X\r\nnot-executed: 1\r\n" + chunked + b"\r\n"
  other = start + b"request-id: other\r\ntransfer-encoding: chunked\r\n\r\n"
  letters = b"a" * 50
  return {
      "garbage": (b"", letters),
      "blank": (b"\r\n", b"\r\n" * 20),
      "header": (start + b"x-a: ", letters),
      "headers": (start + named, b"x-a: b\r\n" * 5),
      "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
      "informational-headers": (
          b"HTTP/1.1 103 Early Hints\r\n",
          b"x-a: b\r\n" * 5,
      ),
      "other": (other, _chunk(letters)),
      "body": (start + chunked + b"\r\n", _chunk(letters)),
      "small-chunks": (start + chunked + b"\r\n", _chunk(b"a") * 10),
      "close": (start + named + b"\r\n", letters),
      "length": (
          start + named + b"content-length: 999999999999\r\n\r\n",
          letters,
      ),
      "extension": (start + chunked + b"\r\n1;", letters),
      "trailers": (start + chunked + b"\r\n0\r\n", b"x-a: b\r\n" * 5),
      "refusal": (refusal, _chunk(letters)),
      "refusal-close": (
          b"HTTP/1.1 503 X\r\nnot-executed: 1\r\n" + named + b"\r\n",
          letters,
      ),
      "event": (start + events, _chunk(letters)),
      "event-small-chunks": (start + events, _chunk(b"a") * 10),
      "comments": (start + events, _chunk(b":" + letters + b"\n\n")),
      "repeated": (start + events, _chunk(b"id: 1\ndata: x\n\n")),
  }[kind]


def make_registration(
    address: str,
    started_ms: int = 0,
    state: str = "ready",
    version: str = "v1",
) -> dict[str, Any]:
  """Returns the entry by which a server registers itself in the store."""
  return {
      "service": "pool",
      "address": address,
      "zone": "dc",
      "version": version,
      "slots": 8,
      "state": state,
      "cold_left_ms": 0,
      "seq": 1,
      "born": started_ms,
  }


class Server:
  """An emulated server; `serve` listens for connections.

  Args:
    id: instance id, which requests must send as `Expect-Instance`.
    version: the version of its software; each event that it sends names it.
  """

  def __init__(self, id: str, version: str = "v1") -> None:  # noqa: A002  the platform's term
    self.id = id
    self.version = version
    self.port = 0
    self.behaviour = Behaviour()
    self.received: list[ReceivedRequest] = []
    """Requests that the server accepted, in order."""
    self.turned_away: list[ReceivedRequest] = []
    """Requests that it turned away with 503, in order."""
    self.endless_answers: list[EndlessAnswer] = []
    """Answers without end that the router has closed."""
    self.connections = 0
    self.early_answers = 0
    """Responses that it began before it had read the request."""
    self._running = 0
    self._waiting: collections.deque[anyio.Event] = collections.deque()
    """Requests that wait for a slot; set when they get one."""
    self.busy_s = 0.0
    """Seconds for which slots were taken, added up over the slots."""
    self._turned_away_at: list[float] = []
    """When requests were turned away for want of a slot."""
    self.started = anyio.Event()
    """Set once the server accepts connections."""
    self.crashed = anyio.Event()
    """Set once the server has crashed and closed its port."""
    self._scope = anyio.CancelScope()

  async def serve(
      self,
      port: int,
      *,
      task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
  ) -> None:
    """Serves on the loopback interface until cancelled.

    Reports as started once the port is open.
    """
    self.port = port
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )
    with self._scope:
      async with listener:
        self._listener = listener
        self.started.set()
        task_status.started()
        await listener.serve(self._serve_connection)

  async def crash(self) -> None:
    """Closes the listening port, then all connections."""
    self._scope.cancel()
    with anyio.CancelScope(shield=True):
      await self._listener.aclose()
    self.crashed.set()

  async def _serve_connection(self, stream: abc.SocketStream) -> None:
    self.connections += 1
    parser = h11.Connection(h11.SERVER)
    try:
      while await self._serve_one(stream, parser):
        parser.start_next_cycle()
      if self.behaviour.reset:
        sock = stream.extra(abc.SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
      pass  # the router closed the connection
    except* h11.ProtocolError:
      pass  # an injected fault left the parser in an invalid state
    finally:
      with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)

  async def _read(
      self, stream: abc.SocketStream, parser: h11.Connection
  ) -> ReceivedRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
      event = parser.next_event()
      if event is h11.NEED_DATA:
        try:
          parser.receive_data(await stream.receive(_READ_BYTES))
        except anyio.EndOfStream:
          return None
      elif isinstance(event, h11.Request):
        head = event
      elif isinstance(event, h11.Data):
        body += event.data
        if head is not None and self._answers_early(body):
          await self._send_early_part(stream, head)
          return None
      elif isinstance(event, h11.EndOfMessage) and head is not None:
        headers = {k.decode(): v.decode() for k, v in head.headers}
        return ReceivedRequest(
            head.method.decode(),
            head.target.decode(),
            headers,
            bytes(body),
            received_at=anyio.current_time(),
        )
      else:
        return None

  def _answers_early(self, body: bytearray) -> bool:
    least = self.behaviour.answer_after_bytes
    return least is not None and len(body) >= least

  async def _send_early_part(
      self, stream: abc.SocketStream, head: h11.Request
  ) -> None:
    headers = {
        "request-id": dict(head.headers).get(b"request-id", b"").decode(),
        "response-signature": f"signed-by-{self.id}",
    }
    self.early_answers += 1
    await stream.send(_head(200, headers, None) + b"\r\nPART")

  async def _serve_one(
      self, stream: abc.SocketStream, parser: h11.Connection
  ) -> bool:
    request = await self._read(stream, parser)
    if request is None:
      return False
    behaviour = dataclasses.replace(self.behaviour)
    if request.headers.get("expect-instance") != self.id:
      headers = {"instance-id": self.id} | _statement_headers(behaviour)
      await stream.send(_head(421, headers) + b"\r\n")
      return False
    is_busy = behaviour.slots is not None and self._running >= behaviour.slots
    is_full = is_busy and len(self._waiting) >= behaviour.queue
    if behaviour.endless:
      self.received.append(request)
      await self._send_without_end(stream, request, behaviour)
      return False
    if behaviour.malformed:
      self.received.append(request)
      id_ = request.headers.get("request-id", "")
      await stream.send(malformed.encode(behaviour.malformed, id_))
      return False
    if behaviour.not_run or is_full:
      headers = {"not-executed": "1", **_request_id_header(request)}
      headers |= _statement_headers(behaviour)
      if behaviour.retry_after is not None:
        headers["retry-after"] = behaviour.retry_after
      self.turned_away.append(request)
      await stream.send(_head(503, headers) + b"\r\n")
      if is_full:
        await self._note_turned_away(behaviour)
      return False
    self.received.append(request)
    if is_busy:
      await self._wait_for_slot()
    else:
      self._running += 1
    began_at = anyio.current_time()
    try:
      await self._respond(stream, request, behaviour)
    finally:
      self.busy_s += anyio.current_time() - began_at
      if self._waiting:
        self._waiting.popleft().set()
      else:
        self._running -= 1
    parser.send(
        h11.Response(status_code=200, headers=[("content-length", "0")])
    )
    parser.send(h11.EndOfMessage())
    keep = (
        behaviour.reset_after_events is None
        and behaviour.cut_head_at is None
        and not behaviour.close_delimited
    )
    return keep and not request.cancelled

  async def _wait_for_slot(self) -> None:
    """Waits until a request that ends leaves its slot to this one."""
    freed = anyio.Event()
    self._waiting.append(freed)
    await freed.wait()

  def load(self, behaviour: Behaviour) -> str:
    """Returns the value of the `Server-Load` header."""
    slots = behaviour.slots or 8
    if not behaviour.queue:
      return f"1,0,{slots}"
    return f"{self._running},{len(self._waiting)},{slots}"

  async def _send_without_end(
      self,
      stream: abc.SocketStream,
      request: ReceivedRequest,
      behaviour: Behaviour,
  ) -> None:
    """Sends bytes until the router closes the connection."""
    began_at = anyio.current_time()
    sent = 0
    first, again = endless_bytes(behaviour.endless, request)
    try:
      await stream.send(first)
      while True:
        await stream.send(again)
        sent += len(again)
        await anyio.sleep(behaviour.endless_interval_s)
    finally:
      took_s = anyio.current_time() - began_at
      self.endless_answers.append(EndlessAnswer(took_s, sent))

  async def _note_turned_away(self, behaviour: Behaviour) -> None:
    now = anyio.current_time()
    recent = [at for at in self._turned_away_at if now - at < 1.0]
    self._turned_away_at = [*recent, now]
    brittle = behaviour.brittle
    if brittle is not None and len(self._turned_away_at) > brittle:
      await self.crash()

  async def _respond(
      self,
      stream: abc.SocketStream,
      request: ReceivedRequest,
      behaviour: Behaviour,
  ) -> None:
    async with anyio.create_task_group() as tg:
      tg.start_soon(_watch_disconnect, stream, request, tg.cancel_scope)
      writer = _ResponseWriter(
          stream,
          request,
          behaviour,
          self.id,
          self.version,
          lambda: self.load(behaviour),
      )
      if _crashes_on(request, behaviour):
        await writer.send_head()
        await self.crash()
      await writer.run()
      tg.cancel_scope.cancel()


def _crashes_on(request: ReceivedRequest, behaviour: Behaviour) -> bool:
  if behaviour.crash_on and behaviour.crash_on in request.body:
    return True
  if behaviour.crash_for_team not in ("", request.headers.get("tenant")):
    return False
  return behaviour.crash_on_part in prompt_parts(request)[:-1]


def prompt_parts(request: ReceivedRequest) -> list[str]:
  """Returns the ids of the parts of a request's prompt, in order."""
  prefix = request.headers.get("prompt-prefix", "")
  return [part.partition(":")[0] for part in prefix.split(",")]


async def _watch_disconnect(
    stream: abc.SocketStream, request: ReceivedRequest, scope: anyio.CancelScope
) -> None:
  try:
    await stream.receive(1)
  except (anyio.EndOfStream, anyio.BrokenResourceError):
    request.cancelled = True
    scope.cancel()


def _request_id_header(request: ReceivedRequest) -> dict[str, str]:
  return {"request-id": request.headers.get("request-id", "")}


def _statement_headers(behaviour: Behaviour) -> dict[str, str]:
  """Returns the headers in which the server speaks of itself."""
  headers = {}
  if behaviour.leaving is not None:
    headers["server-leaving"] = behaviour.leaving
  if behaviour.rate_limit is not None:
    headers["server-limit"] = behaviour.rate_limit
  if behaviour.brittle is not None:
    headers["server-brittle"] = str(behaviour.brittle)
  return headers


def _head(
    status: int, headers: dict[str, str], length: int | None = 0
) -> bytes:
  lines = [f"HTTP/1.1 {status} X"]
  lines += [f"{name}: {value}" for name, value in headers.items()]
  if length is not None:
    lines.append(f"content-length: {length}")
  return ("\r\n".join(lines) + "\r\n").encode()


class _ResponseWriter:
  """Writes one response."""

  def __init__(
      self,
      stream: abc.SocketStream,
      request: ReceivedRequest,
      behaviour: Behaviour,
      id_: str,
      version: str,
      load: Callable[[], str],
  ) -> None:
    self._load = load
    self._stream = stream
    self._request = request
    self._behaviour = behaviour
    self._id = id_
    self._version = version

  async def send_head(self) -> None:
    """Writes only the head of the response, whose body never follows."""
    await anyio.sleep(self._behaviour.response_delay_s)
    if self._behaviour.events:
      await self._send_stream_head()
      return
    await self._stream.send(_head(200, self._headers(), 1_000) + b"\r\n")

  async def run(self) -> None:
    """Writes the complete response, or as much as the faults allow."""
    behaviour = self._behaviour
    await anyio.sleep(behaviour.response_delay_s)
    if behaviour.reset_after_events == 0:
      return
    if behaviour.cut_head_at is not None:
      await self._stream.send(self.encode_head()[: behaviour.cut_head_at])
      return
    if behaviour.foreign_response_first:
      foreign_headers = {"request-id": "another", "response-signature": "s"}
      await self._stream.send(_head(200, foreign_headers, 3) + b"\r\nold")
    if behaviour.events:
      await self._send_events()
    else:
      await self._send_plain()
    if behaviour.extra_response:
      headers = {"request-id": "extra", "response-signature": "s"}
      await self._stream.send(_head(200, headers, 3) + b"\r\nbad")

  def _headers(self) -> dict[str, str]:
    headers = {
        **_request_id_header(self._request),
        "server-load": self._load(),
    }
    if not self._behaviour.unsigned:
      headers["response-signature"] = f"signed-by-{self._id}"
    if self._behaviour.encoded:
      headers["content-encoding"] = "gzip"
    return headers | _statement_headers(self._behaviour)

  def encode_head(self) -> bytes:
    """Returns the complete head of the response."""
    if self._behaviour.events:
      return self._encode_stream_head()
    length = None if self._behaviour.close_delimited else len(self._body())
    head = _head(self._behaviour.status, self._headers(), length)
    return head + b"\r\n"

  def _body(self) -> bytes:
    text = f"{self._id} {self._request.target}"
    return text.encode() + bytes(self._behaviour.padding)

  async def _send_plain(self) -> None:
    await self._stream.send(self.encode_head() + self._body())

  def _encode_stream_head(self) -> bytes:
    headers = {**self._headers(), "content-type": "text/event-stream"}
    if not self._behaviour.close_delimited:
      headers["transfer-encoding"] = "chunked"
    return _head(200, headers, None) + b"\r\n"

  async def _send_stream_head(self) -> None:
    await self._stream.send(self._encode_stream_head())

  async def _send_events(self) -> None:
    behaviour = self._behaviour
    await self._send_stream_head()
    if behaviour.unfinished_event_bytes:
      await self._send_piece("data: " + "x" * behaviour.unfinished_event_bytes)
      await anyio.sleep_forever()
    last = int(
        self._request.headers.get("last-event-id", behaviour.first_id - 1)
    )
    for events_sent, number in enumerate(
        range(last + 1, behaviour.first_id + behaviour.events)
    ):
      if (
          behaviour.reset_after_events is not None
          and events_sent >= behaviour.reset_after_events
      ):
        if behaviour.partial_event:
          await self._send_piece(f"id: {number}\nda")
        return
      await self._send_piece(f"id: {number}\ndata: x {self._version}\n\n")
      await anyio.sleep(behaviour.event_interval_s)
    if not behaviour.close_delimited:
      await self._stream.send(b"0\r\n\r\n")

  async def _send_piece(self, text: str) -> None:
    data = text.encode()
    if not self._behaviour.close_delimited:
      data = _chunk(data)
    await self._stream.send(data)


def _chunk(data: bytes) -> bytes:
  return b"%x\r\n%s\r\n" % (len(data), data)
