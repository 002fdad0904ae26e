"""How a router reads the documents that it shares from the platform's store."""

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

_REVISION_S = 5.0
"""Changes since a revision are asked for only this long after it was read:
later the history may be gone, and it may be longer than the document."""


class Source(Protocol):
  """Where a document is read."""

  name: str
  silence_s: float
  """A router that was told nothing for so long reads for itself."""
  pace_s: float
  """Least time from one read to the next."""

  async def read(self) -> tuple[deltas.Document, float]:
    """Returns the document and when it was current, monotonic seconds.

    Raises:
      errors.KvUnavailableError, errors.KvUnknownError: it could not be read.
    """

  def precedes(self, one: deltas.Document, other: deltas.Document) -> bool:
    """Whether a version is known to be earlier than another one."""


class Servers:
  """The server list.

  It is read whole: a watch would return at once all the time, since each
  server writes its entry about every second.

  Args:
    kv: the platform's store.
    clock: the time source.
  """

  name = documents.SERVERS_PREFIX
  silence_s = 1.1
  """A server that leaves must get no more work 2 s after it said so."""
  pace_s = 0.5

  def __init__(self, kv: store_lib.Store, clock: clock_lib.Clock) -> None:
    self._kv = kv
    self._clock = clock
    self._list = documents.ServerListDecoder()

  def precedes(self, one: deltas.Document, other: deltas.Document) -> bool:
    """Returns False: versions of the list have no order."""
    del one, other
    return False

  async def read(self) -> tuple[deltas.Document, float]:
    """Returns `{"hosts": ...}`, see `Source`."""
    asked_at = self._clock.monotonic()
    _, records = await self._kv.get_prefix(self.name)
    return {"hosts": self._list.decode(records)}, asked_at


class _Watched:
  """A prefix of which only changes are read after the first time.

  Args:
    kv: the platform's store.
    clock: the time source.
    prefix: the keys.
    wait_s: how long a call waits for a change.
  """

  pace_s = store_lib.WATCH_PACE_S

  def __init__(
      self,
      kv: store_lib.Store,
      clock: clock_lib.Clock,
      prefix: str,
      wait_s: float,
  ) -> None:
    self._kv = kv
    self._clock = clock
    self._prefix = prefix
    self._wait_s = wait_s
    self._records: dict[str, protocol.Record] = {}
    self._revision = 0
    self._read_at = -float("inf")

  def precedes(self, one: deltas.Document, other: deltas.Document) -> bool:
    """Returns False: most documents' versions have no order."""
    del one, other
    return False

  async def _read_records(self) -> dict[str, protocol.Record]:
    """Returns the records by key, after a change or the time to wait."""
    is_recent = self._clock.monotonic() - self._read_at <= _REVISION_S
    self._read_at = -float("inf")
    if is_recent:
      await self._take_changes()
    else:
      self._revision, records = await self._kv.get_prefix(self._prefix)
      self._records = {record.key: record for record in records}
    self._read_at = self._clock.monotonic()
    return self._records

  async def _take_changes(self) -> None:
    self._revision, events = await self._kv.poll(
        self._prefix, self._revision, self._wait_s
    )
    for event in events:
      if event.deleted:
        self._records.pop(event.record.key, None)
      else:
        self._records[event.record.key] = event.record


class Configuration(_Watched):
  """The operators' configuration.

  Args:
    kv: the platform's store.
    clock: the time source.
  """

  name = documents.CONFIGURATION_KEY
  silence_s = 2.2
  """A connection of a reader that goes silent is noticed a little before."""
  _PREFIX = "op/"
  _WAIT_S = 0.8

  def __init__(self, kv: store_lib.Store, clock: clock_lib.Clock) -> None:
    super().__init__(kv, clock, self._PREFIX, self._WAIT_S)
    self._document: deltas.Document = {}
    self._decoded: protocol.Record | None = None
    """The record that the document was decoded from."""

  def precedes(self, one: deltas.Document, other: deltas.Document) -> bool:
    """Whether the operators wrote a version before another one."""
    versions = one.get("version"), other.get("version")
    if not all(isinstance(version, int) for version in versions):
      return False
    return versions[0] < versions[1]

  async def read(self) -> tuple[deltas.Document, float]:
    """Returns the configuration, see `Source`; empty before the first."""
    records = await self._read_records()
    record = records.get(self.name)
    if record is not self._decoded:
      self._document = _decode_object(record) if record is not None else {}
      self._decoded = record
    return self._document, self._read_at


class Members(_Watched):
  """The routers that have registered.

  Args:
    kv: the platform's store.
    clock: the time source.
  """

  name = members_lib.PREFIX
  silence_s = 6.0
  """Nothing depends on it at once: who is asked in vain is passed over."""
  _WAIT_S = 3.0

  def __init__(self, kv: store_lib.Store, clock: clock_lib.Clock) -> None:
    super().__init__(kv, clock, members_lib.PREFIX, self._WAIT_S)

  async def read(self) -> tuple[deltas.Document, float]:
    """Returns `{"members": ...}`, see `Source`."""
    records = await self._read_records()
    members = members_lib.decode(records[key] for key in sorted(records))
    rows = [member._asdict() for member in members]
    return {"members": rows}, self._read_at


def _decode_object(record: protocol.Record) -> deltas.Document:
  """Returns a record's JSON object, an empty one where it holds none."""
  try:
    found = json.loads(record.value)
  except (ValueError, RecursionError) as exc:
    found, error = None, repr(exc)
  else:
    error = "no object"
  if isinstance(found, dict):
    return found
  logger.error(
      "configuration unreadable",
      extra={"revision": record.mod_revision, "error": error},
  )
  return {}
