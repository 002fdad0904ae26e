"""What a router knows of its own connections to endpoints.

A connection that cannot be opened says little by itself: the endpoint may have
ended, or this router may be cut off from it. The attempts at all endpoints of a
kind together tell these apart.
"""

import logging
from typing import Any, NamedTuple

from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_FAILURE_MEMORY_S = 3.0
"""How long a failed connection says something about an endpoint's reach."""


class Failure(NamedTuple):
  """The failed connections to an endpoint since the last successful one."""

  first_at: float
  """Monotonic seconds."""
  last_at: float
  """Monotonic seconds."""
  error: str
  """The last error."""


class _Kind:
  """The connections to the endpoints of one kind."""

  def __init__(self) -> None:
    self.reached_at: float | None = None
    """When a new connection to any of them was last opened."""
    self.failures: dict[str, Failure] = {}
    """By the endpoint's life (one run of its process)."""


class Reach:
  """The outcomes of this router's new connections to endpoints.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._kinds: dict[str, _Kind] = {}

  def _kind(self, row: endpoints.Row) -> _Kind:
    return self._kinds.setdefault(row.kind, _Kind())

  def note_connected(self, row: endpoints.Row) -> None:
    """Records that a connection to an endpoint was opened."""
    kind = self._kind(row)
    kind.reached_at = self._clock.monotonic()
    kind.failures.pop(row.life, None)

  def note_failed(self, row: endpoints.Row, error: str) -> None:
    """Records that no connection to an endpoint could be opened."""
    kind, now = self._kind(row), self._clock.monotonic()
    for life, failure in list(kind.failures.items()):
      if now - failure.last_at >= _FAILURE_MEMORY_S:
        del kind.failures[life]
    before = kind.failures.get(row.life)
    first_at = now if before is None else before.first_at
    kind.failures[row.life] = Failure(first_at, now, error)
    extra = {
        "endpoint": row.life,
        "address": row.url,
        "error": error,
        "failing_s": round(now - first_at, 3),
        **self.describe(row.kind),
    }
    logger.info("endpoint not reached", extra=extra)

  def describe(self, kind: str) -> dict[str, Any]:
    """Returns what is known of the endpoints of a kind, for the log."""
    known, now = self._kinds.get(kind, _Kind()), self._clock.monotonic()
    reached_s = None if known.reached_at is None else now - known.reached_at
    since = min((f.first_at for f in known.failures.values()), default=None)
    return {
        "kind": kind,
        "unreached": len(known.failures),
        "unreached_s": None if since is None else round(now - since, 3),
        "reached_s": None if reached_s is None else round(reached_s, 3),
    }
