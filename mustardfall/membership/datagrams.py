"""Datagrams between routers, for what is worth something for a moment only.

One that is lost is made good by the next, and nothing waits for an answer for
more than some ms.
"""

import collections
from collections.abc import Callable, Iterable
import enum
import logging
from typing import NamedTuple

import anyio
from anyio import abc

from mustardfall import overhead as overhead_lib
from mustardfall.membership import members as members_lib
from mustardfall.util import sockets

logger = logging.getLogger(__name__)

_MALFORMED = (
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""What decoding a datagram that makes no sense may raise."""
_MOST_POSTED = 1_000
"""Datagrams that wait to be sent; the oldest of more are worth nothing."""


class Kind(enum.Enum):
  """What a datagram holds; its first byte."""

  LOADS = b"l"
  NOTICE = b"n"
  SURVEY = b"q"
  STANDING = b"a"
  TRACK = b"t"
  SUSPECT = b"s"
  VERDICT = b"v"


Take = Callable[[bytes], None]
"""Takes a datagram's content in; raises as decoders do if it makes no sense."""
TakeFrom = Callable[[bytes, str], None]
"""The same with the sender's address."""


class _Posted(NamedTuple):
  """A datagram that waits to be sent."""

  kind: Kind
  content: bytes
  host: str


class Datagrams:
  """Sends and receives on one UDP port, the same on all routers.

  Args:
    host: this router's address.
    port: 0: nothing is told and nothing heard.
    overhead: told of each datagram.
  """

  def __init__(
      self, host: str, port: int, overhead: overhead_lib.Overhead
  ) -> None:
    self._host = host
    self._port = port
    self._overhead = overhead
    self._takers: dict[bytes, TakeFrom] = {}
    self._udp: abc.UDPSocket | None = None
    self._sending = anyio.Lock()
    """A socket refuses a second task that sends while one does."""
    self._posted: collections.deque[_Posted] = collections.deque(
        maxlen=_MOST_POSTED
    )
    self._post_came = anyio.Event()

  @property
  def is_open(self) -> bool:
    """Whether others can be told anything."""
    return self._udp is not None

  def connect(self, kind: Kind, take: Take) -> None:
    """Has `take` called with each datagram of a kind."""
    self.connect_with_sender(kind, lambda content, sender: take(content))

  def connect_with_sender(self, kind: Kind, take: TakeFrom) -> None:
    """The same for one who answers."""
    self._takers[kind.value] = take

  async def tell(
      self, kind: Kind, content: bytes, told: Iterable[members_lib.Member]
  ) -> None:
    """Sends `content` to some routers, as far as they can be reached."""
    for member in told:
      host = _host_of(member)
      if host:
        await self._send(_Posted(kind, content, host))

  def post(
      self, kind: Kind, content: bytes, member: members_lib.Member
  ) -> None:
    """Sends `content` to a router soon, without waiting for it."""
    host = _host_of(member)
    if host:
      self.post_to(kind, content, host)

  def post_to(self, kind: Kind, content: bytes, host: str) -> None:
    """Sends `content` to an address soon."""
    self._posted.append(_Posted(kind, content, host))
    self._post_came.set()

  async def _send(self, posted: _Posted) -> None:
    udp = self._udp
    if udp is None:
      return
    raw = posted.kind.value + posted.content
    self._overhead.note(f"{posted.kind.name.lower()} told", len(raw))
    try:
      async with self._sending:
        await udp.sendto(raw, posted.host, self._port)
    except (OSError, anyio.BrokenResourceError) as exc:
      logger.debug("datagram not sent to %s: %r", posted.host, exc)

  async def run(self) -> None:
    """Receives until cancelled; opens the port anew when it breaks."""
    if not self._port:
      await anyio.sleep_forever()

    async def _create() -> abc.UDPSocket:
      return await anyio.create_udp_socket(
          local_host=self._host, local_port=self._port
      )

    async with await sockets.bind_with_retry(
        "datagrams", self._port, _create
    ) as udp:
      self._udp = udp
      try:
        async with anyio.create_task_group() as tasks:
          tasks.start_soon(self._send_posted)
          async for raw, sender in udp:
            self._take(raw, sender[0])
          tasks.cancel_scope.cancel()
      finally:
        self._udp = None

  async def _send_posted(self) -> None:
    while True:
      await self._post_came.wait()
      self._post_came = anyio.Event()
      while self._posted:
        await self._send(self._posted.popleft())

  def _take(self, raw: bytes, sender: str) -> None:
    self._overhead.note("datagram heard", len(raw))
    take = self._takers.get(raw[:1])
    try:
      if take is None:
        raise ValueError("unknown kind")
      take(raw[1:], sender)
    except _MALFORMED as exc:
      logger.warning(
          "datagram malformed", extra={"sender": sender, "error": repr(exc)}
      )


def _host_of(member: members_lib.Member) -> str:
  """Returns a router's address, empty where it has none that makes sense."""
  try:
    return sockets.split_address(member.url.removeprefix("http://"))[0]
  except ValueError as exc:
    logger.debug("no address of %s: %r", member.life, exc)
    return ""
