"""Deltas between two versions of a document, small enough for a datagram.

A document is a JSON object. If a field is a list of rows with distinct names,
the delta holds only the rows that differ; any other changed field is included
whole.
"""

import hashlib
import json
from typing import Any, NamedTuple, TypedDict
import zlib

Document = dict[str, Any]
"""A JSON object."""

_DIGEST_BYTES = 8


class Rows(TypedDict):
  """The changes to a list of named rows."""

  put: list[dict[str, Any]]
  """Rows that were added or changed, whole."""
  cut: list[str]
  """Names of rows that were removed."""


class Delta(TypedDict):
  """The changes to a document."""

  fields: Document
  """Fields that are replaced whole."""
  gone: list[str]
  """Names of fields that were removed."""
  rows: dict[str, Rows]
  """Changes to lists of named rows, by field."""


def digest(document: Document) -> str:
  """Returns a digest of a document's content.

  The order of named rows does not affect it, as rows are looked up by name.
  """
  return Digester().digest(document)


class Digester:
  """Computes the digests of successive versions of a document.

  Row objects shared with the previous version are not encoded again. Rows that
  are merely equal are: 1 equals 1.0 in Python, but they encode to different
  texts, and the digest must match those of other routers.
  """

  def __init__(self) -> None:
    self._rows: dict[str, dict[str, _Encoded]] = {}
    """The encoded rows of the previous version, by field and name."""

  def digest(self, document: Document) -> str:
    """Returns the same as the function `digest`."""
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
    """Returns rows encoded as a JSON object with their names as keys."""
    previous = self._rows.get(field, {})
    self._rows[field] = encoded_rows = {}
    for name in sorted(rows):
      row, before = rows[name], previous.get(name)
      if before is None or before.row is not row:
        before = _Encoded(row, f"{_encode(name)}:{_encode(row)}")
      encoded_rows[name] = before
    return (
        "{" + ",".join(encoded.text for encoded in encoded_rows.values()) + "}"
    )


class _Encoded(NamedTuple):
  """A row and its JSON text."""

  row: dict[str, Any]
  text: str


def _encode(value: Any) -> str:
  return json.dumps(value, sort_keys=True, separators=(",", ":"))


def pack(value: Any) -> bytes:
  """Returns a JSON value as compressed text."""
  return zlib.compress(json.dumps(value, separators=(",", ":")).encode())


def unpack(compressed: bytes, max_bytes: int) -> Any:
  """Returns a value encoded by `pack`.

  Args:
    compressed: the compressed text.
    max_bytes: maximum size of the decompressed text, bytes.

  Raises:
    ValueError: `compressed` is malformed, or its text exceeds `max_bytes`.
  """
  unpacker = zlib.decompressobj()
  try:
    content = unpacker.decompress(compressed, max_bytes)
  except zlib.error as exc:
    raise ValueError(str(exc)) from exc
  if not unpacker.eof:
    raise ValueError(f"truncated, or more than {max_bytes} bytes decompressed")
  return json.loads(content)


def diff(before: Document, after: Document) -> Delta:
  """Returns the delta that turns `before` into `after`, see `apply`."""
  delta = Delta(fields={}, gone=sorted(before.keys() - after.keys()), rows={})
  for field, value in after.items():
    if field in before and before[field] == value:
      continue
    old, new = _by_name(before.get(field)), _by_name(value)
    if old is None or new is None:
      delta["fields"][field] = value
    else:
      delta["rows"][field] = Rows(
          put=[row for name, row in new.items() if old.get(name) != row],
          cut=[name for name in old if name not in new],
      )
  return delta


def apply(before: Document, delta: Delta) -> Document:
  """Returns the version after `delta`.

  A delta may also be applied to a version other than the one it was computed
  from. The result may then be wrong; compare its digest with the expected one.

  Raises:
    KeyError, TypeError: the delta is malformed or that of another document.
  """
  after = before | delta["fields"]
  for field in delta["gone"]:
    after.pop(field, None)
  for field, changes in delta["rows"].items():
    rows = _by_name(before[field])
    if rows is None:
      raise TypeError(f"field {field!r} is not a list of named rows")
    rows |= {row["name"]: row for row in changes["put"]}
    for name in changes["cut"]:
      rows.pop(name, None)
    after[field] = list(rows.values())
  return after


def _by_name(value: Any) -> dict[str, dict[str, Any]] | None:
  """Returns a list's rows by name; None if it is no list of named rows."""
  if not isinstance(value, list):
    return None
  rows: dict[str, dict[str, Any]] = {}
  for row in value:
    name = row.get("name") if isinstance(row, dict) else None
    if not isinstance(name, str) or name in rows:
      return None
    rows[name] = row
  return rows
