"""What a router knows of its own connections to endpoints.

A connection that cannot be opened says little by itself: the endpoint may have
ended, or this router may be cut off from it. The attempts at all endpoints of a
kind together tell these apart: a router that fails to reach several of them, and
has reached none since, is cut off until it reaches one again. Endpoints that it has
never reached are no evidence beside others that it has: their entries may be wrong.

An endpoint may also be cut off alone: one that this router failed to reach while
another router reached it is taken for cut off until a connection to it succeeds.
"""

from collections.abc import Iterable
import enum
import logging
import random
from typing import Any, NamedTuple

from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_SUSPICIOUS_ENDPOINTS = 2
"""Unreached endpoints from which a router suspects that it is cut off, and tries
others at once. One alone has probably ended, or is silent for a moment."""
_CUT_ENDPOINTS = 4
"""Unreached endpoints from which it takes itself for cut off."""
_FAILURE_MEMORY_S = 3.0
"""How long a failed connection says something about an endpoint's reach."""
_MAX_SILENCE_S = 0.3
"""How long nothing may arrive on any connection to the endpoints of a kind, while
requests are in flight there, until new connections are tried."""
_MIN_CHECK_INTERVAL_S = 1.0
"""Minimum time between two such trials."""


class Evidence(NamedTuple):
  """What tells whether a router is cut off from the endpoints of a kind."""

  listed: int
  """Endpoints in the list."""
  unreached: int
  """Endpoints that were not reached lately, while no other one was."""
  known: int = 0
  """Endpoints in the list that this router has reached at some time."""
  lost: int = 0
  """Of the unreached endpoints, those that are known."""


class State(enum.Enum):
  """Whether a router reaches the endpoints of a kind."""

  REACHED = enum.auto()
  SUSPECTED = enum.auto()
  """It may be cut off; other endpoints have to be tried."""
  CUT = enum.auto()


def judge(evidence: Evidence) -> State:
  """Returns whether a router reaches the endpoints of a kind."""
  if evidence.unreached <= 0 or evidence.listed <= 0:
    return State.REACHED
  may_be_cut = evidence.lost > 0 or not evidence.known
  if may_be_cut and evidence.unreached >= min(_CUT_ENDPOINTS, evidence.listed):
    return State.CUT
  if evidence.unreached >= _SUSPICIOUS_ENDPOINTS:
    return State.SUSPECTED
  return State.REACHED


def needs_check(silent_s: float, since_check_s: float) -> bool:
  """Whether a silence has to be checked by opening new connections.

  Args:
    silent_s: seconds for which nothing arrived though requests are in flight.
    since_check_s: seconds since the last check.
  """
  return silent_s >= _MAX_SILENCE_S and since_check_s >= _MIN_CHECK_INTERVAL_S


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
    self.reached_lives: dict[str, None] = {}
    """Lives to which a connection was opened at some time."""
    self.failures: dict[str, Failure] = {}
    """By the endpoint's life (one run of its process)."""
    self.cut_since: float | None = None
    self.detoured: dict[str, float] = {}
    """Lives that only other routers reach, and since when."""
    self.unconfirmed: dict[str, None] = {}
    """Unreached lives of which it is not known whether others reach them."""
    self.in_flight: dict[str, int] = {}
    """Requests in flight on direct connections, by the endpoint's name."""
    self.heard_at = 0.0
    """When bytes last arrived, or the first request in flight was sent."""
    self.checked_at = -float("inf")


