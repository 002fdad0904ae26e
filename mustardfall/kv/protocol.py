"""The key-value store as the program sees it, whichever product serves it.

Failures are split by what they mean for a write:
`errors.KvUnavailableError` when it had no effect,
`errors.KvUnknownError` when it may have taken effect unheard.
"""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol


class Record(NamedTuple):
  """One key as the service holds it."""

  key: str
  value: bytes
  mod_revision: int
  version: int


class Event(NamedTuple):
  """One change seen by a watch; `value` is empty when deleted."""

  deleted: bool
  record: Record


class Compare(NamedTuple):
  """One condition of a transaction: `target` of `key` equals `expected`."""

  key: str
  target: str  # "MOD" or "VERSION"
  expected: int


class TxnResult(NamedTuple):
  """Whether the compares held, the revision, and records read."""

  succeeded: bool
  revision: int
  records: list[Record]


class Put(NamedTuple):
  """Writes `value` at `key`, under a lease unless it is 0."""

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
  """What the program needs of a key-value store, whichever it is.

  `Client` serves it over the etcd gateway; the adapter of another
  platform brings its own. Every call raises `errors.KvUnavailableError`
  when it had no effect and `errors.KvUnknownError` when it may have had.
  """

  calls: int
  reachable: bool
  """Whether the store answered when last called."""

  async def close(self) -> None:
    """Closes the connections."""

  async def get(self, key: str) -> Record | None:
    """Returns the record at `key`, or None when there is none."""

  async def get_many(self, keys: list[str]) -> dict[str, Record]:
    """Returns the records found at `keys`."""

  async def get_prefix(self, prefix: str) -> tuple[int, list[Record]]:
    """Returns the revision and every record whose key starts so."""

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
    """Renews `lease`; returns the TTL left, 0 when it has lapsed."""

  async def revoke_lease(self, lease: int) -> None:
    """Ends `lease`; the keys under it are deleted."""

  def watch(
      self, prefix: str, start_revision: int, idle_s: float
  ) -> AsyncIterator[Event]:
    """Yields every change under `prefix` from `start_revision` on."""
