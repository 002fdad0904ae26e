"""The catalogue in force on a router, as a compact table.

At the two-year size it has 690,000 entries. A dict of entry objects
would cost a router near a gigabyte, so the entries read at the start are
kept as columns, sorted by the digest of their API key; changes since
then lie over them in a dict. A router is replaced within days, so the
overlay stays small and is never merged.
"""

import array
from collections.abc import Iterable
import hashlib
from typing import NamedTuple

from mustardfall.budget import policy
from mustardfall.catalogue import model

_DIGEST_BYTES = 16


def digest(api_key: str) -> bytes:
  """Returns the digest by which an API key is looked up."""
  return hashlib.blake2b(api_key.encode(), digest_size=_DIGEST_BYTES).digest()


class Head(NamedTuple):
  """What the catalogue holds besides its entries."""

  customers: list[model.CustomerSpec]
  placements: list[model.PlacementSpec]


NO_HEAD = Head([], [])


class Found(NamedTuple):
  """What a router needs to know of a caller's entry."""

  name: str
  customer: str
  team: str
  klass: model.Klass
  model: str


class _Shared(NamedTuple):
  """What many entries have in common, kept once."""

  customer: str
  team: str
  klass: model.Klass
  model: str


def _shared(entry: model.EntrySpec) -> _Shared:
  return _Shared(entry.customer, entry.team, entry.klass, entry.model)


class _Columns:
  """Entries as columns, in the order of their key's digest."""

  def __init__(self, entries: Iterable[model.EntrySpec]) -> None:
    digests, names = bytearray(), bytearray()
    ends, kinds = array.array("I", [0]), array.array("I")
    numbers: dict[_Shared, int] = {}
    for entry in entries:
      digests += digest(entry.api_key)
      names += entry.name.encode()
      ends.append(len(names))
      kinds.append(numbers.setdefault(_shared(entry), len(numbers)))
    order = sorted(range(len(kinds)), key=lambda i: _at(digests, i))
    self._digests = b"".join(_at(digests, i) for i in order)
    self._rows = array.array("I", order)
    self._names, self._ends, self._kinds = bytes(names), ends, kinds
    self._shared = list(numbers)

  def __len__(self) -> int:
    return len(self._rows)

  def find(self, wanted: bytes) -> Found | None:
    """Returns the entry whose key has the digest `wanted`, or None."""
    low, high = 0, len(self._rows)
    while low < high:
      middle = (low + high) // 2
      if _at(self._digests, middle) < wanted:
        low = middle + 1
      else:
        high = middle
    if low == len(self._rows) or _at(self._digests, low) != wanted:
      return None
    row = self._rows[low]
    name = self._names[self._ends[row] : self._ends[row + 1]].decode()
    return Found(name, *self._shared[self._kinds[row]])


def _at(digests: bytes | bytearray, i: int) -> bytes:
  return bytes(digests[i * _DIGEST_BYTES : (i + 1) * _DIGEST_BYTES])


class Table:
  """Every entry in force at `revision`, found by API key."""

  def __init__(self) -> None:
    self.revision = 0
    self._base = _Columns([])
    self._changed: dict[str, bytes | None] = {}
    """Names changed since the base, to their key's digest (None: gone)."""
    self._over: dict[bytes, Found] = {}
    """Changed entries by their key's digest."""
    self._weighs: dict[str, policy.Preference] = {}
    self.placements: dict[str, frozenset[str]] = {}
    """The models that engines shall have loaded, by the engine's name."""

  def replace(
      self,
      revision: int,
      entries: Iterable[model.EntrySpec],
      head: "Head",
  ) -> bool:
    """Takes a whole catalogue, unless it is older; returns whether."""
    if revision < self.revision:
      return False
    self._base = _Columns(entries)
    self._changed, self._over = {}, {}
    self.set_head(revision, head)
    return True

  def set_head(self, revision: int, head: "Head") -> bool:
    """Takes weightings and placements, unless older; returns whether."""
    if revision < self.revision:
      return False
    self._weighs = {c.name: c.weighs for c in head.customers}
    self.placements = {p.engine: frozenset(p.models) for p in head.placements}
    self.revision = revision
    return True

  def put(self, revision: int, entry: model.EntrySpec) -> bool:
    """Takes one entry, unless it is older; returns whether.

    Revisions only rise: a late event or a stale read must not take back
    a change that callers have seen in force.
    """
    if not self.remove(revision, entry.name):
      return False
    key = digest(entry.api_key)
    self._changed[entry.name] = key
    self._over[key] = Found(entry.name, *_shared(entry))
    return True

  def remove(self, revision: int, name: str) -> bool:
    """Removes one entry, unless that is older; returns whether."""
    if revision < self.revision:
      return False
    self.revision = revision
    old = self._changed.get(name)
    if old is not None and self._over[old].name == name:
      del self._over[old]
    self._changed[name] = None
    return True

  def find(self, api_key: str) -> Found | None:
    """Returns the entry of `api_key`, or None."""
    key = digest(api_key)
    found = self._over.get(key)
    if found is None:
      found = self._base.find(key)
      if found is not None and found.name in self._changed:
        return None  # the key was changed or the entry removed
    return found

  def policy_of(self, customer: str) -> policy.Policy:
    """Returns how the edge of the customer's budgets is treated."""
    weighs = self._weighs.get(customer, policy.Preference.OVERSPEND)
    return policy.POLICIES[weighs]
