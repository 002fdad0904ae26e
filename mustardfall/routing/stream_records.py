"""The table of what began each stream: its service and software version."""

import functools
import hashlib
import math
import struct
from typing import NamedTuple

from mustardfall.routing import stream_holders

_ORIGIN_BYTES = 6
_MAX_ATTEMPT = 255
_MAX_LEFT_S = 3_600
MAX_RECORDS = 65_536
"""Most records in a table. The oldest are dropped first."""
_MAX_ORIGINS = 1_024
"""Digests that are cached: of the services and versions listed lately."""
_FORMAT = struct.Struct(f">{stream_holders.KEY_BYTES}s{_ORIGIN_BYTES}sBH")

RECORD_BYTES = _FORMAT.size


class StreamRecord(NamedTuple):
  """What began a stream."""

  key: bytes
  """The stream's key, see `stream_holders.key_of`."""
  origin: bytes
  """The service and the software version, see `origin_of`."""
  attempt: int
  """The number of the attempt, from 1: an endpoint that was tried before may
  have had another version, and sent no event. A later attempt replaces it."""
  left_s: int
  """Seconds for which the caller may still resume the stream."""

  def encode(self) -> bytes:
    """Returns the record as `RECORD_BYTES` bytes."""
    return _FORMAT.pack(*self)


def make_record(
    key: bytes, origin: bytes, attempt: int, left_s: float
) -> StreamRecord:
  """Returns a record with its numbers brought into the encoded range."""
  left_s = min(max(1, math.ceil(left_s)), _MAX_LEFT_S)
  return StreamRecord(key, origin, min(attempt, _MAX_ATTEMPT), left_s)


def decode_record(raw: bytes) -> StreamRecord:
  """Decodes a record.

  Raises:
    ValueError: `raw` is no record.
  """
  try:
    record = StreamRecord(*_FORMAT.unpack(raw))
  except struct.error as exc:
    raise ValueError(str(exc)) from exc
  if not record.attempt or not 0 < record.left_s <= _MAX_LEFT_S:
    raise ValueError("number out of range")
  return record


@functools.lru_cache(_MAX_ORIGINS)
def origin_of(service: str, version: str) -> bytes:
  """Returns the digest of a service and a software version."""
  text = f"{service}\0{version}".encode()
  return hashlib.blake2b(text, digest_size=_ORIGIN_BYTES).digest()


class _Entry(NamedTuple):
  """A record, and when it was received."""

  record: StreamRecord
  received_at: float

  @property
  def ends_at(self) -> float:
    """Until when the stream may be resumed, monotonic seconds."""
    return self.received_at + self.record.left_s


class KnownStream(NamedTuple):
  """A record as found in a table."""

  record: StreamRecord
  age_s: float


class Table:
  """Records by the key of their stream."""

  def __init__(self) -> None:
    self._entries: dict[bytes, _Entry] = {}

  def __len__(self) -> int:
    return len(self._entries)

  def put(self, record: StreamRecord, now: float) -> None:
    """Adds a record, unless one of a later attempt is known."""
    known = self._entries.get(record.key)
    if known is not None and known.record.attempt > record.attempt:
      return
    self._entries.pop(record.key, None)
    self._entries[record.key] = _Entry(record, now)
    if len(self._entries) > MAX_RECORDS:
      del self._entries[next(iter(self._entries))]

  def find(self, key: bytes, now: float) -> KnownStream | None:
    """Returns the record of a stream with the time it has left, if known."""
    entry = self._entries.get(key)
    if entry is None or entry.ends_at <= now:
      return None
    record = entry.record._replace(left_s=math.ceil(entry.ends_at - now))
    return KnownStream(record, now - entry.received_at)

  def prune(self, now: float) -> None:
    """Removes the records of streams that may no longer be resumed."""
    for key, entry in list(self._entries.items()):
      if entry.ends_at <= now:
        del self._entries[key]
