"""A server of the platform: a plain one or a model server, with faults.

It speaks raw HTTP on purpose: most of its faults are bytes that a library
would refuse to send.
"""

import dataclasses
from typing import Any

import anyio
from anyio import abc
import h11

_READ_BYTES = 65_536


@dataclasses.dataclass
class Behaviour:
  """How a server treats its next requests, set by tests."""

  status: int = 200
  events: int = 0
  """Events of a stream; 0: a plain answer."""
  first_id: int = 1
  event_interval_s: float = 0.0
  response_delay_s: float = 0.0
  reset_after_events: int | None = None
  """The connection is reset after this many events (0: no answer)."""
  partial_event: bool = False
  """The cut comes in the middle of the next event."""
  not_run: bool = False
  foreign_response_first: bool = False
  """An answer of another request comes first."""
  extra_response: bool = False
  """A second answer follows the first."""
  close_delimited: bool = False
  """The answer has no length and ends with the connection."""
  unsigned: bool = False
  padding: int = 0
  """Bytes more in a plain answer."""
  crash_on: bytes | None = None
  """A request whose body holds this ends the server once its answer begins."""
  encoded: bool = False


@dataclasses.dataclass
class Seen:
  """A request as it arrived."""

  method: str
  target: str
  headers: dict[str, str]
  body: bytes
  cancelled: bool = False


def make_registration(
    address: str, started_ms: int = 0, state: str = "ready"
) -> dict[str, Any]:
  """Returns what a server writes of itself in the store's list."""
  return {
      "service": "pool",
      "address": address,
      "zone": "dc",
      "version": "v1",
      "slots": 8,
      "state": state,
      "cold_left_ms": 0,
      "seq": 1,
      "born": started_ms,
  }


class Server:
  """One server; `serve` puts it on the network.

  Args:
    id: its id, which requests must expect.
  """

  def __init__(self, id: str) -> None:  # noqa: A002  the platform's word
    self.id = id
    self.behaviour = Behaviour()
    self.seen: list[Seen] = []
    self.connections = 0
    self.ended = anyio.Event()
    """Set once the server has crashed; its port is closed then."""
    self._scope = anyio.CancelScope()

  async def serve(self, port: int) -> None:
    """Serves on loopback until cancelled."""
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )
    with self._scope:
      async with listener:
        self._listener = listener
        await listener.serve(self._serve_connection)

  async def crash(self) -> None:
    """Ends the server with all its connections, its port first."""
    self._scope.cancel()
    with anyio.CancelScope(shield=True):
      await self._listener.aclose()
    self.ended.set()

  async def _serve_connection(self, stream: abc.SocketStream) -> None:
    self.connections += 1
    parser = h11.Connection(h11.SERVER)
    try:
      while await self._serve_one(stream, parser):
        parser.start_next_cycle()
    except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
      pass  # the router closed the connection
    except* h11.ProtocolError:
      pass  # a fault of ours left the parser behind; the connection ends
    finally:
      with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)

  async def _read(
      self, stream: abc.SocketStream, parser: h11.Connection
  ) -> Seen | None:
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
      elif isinstance(event, h11.EndOfMessage) and head is not None:
        headers = {k.decode(): v.decode() for k, v in head.headers}
        return Seen(
            head.method.decode(), head.target.decode(), headers, bytes(body)
        )
      else:
        return None

  async def _serve_one(
      self, stream: abc.SocketStream, parser: h11.Connection
  ) -> bool:
    seen = await self._read(stream, parser)
    if seen is None:
      return False
    behaviour = dataclasses.replace(self.behaviour)
    if seen.headers.get("expect-instance") != self.id:
      await stream.send(_head(421, {"instance-id": self.id}) + b"\r\n")
      return False
    if behaviour.not_run:
      head = _head(503, {"not-executed": "1", **_echo(seen)})
      await stream.send(head + b"\r\n")
      return False
    self.seen.append(seen)
    async with anyio.create_task_group() as tg:
      tg.start_soon(_note_close, stream, seen, tg.cancel_scope)
      answering = _Answering(stream, seen, behaviour, self.id)
      if behaviour.crash_on and behaviour.crash_on in seen.body:
        await answering.begin()
        await self.crash()
      await answering.run()
      tg.cancel_scope.cancel()
    parser.send(
        h11.Response(status_code=200, headers=[("content-length", "0")])
    )
    parser.send(h11.EndOfMessage())
    keep = (
        behaviour.reset_after_events is None and not behaviour.close_delimited
    )
    return keep and not seen.cancelled


