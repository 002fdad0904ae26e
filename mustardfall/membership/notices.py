"""Announces changes of the shared documents to other routers.

If each router read the server list every second, the number of calls to the
KV would grow with the fleet, but its rate limits do not. Therefore only a few
routers (readers) read the documents. They announce by datagram the digests of
the current versions, and what has changed. A router that has the same version,
or the previous one, needs no call. A router that receives no notices for some
time reads for itself, a few standby readers first: they replace a reader that
died, hangs or is disconnected, and announce to the others in its place.
"""

from typing import Any, NamedTuple

import anyio

from mustardfall.membership import copies as copies_lib
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import deltas
from mustardfall.membership import members as members_lib
from mustardfall.util import clock as clock_lib

_READERS = 2
"""Readers of a region; one alone may be disconnected from the KV."""
_STANDBY_READERS = 6
"""Standby readers, which start to read in turn if no notices arrive."""
_FIRST_STANDBY_DELAY = 0.55
"""Delay of the first standby reader as a fraction of `silence_s`; the others'
delays are spread evenly between it and `silence_s`."""
_RESEND_DELAY_S = 0.05
"""Each change is announced twice, as one datagram in some hundreds is lost."""
_MAX_DATAGRAM_BYTES = 1_300
"""Size of a datagram that is sent in one packet. Changes that do not fit are
left out; a router that is behind fetches them from another one."""
_RELAY_FANOUT = 4
"""Routers that fetch changes from the same router."""
_MAX_RELAY_SOURCES = 3
"""Routers that are asked in turn for a change."""
_MAX_UNPACKED_BYTES = 65_536
"""Limit of a notice's size after decompression."""


class LatestNotice(NamedTuple):
  """The latest notice of a document."""

  digest: str
  as_of: float
  """When its sender knew the document to be current, in seconds of this
  router's monotonic clock."""


