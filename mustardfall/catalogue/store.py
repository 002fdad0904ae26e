"""Reads, changes and follows the catalogue in the KV.

Each entry has its own key, `catalogue/entry/<name>`, so that a change sends
only the changed entries to each router and the catalogue may exceed the size
limit of a value. `catalogue/head` is rewritten by every change, as a
compare-and-swap on its revision: of two concurrent changes one succeeds and the
other fails with an error, and nothing is overwritten silently. Followers move
only to higher revisions, so an accepted change is never reverted on a router by
a stale read or a late event.
"""

import datetime
import json
import logging
import secrets
from typing import Any, NamedTuple

import anyio

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.budget import ledger
from mustardfall.catalogue import model
from mustardfall.catalogue import table as table_lib
from mustardfall.kv import client as kv_client
from mustardfall.kv import protocol
from mustardfall.kv import writer as writer_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

PREFIX = "catalogue/"
HEAD_KEY = PREFIX + "head"
ENTRY_PREFIX = PREFIX + "entry/"
_RETRY_S = 0.5
"""Pause before a failed watch is opened again."""
_OPS_PER_TXN = 100
"""Operations per transaction (etcd allows 128)."""
_READ_ATTEMPTS = 10
"""Reads that are discarded because of concurrent changes before giving up."""
_PAGE_SIZE = 1000
"""Entries read per call, which keeps a response well below a megabyte."""


class _Snapshot(NamedTuple):
  """The catalogue in the KV at one revision."""

  revision: int
  """Revision of the catalogue's head; it increases with every change (0: no
  catalogue)."""
  kv_revision: int
  """The revision of the KV when the first page was read."""
  head: table_lib.Head
  entries: list[model.EntrySpec]


def _decode_entry(record: protocol.Record) -> model.EntrySpec:
  data = json.loads(record.value)
  return settings.parse(data, model.EntrySpec, record.key)


def _decode_head(record: protocol.Record) -> table_lib.Head:
  data = json.loads(record.value)
  return table_lib.Head(
      [
          settings.parse(c, model.CustomerSpec, record.key)
          for c in data["customers"]
      ],
      [
          settings.parse(p, model.PlacementSpec, record.key)
          for p in data["placements"]
      ],
  )


def _encode(spec: Any) -> bytes:
  body = spec.model_dump(mode="json", by_alias=True)
  return json.dumps(body, sort_keys=True).encode()


async def _read_snapshot(kv: kv_client.Client) -> _Snapshot:
  """Reads the whole catalogue at one revision.

  Pages are read one after the other. If the catalogue is changed in between,
  only the later pages contain the change, and its events would be ignored as
  old. Each change rewrites the head, which is read last, so a head that is
  newer than the first page reveals this, and the catalogue is read again.
  """
  for _ in range(_READ_ATTEMPTS):
    kv_revision, revision, head, entries = 0, 0, table_lib.NO_HEAD, []
    async for page_revision, records in kv.get_pages(PREFIX, _PAGE_SIZE):
      kv_revision = kv_revision or page_revision
      for record in records:
        if record.key == HEAD_KEY:
          revision, head = record.mod_revision, _decode_head(record)
        else:
          entries.append(_decode_entry(record))
    if revision <= kv_revision:
      return _Snapshot(revision, kv_revision, head, entries)
  raise errors.KvUnavailableError(
      f"the catalogue changed during each of {_READ_ATTEMPTS} reads"
  )


async def read(kv: kv_client.Client) -> tuple[int, model.CatalogueSpec | None]:
  """Returns the revision and content of the catalogue (0, None if absent)."""
  snapshot = await _read_snapshot(kv)
  if not snapshot.revision:
    return 0, None
  return snapshot.revision, model.CatalogueSpec(
      customers=snapshot.head.customers,
      placements=snapshot.head.placements,
      entries=snapshot.entries,
  )


async def read_revision(kv: kv_client.Client) -> int:
  """Returns the revision of the catalogue in the KV, 0 if absent."""
  record = await kv.get(HEAD_KEY)
  return record.mod_revision if record else 0


async def apply(
    kv: kv_client.Client, spec: model.CatalogueSpec, partial: bool = False
) -> int:
  """Writes `spec` if the catalogue is still at revision `spec.base`.

  For new entries, a budget of `tokens` is created; existing budgets are not
  changed (top-ups go through `budget.ledger.TopUp`). A change of more than a
  hundred entries is written in batches, each checked in the same way. A
  concurrent change between two batches raises an error when the first are
  already written.

  Args:
    kv: the KV client.
    spec: the catalogue, or with `partial` the entries to add or change.
    partial: leave everything that `spec` does not name unchanged.

  Returns:
    The new revision.

  Raises:
    errors.CatalogueConflictError: the catalogue was changed since `spec.base`,
      or since it was read here if `spec` has no base.
  """
  snapshot = await _read_snapshot(kv)
  base = snapshot.revision if spec.base is None else spec.base
  if base != snapshot.revision:
    raise errors.CatalogueConflictError(
        f"catalogue is at {snapshot.revision}, not {base}"
    )
  # Budgets come first: callers of an entry without a budget would be refused.
  await _create_budgets(kv, spec)
  ops = _diff(snapshot, spec, partial)
  head = _merge_head(snapshot.head, spec, partial)
  revision = snapshot.revision
  for i in range(0, max(1, len(ops)), _OPS_PER_TXN):
    batch = ops[i : i + _OPS_PER_TXN]
    revision = await _write_batch(kv, revision, head, batch)
  return revision


