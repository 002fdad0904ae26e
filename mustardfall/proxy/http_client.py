"""An HTTP client for short calls to the store and to other routers."""

from typing import NamedTuple

import anyio

from mustardfall import errors
from mustardfall import overhead as overhead_lib
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import messages

_MAX_BODY_BYTES = 4_194_304
"""Largest response body: several times a page of the store, and larger than the
list of 4,900 endpoints."""
_MAX_HELD_BYTES = 3 * _MAX_BODY_BYTES
"""Most bytes of responses that are being received by one client altogether."""
_CONNECT_TIMEOUT_SHARE = 0.6
"""Share of a call's timeout that opening a connection may take."""
_READ_TIMEOUT_S = 0.45
"""Longest pause in a response that has begun, before the call is given up."""
_MAX_TRANSFER_S = 4.0
"""Longest that the body of a response may take: 2.5 MB at 5 Mbit/s."""


class Response(NamedTuple):
  """The response to a call."""

  status: int
  body: bytes


class HttpClient:
  """Makes calls over pooled connections.

  Args:
    connection_pool: the connections.
    overhead: counts each call and its bytes.
    headers: sent with each call.
  """

  def __init__(
      self,
      connection_pool: connection_pool_lib.ConnectionPool,
      overhead: overhead_lib.Overhead,
      headers: tuple[messages.Header, ...] = (),
  ) -> None:
    self._connection_pool = connection_pool
    self._overhead = overhead
    self._headers = headers
    self.calls = 0
    self._held_bytes = 0
    """Bytes of responses that are being received."""

  async def call(
      self,
      address: str,
      method: str,
      target: str,
      body: bytes,
      timeout_s: float,
  ) -> Response:
    """Makes one call and returns the response.

    Args:
      address: `HOST:PORT`.
      method: the HTTP method.
      target: path and query.
      body: sent unchanged.
      timeout_s: seconds until the response begins; after that the call
        continues while bytes arrive, for `_MAX_TRANSFER_S` at most.

    Raises:
      errors.EndpointUnreachableError: the call was not sent.
      errors.InvalidResponseError: the call was sent, and no complete response
        arrived in time, or there is no memory for it.
    """
    self.calls += 1
    size = len(body)
    deadline = anyio.current_time() + timeout_s
    connection = await self._connection_pool.acquire(
        address, timeout_s * _CONNECT_TIMEOUT_SHARE
    )
    headers = [
        (b"host", address.encode()),
        (b"content-type", b"application/json"),
        *self._headers,
    ]
    exchange = exchange_lib.Exchange(
        self._connection_pool,
        connection,
        method.encode(),
        target.encode(),
        headers,
        body,
    )
    try:
      with anyio.CancelScope(deadline=deadline) as scope:
        head = await exchange.start(_decode_response, "")
        content = await self._read_content(exchange, scope)
        size += len(content)
        return Response(head.status, content)
    finally:
      self._overhead.record(overhead_lib.call_kind(target), size)
      await exchange.close()
    assert scope.cancelled_caught
    raise errors.InvalidResponseError(f"{target}: no response in {timeout_s} s")

  async def _read_content(
      self, exchange: exchange_lib.Exchange, scope: anyio.CancelScope
  ) -> bytes:
    """Returns the response body; extends the deadline while bytes arrive."""
    transfer_deadline = anyio.current_time() + _MAX_TRANSFER_S
    content = bytearray()
    try:
      async for data in exchange.body():
        content += data
        self._held_bytes += len(data)
        self._check_size(len(content))
        read_deadline = anyio.current_time() + _READ_TIMEOUT_S
        scope.deadline = min(
            transfer_deadline, max(scope.deadline, read_deadline)
        )
      return bytes(content)
    finally:
      self._held_bytes -= len(content)

  def _check_size(self, size: int) -> None:
    """Checks the size of a response body that is being received.

    Raises:
      errors.InvalidResponseError: it, or all of them together, are too large.
    """
    if size > _MAX_BODY_BYTES:
      raise errors.InvalidResponseError(
          f"response body over {_MAX_BODY_BYTES} bytes"
      )
    if self._held_bytes > _MAX_HELD_BYTES:
      raise errors.InvalidResponseError(
          f"no memory for a response, {self._held_bytes} bytes held"
      )


def _decode_response(
    status: int, headers: list[messages.Header]
) -> messages.ResponseHead:
  closes_connection = any(
      name == b"connection" and b"close" in value for name, value in headers
  )
  return messages.ResponseHead(
      status=status,
      request_id="",
      signed=False,
      not_run=False,
      misdirected=False,
      has_content_encoding=False,
      is_event_stream=False,
      load=None,
      rate_limit=None,
      brittle=None,
      idle_timeout_s=None,
      closes_connection=closes_connection,
      headers=(),
  )
