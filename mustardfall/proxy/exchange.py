"""An HTTP exchange: one request on one connection, and its response.

The connection is released for reuse only after a response that was read to its
end; in all other cases it is closed.
"""

import collections
from collections.abc import AsyncIterator, Callable
import logging
import math
from typing import Any, Protocol

import anyio
from anyio import lowlevel
import h11

from mustardfall import errors
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import heads
from mustardfall.proxy import messages

logger = logging.getLogger(__name__)

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
_MAX_HEAD_S = 2.0
"""Longest time from the first byte of a head, or of trailers, to the last. They
fit into a few packets, and lost ones arrive within about a second."""
_RESPONSE_START = b"HTTP/1."
_MAX_INFORMATIONAL_RESPONSES = 16
"""Informational (1xx) responses that are skipped before the final one."""
_MAX_SKIPPED_BYTES = 1_048_576
"""Bytes of a body that is not used: of a response to another request."""
_MAX_DRAINED_BYTES = 65_536
_MAX_DRAIN_S = 0.05
"""Bytes and time for the rest of a response that is not used, in order to keep
the connection."""
_MAX_INLINE_BYTES = 32_768
"""Longest request that is sent before its response is read. It fits into the
buffers of the process and the kernel, so that sending it does not wait for the
server."""
_MIN_CHUNK_BYTES = 8
_MIN_WHOLE_BODY_CHUNK_BYTES = 512
"""Bytes that the chunks of a stream, or of another body, hold on average at
least: each costs some 20 us of processor time."""
_MIN_COUNTED_CHUNKS = 4_096
"""Chunks from which that is checked."""
_YIELD_EVENTS = 64
"""Parts of a response after which other tasks run, also if more were received."""
_MAX_FOREIGN_RESPONSES = 4
"""Responses to other requests that are skipped on one connection. More of them
are not late responses: the server's responses no longer match its requests."""

_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    h11.RemoteProtocolError,
)


class MemoryLimiter(Protocol):
  """Limits the memory of buffered response bodies."""

  def hold(self, size: int) -> bool:
    """Allocates `size` more bytes; returns False if they are not free now."""

  async def hold_whole(self, size: int) -> bool:
    """Allocates `size` bytes once they are free; returns False if never."""


