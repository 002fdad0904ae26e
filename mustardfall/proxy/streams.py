"""Server-sent event streams: parsing, and resuming at another endpoint."""

from typing import NamedTuple

_MAX_EVENT_BYTES = 262_144
"""Largest event accepted; endpoints send much smaller ones."""
_EVENT_END = b"\n\n"


class Event(NamedTuple):
  """One complete event of a stream, as received."""

  id: int | None
  raw: bytes

  @property
  def is_comment(self) -> bool:
    """Whether it only keeps the connection open."""
    return all(line.startswith(b":") for line in self.raw.split(b"\n") if line)


class EventParser:
  """Splits the bytes of a stream into complete events."""

  def __init__(self) -> None:
    self._incomplete = bytearray()

  def feed(self, data: bytes) -> list[Event]:
    """Returns the events that `data` completes.

    Raises:
      ValueError: an event is longer than `_MAX_EVENT_BYTES`.
    """
    start = max(0, len(self._incomplete) - len(_EVENT_END) + 1)
    self._incomplete += data
    if self._incomplete.find(_EVENT_END, start) < 0:
      complete = []
    else:
      *complete, self._incomplete = self._incomplete.split(_EVENT_END)
    if len(self._incomplete) > _MAX_EVENT_BYTES:
      raise ValueError("event too long")
    return [_to_event(bytes(raw)) for raw in complete]

  @property
  def held_bytes(self) -> int:
    """The number of bytes of an event that is not complete yet."""
    return len(self._incomplete)

  @property
  def incomplete(self) -> bytes:
    """The bytes of an event that is not complete yet."""
    return bytes(self._incomplete)


def _to_event(raw: bytes) -> Event:
  return Event(_id_of(raw), raw + _EVENT_END)


def _id_of(raw: bytes) -> int | None:
  for line in raw.split(b"\n"):
    name, _, value = line.partition(b":")
    if name == b"id" and value.strip().isdigit():
      return int(value)
  return None


class EventSequencer:
  """Ensures that the caller gets each event once and in order.

  It spans all attempts of a request: a stream that broke off is resumed at
  another endpoint, which may repeat events.

  Args:
    last_event_id: the last event that the caller has already, if any.
  """

  def __init__(self, last_event_id: int | None) -> None:
    self.last_event_id = last_event_id
    self.forwarded_events = 0

  def accept(self, event: Event) -> bool:
    """Returns whether `event` is to be forwarded: the caller lacks it.

    Raises:
      ValueError: events before it are missing; forwarding it would leave a
        gap that the caller cannot detect.
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
