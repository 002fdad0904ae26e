"""Tells routers whether the documents that they share have changed.

Were each router to read the server list each second, the KV's calls would
grow with the fleet, and its rates do not. Few read, and tell the others by
datagram the digest of what they found, and what has changed. A router that
knows the same, or the version before, needs no call. Whoever hears nothing for
a while reads for itself, a few first: a reader that dies, freezes or is cut
off is replaced by deputies that tell the others again.
"""

from typing import Any, NamedTuple

import anyio

from mustardfall.membership import copies as copies_lib
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import deltas
from mustardfall.membership import members as members_lib
from mustardfall.util import clock as clock_lib

_READERS = 2
"""Routers of a region that always read: one may be cut off from the KV."""
_DEPUTIES = 6
"""Further ones that read, one after the other, when these fall silent."""
_FIRST_DEPUTY = 0.55
"""Part of the time of silence after which the first deputy reads; the last
one does a little before all others would."""
_TELL_AGAIN_S = 0.05
"""News is told twice: one datagram in some hundreds is lost."""
_MOST_BYTES = 1_300
"""Of a datagram, so that it is sent in one packet. Changes that make it longer
are not told; who is behind asks another router for them."""
_BRANCHES = 4
"""Routers that ask the same one for a change."""
_MOST_ASKED = 3
"""Routers that one asks in turn."""
_MOST_CONTENT_BYTES = 65_536
"""Of what it unpacks to."""


class Heard(NamedTuple):
  """The latest notice of a document."""

  digest: str
  as_of: float
  """When its teller knew the document to be current, monotonic seconds."""


class Notices:
  """Tells and hears which documents are current.

  Args:
    datagrams: carries the notices.
    members: who is up.
    copies: what this router knows; kept current here.
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
    self._heard: dict[str, Heard] = {}
    self._came = anyio.Event()
    datagrams.connect(datagrams_lib.Kind.NOTICE, self._take)

  @property
  def is_reader(self) -> bool:
    """Whether this router is among those that always read."""
    return not self._datagrams.is_open or self._members.rank < _READERS

  @property
  def is_announcer(self) -> bool:
    """Whether this router tells the others what it reads."""
    if not self._datagrams.is_open:
      return False
    return self._members.rank < _READERS + _DEPUTIES

  def read_delay_s(self, silence_s: float) -> float:
    """Returns after how long a silence this router reads for itself.

    Args:
      silence_s: after which any router does.
    """
    if self.is_reader:
      return 0.0
    if not self.is_announcer:
      return silence_s
    place = (self._members.rank - _READERS) / _DEPUTIES
    return silence_s * (_FIRST_DEPUTY + (1 - _FIRST_DEPUTY) * place)

  def relay_sources(self) -> list[members_lib.Member]:
    """Returns the routers to ask in turn for a change that was not told.

    They form a tree below the readers, so that none serves more than a few.
    """
    ranked = self._members.ranked
    place = self._members.rank
    found = []
    while place >= _READERS:
      place = (place - _READERS) // _BRANCHES
      found.append(ranked[place])
    # The last one has read the change itself; the other reader has, too.
    found = [*found[: _MOST_ASKED - 1], *found[-1:], *ranked[:_READERS]]
    distinct = {m.life: m for m in found if m.life != self._members.me.life}
    return list(distinct.values())[:_MOST_ASKED]

  def announced_digest(self, name: str) -> str:
    """Returns the digest of the latest version told, empty without any."""
    heard = self._heard.get(name)
    return heard.digest if heard is not None else ""

  def since_notice_s(self, name: str) -> float:
    """Returns for how long others have told nothing about a document."""
    heard = self._heard.get(name)
    now = self._clock.monotonic()
    return now - heard.as_of if heard is not None else float("inf")

  def is_up_to_date(self, name: str) -> bool:
    """Whether no notice tells of a later version than the one kept here."""
    heard, copy = self._heard.get(name), self._copies.find(name)
    if heard is None:
      return True
    if copy is None:
      return False
    return heard.as_of <= copy.as_of or heard.digest == copy.digest

  async def wait(self, most_s: float) -> None:
    """Waits for the next notice of any document."""
    with anyio.move_on_after(max(0.0, most_s)):
      await self._came.wait()

  async def announce(self) -> None:
    """Tells the region's other routers the digests of all documents."""
    await self._send({})

  async def announce_change(self, name: str, change: deltas.Delta) -> None:
    """Tells them at once what has changed of a document."""
    await self._send({name: change})
    await anyio.sleep(_TELL_AGAIN_S)
    await self._send({name: change})

  async def _send(self, changes: dict[str, deltas.Delta]) -> None:
    region = self._members.me.region
    near = [m for m in self._members.others if m.region == region]
    content = self._encode(changes)
    if len(content) > _MOST_BYTES:
      content = self._encode({})
    await self._datagrams.send(datagrams_lib.Kind.NOTICE, content, near)

  def _encode(self, changes: dict[str, deltas.Delta]) -> bytes:
    now = self._clock.monotonic()
    told = {}
    for name in self._copies.names:
      copy = self._copies.find(name)
      age_s = round(now - copy.as_of, 3)
      told[name] = [copy.digest, age_s]
      if name in changes:
        told[name].append(changes[name])
    return deltas.pack(told)

  def _take(self, raw: bytes) -> None:
    now = self._clock.monotonic()
    for name, (digest, age_s, *change) in _decode(raw).items():
      if self._copies.find(name) is None:
        continue  # it is read first; other names are nothing to keep
      # One that was current in the future would stand for every later one.
      heard = Heard(str(digest), now - max(0.0, float(age_s)))
      last = self._heard.get(name)
      if last is None or heard.as_of > last.as_of:
        self._heard[name] = heard
      self._update(name, heard, change)
    self._came.set()
    self._came = anyio.Event()

  def _update(self, name: str, heard: Heard, change: list[Any]) -> None:
    """Brings the copy kept here up to what was heard, as far as that goes."""
    copy = self._copies.find(name)
    if copy is None or heard.as_of <= copy.as_of:
      return  # what is known here was current later than what is told
    if copy.digest == heard.digest:
      self._copies.confirm(name, heard.as_of)
    elif change:
      try:
        document = deltas.apply(copy.document, change[0])
      except KeyError:
        return  # of a version with other fields than the one kept here
      if self._copies.digest(name, document) == heard.digest:
        self._copies.put(name, document, heard.as_of)
      elif name == members_lib.PREFIX:
        # Registrations come by the dozen while this router has only some of
        # them; each that is known is one that need not be read.
        self._copies.put(name, document, copy.as_of)


def _decode(raw: bytes) -> dict[str, Any]:
  """Returns what a notice tells; raises ValueError where it is none."""
  return deltas.unpack(raw, _MOST_CONTENT_BYTES)
