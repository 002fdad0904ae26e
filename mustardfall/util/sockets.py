"""Connections that notice a silent peer, and ports that are waited for."""

from collections.abc import Awaitable, Callable
import logging
import select
import socket
from typing import TypeVar

import anyio
from anyio import abc

logger = logging.getLogger(__name__)

_BACKLOG = 512
_OPEN_AGAIN_S = 1.0
"""Between two tries to open a port that is taken."""
_USER_TIMEOUT_MS = 1_500
"""Sent bytes unacknowledged for this long end the connection. A host that
loses power or is cut off answers nothing at all, and the kernel's default
waits for many minutes; within a data centre region an acknowledgement
takes milliseconds, so this leaves room for several lost packets."""
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
"""With the two above: a silent connection that only waits ends in 3 s."""

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


_Opened = TypeVar("_Opened")


async def bind_with_retry(
    what: str, port: int, create: Callable[[], Awaitable[_Opened]]
) -> _Opened:
  """Opens a port as soon as it can be had.

  The process before may still hold it, or another program that was there
  first. Ending would only have the process started again, to find the same.

  Args:
    what: what the port serves, for the log.
    port: its number.
    create: opens it; raises OSError while it can't.
  """
  refused = ""
  while True:
    try:
      return await create()
    except OSError as exc:
      if str(exc) != refused:
        refused = str(exc)
        logger.error(
            "port not open",
            extra={"serves": what, "port": port, "error": refused},
        )
    await anyio.sleep(_OPEN_AGAIN_S)


async def listen(what: str, host: str, port: int) -> list[abc.SocketListener]:
  """Returns listeners for a TCP port; see `open_port`."""

  async def _create() -> list[abc.SocketListener]:
    found = await anyio.create_tcp_listener(
        local_host=host, local_port=port, backlog=_BACKLOG
    )
    return list(found.listeners)

  return await bind_with_retry(what, port, _create)


def split_address(address: str) -> tuple[str, int]:
  """Returns host and port of `HOST:PORT`."""
  host, _, port = address.rpartition(":")
  return host, int(port)


async def connect(address: str, timeout_s: float) -> abc.SocketStream:
  """Opens a connection to `HOST:PORT`.

  Raises:
    OSError: refused, or not answered in time (TimeoutError).
  """
  host, port = split_address(address)
  with anyio.fail_after(timeout_s):
    stream = await anyio.connect_tcp(host, port)
  raw = stream.extra(abc.SocketAttribute.raw_socket)
  for option in _OPTIONS:
    raw.setsockopt(*option)
  return stream


def is_refused(exc: BaseException | None) -> bool:
  """Whether a connection was refused, since nobody listens on its port."""
  while exc is not None:
    if isinstance(exc, ConnectionRefusedError):
      return True
    exc = exc.__cause__
  return False


def is_readable(stream: abc.SocketStream) -> bool:
  """Whether bytes, or the peer's close, wait on an idle connection."""
  raw = stream.extra(abc.SocketAttribute.raw_socket)
  poll = select.poll()
  poll.register(raw.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
  return bool(poll.poll(0))
