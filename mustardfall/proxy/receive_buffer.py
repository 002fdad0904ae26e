"""Bytes received on a connection that belong to requests not read yet."""

import re

_HEAD_END = re.compile(rb"\n\r?\n")
"""The end of a head, as the parser finds it."""
_MAX_HEAD_END_BYTES = 3


class ReceiveBuffer:
  """Keeps received bytes until they are parsed."""

  def __init__(self) -> None:
    self._data = bytearray()

  def __len__(self) -> int:
    return len(self._data)

  def append(self, data: bytes) -> None:
    """Adds bytes that were received."""
    self._data += data

  def put_back(self, data: bytes) -> None:
    """Adds bytes before all others."""
    self._data[:0] = data

  def take(self, size: int) -> bytes:
    """Removes and returns up to `size` bytes."""
    data = bytes(self._data[:size])
    del self._data[:size]
    return data

  def take_all(self) -> bytes:
    """Removes and returns all bytes."""
    return self.take(len(self._data))

  def take_head(self, begun: bytes | bytearray) -> bytes:
    """Removes and returns the bytes up to the end of a head.

    Args:
      begun: the bytes of the head that were taken before.

    Returns:
      All bytes if the head does not end among them.
    """
    overlap = bytes(begun[1 - _MAX_HEAD_END_BYTES :])
    data = overlap + self._data if overlap else self._data
    end = _HEAD_END.search(data)
    return (
        self.take_all() if end is None else self.take(end.end() - len(overlap))
    )
