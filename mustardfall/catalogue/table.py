"""The catalogue in force on a router, as a compact table.

It is designed for 690,000 entries. A dict of entry objects would take nearly a
gigabyte per router, so the entries read at the start are stored as columns,
sorted by the digest of their API key. Later changes are kept in a dict, the
overlay, which takes precedence. Routers are replaced within days, so the
overlay stays small and is never merged into the columns.
"""

import array
from collections.abc import Iterable
import hashlib
from typing import NamedTuple

from mustardfall.budget import policy
from mustardfall.catalogue import model

_DIGEST_BYTES = 16


def digest(api_key: str) -> bytes:
  """Returns the digest by which an API key's entry is found."""
  return hashlib.blake2b(api_key.encode(), digest_size=_DIGEST_BYTES).digest()


class Head(NamedTuple):
  """The parts of the catalogue other than its entries."""

  customers: list[model.CustomerSpec]
  placements: list[model.PlacementSpec]


NO_HEAD = Head([], [])


class CallerEntry(NamedTuple):
  """The fields of an entry that a router needs to serve its caller."""

  name: str
  customer: str
  """Decides how a budget is treated that runs low, see `Table.policy_of`."""
  team: str
  """The customer's team that the entry is for, as written by operators; routing
  and budgets do not depend on it."""
  klass: model.Klass
  model: str


class _Common(NamedTuple):
  """Fields whose values many entries share; each combination is stored once."""

  customer: str
  team: str
  klass: model.Klass
  model: str


def _common(entry: model.EntrySpec) -> _Common:
  return _Common(entry.customer, entry.team, entry.klass, entry.model)


class _Columns:
  """Entries as columns, to be searched by the digest of their API key.

  Only `_digests` is sorted. `_rows` maps each position in it to the position of
  the entry in the other columns.
  """

  def __init__(self, entries: Iterable[model.EntrySpec]) -> None:
    digests, names = bytearray(), bytearray()
    ends, ids = array.array("I", [0]), array.array("I")
    common_ids: dict[_Common, int] = {}
    for entry in entries:
      digests += digest(entry.api_key)
      names += entry.name.encode()
      ends.append(len(names))
      ids.append(common_ids.setdefault(_common(entry), len(common_ids)))
    order = sorted(range(len(ids)), key=lambda i: _at(digests, i))
    self._digests = b"".join(_at(digests, i) for i in order)
    self._rows = array.array("I", order)
    self._names, self._ends, self._common_ids = bytes(names), ends, ids
    self._common = list(common_ids)

  def __len__(self) -> int:
    return len(self._rows)

  def find(self, wanted: bytes) -> CallerEntry | None:
    """Returns the entry whose API key has the digest `wanted`, or None."""
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
    return CallerEntry(name, *self._common[self._common_ids[row]])


def _at(digests: bytes | bytearray, i: int) -> bytes:
  return bytes(digests[i * _DIGEST_BYTES : (i + 1) * _DIGEST_BYTES])


class Table:
  """The catalogue in force, at `revision`; entries are found by API key."""

  def __init__(self) -> None:
    self.revision = 0
    self._base = _Columns([])
    self._changed_digests: dict[str, bytes | None] = {}
    """Digest of the API key, by the name of each entry changed since `_base`
    was read; None: the entry was removed."""
    self._overlay: dict[bytes, CallerEntry] = {}
    """Entries changed since `_base` was read, by the digest of their API
    key."""
    self._preferences: dict[str, policy.Preference] = {}
    self.placements: dict[str, frozenset[str]] = {}
    """The models that engines should have loaded, by the engine's name."""

  def replace(
      self,
      revision: int,
      entries: Iterable[model.EntrySpec],
      head: "Head",
  ) -> bool:
    """Replaces the whole catalogue; returns False if `revision` is older."""
    if revision < self.revision:
      return False
    self._base = _Columns(entries)
    self._changed_digests, self._overlay = {}, {}
    self.set_head(revision, head)
    return True

  def set_head(self, revision: int, head: "Head") -> bool:
    """Replaces the head's contents; returns False if `revision` is older."""
    if revision < self.revision:
      return False
    self._preferences = {c.name: c.weighs for c in head.customers}
    self.placements = {p.engine: frozenset(p.models) for p in head.placements}
    self.revision = revision
    return True

  def put(self, revision: int, entry: model.EntrySpec) -> bool:
    """Adds or replaces an entry; returns False if `revision` is older.

    The revision never decreases: a late event or a stale read must not revert a
    change that callers have already seen in force.
    """
    if not self.remove(revision, entry.name):
      return False
    key = digest(entry.api_key)
    self._changed_digests[entry.name] = key
    self._overlay[key] = CallerEntry(entry.name, *_common(entry))
    return True

  def remove(self, revision: int, name: str) -> bool:
    """Removes an entry; returns False if `revision` is older."""
    if revision < self.revision:
      return False
    self.revision = revision
    old = self._changed_digests.get(name)
    if old is not None and self._overlay[old].name == name:
      del self._overlay[old]
    self._changed_digests[name] = None
    return True

  def find(self, api_key: str) -> CallerEntry | None:
    """Returns the entry of `api_key`, or None."""
    key = digest(api_key)
    found = self._overlay.get(key)
    if found is None:
      found = self._base.find(key)
      if found is not None and found.name in self._changed_digests:
        return None  # its API key was changed, or it was removed
    return found

  def policy_of(self, customer: str) -> policy.Policy:
    """Returns how the customer's budgets are treated when they run low."""
    preference = self._preferences.get(customer, policy.Preference.OVERSPEND)
    return policy.POLICIES[preference]