async def _note_close(
    stream: abc.SocketStream, seen: Seen, scope: anyio.CancelScope
) -> None:
  try:
    await stream.receive(1)
  except (anyio.EndOfStream, anyio.BrokenResourceError):
    seen.cancelled = True
    scope.cancel()


def _echo(seen: Seen) -> dict[str, str]:
  return {"request-id": seen.headers.get("request-id", "")}


def _head(
    status: int, headers: dict[str, str], length: int | None = 0
) -> bytes:
  lines = [f"HTTP/1.1 {status} X"]
  lines += [f"{name}: {value}" for name, value in headers.items()]
  if length is not None:
    lines.append(f"content-length: {length}")
  return ("\r\n".join(lines) + "\r\n").encode()


class _Answering:
  """Writes one answer."""

  def __init__(
      self, stream: abc.SocketStream, seen: Seen, how: Behaviour, id_: str
  ) -> None:
    self._stream = stream
    self._seen = seen
    self._how = how
    self._id = id_

  async def begin(self) -> None:
    """Writes the head of an answer whose rest never comes."""
    await anyio.sleep(self._how.response_delay_s)
    await self._stream.send(_head(200, self._headers(), 1_000) + b"\r\n")

  async def run(self) -> None:
    """Writes the whole answer."""
    how = self._how
    await anyio.sleep(how.response_delay_s)
    if how.reset_after_events == 0:
      return
    if how.foreign_response_first:
      stranger = {"request-id": "another", "response-signature": "s"}
      await self._stream.send(_head(200, stranger, 3) + b"\r\nold")
    if how.events:
      await self._send_events()
    else:
      await self._send_plain()
    if how.extra_response:
      headers = {"request-id": "extra", "response-signature": "s"}
      await self._stream.send(_head(200, headers, 3) + b"\r\nbad")

  def _headers(self) -> dict[str, str]:
    headers = {**_echo(self._seen), "server-load": "1,0,8"}
    if not self._how.unsigned:
      headers["response-signature"] = f"signed-by-{self._id}"
    if self._how.encoded:
      headers["content-encoding"] = "gzip"
    return headers

  async def _send_plain(self) -> None:
    body = f"{self._id} {self._seen.target}".encode() + bytes(self._how.padding)
    length = None if self._how.close_delimited else len(body)
    head = _head(self._how.status, self._headers(), length)
    await self._stream.send(head + b"\r\n" + body)

  async def _send_events(self) -> None:
    how = self._how
    headers = {
        **self._headers(),
        "content-type": "text/event-stream",
        "transfer-encoding": "chunked",
    }
    await self._stream.send(_head(200, headers, None) + b"\r\n")
    last = int(self._seen.headers.get("last-event-id", how.first_id - 1))
    for sent, number in enumerate(range(last + 1, how.first_id + how.events)):
      if how.reset_after_events is not None and sent >= how.reset_after_events:
        if how.partial_event:
          await self._stream.send(_chunk(f"id: {number}\nda".encode()))
        return
      await self._stream.send(_chunk(f"id: {number}\ndata: x\n\n".encode()))
      await anyio.sleep(how.event_interval_s)
    await self._stream.send(b"0\r\n\r\n")


def _chunk(data: bytes) -> bytes:
  return b"%x\r\n%s\r\n" % (len(data), data)
