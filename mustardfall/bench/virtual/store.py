"""The simulated key-value store, and a host's client for it."""

import asyncio
import collections
from collections.abc import AsyncIterator
import itertools
import random
from typing import NamedTuple

import anyio

from mustardfall import errors
from mustardfall.bench.virtual import network as network_lib
from mustardfall.kv import circuit_breaker
from mustardfall.kv import protocol

_LATENCY_S = 0.004
"""Time from a call to the store's answer."""
_CALL_TIMEOUT_S = 0.45
"""A client abandons a call after this time."""
_WATCH_TIMEOUT_S = 0.6
"""A client abandons a watch this long after its expected end."""
_WATCH_INTERVAL_S = 0.15
"""Pause after a watch that returned, as in `platform.store`."""
_MAX_READ_KEYS = 32
"""Maximum number of keys that one call reads, as in `platform.store`."""


class _Change(NamedTuple):
  revision: int
  deleted: bool
  record: protocol.Record


class Store:
  """The state that all clients share: keys, leases and the history."""

  def __init__(self) -> None:
    self.records: dict[str, protocol.Record] = {}
    self.calls: collections.Counter[str] = collections.Counter()
    self.failed_calls: collections.Counter[str] = collections.Counter()
    """Calls that were refused or never reached the store, by outcome and kind;
    they are among `calls`, too."""
    self.revision = 1
    self._history: list[_Change] = []
    self._changed = anyio.Event()
    self._leases: dict[int, set[str]] = {}
    self._lease_by_key: dict[str, int] = {}
    self._timers: dict[int, asyncio.TimerHandle] = {}
    self._ids = itertools.count(1)

  def _append_change(self, deleted: bool, record: protocol.Record) -> None:
    self._history.append(_Change(self.revision, deleted, record))
    self._changed.set()
    self._changed = anyio.Event()

  def _put(self, key: str, value: bytes, lease: int) -> None:
    self._detach_lease(key)
    if lease:
      self._leases[lease].add(key)
      self._lease_by_key[key] = lease
    self.records[key] = protocol.Record(key, value, self.revision, 0)
    self._append_change(False, self.records[key])

  def _delete(self, key: str) -> None:
    self._detach_lease(key)
    record = self.records.pop(key, None)
    if record is not None:
      self._append_change(True, record)

  def _detach_lease(self, key: str) -> None:
    lease = self._lease_by_key.pop(key, 0)
    if lease in self._leases:
      self._leases[lease].discard(key)

  def commit(
      self, compares: list[protocol.Compare], ops: list[protocol.Op]
  ) -> protocol.TxnResult:
    """Runs a transaction; see `protocol.Store.txn`."""
    for row in compares:
      found = self.records.get(row.key)
      if (found.mod_revision if found else 0) != row.expected:
        keys = [c.key for c in compares if c.key in self.records]
        records = [self.records[key] for key in keys]
        return protocol.TxnResult(False, self.revision, records)
    puts = [op for op in ops if isinstance(op, protocol.Put)]
    if any(op.lease and op.lease not in self._leases for op in puts):
      raise errors.KvUnavailableError("a lease of the transaction has ended")
    self.revision += 1
    for op in puts:
      self._put(op.key, op.value, op.lease)
    for op in ops:
      if isinstance(op, protocol.Delete):
        self._delete(op.key)
    return protocol.TxnResult(True, self.revision, [])

  def grant_lease(self, ttl_s: float) -> int:
    """Grants a lease; returns its id."""
    lease = next(self._ids)
    self._leases[lease] = set()
    self.keep_alive(lease, ttl_s)
    return lease

  def keep_alive(self, lease: int, ttl_s: float) -> bool:
    """Renews a lease; returns False if it has ended."""
    if lease not in self._leases:
      return False
    old = self._timers.pop(lease, None)
    if old is not None:
      old.cancel()
    loop = asyncio.get_running_loop()
    self._timers[lease] = loop.call_later(ttl_s, self.revoke_lease, lease)
    return True

  def revoke_lease(self, lease: int) -> None:
    """Ends a lease, also when it expires, and deletes its keys."""
    timer = self._timers.pop(lease, None)
    if timer is not None:
      timer.cancel()
    for key in self._leases.pop(lease, ()):
      self.revision += 1
      self._lease_by_key.pop(key, None)
      record = self.records.pop(key)
      self._append_change(True, record)

  def find(self, prefix: str) -> list[protocol.Record]:
    """Returns the records under `prefix`, sorted by key."""
    return [
        record
        for key, record in sorted(self.records.items())
        if key.startswith(prefix)
    ]

  def changes_since(self, prefix: str, since: int) -> list[_Change]:
    """Returns the changes under `prefix` from revision `since` on."""
    found = []
    for change in reversed(self._history):
      if change.revision < since:
        break
      if change.record.key.startswith(prefix):
        found.append(change)
    return found[::-1]

  async def wait_for_change(self) -> None:
    """Waits for the next change."""
    await self._changed.wait()