def _diff(
    snapshot: _Snapshot, spec: model.CatalogueSpec, partial: bool
) -> list[dict[str, Any]]:
  """Returns the operations that change the entries in the KV into `spec`'s."""
  existing = {e.name: e for e in snapshot.entries}
  ops = [
      protocol.Put(ENTRY_PREFIX + e.name, _encode(e))
      for e in spec.entries
      if existing.get(e.name) != e
  ]
  if not partial:
    wanted = {e.name for e in spec.entries}
    ops += [
        protocol.Delete(ENTRY_PREFIX + n) for n in existing if n not in wanted
    ]
  _check_api_keys(existing, spec, partial)
  return ops


def _check_api_keys(
    existing: dict[str, model.EntrySpec],
    spec: model.CatalogueSpec,
    partial: bool,
) -> None:
  """Raises an error if an API key is used by another entry."""
  if not partial:
    return  # `spec` is complete, and its keys were checked when it was parsed
  changed = {e.name for e in spec.entries}
  taken = {e.api_key: n for n, e in existing.items() if n not in changed}
  for entry in spec.entries:
    if entry.api_key in taken:
      raise errors.SettingsError(
          f"{entry.name}: api_key is already used by {taken[entry.api_key]}"
      )


def _merge_head(
    existing: table_lib.Head, spec: model.CatalogueSpec, partial: bool
) -> table_lib.Head:
  if not partial:
    return table_lib.Head(spec.customers, spec.placements)
  customers = {c.name: c for c in [*existing.customers, *spec.customers]}
  placements = {p.engine: p for p in [*existing.placements, *spec.placements]}
  return table_lib.Head(list(customers.values()), list(placements.values()))


async def _write_batch(
    kv: kv_client.Client,
    revision: int,
    head: table_lib.Head,
    ops: list[dict[str, Any]],
) -> int:
  """Writes `ops` and the head in one transaction; returns the new revision.

  Raises:
    errors.CatalogueConflictError: the head is no longer at `revision`.
  """
  value = json.dumps(
      {
          "customers": [c.model_dump(mode="json") for c in head.customers],
          "placements": [p.model_dump(mode="json") for p in head.placements],
          "after": revision,
          "edit": secrets.token_hex(8),
      }
  ).encode()
  try:
    result = await kv.txn(
        [protocol.Compare(HEAD_KEY, "MOD", revision)],
        [*ops, protocol.Put(HEAD_KEY, value)],
    )
  except errors.KvUnknownError:
    # The reply was lost and the transaction may have been committed. It was if
    # the head has the value written here, since `edit` is unique to each write.
    record = await kv.get(HEAD_KEY)
    if record is None or record.value != value:
      raise
    return record.mod_revision
  if not result.succeeded:
    raise errors.CatalogueConflictError(
        f"the catalogue was changed since revision {revision}"
    )
  return result.revision


async def _create_budgets(
    kv: kv_client.Client, spec: model.CatalogueSpec
) -> None:
  """Creates the budgets that don't exist in the KV yet, in batches."""
  writer = writer_lib.Writer(
      kv,
      settings.Writer(interval_s=0.0, linger_s=0.0),
      clock_lib.SystemClock(),
  )
  async with anyio.create_task_group() as tg:
    tg.start_soon(writer.run)
    async with anyio.create_task_group() as creating:
      for entry in spec.entries:
        change = ledger.Create(entry.tokens)
        creating.start_soon(writer.submit, ledger.key(entry.name), change)
    tg.cancel_scope.cancel()


class Follower:
  """Keeps a table of the newest catalogue by watching the KV.

  Args:
    kv: the KV client.
    bus: `CATALOGUE_CHANGED` is emitted on it for each newer catalogue.
    clock: the time source.
    idle_s: a watch without any message for this long is opened again.
  """

  def __init__(
      self,
      kv: kv_client.Client,
      bus: events.Bus,
      clock: clock_lib.Clock,
      idle_s: float,
  ) -> None:
    self._kv = kv
    self._bus = bus
    self._clock = clock
    self._idle_s = idle_s
    self.current = table_lib.Table()
    self.since: datetime.datetime | None = None
    """When the current catalogue came into force, UTC."""

  async def follow(self) -> None:
    """Reads the catalogue and watches it; starts over if that fails."""
    while True:
      try:
        snapshot = await _read_snapshot(self._kv)
        if snapshot.revision and self.current.replace(
            snapshot.revision, snapshot.entries, snapshot.head
        ):
          self._note_change()
        await self._watch(snapshot.kv_revision + 1)
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.debug("watching the catalogue failed: %s", exc)
      except errors.SettingsError as exc:
        # The data was not written by this project's CLI; keep the current
        # catalogue.
        logger.error("invalid catalogue in the KV ignored: %s", exc)
      await anyio.sleep(_RETRY_S)

  async def _watch(self, start_revision: int) -> None:
    changes = self._kv.watch(PREFIX, start_revision, self._idle_s)
    async for event in changes:
      self.apply_event(event)

  def apply_event(self, event: protocol.Event) -> None:
    """Applies one change, unless it is older than the catalogue in force."""
    record = event.record
    if record.key == HEAD_KEY:
      # Each transaction writes the head last, so all of its entries have been
      # received.
      if not event.deleted and self.current.set_head(
          record.mod_revision, _decode_head(record)
      ):
        self._note_change()
    elif event.deleted:
      name = record.key.removeprefix(ENTRY_PREFIX)
      self.current.remove(record.mod_revision, name)
    else:
      self.current.put(record.mod_revision, _decode_entry(record))

  def _note_change(self) -> None:
    self.since = self._clock.wall()
    logger.info("catalogue in force", extra={"revision": self.current.revision})
    self._bus.emit(events.Name.CATALOGUE_CHANGED, self.current)
