"""Reads the documents that routers share from the platform's store."""

import json
import logging
from typing import Protocol

from mustardfall.kv import protocol
from mustardfall.membership import deltas
from mustardfall.membership import members as members_lib
from mustardfall.platform import documents
from mustardfall.platform import store as store_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MAX_REVISION_AGE_S = 5.0
"""Age of a revision up to which only the changes since then are read. For an
older one the store may have compacted the changes, or they may be longer than
the document."""


class Source(Protocol):
  """Reads one document."""

  name: str
  max_silence_s: float
  """Time without a notice after which any router reads the document itself."""
  min_interval_s: float
  """Minimum time from the end of one read to the next."""

  async def read(self) -> tuple[deltas.Document, float]:
    """Returns the document and the monotonic time at which it was current.

    Raises:
      errors.KvUnavailableError, errors.KvUnknownError: the read failed.
    """

  def precedes(self, document: deltas.Document, other: deltas.Document) -> bool:
    """Whether `document` is known to be an earlier version than `other`."""


class Servers:
  """The server list, always read as a whole.

  Each server writes its entry about every second, so that a watch would
  return immediately each time.

  Args:
    kv: the platform's store.
    clock: the time source.
  """

  name = documents.SERVERS_PREFIX
  max_silence_s = 1.1
  """A server must get no more requests 2 s after it announced that it leaves.
  """
  min_interval_s = 0.5

  def __init__(self, kv: store_lib.Store, clock: clock_lib.Clock) -> None:
    self._kv = kv
    self._clock = clock
    self._decoder = documents.ServerListDecoder()

  def precedes(self, document: deltas.Document, other: deltas.Document) -> bool:
    """Returns False: versions of the server list are not ordered."""
    del document, other
    return False

  async def read(self) -> tuple[deltas.Document, float]:
    """Returns `{"hosts": ...}`; see `Source.read`."""
    requested_at = self._clock.monotonic()
    _, records = await self._kv.get_prefix(self.name)
    return {"hosts": self._decoder.decode(records)}, requested_at


class _WatchedPrefix:
  """The records under a key prefix; after the first read only changes are read.

  Args:
    kv: the platform's store.
    clock: the time source.
    prefix: the key prefix.
    poll_timeout_s: maximum time that a call waits for a change.
  """

  min_interval_s = store_lib.WATCH_INTERVAL_S

  def __init__(
      self,
      kv: store_lib.Store,
      clock: clock_lib.Clock,
      prefix: str,
      poll_timeout_s: float,
  ) -> None:
    self._kv = kv
    self._clock = clock
    self._prefix = prefix
    self._poll_timeout_s = poll_timeout_s
    self._records: dict[str, protocol.Record] = {}
    self._revision = 0
    self._read_at = -float("inf")

  def precedes(self, document: deltas.Document, other: deltas.Document) -> bool:
    """Returns False: versions of most documents are not ordered."""
    del document, other
    return False

  async def _read_records(self) -> dict[str, protocol.Record]:
    """Returns the records by key, after a change or the poll timeout."""
    is_recent = self._clock.monotonic() - self._read_at <= _MAX_REVISION_AGE_S
    self._read_at = -float("inf")
    if is_recent:
      await self._apply_changes()
    else:
      self._revision, records = await self._kv.get_prefix(self._prefix)
      self._records = {record.key: record for record in records}
    self._read_at = self._clock.monotonic()
    return self._records

  async def _apply_changes(self) -> None:
    self._revision, events = await self._kv.poll(
        self._prefix, self._revision, self._poll_timeout_s
    )
    for event in events:
      if event.deleted:
        self._records.pop(event.record.key, None)
      else:
        self._records[event.record.key] = event.record


class Configuration(_WatchedPrefix):
  """The operators' configuration and the zones that they have evacuated.

  Both are one document: one watch reads them, and one notice announces them.

  Args:
    kv: the platform's store.
    clock: the time source.
  """

  name = documents.CONFIGURATION_KEY
  max_silence_s = 2.2
  """Slightly longer than a reader takes to detect a silent connection."""
  _POLL_TIMEOUT_S = 0.8

  def __init__(self, kv: store_lib.Store, clock: clock_lib.Clock) -> None:
    super().__init__(kv, clock, documents.OPERATOR_PREFIX, self._POLL_TIMEOUT_S)
    self._document: deltas.Document = {}
    self._decoded_record: protocol.Record | None = None
    """The record from which `_document` was decoded."""

  def precedes(self, document: deltas.Document, other: deltas.Document) -> bool:
    """Whether `document` has a lower version number than `other`."""
    versions = document.get("version"), other.get("version")
    if not all(isinstance(version, int) for version in versions):
      return False
    return versions[0] < versions[1]

  async def read(self) -> tuple[deltas.Document, float]:
    """Returns the configuration, empty if there is none; see `Source.read`."""
    records = await self._read_records()
    record = records.get(self.name)
    if record is not self._decoded_record:
      self._document = _decode_object(record) if record is not None else {}
      self._decoded_record = record
    if not self._document:
      return {}, self._read_at
    evacuations = documents.encode_evacuations(records)
    return self._document | evacuations, self._read_at


class Members(_WatchedPrefix):
  """The routers that have registered.

  Args:
    kv: the platform's store.
    clock: the time source.
  """

  name = members_lib.PREFIX
  max_silence_s = 6.0
  """Long, since an outdated list does little harm: a router that does not
  answer is skipped."""
  _POLL_TIMEOUT_S = 3.0

  def __init__(self, kv: store_lib.Store, clock: clock_lib.Clock) -> None:
    super().__init__(kv, clock, members_lib.PREFIX, self._POLL_TIMEOUT_S)

  async def read(self) -> tuple[deltas.Document, float]:
    """Returns `{"members": ...}`; see `Source.read`."""
    records = await self._read_records()
    members = members_lib.decode(records[key] for key in sorted(records))
    rows = [member._asdict() for member in members]
    return {"members": rows}, self._read_at


def _decode_object(record: protocol.Record) -> deltas.Document:
  """Decodes a record's JSON object; logs and returns {} if it holds none."""
  try:
    parsed = json.loads(record.value)
  except (ValueError, RecursionError) as exc:
    parsed, error = None, repr(exc)
  else:
    error = "not a JSON object"
  if isinstance(parsed, dict):
    return parsed
  logger.error(
      "configuration unreadable",
      extra={"revision": record.mod_revision, "error": error},
  )
  return {}