class Client:
  """One host's client; its calls fail according to the active faults.

  Args:
    store: the store.
    network: the active faults.
    host: name of the host that the client runs on.
    rng: selects the calls whose replies are lost.
    clock: the time source.
  """

  def __init__(
      self,
      store: Store,
      network: network_lib.Network,
      host: str,
      rng: random.Random,
      clock,
  ) -> None:
    self._store = store
    self._network = network
    self._host = host
    self._rng = rng
    self._breaker = circuit_breaker.CircuitBreaker(clock)
    self._ttls: dict[int, float] = {}
    self.calls = 0

  @property
  def reachable(self) -> bool:
    """Whether the last call was answered."""
    return not self._breaker.is_open

  async def close(self) -> None:
    """Does nothing: there is no connection to close."""

  async def _call(self, kind: str, ignore_backoff: bool = False) -> None:
    """Simulates the duration and the failure of a call.

    Args:
      kind: label under which the call is counted.
      ignore_backoff: whether the call is made even though the client pauses
        between attempts, as the store was not reached.

    Raises:
      errors.KvUnavailableError: the call was not made or was refused.
      errors.KvUnknownError: the store did not answer.
    """
    is_renewal = kind == "keep"
    if not ignore_backoff and not self._breaker.allows_call(is_renewal):
      raise errors.KvUnavailableError("call not made: the store is unreachable")
    self.calls += 1
    self._store.calls[kind] += 1
    if not self._network.reaches_store(self._host):
      self._store.failed_calls[f"no answer {kind}"] += 1
      await anyio.sleep(_CALL_TIMEOUT_S)
      self._breaker.record("no answer")
      raise errors.KvUnknownError("no answer from the store")
    await anyio.sleep(_LATENCY_S * self._network.latency_factor)
    if self._network.is_refused(self._host):
      self._store.failed_calls[f"refused {kind}"] += 1
      self._breaker.record("refused")
      raise errors.KvUnavailableError("the store refused the call")
    self._breaker.record(None)

  async def get(self, key: str) -> protocol.Record | None:
    """Returns the record at `key`, or None."""
    await self._call("read")
    return self._store.records.get(key)

  async def get_many(self, keys: list[str]) -> dict[str, protocol.Record]:
    """Returns the records found at `keys`."""
    found = {}
    for start in range(0, len(keys), _MAX_READ_KEYS):
      await self._call("read")
      for key in keys[start : start + _MAX_READ_KEYS]:
        if key in self._store.records:
          found[key] = self._store.records[key]
    return found

  async def get_prefix(self, prefix: str) -> tuple[int, list[protocol.Record]]:
    """Returns the revision and the records under `prefix`."""
    await self._call(f"range {prefix}", ignore_backoff=True)
    return self._store.revision, self._store.find(prefix)

  async def put(self, key: str, value: bytes, lease: int = 0) -> int:
    """Writes `value` at `key`; returns the revision."""
    result = await self.txn([], [protocol.Put(key, value, lease)])
    return result.revision

  async def txn(
      self,
      compares: list[protocol.Compare],
      success: list[protocol.Op],
      failure: list[protocol.Op] | None = None,
  ) -> protocol.TxnResult:
    """Runs a transaction; its reply may be lost, and it may be applied late."""
    del failure
    await self._call("write")
    if self._rng.random() >= self._network.lost_write_share:
      return self._store.commit(compares, success)
    late_s = self._rng.uniform(0.0, self._network.max_late_s)
    loop = asyncio.get_running_loop()
    loop.call_later(late_s, self._store.commit, compares, success)
    await anyio.sleep(_CALL_TIMEOUT_S)
    self._breaker.record("answer lost")
    raise errors.KvUnknownError("the store's reply was lost")

  async def grant_lease(self, ttl_s: int) -> int:
    """Grants a lease; returns its id."""
    await self._call("lease")
    lease = self._store.grant_lease(ttl_s)
    self._ttls[lease] = ttl_s
    return lease

  async def keep_alive(self, lease: int) -> int:
    """Renews a lease; returns its TTL in seconds, or 0 if it has ended."""
    await self._call("keep")
    ttl_s = self._ttls[lease]
    return int(ttl_s) if self._store.keep_alive(lease, ttl_s) else 0

  async def revoke_lease(self, lease: int) -> None:
    """Ends a lease."""
    await self._call("lease end")
    self._store.revoke_lease(lease)

  async def watch(
      self, prefix: str, start_revision: int, idle_s: float
  ) -> AsyncIterator[protocol.Event]:
    """Yields changes under `prefix` until the store is unreachable."""
    since = start_revision
    while True:
      await self._call("watch", ignore_backoff=True)
      with anyio.move_on_after(idle_s):
        while not self._store.changes_since(prefix, since):
          await self._store.wait_for_change()
      if not self._network.reaches_store(self._host):
        await anyio.sleep(_WATCH_TIMEOUT_S)
        self._breaker.record("watch silent")
        raise errors.KvUnknownError(f"no answer to the watch on {prefix!r}")
      changes = self._store.changes_since(prefix, since)
      since = self._store.revision + 1
      for change in changes:
        yield protocol.Event(change.deleted, change.record)
      if changes:
        await anyio.sleep(_WATCH_INTERVAL_S)

  async def poll(
      self, prefix: str, after: int, wait_s: float
  ) -> tuple[int, list[protocol.Record]]:
    """Waits once for changes under `prefix`; returns its revision and records.

    Raises:
      errors.KvUnavailableError, errors.KvUnknownError: the call failed.
    """
    await self._call("watch", ignore_backoff=True)
    with anyio.move_on_after(wait_s):
      while not self._store.changes_since(prefix, after + 1):
        await self._store.wait_for_change()
    if not self._network.reaches_store(self._host):
      await anyio.sleep(_WATCH_TIMEOUT_S)
      self._breaker.record("watch silent")
      raise errors.KvUnknownError(f"no answer to the watch on {prefix!r}")
    return self._store.revision, self._store.find(prefix)
