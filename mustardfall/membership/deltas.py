"""What changed between two versions of a document, small enough to be told.

A document is a JSON object. Of a field that is a list of rows with distinct
names only the rows that differ are told; any other field is told whole.
"""

import hashlib
import json
from typing import Any, NamedTuple, TypedDict
import zlib

Document = dict[str, Any]
"""A JSON object."""

_DIGEST_BYTES = 8


class Rows(TypedDict):
  """The changes of a list of named rows."""

  put: list[dict[str, Any]]
  """Rows that are new or differ, whole."""
  cut: list[str]
  """Names of rows that are gone."""


class Delta(TypedDict):
  """The changes of a document."""

  fields: Document
  """Fields that are told whole."""
  gone: list[str]
  """Names of fields that are gone."""
  rows: dict[str, Rows]
  """Changes of lists of named rows, by field."""


def digest(document: Document) -> str:
  """Returns what stands for a document's content.

  The order of named rows says nothing: they are found by what is in them.
  """
  return Digester().digest(document)


class Digester:
  """Digests successive versions of a document.

  Rows that the version shares with the one before are not encoded again. Rows
  that are only equal are: 1 equals 1.0, and their texts differ, which other
  routers digest.
  """

  def __init__(self) -> None:
    self._rows: dict[str, dict[str, _Encoded]] = {}
    """The rows of the last version, by field and name."""

  def digest(self, document: Document) -> str:
    """Returns what `digest` does."""
    fields = []
    for field in sorted(document):
      rows = _by_name(document[field])
      text = self._encode(field, rows) if rows else _encode(document[field])
      fields.append(f"{_encode(field)}:{text}")
    whole = "{" + ",".join(fields) + "}"
    return hashlib.blake2b(
        whole.encode(), digest_size=_DIGEST_BYTES
    ).hexdigest()

  def _encode(self, field: str, rows: dict[str, dict[str, Any]]) -> str:
    """Returns rows as the JSON object of their names that they stand for."""
    known = self._rows.get(field, {})
    self._rows[field] = now = {}
    for name in sorted(rows):
      row, before = rows[name], known.get(name)
      if before is None or before.row is not row:
        before = _Encoded(row, f"{_encode(name)}:{_encode(row)}")
      now[name] = before
    return "{" + ",".join(encoded.text for encoded in now.values()) + "}"


class _Encoded(NamedTuple):
  """A row and its text."""

  row: dict[str, Any]
  text: str


def _encode(value: Any) -> str:
  return json.dumps(value, sort_keys=True, separators=(",", ":"))


def pack(value: Any) -> bytes:
  """Returns a JSON value in as few bytes as it can be told."""
  return zlib.compress(json.dumps(value, separators=(",", ":")).encode())


def unpack(raw: bytes, most: int) -> Any:
  """Returns what was packed.

  Args:
    raw: see `pack`.
    most: bytes that it may unpack to.

  Raises:
    ValueError: it is none, or unpacks to too much.
  """
  unpacker = zlib.decompressobj()
  try:
    content = unpacker.decompress(raw, most)
  except zlib.error as exc:
    raise ValueError(str(exc)) from exc
  if not unpacker.eof:
    raise ValueError("cut short, or too long")
  return json.loads(content)


def diff(before: Document, after: Document) -> Delta:
  """Returns what turns `before` into `after`, see `apply`."""
  found = Delta(fields={}, gone=sorted(before.keys() - after.keys()), rows={})
  for field, value in after.items():
    if field in before and before[field] == value:
      continue
    old, new = _by_name(before.get(field)), _by_name(value)
    if old is None or new is None:
      found["fields"][field] = value
    else:
      found["rows"][field] = Rows(
          put=[row for name, row in new.items() if old.get(name) != row],
          cut=[name for name in old if name not in new],
      )
  return found


def apply(before: Document, delta: Delta) -> Document:
  """Returns the later version.

  Applied to another version than it was made for, it changes what it can: the
  digest tells whether the result is the later version.

  Raises:
    KeyError, TypeError: the delta is none, or of another document.
  """
  after = before | delta["fields"]
  for field in delta["gone"]:
    after.pop(field, None)
  for field, changes in delta["rows"].items():
    rows = _by_name(before[field])
    if rows is None:
      raise TypeError(f"{field} has no named rows")
    rows |= {row["name"]: row for row in changes["put"]}
    for name in changes["cut"]:
      rows.pop(name, None)
    after[field] = list(rows.values())
  return after


def _by_name(value: Any) -> dict[str, dict[str, Any]] | None:
  """Returns a list's rows by their names; None where it has no such rows."""
  if not isinstance(value, list):
    return None
  rows: dict[str, dict[str, Any]] = {}
  for row in value:
    name = row.get("name") if isinstance(row, dict) else None
    if not isinstance(name, str) or name in rows:
      return None
    rows[name] = row
  return rows
