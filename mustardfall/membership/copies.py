"""The documents that all routers share, as this router knows them."""

import collections
import math
from typing import NamedTuple

import anyio

from mustardfall.membership import deltas
from mustardfall.util import clock as clock_lib

_EARLIER_KEPT = 3
"""Earlier versions of a document from which a change can be told."""


class Copy(NamedTuple):
  """A document, and when it was known to be the current one."""

  document: deltas.Document
  digest: str
  as_of: float
  """Monotonic seconds of this router."""


class Copies:
  """Documents by name.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._copies: dict[str, Copy] = {}
    self._digesters: dict[str, deltas.Digester] = {}
    self._earlier: dict[str, collections.deque[Copy]] = {}
    self._changed = anyio.Event()

  @property
  def names(self) -> list[str]:
    """The documents that are known."""
    return list(self._copies)

  def find(self, name: str) -> Copy | None:
    """Returns the copy of a document, if there is one."""
    return self._copies.get(name)

  def age_s(self, name: str) -> float:
    """Returns for how long a copy was not known to be current, seconds."""
    found = self._copies.get(name)
    if found is None:
      return math.inf
    return self._clock.monotonic() - found.as_of

  def put(self, name: str, document: deltas.Document, as_of: float) -> Copy:
    """Keeps a document in the place of the copy before."""
    copy = Copy(document, self.digest(name, document), as_of)
    before = self._copies.get(name)
    self._copies[name] = copy
    if before is not None and before.digest != copy.digest:
      earlier = collections.deque(maxlen=_EARLIER_KEPT)
      self._earlier.setdefault(name, earlier).append(before)
      self._changed.set()
      self._changed = anyio.Event()
    return copy

  def digest(self, name: str, document: deltas.Document) -> str:
    """Returns the digest of a version of a document."""
    digester = self._digesters.setdefault(name, deltas.Digester())
    return digester.digest(document)

  def find_earlier(self, name: str, digest: str) -> Copy | None:
    """Returns an earlier version of a document, if it is still kept."""
    earlier = self._earlier.get(name, ())
    return next((copy for copy in earlier if copy.digest == digest), None)

  async def wait_for(self, name: str, digest: str, most_s: float) -> None:
    """Waits until a document's version is the one wanted, or for `most_s`."""
    with anyio.move_on_after(most_s):
      while (copy := self._copies.get(name)) is None or copy.digest != digest:
        await self._changed.wait()

  def confirm(self, name: str, as_of: float) -> None:
    """Notes that a copy was still the current one at a moment."""
    found = self._copies[name]
    if as_of > found.as_of:
      self._copies[name] = found._replace(as_of=as_of)
