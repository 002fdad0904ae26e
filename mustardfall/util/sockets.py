"""TCP connections that detect a silent peer, and ports bound with retries."""

from collections.abc import Awaitable, Callable
import functools
import logging
import select
import socket
from typing import NamedTuple, Protocol, TypeVar

import anyio
from anyio import abc

from mustardfall.util import tcp

logger = logging.getLogger(__name__)

_LISTEN_BACKLOG = 512
_ACCEPT_RETRY_S = 0.1
"""Pause after accepting a connection failed. Without free descriptors the call
fails immediately each time, until some are free."""
_BIND_RETRY_INTERVAL_S = 1.0
"""Time between two attempts to bind a port."""
_TCP_USER_TIMEOUT_MS = 1_500
"""Time after which a connection with unacknowledged bytes is closed. A host
that loses power or its network answers nothing, and by default the kernel waits
for many minutes. Within a region an acknowledgement takes milliseconds, so
that this allows for several lost packets."""
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
"""With the two values above, an idle connection to a silent peer is closed
after 3 s."""

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
)


_Opened = TypeVar("_Opened")


class BufferSizes(NamedTuple):
  """Sizes of a socket's buffers, in bytes; the system doubles them.

  They bound what the system keeps for a peer that does not read, or for a
  process that does not.
  """

  receive: int
  send: int | None = None
  """None: the system's default."""


async def bind_with_retry(
    purpose: str, port: int, bind: Callable[[], Awaitable[_Opened]]
) -> _Opened:
  """Binds a port, retrying as long as that fails.

  The previous process or another program may hold the port. If this process
  exited instead, it would be restarted and would find the port still in use.

  Args:
    purpose: what the port is for; logged.
    port: the port number; logged.
    bind: binds the port; raises OSError on failure.
  """
  last_error = ""
  while True:
    try:
      return await bind()
    except OSError as exc:
      if str(exc) != last_error:
        last_error = str(exc)
        logger.error(
            "port not open",
            extra={"serves": purpose, "port": port, "error": last_error},
        )
    await anyio.sleep(_BIND_RETRY_INTERVAL_S)


def find_free_port(
    purpose: str, host: str, kind: socket.SocketKind, ports: range
) -> int:
  """Returns the first port that no other process holds.

  Args:
    purpose: what the port is for; logged.
    host: the address that it will be bound to.
    kind: `SOCK_STREAM` or `SOCK_DGRAM`.
    ports: the ports to try, in this order.

  Returns:
    The first port if none is free; see `bind_with_retry`.
  """
  for port in ports:
    with socket.socket(socket.AF_INET, kind) as tried:
      if kind == socket.SOCK_STREAM:
        # As for listeners: connections of the process before are no obstacle.
        tried.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
      try:
        tried.bind((host, port))
      except OSError as exc:
        extra = {"serves": purpose, "port": port, "error": str(exc)}
        logger.warning("port taken", extra=extra)
        continue
    return port
  return ports[0]


async def listen(
    purpose: str, host: str, port: int, buffers: BufferSizes | None = None
) -> list[abc.SocketListener]:
  """Returns listeners for a TCP port; see `bind_with_retry`.

  Args:
    purpose: what the port is for; logged.
    host: the address.
    port: the port number.
    buffers: of each accepted connection; None: the system's default.
  """

  async def _bind() -> list[abc.SocketListener]:
    multi_listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port, backlog=_LISTEN_BACKLOG
    )
    listeners = list(multi_listener.listeners)
    for listener in listeners if buffers is not None else ():
      set_buffer_sizes(listener, buffers)
    return listeners

  return await bind_with_retry(purpose, port, _bind)


def set_buffer_sizes(
    opened: abc.SocketListener | abc.ByteStream, sizes: BufferSizes
) -> None:
  """Sets the sizes of a connection's buffers, or of those accepted later."""
  sock = opened.extra(abc.SocketAttribute.raw_socket)
  try:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, sizes.receive)
    if sizes.send is not None:
      sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sizes.send)
  except OSError as exc:
    extra = {"sizes": sizes._asdict(), "error": str(exc)}
    logger.warning("buffer sizes not set", extra=extra)


def split_address(address: str) -> tuple[str, int]:
  """Splits `HOST:PORT` into host and port."""
  host, _, port = address.rpartition(":")
  return host, int(port)


async def connect(address: str, timeout_s: float) -> tcp.TcpStream:
  """Opens a connection to `HOST:PORT`.

  Raises:
    OSError: the connection failed; a TimeoutError after `timeout_s`.
  """
  host, port = split_address(address)
  with anyio.fail_after(timeout_s):
    stream = await tcp.connect(host, port)
  detect_silence(stream)
  return stream


def detect_silence(stream: abc.ByteStream) -> None:
  """Makes a connection fail soon after its peer has fallen silent."""
  sock = stream.extra(abc.SocketAttribute.raw_socket)
  for option in _SOCKET_OPTIONS:
    sock.setsockopt(*option)


class AcceptQueue(Protocol):
  """Closes connections that wait too long; see `util.accept_queue`."""

  def shed(self) -> None:
    """Closes connections that wait if there are too many."""

  def note_accepted(self) -> None:
    """Records that a connection was accepted."""


async def accept(
    purpose: str,
    listener: abc.SocketListener,
    serve: Callable[[tcp.TcpStream], Awaitable[None]],
    tasks: abc.TaskGroup,
    queue: AcceptQueue | None = None,
) -> None:
  """Accepts connections until cancelled, also after a failed accept.

  Those that wait when it is cancelled are served too, if `tasks` still runs.

  Args:
    purpose: what the port is for; logged.
    listener: the open port.
    serve: serves one connection.
    tasks: runs `serve` for each connection.
    queue: closes connections that wait too long; None: they wait.
  """
  listening = listener.extra(abc.SocketAttribute.raw_socket)
  async with listener:
    try:
      while True:
        if queue is not None:
          queue.shed()
        try:
          stream = await tcp.accept(listening)
        except OSError as exc:
          logger.warning(
              "connection not accepted",
              extra={"serves": purpose, "error": str(exc)},
          )
          await anyio.sleep(_ACCEPT_RETRY_S)
          continue
        if queue is not None:
          queue.note_accepted()
        tasks.start_soon(serve, stream)
    finally:
      for stream in tcp.accept_waiting(listening):
        tasks.start_soon(serve, stream)


def is_refused(exc: BaseException | None) -> bool:
  """Whether an error is due to a refused connection (no listener)."""
  while exc is not None:
    if isinstance(exc, ConnectionRefusedError):
      return True
    exc = exc.__cause__
  return False


@functools.singledispatch
def is_readable(stream: abc.ByteStream) -> bool:
  """Whether a connection has unread bytes or was closed by the peer."""
  return is_socket_readable(stream)


def is_socket_readable(stream: abc.ByteStream) -> bool:
  """Whether a connection's socket has unread bytes or was closed."""
  return is_ready(stream.extra(abc.SocketAttribute.raw_socket))


def is_ready(sock: socket.socket) -> bool:
  """Whether a socket has unread bytes, waiting connections or was closed."""
  poll = select.poll()
  poll.register(sock.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
  return bool(poll.poll(0))
