"""The key-value store in virtual time, and a host's client of it."""

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

_ANSWER_S = 0.004
"""Time that the store takes for an answer."""
_CALL_S = 0.45
"""A caller gives up after this."""
_WATCH_SLACK_S = 0.6
"""How much later than asked a watch may end before it is given up."""


class _Change(NamedTuple):
  revision: int
  deleted: bool
  record: protocol.Record


class Store:
  """What all clients share: keys, leases and the history."""

  def __init__(self) -> None:
    self.records: dict[str, protocol.Record] = {}
    self.calls: collections.Counter[str] = collections.Counter()
    self.revision = 1
    self._history: list[_Change] = []
    self._changed = anyio.Event()
    self._leases: dict[int, set[str]] = {}
    self._lease_of: dict[str, int] = {}
    self._timers: dict[int, asyncio.TimerHandle] = {}
    self._ids = itertools.count(1)

  def _note(self, deleted: bool, record: protocol.Record) -> None:
    self._history.append(_Change(self.revision, deleted, record))
    self._changed.set()
    self._changed = anyio.Event()

  def _put(self, key: str, value: bytes, lease: int) -> None:
    self._drop_lease(key)
    if lease:
      self._leases[lease].add(key)
      self._lease_of[key] = lease
    self.records[key] = protocol.Record(key, value, self.revision, 0)
    self._note(False, self.records[key])

  def _drop_lease(self, key: str) -> None:
    lease = self._lease_of.pop(key, 0)
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
      raise errors.KvUnavailableError("the lease has ended")
    self.revision += 1
    for op in puts:
      self._put(op.key, op.value, op.lease)
    return protocol.TxnResult(True, self.revision, [])

  def grant(self, ttl_s: float) -> int:
    """Opens a lease; returns its id."""
    lease = next(self._ids)
    self._leases[lease] = set()
    self.keep(lease, ttl_s)
    return lease

  def keep(self, lease: int, ttl_s: float) -> bool:
    """Renews a lease; returns False when it has ended."""
    if lease not in self._leases:
      return False
    old = self._timers.pop(lease, None)
    if old is not None:
      old.cancel()
    loop = asyncio.get_running_loop()
    self._timers[lease] = loop.call_later(ttl_s, self.end, lease)
    return True

  def end(self, lease: int) -> None:
    """Ends a lease and deletes its keys."""
    timer = self._timers.pop(lease, None)
    if timer is not None:
      timer.cancel()
    for key in self._leases.pop(lease, ()):
      self.revision += 1
      self._lease_of.pop(key, None)
      record = self.records.pop(key)
      self._note(True, record)

  def changes(self, prefix: str, since: int) -> list[_Change]:
    """Returns what changed under `prefix` from revision `since` on."""
    found = []
    for change in reversed(self._history):
      if change.revision < since:
        break
      if change.record.key.startswith(prefix):
        found.append(change)
    return found[::-1]

  async def wait(self) -> None:
    """Waits for the next change."""
    await self._changed.wait()


class Client:
  """One host's client; fails as the network says.

  Args:
    store: the store.
    network: the faults in force.
    host: whose client it is.
    rng: draws which answers are lost.
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
    """Does nothing."""

  async def _reach(self, kind: str, eager: bool = False) -> None:
    """Takes as long as a call; raises what a failed one raises."""
    if not eager and not self._breaker.allows_call():
      raise errors.KvUnavailableError("store away")
    self.calls += 1
    self._store.calls[kind] += 1
    if not self._network.reaches_store(self._host):
      await anyio.sleep(_CALL_S)
      self._breaker.record("no answer")
      raise errors.KvUnknownError("no answer")
    await anyio.sleep(_ANSWER_S * self._network.slow_x)
    if self._network.is_refused(self._host):
      self._breaker.record("refused")
      raise errors.KvUnavailableError("refused")
    self._breaker.record(None)

  async def get(self, key: str) -> protocol.Record | None:
    """Returns the record at `key`, or None."""
    await self._reach("read")
    return self._store.records.get(key)

  async def get_many(self, keys: list[str]) -> dict[str, protocol.Record]:
    """Returns the records found at `keys`."""
    found = {}
    for key in keys:
      record = await self.get(key)
      if record is not None:
        found[key] = record
    return found

  async def get_prefix(self, prefix: str) -> tuple[int, list[protocol.Record]]:
    """Returns the revision and the records under `prefix`."""
    await self._reach("read", eager=True)
    records = [
        record
        for key, record in sorted(self._store.records.items())
        if key.startswith(prefix)
    ]
    return self._store.revision, records

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
    """Runs a transaction, or does it and loses the answer."""
    del failure
    await self._reach("write")
    if self._rng.random() >= self._network.lose:
      return self._store.commit(compares, success)
    late_s = self._rng.uniform(0.0, self._network.late_s)
    loop = asyncio.get_running_loop()
    loop.call_later(late_s, self._store.commit, compares, success)
    await anyio.sleep(_CALL_S)
    self._breaker.record("answer lost")
    raise errors.KvUnknownError("answer lost")

  async def grant_lease(self, ttl_s: int) -> int:
    """Opens a lease; returns its id."""
    await self._reach("write")
    lease = self._store.grant(ttl_s)
    self._ttls[lease] = ttl_s
    return lease

  async def keep_alive(self, lease: int) -> int:
    """Renews a lease; returns its term, 0 when it has ended."""
    await self._reach("keep")
    ttl_s = self._ttls[lease]
    return int(ttl_s) if self._store.keep(lease, ttl_s) else 0

  async def revoke_lease(self, lease: int) -> None:
    """Ends a lease."""
    await self._reach("write")
    self._store.end(lease)

  async def watch(
      self, prefix: str, start_revision: int, idle_s: float
  ) -> AsyncIterator[protocol.Event]:
    """Yields changes under `prefix` until the way to the store is lost."""
    since = start_revision
    while True:
      await self._reach("watch", eager=True)
      with anyio.move_on_after(idle_s):
        while not self._store.changes(prefix, since):
          await self._store.wait()
      if not self._network.reaches_store(self._host):
        await anyio.sleep(_WATCH_SLACK_S)
        self._breaker.record("watch silent")
        raise errors.KvUnknownError("watch silent")
      for change in self._store.changes(prefix, since):
        yield protocol.Event(change.deleted, change.record)
      since = self._store.revision + 1