class Reach:
  """The endpoints that this router reaches, by the outcomes of connections.

  Args:
    table: all endpoints.
    clock: the time source.
  """

  def __init__(self, table: endpoints.Table, clock: clock_lib.Clock) -> None:
    self._table = table
    self._clock = clock
    self._kinds: dict[str, _Kind] = {}

  def _kind(self, name: str) -> _Kind:
    return self._kinds.setdefault(name, _Kind())

  def is_cut(self, kind: str) -> bool:
    """Whether this router is cut off from all endpoints of a kind."""
    known = self._kinds.get(kind)
    return known is not None and known.cut_since is not None

  def is_detoured(self, row: endpoints.Row) -> bool:
    """Whether an endpoint has to be reached through another router."""
    known = self._kinds.get(row.kind)
    if known is None:
      return False
    return known.cut_since is not None or row.life in known.detoured

  @property
  def cut_kinds(self) -> list[str]:
    """The kinds from all of whose endpoints this router is cut off."""
    return [kind for kind in self._kinds if self.is_cut(kind)]

  def note_connected(self, row: endpoints.Row) -> None:
    """Records that a connection to an endpoint was opened."""
    kind = self._kind(row.kind)
    now = self._clock.monotonic()
    kind.reached_at = now
    kind.reached_lives[row.life] = None
    kind.failures.pop(row.life, None)
    kind.unconfirmed.pop(row.life, None)
    kind.detoured.pop(row.life, None)
    if kind.cut_since is not None:
      extra = {
          "kind": row.kind,
          "cut_s": round(now - kind.cut_since, 3),
          "endpoint": row.life,
          "detoured": len(kind.detoured),
      }
      logger.info("endpoints reached again", extra=extra)
      kind.cut_since = None

  def note_failed(self, row: endpoints.Row, error: str) -> bool:
    """Records that no connection to an endpoint could be opened.

    Returns:
      Whether this router now takes itself for cut off, and did not before.
    """
    kind, now = self._kind(row.kind), self._clock.monotonic()
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
    kind.unconfirmed[row.life] = None
    if kind.cut_since is not None or self._judge(row.kind) is not State.CUT:
      return False
    kind.cut_since = now
    extra = {**self._evidence(row.kind)._asdict(), **self.describe(row.kind)}
    logger.warning("cut off from endpoints", extra=extra)
    return True

  def _evidence(self, name: str) -> Evidence:
    rows, kind = self.rows_of(name), self._kind(name)
    reached_at = -float("inf") if kind.reached_at is None else kind.reached_at
    unreached = [
        row.life
        for row in rows
        if row.life in kind.failures
        and kind.failures[row.life].last_at > reached_at
    ]
    return Evidence(
        len(rows),
        len(unreached),
        sum(row.life in kind.reached_lives for row in rows),
        sum(life in kind.reached_lives for life in unreached),
    )

  def _judge(self, kind: str) -> State:
    return judge(self._evidence(kind))

  def is_suspected(self, kind: str) -> bool:
    """Whether other endpoints have to be tried to know if this router is cut."""
    return not self.is_cut(kind) and self._judge(kind) is State.SUSPECTED

  def untried_rows(self, kind: str) -> list[endpoints.Row]:
    """Returns the endpoints of a kind that have not failed lately."""
    failures, now = self._kind(kind).failures, self._clock.monotonic()
    return [
        row
        for row in self.rows_of(kind)
        if row.life not in failures
        or now - failures[row.life].last_at >= _FAILURE_MEMORY_S
    ]

  def draw_untried(
      self, kind: str, count: int, rng: random.Random
  ) -> list[endpoints.Row]:
    """Draws endpoints whose outcome shows whether this router is cut off.

    Those that it has reached before say most, and come first.
    """
    rows, reached = self.untried_rows(kind), self._kind(kind).reached_lives
    rng.shuffle(rows)
    rows.sort(key=lambda row: row.life not in reached)
    return rows[:count]

  def note_reached_by_other(self, row: endpoints.Row, router: str) -> None:
    """Records that another router reached an endpoint."""
    kind = self._kind(row.kind)
    if row.life in kind.failures and row.life not in kind.detoured:
      kind.detoured[row.life] = self._clock.monotonic()
      extra = {"endpoint": row.life, "address": row.url, "router": router}
      logger.info("endpoint reached only by others", extra=extra)

  def take_unconfirmed(self, limit: int) -> list[endpoints.Row]:
    """Returns unreached endpoints that other routers may reach, each once.

    While this router is cut off from all endpoints of a kind, requests show it.
    """
    rows: list[endpoints.Row] = []
    for kind in self._kinds.values():
      while kind.cut_since is None and kind.unconfirmed and len(rows) < limit:
        row = self._table.find_life(kind.unconfirmed.popitem()[0])
        if row is not None and not self.is_detoured(row):
          rows.append(row)
    return rows

  def note_sent(self, row: endpoints.Row) -> None:
    """Records that a request was sent on a direct connection."""
    kind = self._kind(row.kind)
    if not kind.in_flight:
      kind.heard_at = self._clock.monotonic()
    kind.in_flight[row.name] = kind.in_flight.get(row.name, 0) + 1

  def note_heard(self, row: endpoints.Row) -> None:
    """Records that bytes arrived on a direct connection."""
    self._kind(row.kind).heard_at = self._clock.monotonic()

  def note_ended(self, row: endpoints.Row) -> None:
    """Records that a request sent on a direct connection has ended."""
    in_flight = self._kind(row.kind).in_flight
    left = in_flight.pop(row.name, 0) - 1
    if left > 0:
      in_flight[row.name] = left

  @property
  def is_idle(self) -> bool:
    """Whether there is nothing to check: no request in flight, none unreached."""
    return not any(
        kind.in_flight
        or kind.detoured
        or kind.unconfirmed
        or kind.cut_since is not None
        for kind in self._kinds.values()
    )

  def take_silent(self) -> list[list[endpoints.Row]]:
    """Returns, for each kind whose silence has to be checked, its endpoints.

    Those with requests in flight come first.
    """
    now = self._clock.monotonic()
    found = []
    for name, kind in self._kinds.items():
      if not kind.in_flight or kind.cut_since is not None:
        continue
      if needs_check(now - kind.heard_at, now - kind.checked_at):
        kind.checked_at = now
        rows = self.rows_of(name)
        rows.sort(key=lambda row: row.name not in kind.in_flight)
        found.append(rows)
    return [rows for rows in found if rows]

  def was_reached(self, kind: str) -> bool:
    """Whether a connection to a kind of endpoints was opened just now."""
    reached_at = self._kind(kind).reached_at
    if reached_at is None:
      return False
    return self._clock.monotonic() - reached_at < _MIN_CHECK_INTERVAL_S

  def detoured_rows(self, kind: str) -> list[endpoints.Row]:
    """Returns the endpoints that may be reached directly again."""
    known = self._kinds.get(kind, _Kind())
    if known.cut_since is not None:
      # Endpoints that were listed since the cut began are among the untried.
      return self.untried_rows(kind) or self.rows_of(kind)
    rows = (self._table.find_life(life) for life in known.detoured)
    return [row for row in rows if row is not None]

  def rows_of(self, kind: str) -> list[endpoints.Row]:
    """Returns the listed endpoints of a kind that are up and stay, as known."""
    now = self._clock.monotonic()
    return [
        row
        for row in self._table.rows.values()
        if row.kind == kind and row.state == "live" and not row.has_ended(now)
    ]

  @property
  def kinds(self) -> list[str]:
    """The kinds of the listed endpoints."""
    return sorted({row.kind for row in self._table.rows.values()})

  def prune(self) -> None:
    """Forgets endpoints that are not listed any more."""
    for kind in self._kinds.values():
      _drop_unlisted(kind.detoured, self._table)
      _drop_unlisted(kind.failures, self._table)
      _drop_unlisted(kind.reached_lives, self._table)
      _drop_unlisted(kind.unconfirmed, self._table)

  def describe(self, kind: str) -> dict[str, Any]:
    """Returns what is known of the endpoints of a kind, for the log."""
    known, now = self._kinds.get(kind, _Kind()), self._clock.monotonic()
    since = min((f.first_at for f in known.failures.values()), default=None)
    return {
        "kind": kind,
        "unreached": len(known.failures),
        "unreached_s": _age_s(since, now),
        "reached_s": _age_s(known.reached_at, now),
        "cut_s": _age_s(known.cut_since, now),
        "detoured": len(known.detoured),
    }


def _age_s(at: float | None, now: float) -> float | None:
  return None if at is None else round(now - at, 3)


def _drop_unlisted(by_life: dict[str, Any], table: endpoints.Table) -> None:
  unlisted: Iterable[str] = [
      life for life in by_life if table.find_life(life) is None
  ]
  for life in unlisted:
    del by_life[life]
