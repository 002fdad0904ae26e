"""One request on one connection, and the answer that belongs to it.

The connection is released for reuse only after an answer that ended
cleanly; after any doubt it is closed.
"""

from collections.abc import AsyncIterator, Callable
from typing import Protocol

import anyio
import h11

from mustardfall import errors
from mustardfall.proxy import links as links_lib
from mustardfall.proxy import messages

_READ_BYTES = 65_536
_MOST_HEAD_BYTES = 65_536
_MOST_STRANGERS = 4
"""Answers of other requests passed over on one connection; more are no
late answers but a server out of step."""

_BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    h11.RemoteProtocolError,
)


class Room(Protocol):
  """Where an answer is held until it is whole."""

  def hold(self, size: int) -> bool:
    """Holds `size` more bytes; returns False if there is no room now."""

  async def hold_whole(self, size: int) -> bool:
    """Holds `size` bytes once there is room; False: there never will be."""


class Exchange:
  """Sends a request on a connection and reads the answer.

  Args:
    links: where the connection goes back to.
    link: the connection; owned until `close`.
    method: e.g. `b"POST"`.
    target: path and query.
    headers: all headers but the body's length.
    body: the whole body.
  """

  def __init__(
      self,
      links: links_lib.Links,
      link: links_lib.Link,
      method: bytes,
      target: bytes,
      headers: list[messages.Header],
      body: bytes,
  ) -> None:
    self._links = links
    self._link = link
    self._body = body
    length = [(b"content-length", b"%d" % len(body))]
    bodiless = not body and method in (b"GET", b"HEAD", b"DELETE")
    self._request = h11.Request(
        method=method,
        target=target,
        headers=headers if bodiless else [*headers, *length],
    )
    self._parser = self._new_parser()
    self._sent = False
    self._clean = False
    """Whether the answer has been read to its very end."""
    self._idle_s: float | None = None
    self._last_use = False
    self._length = 0
    """Bytes of the answer's body, if it says so."""
    self.received = False
    """Whether any byte came back."""

  def _new_parser(self) -> h11.Connection:
    """Returns a parser that expects the answer to this request."""
    parser = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MOST_HEAD_BYTES
    )
    parser.send(self._request)
    if self._body:
      parser.send(h11.Data(data=self._body))
    parser.send(h11.EndOfMessage())
    return parser

  def _encode(self) -> bytes:
    parser = h11.Connection(h11.CLIENT)
    out = parser.send(self._request) or b""
    if self._body:
      out += parser.send(h11.Data(data=self._body)) or b""
    return out + (parser.send(h11.EndOfMessage()) or b"")

  async def start(
      self,
      decode: Callable[[int, list[messages.Header]], messages.Answer],
      request_id: str,
  ) -> messages.Answer:
    """Sends the request and returns the head of its answer.

    Answers that bear another request's id came late, where this one's
    was expected: they are passed over.

    Raises:
      errors.BadResponseError: no answer; the request may have run.
    """
    result: list[messages.Answer | errors.BadResponseError] = []

    async def _read() -> None:
      try:
        result.append(await self._read_head(decode, request_id))
      except errors.BadResponseError as exc:
        result.append(exc)

    # Read while sending: a server may answer, or refuse, a long request
    # before it has taken all of it, and would otherwise never be heard.
    async with anyio.create_task_group() as tg:
      tg.start_soon(self._send)
      await _read()
      tg.cancel_scope.cancel()
    found = result[0]
    if isinstance(found, errors.BadResponseError):
      raise found
    self._idle_s = found.idle_s
    self._last_use = found.last_use
    return found

  async def _send(self) -> None:
    try:
      await self._link.stream.send(self._encode())
      self._sent = True
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
      # The server may have answered before it closed; the reader tells.
      return

  async def _read_head(
      self,
      decode: Callable[[int, list[messages.Header]], messages.Answer],
      request_id: str,
  ) -> messages.Answer:
    rest, self._link.rest = self._link.rest, b""
    if rest:
      self._parser.receive_data(rest)
    for _ in range(_MOST_STRANGERS):
      event = await self._next_event()
      while isinstance(event, h11.InformationalResponse):
        event = await self._next_event()
      if not isinstance(event, h11.Response):
        raise errors.BadResponseError("no answer before the end")
      answer = decode(event.status_code, list(event.headers))
      if answer.request_id in (request_id, ""):
        self._length = messages.length_of(event.headers)
        return answer
      await self._pass_over(event)
    raise errors.BadResponseError("answers of other requests only")

  async def _pass_over(self, head: h11.Response) -> None:
    """Reads another request's answer to its end."""
    names = {name for name, _ in head.headers}
    if not names & {b"content-length", b"transfer-encoding"}:
      raise errors.BadResponseError("another request's answer, no length")
    while not isinstance(await self._next_event(), h11.EndOfMessage):
      pass
    rest, ended = self._parser.trailing_data
    self._parser = self._new_parser()
    if rest:
      self._parser.receive_data(rest)
    if ended:
      self._parser.receive_data(b"")

  async def _next_event(self) -> h11.Event:
    try:
      while True:
        event = self._parser.next_event()
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
          raise errors.BadResponseError("connection ended")
        if event is not h11.NEED_DATA:
          return event
        try:
          data = await self._link.stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
          data = b""
        self.received = self.received or bool(data)
        self._parser.receive_data(data)
    except _BROKEN as exc:
      raise errors.BadResponseError(repr(exc)) from exc

  async def body(self) -> AsyncIterator[bytes]:
    """Yields the answer's body; ends only where the body is whole.

    Raises:
      errors.BadResponseError: it ended before its end.
    """
    while True:
      event = await self._next_event()
      if isinstance(event, h11.Data):
        yield bytes(event.data)
      elif isinstance(event, h11.EndOfMessage):
        self._clean = True
        return

  async def read_body(self, most: int, room: Room | None = None) -> bytes:
    """Returns the whole body.

    Args:
      most: bytes that it may have.
      room: where it is held; None: it is not counted.

    Raises:
      errors.BadResponseError: it ended early, is longer than `most`, or
        there is no room for it.
    """
    out = bytearray()
    length = min(self._length, most)
    if room is not None and length and not await room.hold_whole(length):
      raise errors.BadResponseError(f"no room for {length} bytes")
    async for data in self.body():
      out += data
      if len(out) > most:
        raise errors.BadResponseError(f"body over {most} bytes")
      if room is not None and not length and not room.hold(len(data)):
        raise errors.BadResponseError(f"no room after {len(out)} bytes")
    return bytes(out)

  async def close(self) -> None:
    """Gives the connection back, or closes it after any doubt."""
    with anyio.CancelScope(shield=True):
      if self._may_reuse():
        await self._links.release(self._link, self._idle_s)
      else:
        await self._links.discard(self._link)

  def _may_reuse(self) -> bool:
    if not self._clean or not self._sent or self._last_use:
      return False
    if self._parser.their_state is not h11.DONE:
      return False  # ended with the connection
    rest, ended = self._parser.trailing_data
    return not rest and not ended