class Notices:
  """Sends and receives notices of the current versions of documents.

  Args:
    datagrams: sends and receives the notices.
    members: the routers that are up.
    copies: this router's copies of the documents; updated by notices.
    clock: the time source.
  """

  def __init__(
      self,
      datagrams: datagrams_lib.Datagrams,
      members: members_lib.Members,
      copies: copies_lib.Copies,
      clock: clock_lib.Clock,
  ) -> None:
    self._datagrams = datagrams
    self._members = members
    self._copies = copies
    self._clock = clock
    self._latest: dict[str, LatestNotice] = {}
    self._received = anyio.Event()
    datagrams.connect(datagrams_lib.Kind.NOTICE, self._handle_notice)

  @property
  def is_reader(self) -> bool:
    """Whether this router always reads documents from the KV."""
    return not self._datagrams.is_open or self._members.rank < _READERS

  @property
  def is_announcer(self) -> bool:
    """Whether this router, a reader or standby, announces what it reads."""
    if not self._datagrams.is_open:
      return False
    return self._members.rank < _READERS + _STANDBY_READERS

  def read_delay_s(self, silence_s: float) -> float:
    """Returns the time without notices after which this router reads.

    Args:
      silence_s: the time after which a router that is neither a reader
        nor a standby reads.
    """
    if self.is_reader:
      return 0.0
    if not self.is_announcer:
      return silence_s
    position = (self._members.rank - _READERS) / _STANDBY_READERS
    return silence_s * (
        _FIRST_STANDBY_DELAY + (1 - _FIRST_STANDBY_DELAY) * position
    )

  def relay_sources(self) -> list[members_lib.Member]:
    """Returns the routers to ask in turn for a change too large for a notice.

    Routers form a tree below the readers, so that each serves only a few.
    """
    ranked = self._members.ranked
    position = self._members.rank
    candidates = []
    while position >= _READERS:
      position = (position - _READERS) // _RELAY_FANOUT
      candidates.append(ranked[position])
    # The last one is a reader and has read the change; so has the other reader.
    candidates = [
        *candidates[: _MAX_RELAY_SOURCES - 1],
        *candidates[-1:],
        *ranked[:_READERS],
    ]
    distinct = {
        m.life: m for m in candidates if m.life != self._members.me.life
    }
    return list(distinct.values())[:_MAX_RELAY_SOURCES]

  def announced_digest(self, name: str) -> str:
    """Returns the latest announced digest of a document, empty if none was."""
    notice = self._latest.get(name)
    return notice.digest if notice is not None else ""

  def since_notice_s(self, name: str) -> float:
    """Returns the seconds since a document's latest notice was current."""
    notice = self._latest.get(name)
    now = self._clock.monotonic()
    return now - notice.as_of if notice is not None else float("inf")

  def is_up_to_date(self, name: str) -> bool:
    """Whether no later version than this router's copy has been announced."""
    notice, copy = self._latest.get(name), self._copies.find(name)
    if notice is None:
      return True
    if copy is None:
      return False
    return notice.as_of <= copy.as_of or notice.digest == copy.digest

  async def wait(self, max_s: float) -> None:
    """Waits for the next notice of any document, for at most `max_s`."""
    with anyio.move_on_after(max(0.0, max_s)):
      await self._received.wait()

  async def announce(self) -> None:
    """Announces the digests of all documents to the region's other routers."""
    await self._send({})

  async def announce_change(self, name: str, change: deltas.Delta) -> None:
    """Announces a document's change to the region's other routers, twice."""
    await self._send({name: change})
    await anyio.sleep(_RESEND_DELAY_S)
    await self._send({name: change})

  async def _send(self, changes: dict[str, deltas.Delta]) -> None:
    region = self._members.me.region
    receivers = [m for m in self._members.others if m.region == region]
    content = self._encode(changes)
    if len(content) > _MAX_DATAGRAM_BYTES:
      content = self._encode({})
    await self._datagrams.send(datagrams_lib.Kind.NOTICE, content, receivers)

  def _encode(self, changes: dict[str, deltas.Delta]) -> bytes:
    now = self._clock.monotonic()
    announced = {}
    for name in self._copies.names:
      copy = self._copies.find(name)
      age_s = round(now - copy.as_of, 3)
      announced[name] = [copy.digest, age_s]
      if name in changes:
        announced[name].append(changes[name])
    return deltas.pack(announced)

  def _handle_notice(self, raw: bytes) -> None:
    now = self._clock.monotonic()
    for name, (digest, age_s, *change) in _decode(raw).items():
      if self._copies.find(name) is None:
        continue  # not read yet, or an unknown name that must not use memory
      # A time in the future would make all later notices look outdated.
      notice = LatestNotice(str(digest), now - max(0.0, float(age_s)))
      latest = self._latest.get(name)
      if latest is None or notice.as_of > latest.as_of:
        self._latest[name] = notice
      self._update(name, notice, change)
    self._received.set()
    self._received = anyio.Event()

  def _update(self, name: str, notice: LatestNotice, change: list[Any]) -> None:
    """Updates this router's copy of a document from a notice, if possible."""
    copy = self._copies.find(name)
    if copy is None or notice.as_of <= copy.as_of:
      return  # the copy is at least as recent as the notice
    if copy.digest == notice.digest:
      self._copies.confirm(name, notice.as_of)
    elif change:
      try:
        document = deltas.apply(copy.document, change[0])
      except KeyError:
        return  # the delta is for a version with other fields
      if self._copies.digest(name, document) == notice.digest:
        self._copies.put(name, document, notice.as_of)
      elif name == members_lib.PREFIX:
        # Dozens of routers may register at once, and this one may have missed
        # some notices. Apply the change anyway to save reads, but keep the old
        # `as_of`, so that the copy still counts as outdated.
        self._copies.put(name, document, copy.as_of)


def _decode(raw: bytes) -> dict[str, Any]:
  """Decodes a notice; raises ValueError if it is malformed."""
  return deltas.unpack(raw, _MAX_UNPACKED_BYTES)
