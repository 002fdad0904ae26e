"""Connections to endpoints through another router.

A router opens a tunnel with an HTTP `CONNECT` to another router, the exit, which
connects to the endpoint and passes bytes on both ways. The request, its retries
and its bill stay with the router that opened the tunnel.

From the exit, bytes come in frames, each with its length in front. The end of the
endpoint's bytes is a frame of its own, since a response without a length is
complete only if its connection was closed and not reset.
"""

from collections.abc import Mapping
from typing import Any

import anyio
from anyio import abc
import h11

from mustardfall import errors
from mustardfall.util import sockets

LENGTH_BYTES = 4
END_FRAME = bytes(LENGTH_BYTES)
"""The endpoint has closed the connection."""
CLOSING_FRAME = b"\xff" * LENGTH_BYTES
"""The exit stops soon; the tunnel must not be used for another request."""
REASON_HEADER = b"mustardfall-reason"
REFUSED = "refused"
"""Reason of a 502: the endpoint refused the connection."""
LEAVING = "leaving"
"""Reason of a 502: the endpoint has said that it leaves."""
RESTING = "resting"
"""Reason of a 502: the endpoint has asked this exit for rest."""
REST_HEADER = b"retry-after"
"""Seconds that are left of the rest."""
BAD_GATEWAY = 502
_OK = 200
_MAX_REST_S = 86_400.0
_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 4_096


def encode_frame(data: bytes) -> bytes:
  """Returns a frame with some of the endpoint's bytes."""
  return len(data).to_bytes(LENGTH_BYTES) + data


class TunnelStream(abc.ByteStream):
  """The bytes to and from an endpoint at the end of a tunnel.

  Args:
    inner: the connection to the exit.
    received: bytes of frames that were read already.
  """

  def __init__(self, inner: abc.ByteStream, received: bytes = b"") -> None:
    self._inner = inner
    self._received = bytearray(received)
    self._left = 0
    """Bytes of the current frame that were not returned yet."""
    self._has_ended = False
    self.is_closing = False
    """Whether the exit stops soon."""

  @property
  def extra_attributes(self) -> Mapping[Any, Any]:
    """Those of the connection to the exit."""
    return self._inner.extra_attributes

  @property
  def has_unread(self) -> bool:
    """Whether bytes were read that belong to no response."""
    return bool(self._received) or self._has_ended or self.is_closing

  async def receive(self, max_bytes: int = _READ_BYTES) -> bytes:
    """Returns the endpoint's next bytes.

    Raises:
      anyio.EndOfStream: the endpoint has closed the connection.
      anyio.BrokenResourceError: the connection to the endpoint or the one to
        the exit was reset.
    """
    while not self._left and not self._has_ended:
      await self._read_length()
    if self._has_ended:
      raise anyio.EndOfStream
    if not self._received:
      await self._read()
    size = min(self._left, max_bytes, len(self._received))
    data = bytes(self._received[:size])
    del self._received[:size]
    self._left -= size
    return data

  async def _read_length(self) -> None:
    while len(self._received) < LENGTH_BYTES:
      await self._read()
    head = bytes(self._received[:LENGTH_BYTES])
    del self._received[:LENGTH_BYTES]
    if head == END_FRAME:
      self._has_ended = True
    elif head == CLOSING_FRAME:
      self.is_closing = True
    else:
      self._left = int.from_bytes(head)

  async def _read(self) -> None:
    try:
      self._received += await self._inner.receive(_READ_BYTES)
    except anyio.EndOfStream as exc:
      raise anyio.BrokenResourceError from exc

  async def send(self, item: bytes) -> None:
    """Sends bytes to the endpoint."""
    await self._inner.send(item)

  async def send_eof(self) -> None:
    """Closes the tunnel: it has no other end of the sent bytes."""
    await self.aclose()

  async def aclose(self) -> None:
    """Closes the tunnel, and so the exit's connection to the endpoint."""
    await self._inner.aclose()


@sockets.is_readable.register
def _is_readable(stream: TunnelStream) -> bool:
  return stream.has_unread or sockets.is_socket_readable(stream)


async def connect(
    exit_address: str, endpoint: str, request_id: str, timeout_s: float
) -> TunnelStream:
  """Opens a tunnel to an endpoint.

  Args:
    exit_address: `HOST:PORT` of the exit.
    endpoint: `HOST:PORT` of the endpoint.
    request_id: the request for which it is opened; for the exit's log.
    timeout_s: seconds.

  Raises:
    errors.EndpointUnreachableError: the exit did not reach the endpoint.
    errors.ExitUnavailableError: the exit is not reached, or opens no tunnel.
  """
  try:
    with anyio.fail_after(timeout_s):
      inner = await sockets.connect(exit_address, timeout_s)
      try:
        return await _open(inner, endpoint, request_id)
      except BaseException:
        with anyio.CancelScope(shield=True):
          await anyio.aclose_forcefully(inner)
        raise
  except (OSError, anyio.BrokenResourceError, h11.ProtocolError) as exc:
    raise errors.ExitUnavailableError(f"{exit_address}: {exc!r}") from exc


async def _open(
    inner: abc.ByteStream, endpoint: str, request_id: str
) -> TunnelStream:
  parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
  headers = [("host", endpoint), ("request-id", request_id)]
  request = h11.Request(method="CONNECT", target=endpoint, headers=headers)
  await inner.send(
      (parser.send(request) or b"") + (parser.send(h11.EndOfMessage()) or b"")
  )
  while (event := parser.next_event()) is h11.NEED_DATA:
    try:
      parser.receive_data(await inner.receive(_READ_BYTES))
    except anyio.EndOfStream:
      parser.receive_data(b"")
  if isinstance(event, h11.Response):
    if event.status_code == _OK:
      return TunnelStream(inner, parser.trailing_data[0])
    reason = dict(event.headers).get(REASON_HEADER, b"").decode("latin-1")
    if event.status_code == BAD_GATEWAY and reason in (LEAVING, RESTING):
      rest = dict(event.headers).get(REST_HEADER, b"")
      raise errors.EndpointWithheldError(reason, _parse_rest_s(rest))
    if event.status_code == BAD_GATEWAY:
      raise errors.EndpointUnreachableError(
          f"{endpoint} through another router: {reason}", reason == REFUSED
      )
    raise errors.ExitUnavailableError(f"{event.status_code} {reason}")
  raise errors.ExitUnavailableError("connection ended")


def _parse_rest_s(value: bytes) -> float:
  try:
    seconds = float(value)
  except ValueError:
    return 0.0
  return seconds if 0.0 <= seconds <= _MAX_REST_S else 0.0
