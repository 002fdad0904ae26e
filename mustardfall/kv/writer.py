"""Group commit: many changes to many keys in one compare-and-swap call.

The platform limits the rate of calls, and the limit grows more slowly than
the fleet. A router therefore never writes a single key: it passes the change
to its one `Writer`, which combines all pending changes into one transaction
and leaves at least `interval_s` between two of them. The number of writes
grows with routers and time, not with requests or budgets.
"""

import collections
from collections.abc import Callable
import dataclasses
import logging
import random
from typing import Any, NamedTuple

import anyio

from mustardfall import errors
from mustardfall import settings
from mustardfall.kv import change as change_lib
from mustardfall.kv import protocol
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_ATTEMPTS = 24
"""Attempts to commit a transaction before its changes fail."""
_MAX_LOST_REPLIES = 8
"""Attempts among these whose reply may be lost; each takes a full timeout."""
_CONFLICT_BACKOFF_S = 0.004
"""Upper bound of the random pause after a first conflict, about the duration
of a call. It grows with each further attempt, so that routers that write the
same key take turns."""
_MAX_CONFLICT_BACKOFF_S = 0.02
_FLUSH_POLL_S = 0.02
_CACHE_KEYS = 20_000
"""Values cached, so that most changes need no read first."""


@dataclasses.dataclass
class _PendingChange:
  """A pending change and its outcome."""

  key: str
  change: Any
  done: anyio.Event | None = None
  """Set once the change was written or failed. None for a posted change, which
  nobody waits for and which is retried until it is written."""
  after: change_lib.Value | None = None
  error: errors.Error | None = None


class _CachedValue(NamedTuple):
  """A cached value and the revision it was read at (None, 0: absent)."""

  value: change_lib.Value | None
  revision: int


_ABSENT = _CachedValue(None, 0)


