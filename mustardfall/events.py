"""Named events between the components of a process.

The application object owns one `Bus`; components emit what happened and
know nothing of who listens, so that parts need not reach through each
other.
"""

import collections
from collections.abc import Callable
import enum
from typing import Any

Listener = Callable[[Any], None]


class Name(enum.Enum):
  """The events of a router, with what each carries."""

  CATALOGUE_CHANGED = enum.auto()
  """A newer catalogue is in force; carries the `model.Catalogue`."""
  MEMBERS_CHANGED = enum.auto()
  """Routers joined or left; carries the `members.View`."""
  ENDPOINTS_CHANGED = enum.auto()
  """The host list changed; carries the `endpoints.Table`."""
  LEDGER_READ = enum.auto()
  """A budget's ledger was read or written; carries `(name, ledger)`."""


class Bus:
  """Calls each listener of an event, in the order they connected."""

  def __init__(self) -> None:
    self._listeners: dict[Name, list[Listener]] = collections.defaultdict(list)

  def connect(self, name: Name, listener: Listener) -> None:
    """Calls `listener` with each later event called `name`."""
    self._listeners[name].append(listener)

  def emit(self, name: Name, payload: Any) -> None:
    """Tells every listener of `name`."""
    for listener in self._listeners[name]:
      listener(payload)
