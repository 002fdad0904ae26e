"""Reading, applying and following the catalogue in the KV.

Each entry is a key of its own, `catalogue/entry/<name>`, so that a
change sends one entry to each router and the catalogue may outgrow a
value's size. `catalogue/head` is rewritten with every change: apply is
a compare-and-swap on its revision, so when two operators race, one wins
and the other is told; nothing is overwritten silently. Followers only
ever move to a higher revision, so an accepted change never reverts on a
router, even when a stale read or a replayed event arrives late.
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
HEAD = PREFIX + "head"
ENTRY = PREFIX + "entry/"
_RETRY_S = 0.5
"""Pause before a broken watch is opened again."""
_OPS_A_WRITE = 100
"""Entries written in one transaction (etcd allows 128 operations)."""
_READ_ATTEMPTS = 10
_PAGE = 1000
"""Entries read in one call, to stay well under a megabyte."""


class _Read(NamedTuple):
  """The catalogue as the KV holds it."""

  revision: int
  """The head's: it rises with every change (0: there is none)."""
  at: int
  """The KV's own revision when the first page was read."""
  head: table_lib.Head
  entries: list[model.EntrySpec]


def _entry(record: protocol.Record) -> model.EntrySpec:
  data = json.loads(record.value)
  return settings.parse(data, model.EntrySpec, record.key)


def _head(record: protocol.Record) -> table_lib.Head:
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


async def _read(kv: kv_client.Client) -> _Read:
  """Reads the whole catalogue as it stood at one revision.

  Pages are read one after the other. Had a change come in between, some
  would show it and some not, and its events would look like old news. But
  each change rewrites the head, which is read last: a head newer than the
  first page says so, and all is read again.
  """
  for _ in range(_READ_ATTEMPTS):
    at, revision, head, entries = 0, 0, table_lib.NO_HEAD, []
    async for page_revision, records in kv.get_pages(PREFIX, _PAGE):
      at = at or page_revision
      for record in records:
        if record.key == HEAD:
          revision, head = record.mod_revision, _head(record)
        else:
          entries.append(_entry(record))
    if revision <= at:
      return _Read(revision, at, head, entries)
  raise errors.KvUnavailableError("the catalogue changes while it is read")


async def read(kv: kv_client.Client) -> tuple[int, model.CatalogueSpec | None]:
  """Returns the catalogue's revision and contents (0, None if absent)."""
  found = await _read(kv)
  if not found.revision:
    return 0, None
  return found.revision, model.CatalogueSpec(
      customers=found.head.customers,
      placements=found.head.placements,
      entries=found.entries,
  )


async def read_revision(kv: kv_client.Client) -> int:
  """Returns the revision of the catalogue in the KV (0: there is none)."""
  record = await kv.get(HEAD)
  return record.mod_revision if record else 0


async def apply(
    kv: kv_client.Client, spec: model.CatalogueSpec, only: bool = False
) -> int:
  """Writes `spec` if the catalogue is still at `spec.base`.

  New entries get their budget created with `tokens`; existing budgets
  are left alone (top-ups go through `budget.ledger.TopUp`). A change of
  more than a hundred entries is written in several steps, each under the
  same check; an operator who loses the race in the middle is told.

  Args:
    kv: the KV client.
    spec: the catalogue, or with `only` the entries to add or change.
    only: leave what `spec` does not name alone.

  Returns:
    The new revision.

  Raises:
    errors.CatalogueConflictError: the revision moved since `spec.base`, or
      since our read when no base was given.
  """
  found = await _read(kv)
  base = found.revision if spec.base is None else spec.base
  if base != found.revision:
    raise errors.CatalogueConflictError(
        f"catalogue is at {found.revision}, not {base}"
    )
  # Before the entries: an entry in force without its budget would have
  # its callers refused.
  await _create_budgets(kv, spec)
  ops = _changes(found, spec, only)
  head = _merge_heads(found.head, spec, only)
  revision = found.revision
  for i in range(0, max(1, len(ops)), _OPS_A_WRITE):
    step = ops[i : i + _OPS_A_WRITE]
    revision = await _write_step(kv, revision, head, step)
  return revision