class Writer:
  """Writes a router's changes in batches; `run` must run as a task.

  Args:
    kv: the KV client.
    config: batch size and intervals.
    clock: the time source.
    on_value: called with `(key, value)` for each value read or written.
    get_lease: returns the lease to attach to a key (0: none).
  """

  def __init__(
      self,
      kv: protocol.Store,
      config: settings.Writer,
      clock: clock_lib.Clock,
      on_value: Callable[[str, change_lib.Value], None] | None = None,
      get_lease: Callable[[str], int] | None = None,
  ) -> None:
    self._kv = kv
    self._config = config
    self._clock = clock
    self._on_value = on_value or (lambda key, value: None)
    self._lease_of = get_lease or (lambda key: 0)
    self._submitted: collections.deque[_PendingChange] = collections.deque()
    self._posted: collections.deque[_PendingChange] = collections.deque()
    self._wake = anyio.Event()
    self._cache: collections.OrderedDict[str, _CachedValue] = (
        collections.OrderedDict()
    )
    self._last_attempt_at = -float("inf")
    self._committing = False
    self._flushing = False
    self._stopped = False
    self._paused = False
    """Whether the writer pauses because the last batch failed."""
    self._random = random.Random()
    self.counts: collections.Counter[str] = collections.Counter()
    self.transactions: collections.Counter[str] = collections.Counter()
    """Transactions sent, by what is in them; see `_transaction_kind`."""

  @property
  def is_paused(self) -> bool:
    """Whether the writer pauses because the last batch failed."""
    return self._paused

  @property
  def backlog(self) -> int:
    """Number of posted changes not yet written."""
    return len(self._posted)

  async def submit(self, key: str, change: Any) -> change_lib.Value | None:
    """Writes `change` in the next batch and waits for it.

    Returns:
      The value after the change, or the current one if it was a no-op.

    Raises:
      errors.KvUnavailableError: not written.
      errors.KvUnknownError: it may have been written.
    """
    if self._stopped:
      raise errors.KvUnavailableError(f"{key} not written: writer has stopped")
    if self._paused:
      # A request waits for this change. Queued, it would wait for up to
      # `linger_s` and then most likely fail as well.
      raise errors.KvUnavailableError(
          f"{key} not written: the last transaction failed"
      )
    pending = _PendingChange(key, change, anyio.Event())
    self._submitted.append(pending)
    self._wake.set()
    await pending.done.wait()
    if pending.error is not None:
      raise pending.error
    return pending.after

  def post(self, key: str, change: Any) -> None:
    """Queues `change`, which is retried until it is written.

    For changes that must be written but that nobody waits for (a
    settlement, an outcome). They are written in the next batch of submitted
    changes, or after `linger_s` without one.
    """
    self._posted.append(_PendingChange(key, change))
    self._wake.set()

  async def run(self) -> None:
    """Commits batches until cancelled."""
    self._stopped = False
    try:
      await self._run()
    finally:
      # Callers wait for grants in a shielded scope. A wait for a writer that
      # has stopped would keep the process from ever exiting.
      self._stopped = True
      for pending in self._submitted:
        pending.error = errors.KvUnavailableError(
            f"{pending.key} not written: writer has stopped"
        )
        pending.done.set()
      self._submitted.clear()

  async def _run(self) -> None:
    while True:
      await self._wake.wait()
      self._wake = anyio.Event()
      while self._submitted or self._posted:
        await self._throttle()
        if not await self.commit_once():
          self._paused = True
          try:
            await anyio.sleep(self._config.linger_s)
          finally:
            self._paused = False

  async def _throttle(self) -> None:
    """Waits until the next transaction may start.

    That is `interval_s` after the last one if callers wait or `flush` was
    called, else `linger_s`.
    """
    while True:
      since = self._clock.monotonic() - self._last_attempt_at
      is_urgent = self._submitted or self._flushing
      config = self._config
      pause = (config.interval_s if is_urgent else config.linger_s) - since
      if pause <= 0:
        return
      if is_urgent:
        await anyio.sleep(pause)
        return
      with anyio.move_on_after(pause):
        await self._wake.wait()
      self._wake = anyio.Event()

  async def flush(self, deadline_s: float) -> None:
    """Waits until all pending changes are written, for at most `deadline_s`.

    For a graceful stop; `run` must still be running.
    """
    self._flushing = True
    self._wake.set()
    with anyio.move_on_after(deadline_s):
      while self._submitted or self._posted or self._committing:
        await anyio.sleep(_FLUSH_POLL_S)

  async def commit_once(self) -> bool:
    """Writes one batch; returns False when the KV was unavailable."""
    batch = self._next_batch()
    self._committing = True
    try:
      return await self._try_commit(batch)
    except BaseException:  # cancelled: the changes may have been written
      self._fail_or_requeue(
          batch, errors.KvUnknownError("writer stopped during a transaction")
      )
      raise
    finally:
      self._committing = False
      self._last_attempt_at = self._clock.monotonic()

  async def _try_commit(self, batch: list[_PendingChange]) -> bool:
    """Writes changes; on failure, fails the submitted and requeues the posted.

    Returns:
      Whether the KV answered.
    """
    try:
      is_written = await self._commit(batch)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      self.counts["failed"] += 1
      self._fail_or_requeue(batch, exc)
      return isinstance(exc, errors.KvConflictError)
    if not is_written:
      return await self._commit_per_key(batch)
    for pending in batch:
      if pending.done is not None:
        pending.done.set()
    return True

  async def _commit_per_key(self, batch: list[_PendingChange]) -> bool:
    """Writes changes in one transaction per key, after a conflict.

    While other routers write some of the keys, a transaction of all keys would
    conflict again and again, and delay the changes to uncontended keys.
    """
    by_key: dict[str, list[_PendingChange]] = {}
    for pending in batch:
      by_key.setdefault(pending.key, []).append(pending)
    answered = True
    for key_batch in by_key.values():
      if answered:
        answered = await self._try_commit(key_batch)
      else:
        self._fail_or_requeue(
            key_batch, errors.KvUnavailableError("KV unavailable")
        )
    return answered

  def _next_batch(self) -> list[_PendingChange]:
    """Dequeues submitted, then posted, changes to at most `max_keys` keys."""
    batch, keys = [], set()
    for queue in (self._submitted, self._posted):
      for _ in range(len(queue)):
        pending = queue.popleft()
        if pending.key in keys or len(keys) < self._config.max_keys:
          keys.add(pending.key)
          batch.append(pending)
        else:
          queue.append(pending)
    return batch

  def _fail_or_requeue(
      self, batch: list[_PendingChange], exc: errors.Error
  ) -> None:
    """Reports `exc` to callers that wait, and queues posted changes again."""
    for pending in batch:
      self._cache.pop(pending.key, None)
      if pending.done is not None and pending.done.is_set():
        continue
      if pending.done is None:
        self._posted.append(pending)
        continue
      pending.error = exc
      pending.done.set()

  async def _commit(self, batch: list[_PendingChange]) -> bool:
    """Writes changes in one transaction.

    Returns:
      False when another writer changed one of several keys first; then nothing
      was written.

    Raises:
      errors.KvUnavailableError, errors.KvUnknownError: see `submit`.
    """
    keys = list(dict.fromkeys(s.key for s in batch))
    sent = may_be_written = False
    lost_replies = 0
    for attempt in range(_ATTEMPTS):
      if lost_replies >= _MAX_LOST_REPLIES:
        break
      try:
        values = await self._prepare(batch, keys)
        if not values:
          self.counts["no_ops"] += 1
          return True
        sent = True
        self.transactions[_transaction_kind(batch, attempt)] += 1
        if await self._compare_and_swap(values):
          return True
        sent = False
        if len(keys) > 1 and not may_be_written:
          return False
        await self._back_off(attempt)
      except errors.KvUnknownError:
        # A reply was lost; if it was that of a write, the write may have
        # taken effect. Drop the cached values: a value read again contains
        # the id of each change that took effect, so none is applied twice.
        self.counts["lost_replies"] += 1
        lost_replies += 1
        may_be_written = may_be_written or sent
        for key in keys:
          self._cache.pop(key, None)
      except errors.KvUnavailableError as exc:
        # This attempt had no effect, but an earlier one may have had.
        raise (
            errors.KvUnknownError(str(exc)) if may_be_written else exc
        ) from exc
    kind = errors.KvUnknownError if may_be_written else errors.KvConflictError
    raise kind(
        f"{len(keys)} keys: transaction failed after conflicts or lost replies"
    )

  async def _back_off(self, attempt: int) -> None:
    """Pauses for a random time, whose upper bound grows with each attempt."""
    max_s = min(_MAX_CONFLICT_BACKOFF_S, (attempt + 1) * _CONFLICT_BACKOFF_S)
    await anyio.sleep(max_s * self._random.random())

  async def _prepare(
      self, batch: list[_PendingChange], keys: list[str]
  ) -> dict[str, change_lib.Value]:
    """Returns the values to write; reads keys that are not cached."""
    fresh = {k for k in keys if k not in self._cache}
    await self._read(list(fresh))
    values, unconfirmed = self._plan(batch, fresh)
    if unconfirmed:
      # According to a cached value there is nothing to write, e.g. a grant is
      # refused for lack of headroom, but a top-up may have added some since.
      # Read again, as a refusal based on a stale value would be wrong.
      await self._read(unconfirmed)
      values, _ = self._plan(batch, fresh.union(unconfirmed))
    return values

  async def _read(self, keys: list[str]) -> None:
    if not keys:
      return
    records = await self._kv.get_many(keys)
    self.counts["reads"] += 1
    for key in keys:
      self._cache_record(key, records.get(key))

  def _plan(
      self, batch: list[_PendingChange], fresh: set[str]
  ) -> tuple[dict[str, change_lib.Value], list[str]]:
    """Returns the values to write, and keys to read again.

    These are the keys of changes that are no-ops according to a cached value.
    """
    values: dict[str, change_lib.Value] = {}
    unconfirmed = []
    for pending in batch:
      key = pending.key
      before = values.get(key, self._cache[key].value)
      after = change_lib.apply(pending.change, before)
      if after is None:
        if key not in fresh:
          unconfirmed.append(key)
        pending.after = before
      else:
        values[key] = pending.after = after
    return values, unconfirmed

  async def _compare_and_swap(
      self, values: dict[str, change_lib.Value]
  ) -> bool:
    compares = [
        protocol.Compare(key, "MOD", self._cache[key].revision)
        for key in values
    ]
    puts = [
        protocol.Put(key, change_lib.encode(value), self._lease_of(key))
        for key, value in values.items()
    ]
    result = await self._kv.txn(
        compares, puts, [protocol.Read(key) for key in values]
    )
    self.counts["transactions"] += 1
    if result.succeeded:
      self.counts["values_written"] += len(values)
      for key, value in values.items():
        self._cache_value(key, _CachedValue(value, result.revision))
      return True
    self.counts["conflicts"] += 1
    records = {record.key: record for record in result.records}
    for key in values:
      self._cache_record(key, records.get(key))
    return False

  def _cache_record(self, key: str, record: protocol.Record | None) -> None:
    if record is None:
      self._cache_value(key, _ABSENT)
    else:
      value = change_lib.decode(record.value)
      self._cache_value(key, _CachedValue(value, record.mod_revision))

  def _cache_value(self, key: str, cached: _CachedValue) -> None:
    self._cache[key] = cached
    self._cache.move_to_end(key)
    if len(self._cache) > _CACHE_KEYS + self._config.max_keys:
      self._cache.popitem(last=False)
    if cached.value is not None:
      self._on_value(key, cached.value)


def _transaction_kind(batch: list[_PendingChange], attempt: int) -> str:
  """Returns the types of the changes that caused a transaction.

  Changes that a caller waits for cause it; the posted ones only ride along.
  """
  waited = [pending for pending in batch if pending.done is not None]
  names = {type(pending.change).__name__ for pending in waited or batch}
  cause = "waited" if waited else "posted"
  again = " again" if attempt else ""
  return f"{cause} {'+'.join(sorted(names))}{again}"
