"""Heads and trailers as received, checked before they are parsed.

The HTTP parser joins a line that begins with a blank to the one before, so that a
field may vanish in the value of another.
"""

import re

_FOLDED_LINE = re.compile(rb"\n[ \t]")
_END = re.compile(rb"\n\r?\n")
_TAIL_BYTES = 2


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
  return "folded header" if _FOLDED_LINE.search(lines) else ""
