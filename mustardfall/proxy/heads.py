"""Heads and trailers as received, checked before they are parsed.

The HTTP parser joins a line that begins with a blank to the one before, so that a
field may vanish in the value of another. It takes a time that grows with the
square of a line's length to find some invalid bytes behind blanks.
"""

import re

_FOLDED_LINE = re.compile(rb"\n[ \t]")
_INVALID_BYTE = re.compile(rb"[\x00\v\f]|\r[^\n]")
_END = re.compile(rb"\n\r?\n")
_TAIL_BYTES = 2
_TABS_TO_BLANKS = bytes.maketrans(b"\t", b" ")
_LONG_BLANK = b" " * 512
_PIECE_BYTES = 1_024
MAX_LINE_BYTES = 4_096
"""Longest chunk header, or trailers, of a response."""


class Section:
  """The lines of one head, or of the trailers of one body, as they arrive.

  Args:
    is_trailers: whether it is trailers, which an empty line may end at once.
  """

  def __init__(self, is_trailers: bool = False) -> None:
    self._tail = b"\n" if is_trailers else b""
    self._has_ended = False

  def find_fault(self, data: bytes) -> str:
    """Checks further bytes; those after the end of the section are skipped.

    Returns:
      Why the section is invalid; empty if it is not.
    """
    if self._has_ended:
      return ""
    lines = self._tail + data
    end = _END.search(lines)
    if end is not None:
      self._has_ended = True
      lines = lines[: end.end()]
    self._tail = lines[-_TAIL_BYTES:]
    return _find_fault(lines)


def find_fault(received: bytes) -> str:
  """Checks a head if it is complete.

  Args:
    received: bytes that begin with a head.

  Returns:
    Why it is invalid; empty if it is not, or is incomplete.
  """
  end = _END.search(received)
  return "" if end is None else _find_fault(received[: end.end()])


def _find_fault(lines: bytes) -> str:
  if _FOLDED_LINE.search(lines):
    return "folded header"
  if _INVALID_BYTE.search(lines):
    return "invalid byte in a header"
  return ""


def split_blanks(received: bytes) -> list[bytes]:
  """Splits bytes of a response in which many blanks follow each other.

  Where the parser gets one piece after the other, it has not begun to search a
  line longer than `MAX_LINE_BYTES` before the reader can see that it has.

  Returns:
    The bytes in order, as one piece if they have no such blanks.
  """
  if len(received) <= _PIECE_BYTES or (
      _LONG_BLANK not in received.translate(_TABS_TO_BLANKS)
  ):
    return [received]
  starts = range(0, len(received), _PIECE_BYTES)
  return [received[start : start + _PIECE_BYTES] for start in starts]
