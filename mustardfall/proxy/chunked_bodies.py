"""Merges the chunks of a request body before they are parsed.

The HTTP parser creates an event for each chunk, at some 20 us of processor time.
A body in chunks of one byte would occupy the process for a third of a second.
"""

import re

from mustardfall import errors
from mustardfall.proxy import heads

_HEADER = rb"([0-9A-Fa-f]{1,20})[ \t]*(?:;[^\r\n]*)?\r\n"
_FIRST_HEADER = re.compile(_HEADER)
_NEXT_HEADER = re.compile(rb"\r\n" + _HEADER)
"""A chunk header, after the line end of the chunk before."""
_MAX_HEADER_BYTES = 4_096
_LINE_END = b"\r\n"


class ChunkMerger:
  """Rewrites a body in chunks so that each piece received becomes one chunk."""

  def __init__(self) -> None:
    self._header = _FIRST_HEADER
    """Matches the next chunk header."""
    self._incomplete = b""
    """Received bytes of a chunk header that is not complete."""
    self._chunk_left = 0
    """Bytes of the current chunk that were not received yet."""
    self._is_last = False
    """Whether the last chunk was received; trailers and requests follow."""
    self._trailers = heads.Section(is_trailers=True)

  def feed(self, received: bytes) -> bytes:
    """Returns the next bytes for the parser; none if more must be received.

    Raises:
      errors.RejectedRequestError: the bytes are no chunks, or the trailers are
        invalid.
    """
    if self._is_last:
      self._check_trailers(received)
      return received
    data = self._incomplete + received
    pieces: list[bytes] = []
    position = 0
    while not self._is_last:
      if self._chunk_left:
        pieces.append(data[position : position + self._chunk_left])
        position += len(pieces[-1])
        self._chunk_left -= len(pieces[-1])
        if self._chunk_left:
          break
      header = self._header.match(data, position)
      if header is None:
        break
      position = header.end()
      self._header = _NEXT_HEADER
      self._chunk_left = int(header[1], 16)
      self._is_last = not self._chunk_left
    rest = data[position:]
    self._incomplete = b"" if self._is_last else rest
    self._check_incomplete()
    if self._is_last:
      self._check_trailers(rest)
    merged = b"".join(pieces)
    out = b"%x\r\n%b\r\n" % (len(merged), merged) if merged else b""
    return out + (b"0\r\n" + rest if self._is_last else b"")

  def _check_trailers(self, received: bytes) -> None:
    fault = self._trailers.find_fault(received)
    if fault:
      raise errors.RejectedRequestError(fault)

  def _check_incomplete(self) -> None:
    """Raises an error if no chunk header can begin with the bytes received."""
    header = self._incomplete
    if self._header is _NEXT_HEADER:
      if not _LINE_END.startswith(header[: len(_LINE_END)]):
        raise errors.RejectedRequestError("chunk longer than announced")
      header = header[len(_LINE_END) :]
    if b"\n" in header or len(header) > _MAX_HEADER_BYTES:
      raise errors.RejectedRequestError("invalid chunk header")
