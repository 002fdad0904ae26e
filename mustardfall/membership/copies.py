"""This router's copies of the documents that all routers share."""

import collections
import math
from typing import NamedTuple

import anyio

from mustardfall.membership import deltas
from mustardfall.util import clock as clock_lib

_PREVIOUS_KEPT = 3
"""Previous versions kept of each document, to compute deltas from."""


class Copy(NamedTuple):
  """A version of a document, and when it was last known to be current."""

  document: deltas.Document
  digest: str
  as_of: float
  """In seconds of this router's monotonic clock."""


class Copies:
  """Holds the latest known version of each document, by name.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._copies: dict[str, Copy] = {}
    self._digesters: dict[str, deltas.Digester] = {}
    self._previous: dict[str, collections.deque[Copy]] = {}
    self._changed = anyio.Event()

  @property
  def names(self) -> list[str]:
    """The names of the documents held."""
    return list(self._copies)

  def find(self, name: str) -> Copy | None:
    """Returns the copy of a document, or None."""
    return self._copies.get(name)

  def age_s(self, name: str) -> float:
    """Returns the seconds since a document was last known to be current."""
    copy = self._copies.get(name)
    if copy is None:
      return math.inf
    return self._clock.monotonic() - copy.as_of

  def put(self, name: str, document: deltas.Document, as_of: float) -> Copy:
    """Replaces the copy of a document; returns the new copy."""
    copy = Copy(document, self.digest(name, document), as_of)
    before = self._copies.get(name)
    self._copies[name] = copy
    if before is not None and before.digest != copy.digest:
      previous = collections.deque(maxlen=_PREVIOUS_KEPT)
      self._previous.setdefault(name, previous).append(before)
      self._changed.set()
      self._changed = anyio.Event()
    return copy

  def digest(self, name: str, document: deltas.Document) -> str:
    """Returns the digest of a version of a document."""
    digester = self._digesters.setdefault(name, deltas.Digester())
    return digester.digest(document)

  def find_previous(self, name: str, digest: str) -> Copy | None:
    """Returns the previous version with a digest, or None if not kept."""
    previous = self._previous.get(name, ())
    return next((copy for copy in previous if copy.digest == digest), None)

  async def wait_for(self, name: str, digest: str, max_s: float) -> None:
    """Waits until the copy of a document has a digest, or for `max_s`."""
    with anyio.move_on_after(max_s):
      while (copy := self._copies.get(name)) is None or copy.digest != digest:
        await self._changed.wait()

  def confirm(self, name: str, as_of: float) -> None:
    """Records that a copy was still current at the time `as_of`."""
    copy = self._copies[name]
    if as_of > copy.as_of:
      self._copies[name] = copy._replace(as_of=as_of)
