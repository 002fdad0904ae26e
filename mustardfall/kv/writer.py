"""Group commit: many changes to many keys in one compare-and-swap call.

The platform counts calls, and its rates grow slower than the fleet. So
a router never writes a key by itself: it hands the change to its one
`Writer`, which puts all that is waiting into a single transaction and
leaves at least `interval_s` between two of them. Writes then grow with
routers and time, never with requests or budgets.
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
"""Tries of one transaction before its changes are given up."""
_MOST_LOST_REPLIES = 8
"""Of these, tries whose answer was lost; each takes as long as a call may."""
_CONFLICT_PAUSE_S = 0.004
"""Longest pause after a first conflict, as long as a call takes; it grows with
each further one, so that those who write the same key take turns."""
_MOST_CONFLICT_PAUSE_S = 0.02
_FLUSH_STEP_S = 0.02
_CACHE_KEYS = 20_000
"""Records remembered, so that most changes need no read first."""


@dataclasses.dataclass
class _Submission:
  """One change waiting to be written, and what became of it."""

  key: str
  change: Any
  done: anyio.Event | None = None
  """None for a posted change: nobody waits, it is tried until it holds."""
  after: change_lib.Value | None = None
  error: errors.Error | None = None


class _Seen(NamedTuple):
  """A value and the revision it was last seen at (None, 0: absent)."""

  value: change_lib.Value | None
  revision: int


_ABSENT = _Seen(None, 0)


class Writer:
  """Writes a router's changes in batches; run `run` beside it.

  Args:
    kv: the KV client.
    config: batch size and pace.
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
    self._waiting: collections.deque[_Submission] = collections.deque()
    self._posted: collections.deque[_Submission] = collections.deque()
    self._wake = anyio.Event()
    self._seen: collections.OrderedDict[str, _Seen] = collections.OrderedDict()
    self._last_commit = -float("inf")
    self._committing = False
    self._flushing = False
    self._ended = False
    self._away = False
    """Whether the writer pauses since the KV did not take a batch."""
    self._random = random.Random()
    self.counts: collections.Counter[str] = collections.Counter()

  @property
  def away(self) -> bool:
    """Whether the KV did not take the last batch."""
    return self._away

  @property
  def backlog(self) -> int:
    """Posted changes not yet written."""
    return len(self._posted)

  async def submit(self, key: str, change: Any) -> change_lib.Value | None:
    """Writes `change` in the next batch and waits for it.

    Returns:
      The value after it, or as found when there was nothing to write.

    Raises:
      errors.KvUnavailableError: not written.
      errors.KvUnknownError: it may have been written.
    """
    if self._ended:
      raise errors.KvUnavailableError("the writer has ended")
    if self._away:
      # A request waits for this. Queued behind the pause, it would be held
      # for up to `linger_s` and then fail all the same.
      raise errors.KvUnavailableError("the last transaction failed")
    submission = _Submission(key, change, anyio.Event())
    self._waiting.append(submission)
    self._wake.set()
    await submission.done.wait()
    if submission.error is not None:
      raise submission.error
    return submission.after

  def post(self, key: str, change: Any) -> None:
    """Writes `change` some time later, tried until the KV takes it.

    For changes that must land but that nobody waits for (a settlement,
    an outcome). They ride along with waiting ones, or go by themselves
    after `linger_s`.
    """
    self._posted.append(_Submission(key, change))
    self._wake.set()

  async def run(self) -> None:
    """Commits batches until cancelled."""
    self._ended = False
    try:
      await self._run()
    finally:
      # Grants are waited for under a shield. Left waiting for a writer that
      # has ended, they would keep a stopping process from ever exiting.
      self._ended = True
      for submission in self._waiting:
        submission.error = errors.KvUnavailableError("the writer has ended")
        submission.done.set()
      self._waiting.clear()

  async def _run(self) -> None:
    while True:
      await self._wake.wait()
      self._wake = anyio.Event()
      while self._waiting or self._posted:
        await self._pace()
        if not await self.commit_once():
          self._away = True
          try:
            await anyio.sleep(self._config.linger_s)
          finally:
            self._away = False

  async def _pace(self) -> None:
    """Waits as long as the pace asks before the next transaction."""
    while True:
      since = self._clock.monotonic() - self._last_commit
      in_a_hurry = self._waiting or self._flushing
      config = self._config
      pause = (config.interval_s if in_a_hurry else config.linger_s) - since
      if pause <= 0:
        return
      if in_a_hurry:
        await anyio.sleep(pause)
        return
      with anyio.move_on_after(pause):
        await self._wake.wait()
      self._wake = anyio.Event()

  async def flush(self, deadline_s: float) -> None:
    """Waits until all that was posted is written, or for `deadline_s`.

    For a graceful stop, while `run` still runs.
    """
    self._flushing = True
    self._wake.set()
    with anyio.move_on_after(deadline_s):
      while self._waiting or self._posted or self._committing:
        await anyio.sleep(_FLUSH_STEP_S)

  async def commit_once(self) -> bool:
    """Writes one batch; returns False when the KV did not take it."""
    batch = self._take()
    self._committing = True
    try:
      return await self._commit_or_give_up(batch)
    except BaseException:  # cancelled: the changes may have landed
      self._give_up(batch, errors.KvUnknownError("writer stopped"))
      raise
    finally:
      self._committing = False
      self._last_commit = self._clock.monotonic()

  async def _commit_or_give_up(self, batch: list[_Submission]) -> bool:
    """Writes changes, or gives them up; returns whether the KV answered."""
    try:
      is_written = await self._commit(batch)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      self.counts["failed"] += 1
      self._give_up(batch, exc)
      return isinstance(exc, errors.KvConflictError)
    if not is_written:
      return await self._commit_apart(batch)
    for submission in batch:
      if submission.done is not None:
        submission.done.set()
    return True

  async def _commit_apart(self, batch: list[_Submission]) -> bool:
    """Writes changes key by key, since others write some of the keys, too.

    One transaction of all would meet another writer again and again, and take
    the changes along that nobody else is in the way of.
    """
    by_key: dict[str, list[_Submission]] = {}
    for submission in batch:
      by_key.setdefault(submission.key, []).append(submission)
    answered = True
    for part in by_key.values():
      if answered:
        answered = await self._commit_or_give_up(part)
      else:
        self._give_up(part, errors.KvUnavailableError("the KV is away"))
    return answered

  def _take(self) -> list[_Submission]:
    """Takes waiting, then posted, changes of up to `max_keys` keys."""
    batch, keys = [], set()
    for queue in (self._waiting, self._posted):
      for _ in range(len(queue)):
        submission = queue.popleft()
        if submission.key in keys or len(keys) < self._config.max_keys:
          keys.add(submission.key)
          batch.append(submission)
        else:
          queue.append(submission)
    return batch

  def _give_up(self, batch: list[_Submission], exc: errors.Error) -> None:
    for submission in batch:
      self._seen.pop(submission.key, None)
      if submission.done is not None and submission.done.is_set():
        continue
      if submission.done is None:
        self._posted.append(submission)
        continue
      submission.error = exc
      submission.done.set()

  async def _commit(self, batch: list[_Submission]) -> bool:
    """Writes changes in one transaction.

    Returns:
      False when another wrote one of several keys first: nothing is written.

    Raises:
      errors.KvUnavailableError, errors.KvUnknownError: see `submit`.
    """
    keys = list(dict.fromkeys(s.key for s in batch))
    sent = unsure = False
    lost_replies = 0
    for attempt in range(_ATTEMPTS):
      if lost_replies >= _MOST_LOST_REPLIES:
        break
      try:
        values = await self._prepare(batch, keys)
        if not values:
          self.counts["no_ops"] += 1
          return True
        sent = True
        if await self._swap(values):
          return True
        sent = False
        if len(keys) > 1 and not unsure:
          return False
        await self._let_others_pass(attempt)
      except errors.KvUnknownError:
        # A reply was lost; if it was a write's, the write may stand.
        # Forget what we knew: the re-read shows each change its own
        # mark if it took effect, so nothing is applied twice.
        self.counts["lost_replies"] += 1
        lost_replies += 1
        unsure = unsure or sent
        for key in keys:
          self._seen.pop(key, None)
      except errors.KvUnavailableError as exc:
        # Refused now, but an earlier try of ours may have landed.
        raise (errors.KvUnknownError(str(exc)) if unsure else exc) from exc
    kind = errors.KvUnknownError if unsure else errors.KvConflictError
    raise kind(f"{len(keys)} keys: others were first, or answers were lost")

  async def _let_others_pass(self, conflicts: int) -> None:
    """Pauses for a moment that grows with the conflicts so far."""
    most_s = min(_MOST_CONFLICT_PAUSE_S, (conflicts + 1) * _CONFLICT_PAUSE_S)
    await anyio.sleep(most_s * self._random.random())

  async def _prepare(
      self, batch: list[_Submission], keys: list[str]
  ) -> dict[str, change_lib.Value]:
    """Returns the values to write, having read what must be read."""
    fresh = {k for k in keys if k not in self._seen}
    await self._read(list(fresh))
    values, unsure = self._plan(batch, fresh)
    if unsure:
      # A remembered value says "nothing to write", e.g. a grant refused
      # for want of headroom that a top-up has since added. Refusing on
      # memory would be a false refusal, so read before believing it.
      await self._read(unsure)
      values, _ = self._plan(batch, fresh.union(unsure))
    return values

  async def _read(self, keys: list[str]) -> None:
    if not keys:
      return
    found = await self._kv.get_many(keys)
    self.counts["reads"] += 1
    for key in keys:
      self._remember(key, found.get(key))

  def _plan(
      self, batch: list[_Submission], fresh: set[str]
  ) -> tuple[dict[str, change_lib.Value], list[str]]:
    """Returns the values to write, and keys whose no-ops need a read."""
    values: dict[str, change_lib.Value] = {}
    unsure = []
    for submission in batch:
      key = submission.key
      before = values.get(key, self._seen[key].value)
      after = change_lib.apply(submission.change, before)
      if after is None:
        if key not in fresh:
          unsure.append(key)
        submission.after = before
      else:
        values[key] = submission.after = after
    return values, unsure

  async def _swap(self, values: dict[str, change_lib.Value]) -> bool:
    compares = [
        protocol.Compare(key, "MOD", self._seen[key].revision) for key in values
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
        self._keep(key, _Seen(value, result.revision))
      return True
    self.counts["conflicts"] += 1
    found = {record.key: record for record in result.records}
    for key in values:
      self._remember(key, found.get(key))
    return False

  def _remember(self, key: str, record: protocol.Record | None) -> None:
    if record is None:
      self._keep(key, _ABSENT)
    else:
      value = change_lib.decode(record.value)
      self._keep(key, _Seen(value, record.mod_revision))

  def _keep(self, key: str, seen: _Seen) -> None:
    self._seen[key] = seen
    self._seen.move_to_end(key)
    if len(self._seen) > _CACHE_KEYS + self._config.max_keys:
      self._seen.popitem(last=False)
    if seen.value is not None:
      self._on_value(key, seen.value)