class Exchange:
  """Sends a request on a connection and reads the response.

  Args:
    connection_pool: the pool to which the connection is returned.
    connection: the connection; owned by the exchange until `close`.
    method: e.g. `b"POST"`.
    target: path and query.
    headers: all headers except Content-Length.
    body: the complete body.
  """

  def __init__(
      self,
      connection_pool: connection_pool_lib.ConnectionPool,
      connection: connection_pool_lib.Connection,
      method: bytes,
      target: bytes,
      headers: list[messages.Header],
      body: bytes,
  ) -> None:
    self._connection_pool = connection_pool
    self._connection = connection
    self._body = body
    length = [(b"content-length", b"%d" % len(body))]
    bodiless = not body and method in (b"GET", b"HEAD", b"DELETE")
    self._request = h11.Request(
        method=method,
        target=target,
        headers=headers if bodiless else [*headers, *length],
    )
    self._parser, self._encoded = self._new_parser()
    self._pieces: collections.deque[bytes] = collections.deque()
    """Received bytes that the parser has not got, see `heads.split_blanks`."""
    self._sent = False
    self._is_complete = False
    """Whether the response has been read to its end."""
    self._idle_timeout_s: float | None = None
    self._closes_connection = False
    self._content_length = 0
    """Content-Length of the response; 0 if there is none."""
    self._events = 0
    """Parts of the response that were parsed."""
    self._body_bytes = 0
    self._body_chunks = 0
    self._min_chunk_bytes = _MIN_CHUNK_BYTES
    self.received = False
    """Whether any byte was received."""
    self.ends_with_connection = False
    """Whether the response has neither a length nor chunks, so that one that was
    broken off may look complete."""

  def _new_parser(self) -> tuple[h11.Connection, bytes]:
    """Returns a parser of the response to this request, and the request."""
    parser = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
    )
    out = parser.send(self._request) or b""
    if self._body:
      out += parser.send(h11.Data(data=self._body)) or b""
    return parser, out + (parser.send(h11.EndOfMessage()) or b"")

  async def start(
      self,
      decode: Callable[[int, list[messages.Header]], messages.ResponseHead],
      request_id: str,
  ) -> messages.ResponseHead:
    """Sends the request and returns the head of its response.

    A response that bears another request's id is a late response to an
    earlier request on this connection; it is skipped.

    Raises:
      errors.InvalidResponseError: there is no response; the request may have
        run.
    """
    if len(self._encoded) <= _MAX_INLINE_BYTES:
      await self._send()
      head = await self._read_head(decode, request_id)
    else:
      head = await self._send_and_read_head(decode, request_id)
    self._idle_timeout_s = head.idle_timeout_s
    self._closes_connection = head.closes_connection
    return head

  async def _send_and_read_head(
      self,
      decode: Callable[[int, list[messages.Header]], messages.ResponseHead],
      request_id: str,
  ) -> messages.ResponseHead:
    """Sends a long request and returns the head of its response; see `start`."""
    result: list[messages.ResponseHead | errors.InvalidResponseError] = []

    async def _read() -> None:
      try:
        result.append(await self._read_head(decode, request_id))
      except errors.InvalidResponseError as exc:
        result.append(exc)

    # Read while sending: a server may respond to a long request, or refuse it,
    # before it has read all of it. Its response would otherwise be missed.
    async with anyio.create_task_group() as tg:
      tg.start_soon(self._send)
      await _read()
      tg.cancel_scope.cancel()
    head_or_error = result[0]
    if isinstance(head_or_error, errors.InvalidResponseError):
      raise head_or_error
    return head_or_error

  async def _send(self) -> None:
    encoded, self._encoded = self._encoded, b""  # a copy of the body
    try:
      await self._connection.stream.send(encoded)
      self._sent = True
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
      # The server may have responded before it closed; `_read_head` finds out.
      return

  async def _read_head(
      self,
      decode: Callable[[int, list[messages.Header]], messages.ResponseHead],
      request_id: str,
  ) -> messages.ResponseHead:
    rest, self._connection.rest = self._connection.rest, b""
    if rest:
      self._parser.receive_data(rest)
    for _ in range(_MAX_FOREIGN_RESPONSES):
      event = await self._final_head()
      if not isinstance(event, h11.Response):
        raise errors.InvalidResponseError("connection ended before a response")
      head = decode(event.status_code, list(event.headers))
      if head.request_id in (request_id, ""):
        self._content_length = messages.content_length(event.headers)
        self.ends_with_connection = not _has_framing(event)
        return head
      await self._skip_response(event)
    raise errors.InvalidResponseError("responses to other requests only")

  async def _final_head(self) -> h11.Event:
    """Returns the first event that is no informational response."""
    for _ in range(_MAX_INFORMATIONAL_RESPONSES + 1):
      event = await self._next_event(is_head=True)
      if not isinstance(event, h11.InformationalResponse):
        return event
    raise errors.InvalidResponseError("informational responses only")

  async def _skip_response(self, head: h11.Response) -> None:
    """Reads the response to another request to its end."""
    if not _has_framing(head):
      raise errors.InvalidResponseError(
          "response to another request, without length"
      )
    skipped = 0
    while not isinstance(event := await self._next_event(), h11.EndOfMessage):
      skipped += len(event.data) if isinstance(event, h11.Data) else 0
      if skipped > _MAX_SKIPPED_BYTES:
        raise errors.InvalidResponseError(
            "response to another request, endless"
        )
    rest, ended = self._parser.trailing_data
    self._parser, _ = self._new_parser()
    if rest:
      self._parser.receive_data(rest)
    if ended:
      self._parser.receive_data(b"")

  async def _next_event(self, is_head: bool = False) -> h11.Event:
    """Returns the next part of the response.

    Raises:
      errors.InvalidResponseError: the connection ended, or what arrives is no
        response, or its head or trailers do not end.
    """
    self._events += 1
    if self._events % _YIELD_EVENTS == 0:
      await lowlevel.checkpoint()
    due_at = math.inf
    try:
      while (event := self._parse(is_head)) is h11.NEED_DATA:
        if self._has_begun(is_head):
          due_at = min(due_at, anyio.current_time() + _MAX_HEAD_S)
        if not self._pieces:
          data = await self._receive(due_at)
          self.received = self.received or bool(data)
          self._pieces.extend(heads.split_blanks(data))
        self._parser.receive_data(self._pieces.popleft())
    except _CONNECTION_ERRORS as exc:
      raise errors.InvalidResponseError(repr(exc)) from exc
    if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
      raise errors.InvalidResponseError("connection ended")
    return event

  def _parse(self, is_head: bool) -> Any:
    """Returns the next event of the parser.

    Raises:
      errors.InvalidResponseError: the head is invalid.
    """
    if is_head:
      fault = heads.find_fault(self._parser.trailing_data[0])
      if fault:
        raise errors.InvalidResponseError(fault)
    return self._parser.next_event()

  def _has_begun(self, is_head: bool) -> bool:
    """Whether a head, trailers or a chunk's length has begun and not ended.

    Raises:
      errors.InvalidResponseError: the bytes are not the begin of a response, or
        trailers or a chunk's header are too long.
    """
    begun = self._parser.trailing_data[0]
    size = min(len(begun), len(_RESPONSE_START))
    if is_head and begun[:size] != _RESPONSE_START[:size]:
      raise errors.InvalidResponseError("bytes that are no response")
    if not is_head and len(begun) > heads.MAX_LINE_BYTES:
      raise errors.InvalidResponseError("trailers or chunk header too long")
    return bool(begun)

  async def _receive(self, due_at: float) -> bytes:
    """Returns the next bytes; none if the server has closed the connection.

    Raises:
      errors.InvalidResponseError: none arrive until `due_at`.
    """
    try:
      if due_at == math.inf:
        return await self._connection.stream.receive(_READ_BYTES)
      with anyio.CancelScope(deadline=due_at):
        return await self._connection.stream.receive(_READ_BYTES)
    except anyio.EndOfStream:
      return b""
    raise errors.InvalidResponseError(f"head not whole in {_MAX_HEAD_S} s")

  async def body(self) -> AsyncIterator[bytes]:
    """Yields the response body; returns only after the complete body.

    Raises:
      errors.InvalidResponseError: the body was cut off.
    """
    while True:
      event = await self._next_event()
      if isinstance(event, h11.Data):
        self._count_chunk(len(event.data))
        yield bytes(event.data)
      elif isinstance(event, h11.EndOfMessage):
        self._is_complete = True
        return

  def _count_chunk(self, size: int) -> None:
    """Counts a part of the body.

    Raises:
      errors.InvalidResponseError: the body consists of too many small chunks.
    """
    self._body_bytes += size
    self._body_chunks += 1
    if self._body_chunks < _MIN_COUNTED_CHUNKS:
      return
    if self._body_bytes < self._body_chunks * self._min_chunk_bytes:
      raise errors.InvalidResponseError(
          f"{self._body_bytes} bytes in {self._body_chunks} chunks"
      )

  async def drain(self) -> None:
    """Reads the rest of a response that is not used, if it arrives at once.

    Otherwise the connection is not reused.
    """
    drained = 0
    with anyio.move_on_after(_MAX_DRAIN_S):
      try:
        async for data in self.body():
          drained += len(data)
          if drained > _MAX_DRAINED_BYTES:
            return
      except errors.InvalidResponseError as exc:
        logger.info("rest of a response not read", extra={"why": str(exc)})

  async def read_body(
      self, max_bytes: int, memory: MemoryLimiter | None = None
  ) -> bytes:
    """Returns the complete response body.

    Args:
      max_bytes: the largest size allowed.
      memory: limits the memory of the body; None for no limit.

    Raises:
      errors.InvalidResponseError: the body was cut off, is longer than
        `max_bytes`, or does not fit into `memory`.
    """
    out = bytearray()
    self._min_chunk_bytes = _MIN_WHOLE_BODY_CHUNK_BYTES
    if self._content_length > max_bytes:
      raise errors.InvalidResponseError(
          f"response body of {self._content_length} bytes"
      )
    length = min(self._content_length, max_bytes)
    if memory is not None and length and not await memory.hold_whole(length):
      raise errors.InvalidResponseError(
          f"no memory for a response body of {length} bytes"
      )
    async for data in self.body():
      out += data
      if len(out) > max_bytes:
        raise errors.InvalidResponseError(
            f"response body over {max_bytes} bytes"
        )
      if memory is not None and not length and not memory.hold(len(data)):
        raise errors.InvalidResponseError(
            f"no memory for the response body after {len(out)} bytes"
        )
    return bytes(out)

  async def close(self) -> None:
    """Returns the connection to the pool if it is reusable, or closes it."""
    with anyio.CancelScope(shield=True):
      if self._may_reuse():
        await self._connection_pool.release(
            self._connection, self._idle_timeout_s
        )
      else:
        await self._connection_pool.discard(self._connection)

  def _may_reuse(self) -> bool:
    if not self._is_complete or not self._sent or self._closes_connection:
      return False
    if self._parser.their_state is not h11.DONE:
      return False  # the body ended with the connection
    rest, ended = self._parser.trailing_data
    return not rest and not ended and not self._pieces


def _has_framing(head: h11.Response) -> bool:
  """Whether a response has a length or comes in chunks."""
  names = {name for name, _ in head.headers}
  return bool(names & {b"content-length", b"transfer-encoding"})
