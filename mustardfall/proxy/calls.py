"""Short calls with whole answers: to the store and to other routers."""

from typing import NamedTuple

import anyio

from mustardfall import errors
from mustardfall import overhead as overhead_lib
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import links as links_lib
from mustardfall.proxy import messages

_MOST_BYTES = 4_194_304
"""Several times a page of the store, and the list of 4,900 endpoints."""
_CONNECT_SHARE = 0.6
"""Part of a call's time that opening a connection may take."""
_SILENCE_S = 0.45
"""An answer that has begun is given up after a pause of this length."""
_MOST_TRANSFER_S = 4.0
"""Longest that the rest of an answer may take: 2.5 MB at 5 Mbit/s."""


class Reply(NamedTuple):
  """A call's answer."""

  status: int
  body: bytes


class Caller:
  """Makes calls over kept connections.

  Args:
    links: the connections.
    overhead: told of each call.
    headers: sent with each call.
  """

  def __init__(
      self,
      links: links_lib.Links,
      overhead: overhead_lib.Overhead,
      headers: tuple[messages.Header, ...] = (),
  ) -> None:
    self._links = links
    self._overhead = overhead
    self._headers = headers
    self.calls = 0

  async def call(
      self,
      address: str,
      method: str,
      target: str,
      body: bytes,
      timeout_s: float,
  ) -> Reply:
    """Returns the answer to one call.

    Args:
      address: `HOST:PORT`.
      method: the HTTP method.
      target: path and query.
      body: sent as it is.
      timeout_s: seconds until the answer begins; from then on the call goes
        on for as long as bytes arrive.

    Raises:
      errors.EndpointUnreachableError: not sent.
      errors.BadResponseError: sent, and no whole answer came in time.
    """
    self.calls += 1
    size = len(body)
    deadline = anyio.current_time() + timeout_s
    link = await self._links.acquire(address, timeout_s * _CONNECT_SHARE)
    headers = [
        (b"host", address.encode()),
        (b"content-type", b"application/json"),
        *self._headers,
    ]
    exchange = exchange_lib.Exchange(
        self._links, link, method.encode(), target.encode(), headers, body
    )
    try:
      with anyio.CancelScope(deadline=deadline) as scope:
        answer = await exchange.start(_decode_answer, "")
        content = await _read_content(exchange, scope)
        size += len(content)
        return Reply(answer.status, content)
    finally:
      self._overhead.note(overhead_lib.name_call(target), size)
      await exchange.close()
    assert scope.cancelled_caught
    raise errors.BadResponseError(f"{target}: no answer in {timeout_s} s")


async def _read_content(
    exchange: exchange_lib.Exchange, scope: anyio.CancelScope
) -> bytes:
  """Returns an answer's body; moves the deadline on while bytes arrive."""
  ends = anyio.current_time() + _MOST_TRANSFER_S
  content = bytearray()
  async for data in exchange.body():
    content += data
    if len(content) > _MOST_BYTES:
      raise errors.BadResponseError(f"body over {_MOST_BYTES} bytes")
    silent_at = anyio.current_time() + _SILENCE_S
    scope.deadline = min(ends, max(scope.deadline, silent_at))
  return bytes(content)


def _decode_answer(
    status: int, headers: list[messages.Header]
) -> messages.Answer:
  last_use = any(
      name == b"connection" and b"close" in value for name, value in headers
  )
  return messages.Answer(
      status=status,
      request_id="",
      signed=False,
      not_run=False,
      misdirected=False,
      encoded=False,
      events=False,
      load=None,
      idle_s=None,
      last_use=last_use,
      headers=(),
  )
