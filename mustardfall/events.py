"""An event bus between the components of a process.

The application object owns one `Bus`. Components emit events without
knowing the listeners, so that they need no references to each other.
"""

import collections
from collections.abc import Callable
import enum
from typing import Any

Listener = Callable[[Any], None]


class Name(enum.Enum):
  """The events of a router, with their payloads."""

  CATALOGUE_CHANGED = enum.auto()
  """A newer catalogue is in force; payload: the `model.Catalogue`."""
  MEMBERS_CHANGED = enum.auto()
  """Routers joined or left; payload: dict of `members.Member` by life."""
  ENDPOINTS_CHANGED = enum.auto()
  """The host list changed; payload: the `endpoints.Table`."""
  LEDGER_READ = enum.auto()
  """A budget's ledger was read or written; payload: `(name, ledger)`."""


class Bus:
  """Calls the listeners of an event, in the order in which they connected."""

  def __init__(self) -> None:
    self._listeners: dict[Name, list[Listener]] = collections.defaultdict(list)

  def connect(self, name: Name, listener: Listener) -> None:
    """Has `listener` called with the payload of each later event `name`."""
    self._listeners[name].append(listener)

  def emit(self, name: Name, payload: Any) -> None:
    """Calls every listener of `name` with `payload`."""
    for listener in self._listeners[name]:
      listener(payload)
