"""The interface of the key-value store, independent of the product behind it.

Failures are classified by their effect on a write:
`errors.KvUnavailableError` when it had no effect, `errors.KvUnknownError`
when it may have taken effect although no answer arrived.
"""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol


class Record(NamedTuple):
  """A key with its value and versions, as stored."""

  key: str
  value: bytes
  mod_revision: int
  version: int


class Event(NamedTuple):
  """A change reported by a watch; the record's value is empty if deleted."""

  deleted: bool
  record: Record


class Compare(NamedTuple):
  """A condition of a transaction: `target` of `key` equals `expected`."""

  key: str
  target: str  # "MOD" or "VERSION"
  expected: int


class TxnResult(NamedTuple):
  """Whether the compares held, the store's revision, and the records read."""

  succeeded: bool
  revision: int
  records: list[Record]


class Put(NamedTuple):
  """Writes `value` at `key`, attached to `lease` unless that is 0."""

  key: str
  value: bytes
  lease: int = 0


class Delete(NamedTuple):
  """Deletes `key`."""

  key: str


class Read(NamedTuple):
  """Reads `key`."""

  key: str


Op = Put | Delete | Read
"""One operation of a transaction."""


class Store(Protocol):
  """The operations that the program needs from a key-value store.

  `client.Client` implements them over the etcd gateway; the adapter of
  another platform has its own implementation. Every call raises
  `errors.KvUnavailableError` when it had no effect and
  `errors.KvUnknownError` when it may have had one.
  """

  calls: int
  reachable: bool
  """Whether the store answered the last call."""

  async def close(self) -> None:
    """Closes the connections."""

  async def get(self, key: str) -> Record | None:
    """Returns the record at `key`, or None when there is none."""

  async def get_many(self, keys: list[str]) -> dict[str, Record]:
    """Returns the records found at `keys`."""

  async def get_prefix(self, prefix: str) -> tuple[int, list[Record]]:
    """Returns the revision and all records whose key starts with `prefix`."""

  async def put(self, key: str, value: bytes, lease: int = 0) -> int:
    """Writes `value` at `key`; returns the new revision."""

  async def txn(
      self,
      compares: list[Compare],
      success: list[Op],
      failure: list[Op] | None = None,
  ) -> TxnResult:
    """Runs a compare-and-swap transaction."""

  async def grant_lease(self, ttl_s: int) -> int:
    """Grants a lease of `ttl_s` seconds; returns its id."""

  async def keep_alive(self, lease: int) -> int:
    """Renews `lease`; returns the remaining TTL, 0 when it has expired."""

  async def revoke_lease(self, lease: int) -> None:
    """Revokes `lease`; the keys attached to it are deleted."""

  def watch(
      self, prefix: str, start_revision: int, idle_s: float
  ) -> AsyncIterator[Event]:
    """Yields every change under `prefix` from `start_revision` on."""
