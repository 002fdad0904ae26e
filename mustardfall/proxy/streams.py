"""Streams of events: cut into whole events, joined when they resume."""

from typing import NamedTuple

_MAX_EVENT_BYTES = 1_048_576
"""An event longer than this is no event of ours."""


class Event(NamedTuple):
  """One whole event of a stream, as received."""

  id: int | None
  raw: bytes


class EventParser:
  """Cuts a stream's bytes into whole events."""

  def __init__(self) -> None:
    self._incomplete = b""

  def feed(self, data: bytes) -> list[Event]:
    """Returns the events that `data` completes.

    Raises:
      ValueError: the bytes are no events.
    """
    *whole, self._incomplete = (self._incomplete + data).split(b"\n\n")
    if len(self._incomplete) > _MAX_EVENT_BYTES:
      raise ValueError("event too long")
    return [Event(_id_of(raw), raw + b"\n\n") for raw in whole]

  @property
  def incomplete(self) -> bytes:
    """Returns what is not a whole event yet."""
    return self._incomplete


def _id_of(raw: bytes) -> int | None:
  for line in raw.split(b"\n"):
    name, _, value = line.partition(b":")
    if name == b"id" and value.strip().isdigit():
      return int(value)
  return None


class EventSequencer:
  """Passes each event on once and in order, over several endpoints.

  Args:
    last: the last event that the caller has already, if any.
  """

  def __init__(self, last_event_id: int | None) -> None:
    self.last_event_id = last_event_id
    self.forwarded_events = 0

  def accept(self, event: Event) -> bool:
    """Returns whether the caller still lacks `event`.

    Raises:
      ValueError: events before it are missing; passing it on would leave
        a hole that the caller cannot see.
    """
    if event.id is None:
      return True
    if self.last_event_id is not None and event.id <= self.last_event_id:
      return False
    if self.last_event_id is not None and event.id != self.last_event_id + 1:
      raise ValueError(f"event {event.id} follows {self.last_event_id}")
    self.last_event_id = event.id
    self.forwarded_events += 1
    return True
