"""Streams of events: cut into whole events, joined when they resume."""

from typing import NamedTuple

_MOST_EVENT_BYTES = 1_048_576
"""An event longer than this is no event of ours."""


class Event(NamedTuple):
  """One whole event of a stream, as received."""

  id: int | None
  raw: bytes


class Splitter:
  """Cuts a stream's bytes into whole events."""

  def __init__(self) -> None:
    self._rest = b""

  def feed(self, data: bytes) -> list[Event]:
    """Returns the events that `data` completes.

    Raises:
      ValueError: the bytes are no events.
    """
    *whole, self._rest = (self._rest + data).split(b"\n\n")
    if len(self._rest) > _MOST_EVENT_BYTES:
      raise ValueError("event too long")
    return [Event(_id_of(raw), raw + b"\n\n") for raw in whole]

  @property
  def rest(self) -> bytes:
    """Returns what is not a whole event yet."""
    return self._rest


def _id_of(raw: bytes) -> int | None:
  for line in raw.split(b"\n"):
    name, _, value = line.partition(b":")
    if name == b"id" and value.strip().isdigit():
      return int(value)
  return None


class Joiner:
  """Passes each event on once and in order, over several endpoints.

  Args:
    last: the last event that the caller has already, if any.
  """

  def __init__(self, last: int | None) -> None:
    self.last = last
    self.passed = 0

  def take(self, event: Event) -> bool:
    """Returns whether the caller still lacks `event`.

    Raises:
      ValueError: events before it are missing; passing it on would leave
        a hole that the caller cannot see.
    """
    if event.id is None:
      return True
    if self.last is not None and event.id <= self.last:
      return False
    if self.last is not None and event.id != self.last + 1:
      raise ValueError(f"event {event.id} follows {self.last}")
    self.last = event.id
    self.passed += 1
    return True