def _changes(
    found: _Read, spec: model.CatalogueSpec, only: bool
) -> list[dict[str, Any]]:
  """Returns the operations that turn what is there into `spec`."""
  there = {e.name: e for e in found.entries}
  ops = [
      protocol.Put(ENTRY + e.name, _encode(e))
      for e in spec.entries
      if there.get(e.name) != e
  ]
  if not only:
    wanted = {e.name for e in spec.entries}
    ops += [protocol.Delete(ENTRY + n) for n in there if n not in wanted]
  _check_keys(there, spec, only)
  return ops


def _check_keys(
    there: dict[str, model.EntrySpec], spec: model.CatalogueSpec, only: bool
) -> None:
  """Refuses an API key that another entry has."""
  if not only:
    return  # the file itself was checked
  changed = {e.name for e in spec.entries}
  taken = {e.api_key: n for n, e in there.items() if n not in changed}
  for entry in spec.entries:
    if entry.api_key in taken:
      raise errors.SettingsError(
          f"{entry.name}: its api_key is {taken[entry.api_key]}'s"
      )


def _merge_heads(
    there: table_lib.Head, spec: model.CatalogueSpec, only: bool
) -> table_lib.Head:
  if not only:
    return table_lib.Head(spec.customers, spec.placements)
  customers = {c.name: c for c in [*there.customers, *spec.customers]}
  placements = {p.engine: p for p in [*there.placements, *spec.placements]}
  return table_lib.Head(list(customers.values()), list(placements.values()))


async def _write_step(
    kv: kv_client.Client,
    revision: int,
    head: table_lib.Head,
    ops: list[dict[str, Any]],
) -> int:
  """Writes `ops` and the head, if the head is still at `revision`."""
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
        [protocol.Compare(HEAD, "MOD", revision)],
        [*ops, protocol.Put(HEAD, value)],
    )
  except errors.KvUnknownError:
    # Lost reply: the write may have landed. It did if the head is ours:
    # no two edits write the same head, whoever made them.
    record = await kv.get(HEAD)
    if record is None or record.value != value:
      raise
    return record.mod_revision
  if not result.succeeded:
    raise errors.CatalogueConflictError(f"catalogue moved past {revision}")
  return result.revision


async def _create_budgets(
    kv: kv_client.Client, spec: model.CatalogueSpec
) -> None:
  """Creates the budgets that the KV does not hold yet, in batches."""
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
  """Keeps the newest catalogue seen, by watching the KV.

  Args:
    kv: the KV client.
    bus: told of each newer catalogue.
    clock: the time source.
    idle_s: a watch silent for this long is opened again.
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
    """When what is in force came into force, UTC."""

  async def follow(self) -> None:
    """Reads, then watches; on any break re-reads and watches again."""
    while True:
      try:
        found = await _read(self._kv)
        if found.revision and self.current.replace(
            found.revision, found.entries, found.head
        ):
          self._note_change()
        await self._watch(found.at + 1)
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.debug("catalogue watch broke: %s", exc)
      except errors.SettingsError as exc:
        # Written past our CLI and not readable: what is in force stays.
        logger.error("catalogue refused: %s", exc)
      await anyio.sleep(_RETRY_S)

  async def _watch(self, start_revision: int) -> None:
    changes = self._kv.watch(PREFIX, start_revision, self._idle_s)
    async for event in changes:
      self.take(event)

  def take(self, event: protocol.Event) -> None:
    """Puts one change in force, unless it is older than what is."""
    record = event.record
    if record.key == HEAD:
      # The head is written last in each change: now all of it is here.
      if not event.deleted and self.current.set_head(
          record.mod_revision, _head(record)
      ):
        self._note_change()
    elif event.deleted:
      name = record.key.removeprefix(ENTRY)
      self.current.remove(record.mod_revision, name)
    else:
      self.current.put(record.mod_revision, _entry(record))

  def _note_change(self) -> None:
    self.since = self._clock.wall()
    logger.info("catalogue in force", extra={"revision": self.current.revision})
    self._bus.emit(events.Name.CATALOGUE_CHANGED, self.current)
