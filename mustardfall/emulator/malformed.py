"""Answers of a faulty server that are no valid HTTP responses."""

_BLANKS = b" " * 60_000
_STATUSES = {
    "status-000": b"000",
    "status-099": b"099",
    "status-short": b"20",
    "status-long": b"2000",
    "status-sign": b"+20",
}
_FIELDS = {
    "name-blank": b"X A: b",
    "name-end-blank": b"X-A : b",
    "name-first-blank": b" X-A: b",
    "name-first-tab": b"\tX-A: b",
    "name-tab": b"X\tA: b",
    "name-control": b"X\x01A: b",
    "name-nul": b"X\0A: b",
    "name-delete": b"X\x7fA: b",
    "name-high": b"X\xe9A: b",
    "name-empty": b": b",
    "no-colon": b"X-A",
    "value-nul": b"X-A: \0",
    "value-carriage-return": b"X-A: a\rb",
    "value-form-feed": b"X-A: a\fb",
    "blanks-nul": b"X-A:" + _BLANKS + b"\0",
    "blanks-carriage-return": b"X-A:" + _BLANKS + b"\rb",
}
_CHUNK_HEADERS = {
    "chunk-sign": b"+4",
    "chunk-prefix": b"0x4",
    "chunk-blank": b" 4",
    "chunk-empty": b"",
    "chunk-blanks": b"4" + _BLANKS + b"x",
}
_CHUNK_ENDS = {"chunk-end": b"xx", "chunk-end-missing": b""}

KINDS = (
    *_STATUSES,
    *(f"interim-{kind}" for kind in ("status-000", "status-099")),
    *(f"{where}-{kind}" for where in ("head", "interim") for kind in _FIELDS),
    "length-hidden",
    *_CHUNK_HEADERS,
    *_CHUNK_ENDS,
)
"""Answers in whose head, or chunks, something is invalid."""
TRAILER_KINDS = tuple(f"trailers-{kind}" for kind in _FIELDS)
"""Answers that are valid up to the end of their body."""


def encode(kind: str, request_id: str) -> bytes:
  """Returns an answer of the server to a request.

  Args:
    kind: one of `KINDS` or `TRAILER_KINDS`.
    request_id: the request's id.
  """
  named = f"request-id: {request_id}\r\nresponse-signature: s\r\n".encode()
  sized = named + b"content-length: 4\r\n"
  start = b"HTTP/1.1 200 X\r\n"
  chunked = start + named + b"transfer-encoding: chunked\r\n\r\n"
  interim = b"HTTP/1.1 103 X\r\n"
  whole = start + sized + b"\r\nbody"
  answers = {
      "length-hidden": start + named + b" content-length: 4\r\n\r\nbodyrest"
  }
  for name, status in _STATUSES.items():
    answers[name] = b"HTTP/1.1 " + status + b" X\r\n" + sized + b"\r\nbody"
    answers[f"interim-{name}"] = b"HTTP/1.1 %b X\r\n\r\n%b" % (status, whole)
  for name, line in _FIELDS.items():
    answers[f"head-{name}"] = start + sized + line + b"\r\n\r\nbody"
    answers[f"interim-{name}"] = interim + b"a: b\r\n" + line + b"\r\n\r\n"
    answers[f"interim-{name}"] += whole
    answers[f"trailers-{name}"] = chunked + b"4\r\nbody\r\n0\r\n" + line
    answers[f"trailers-{name}"] += b"\r\n\r\n"
  for name, header in _CHUNK_HEADERS.items():
    answers[name] = chunked + header + b"\r\nbody\r\n0\r\n\r\n"
  for name, end in _CHUNK_ENDS.items():
    answers[name] = chunked + b"4\r\nbody" + end + b"0\r\n\r\n"
  return answers[kind]
