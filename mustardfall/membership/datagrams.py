"""UDP datagrams between routers, for information that is soon outdated.

A lost datagram is superseded by the next one, and nothing waits for an answer
for more than some ms.
"""

from collections.abc import Callable, Iterable
import enum
import logging

import anyio
from anyio import lowlevel

from mustardfall import overhead as overhead_lib
from mustardfall.membership import members as members_lib
from mustardfall.util import sockets
from mustardfall.util import udp as udp_lib

logger = logging.getLogger(__name__)

_MALFORMED = (
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Exceptions that decoding a malformed datagram may raise."""
_SENDS_PER_TURN = 8
"""Datagrams to many receivers after which other tasks run. Each takes up to
0.5 ms, and a fleet has hundreds of routers."""
_MAX_PORTS = 2_000
"""More than the number of routers in the largest fleet."""


class Kind(enum.Enum):
  """The kind of a datagram; the value is its first byte."""

  LOADS = b"l"
  NOTICE = b"n"
  SURVEY = b"q"
  STANDING = b"a"
  TRACK = b"t"
  SUSPECT = b"s"
  VERDICT = b"v"
  RATE_LIMIT = b"r"
  PERMIT_ASK = b"p"
  PERMIT_ANSWER = b"g"
  FOLLOW = b"f"
  BRITTLE = b"b"
  LEASES = b"k"
  EXIT_ASK = b"x"
  EXIT_ANSWER = b"y"
  STREAM_RECORD = b"e"
  STREAM_CONFIRM = b"c"
  STREAM_ASK = b"w"
  STREAM_ANSWER = b"z"
  STATEMENT = b"d"


Handler = Callable[[bytes], None]
"""Handles a datagram's payload; raises one of `_MALFORMED` if it is invalid."""
SenderHandler = Callable[[bytes, str], None]
"""A handler that also takes the sender's address."""


class Datagrams:
  """Sends and receives on one UDP port.

  Args:
    host: this router's address.
    port: the UDP port, which is that of all routers that name no other; 0
      disables datagrams.
    overhead: counts each datagram.
  """

  def __init__(
      self, host: str, port: int, overhead: overhead_lib.Overhead
  ) -> None:
    self._host = host
    self._port = port
    self._overhead = overhead
    self._handlers: dict[bytes, SenderHandler] = {}
    self._ports: dict[str, int] = {}
    """Ports other than `port` of routers heard from, by their address."""
    self._heard_at: dict[str, float] = {}
    """When routers were last heard from, monotonic seconds, by their address."""
    self._udp: udp_lib.UdpSocket | None = None

  @property
  def is_open(self) -> bool:
    """Whether the socket is open."""
    return self._udp is not None

  def heard_s(self, member: members_lib.Member | None = None) -> float:
    """Returns the seconds since a router was heard from; None: any router."""
    if member is None:
      heard_at = max(self._heard_at.values(), default=-float("inf"))
    else:
      heard_at = self._heard_at.get(host_of(member), -float("inf"))
    return anyio.current_time() - heard_at

  def connect(self, kind: Kind, handler: Handler) -> None:
    """Registers the handler of a kind of datagram."""
    self.connect_with_sender(kind, lambda content, sender: handler(content))

  def connect_with_sender(self, kind: Kind, handler: SenderHandler) -> None:
    """Registers a handler that needs the sender's address to answer it."""
    self._handlers[kind.value] = handler

  async def send(
      self, kind: Kind, content: bytes, receivers: Iterable[members_lib.Member]
  ) -> None:
    """Sends `content` to each of `receivers`; failures are ignored."""
    for number, member in enumerate(receivers, 1):
      self.enqueue(kind, content, member)
      if number % _SENDS_PER_TURN == 0:
        await lowlevel.checkpoint()

  def enqueue(
      self, kind: Kind, content: bytes, member: members_lib.Member
  ) -> None:
    """Sends `content` to a router without waiting; failures are ignored."""
    host = host_of(member)
    if host:
      self._send(kind, content, host, member.load_port or self._port)

  def enqueue_to(self, kind: Kind, content: bytes, host: str) -> None:
    """Sends `content`, without waiting, to an address that was heard from."""
    self._send(kind, content, host, self._ports.get(host, self._port))

  def _send(self, kind: Kind, content: bytes, host: str, port: int) -> None:
    udp = self._udp
    if udp is None:
      return
    raw = kind.value + content
    self._overhead.record(f"{kind.name.lower()} told", len(raw))
    try:
      udp.send(raw, host, port)
    except (OSError, ValueError) as exc:
      logger.debug("datagram not sent to %s: %r", host, exc)

  async def run(self) -> None:
    """Sends and receives until cancelled or the socket closes.

    `accounts.supervise` then runs it again, which reopens the port.
    """
    if not self._port:
      await anyio.sleep_forever()

    async def _open() -> udp_lib.UdpSocket:
      return await udp_lib.open_socket(self._host, self._port, self._receive)

    async with await sockets.bind_with_retry(
        "datagrams", self._port, _open
    ) as udp:
      self._udp = udp
      try:
        await udp.wait_until_closed()
      finally:
        self._udp = None

  def _receive(self, raw: bytes, sender: tuple[str, int]) -> None:
    host, port = sender
    self._note_port(host, port)
    self._note_heard(host)
    self._handle(raw, host)

  def _note_port(self, host: str, port: int) -> None:
    """Records the port of a router, to which answers are sent."""
    if port == self._port:
      self._ports.pop(host, None)
    elif len(self._ports) < _MAX_PORTS or host in self._ports:
      self._ports[host] = port

  def _note_heard(self, host: str) -> None:
    if len(self._heard_at) < _MAX_PORTS or host in self._heard_at:
      self._heard_at[host] = anyio.current_time()

  def _handle(self, raw: bytes, sender: str) -> None:
    self._overhead.record("datagram heard", len(raw))
    handler = self._handlers.get(raw[:1])
    try:
      if handler is None:
        raise ValueError(f"unknown kind {raw[:1]!r}")
      handler(raw[1:], sender)
    except _MALFORMED as exc:
      logger.warning(
          "datagram malformed", extra={"sender": sender, "error": repr(exc)}
      )


def host_of(member: members_lib.Member) -> str:
  """Returns the host part of a router's URL, empty if the URL is invalid."""
  try:
    return sockets.split_address(member.url.removeprefix("http://"))[0]
  except ValueError as exc:
    logger.debug("no address in the URL of %s: %r", member.life, exc)
    return ""
