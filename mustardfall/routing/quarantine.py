"""Quarantine for requests that crash the endpoints that run them.

Retried by its caller or by a router, such a request would crash one endpoint
after the other and abort the requests that run beside it. A crash counts
against every request that was running on the endpoint. Most of these did not
cause the crash: they are involved in few crashes, or succeed at the next
endpoint.
"""

import collections
import dataclasses
import hashlib
import logging
from typing import Any, NamedTuple

from mustardfall.util import clock as clock_lib
from mustardfall.util import names

logger = logging.getLogger(__name__)

CRASH_LIMIT = 3
"""Crashes of endpoints running a request after which it is quarantined."""
QUARANTINE_S = 600.0
"""How long a request is quarantined. After that, a single further crash
quarantines it again."""
_RETENTION_S = 120.0
"""How long a crash counts against a request, and a success clears it."""
_SAME_CAUSE_S = 0.1
"""Crashes this close together may have one external cause, such as a rack
losing power. They count once against a request that ran on several of the
endpoints."""
_MAX_ROWS = 4_096
"""Suspected and quarantined requests kept."""
_MAX_ROWS_PER_TEAM = 128
"""Of these, for one team: a team that exceeds it evicts only its own rows."""
_MAX_SUCCEEDED = 8_192
"""Recently succeeded requests kept."""
_DIGEST_BYTES = 12


class CrashReport(NamedTuple):
  """A report that an endpoint crashed while it ran a request."""

  fingerprint: str
  team: str
  endpoint: str
  """The endpoint's life (one run of its process), see `endpoints.Row.life`."""
  ran_s: float
  """How long the request had been running there."""


class QuarantineUpdate(NamedTuple):
  """Tells other routers that a request is quarantined or has succeeded."""

  fingerprint: str
  team: str
  left_s: float
  """Seconds of quarantine left; 0 or less: the request has succeeded."""


def fingerprint(team: str, method: bytes, target: bytes, body: bytes) -> str:
  """Returns a hash that is equal for repetitions of a team's request."""
  digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
  for part in (team.encode(), method, target):
    digest.update(b"%d:%b" % (len(part), part))
  digest.update(body)
  return digest.hexdigest()


def part_key(team: str, part: str) -> str:
  """Returns a hash that is equal for requests of a team with a prompt part."""
  digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
  digest.update(f"{len(team)}:{team}{part}".encode())
  return digest.hexdigest()


@dataclasses.dataclass
class _Row:
  """One suspected or quarantined request."""

  team: str
  endpoints: set[str] = dataclasses.field(default_factory=set)
  """Endpoints that crashed while they ran it."""
  crashes: int = 0
  """Crashes counted; those with a likely common cause count once."""
  last_crash_at: float = -float("inf")
  """When the last counted crash was reported."""
  quarantined_until: float = -float("inf")
  """When its quarantine ends."""


class Table:
  """Suspected and quarantined requests, by fingerprint.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._rows: collections.OrderedDict[str, _Row] = collections.OrderedDict()
    self._rows_per_team: collections.Counter[str] = collections.Counter()
    self._succeeded_at: collections.OrderedDict[str, float]
    self._succeeded_at = collections.OrderedDict()

  def remaining_s(self, fingerprint_: str) -> float:
    """Returns the seconds of quarantine left for a request, 0 if none."""
    row = self._rows.get(fingerprint_)
    if row is None:
      return 0.0
    return max(0.0, row.quarantined_until - self._clock.monotonic())

  def note_crash(self, report: CrashReport) -> bool:
    """Records that an endpoint crashed while it ran a request.

    Returns:
      Whether this put the request into quarantine.
    """
    if self._succeeded_recently(report.fingerprint):
      return False
    now = self._clock.monotonic()
    row = self._row(report.fingerprint, report.team)
    was_quarantined = row.quarantined_until > -float("inf")
    since_last_s = now - row.last_crash_at
    if since_last_s > _RETENTION_S and not was_quarantined:
      row.endpoints.clear()
      row.crashes = 0
    if report.endpoint in row.endpoints or row.quarantined_until > now:
      return False
    row.endpoints.add(report.endpoint)
    # A request that ran for less time than has passed since the last crash was
    # sent after that crash, so this one has a cause of its own.
    if since_last_s > min(_SAME_CAUSE_S, report.ran_s):
      row.crashes += 1
      row.last_crash_at = now
    if row.crashes < CRASH_LIMIT and not was_quarantined:
      return False
    self._quarantine(report.fingerprint, row, QUARANTINE_S)
    return True

  def crash_count(self, fingerprint_: str) -> int:
    """Returns the crashes that count against a request."""
    row = self._rows.get(fingerprint_)
    return row.crashes if row is not None else 0

  def note_success(self, fingerprint_: str) -> bool:
    """Records that an endpoint completed a request.

    Returns:
      Whether the request was suspected until now.
    """
    self._succeeded_at.pop(fingerprint_, None)
    self._succeeded_at[fingerprint_] = self._clock.monotonic()
    if len(self._succeeded_at) > _MAX_SUCCEEDED:
      self._succeeded_at.popitem(last=False)
    return self._drop(fingerprint_)

  def _succeeded_recently(self, fingerprint_: str) -> bool:
    """Whether an endpoint recently completed the request."""
    succeeded_at = self._succeeded_at.get(fingerprint_, -float("inf"))
    return self._clock.monotonic() - succeeded_at < _RETENTION_S

  def apply_update(self, update: QuarantineUpdate) -> bool:
    """Applies an update from another router.

    Returns:
      Whether this put the request into quarantine.
    """
    if update.left_s <= 0:
      self.note_success(update.fingerprint)
      return False
    if self._succeeded_recently(update.fingerprint) or self.remaining_s(
        update.fingerprint
    ):
      return False
    row = self._row(update.fingerprint, update.team)
    self._quarantine(update.fingerprint, row, min(update.left_s, QUARANTINE_S))
    return True

  def keys(self) -> list[str]:
    """Returns the fingerprints of quarantined requests, most recent first."""
    now = self._clock.monotonic()
    return [
        key
        for key, row in reversed(self._rows.items())
        if row.quarantined_until > now
    ]

  def fact(self, key: str) -> list[Any]:
    """Returns what others have to know of a request; see `apply`."""
    row = self._rows.get(key)
    team = row.team if row is not None else ""
    return list(QuarantineUpdate(key, team, round(self.remaining_s(key), 1)))

  def apply(self, fact: list[Any]) -> None:
    """Applies a `QuarantineUpdate` of another router.

    Raises:
      TypeError, ValueError: `fact` is malformed.
    """
    fingerprint_, team, left_s = fact
    names.check(fingerprint_, team)
    self.apply_update(QuarantineUpdate(fingerprint_, team, float(left_s)))

  def _row(self, fingerprint_: str, team: str) -> _Row:
    """Returns a request's row; adds it, evicting another, if missing."""
    row = self._rows.get(fingerprint_)
    if row is None:
      if self._rows_per_team[team] >= _MAX_ROWS_PER_TEAM:
        oldest = next(k for k, r in self._rows.items() if r.team == team)
        self._drop(oldest)
      elif len(self._rows) >= _MAX_ROWS:
        self._drop(next(iter(self._rows)))
      row = self._rows[fingerprint_] = _Row(team)
      self._rows_per_team[team] += 1
    self._rows.move_to_end(fingerprint_)
    return row

  def _drop(self, fingerprint_: str) -> bool:
    """Removes a request's row; returns whether there was one."""
    row = self._rows.pop(fingerprint_, None)
    if row is None:
      return False
    self._rows_per_team[row.team] -= 1
    if not self._rows_per_team[row.team]:
      del self._rows_per_team[row.team]
    return True

  def _quarantine(self, fingerprint_: str, row: _Row, term_s: float) -> None:
    row.quarantined_until = self._clock.monotonic() + term_s
    logger.warning(
        "request quarantined",
        extra={
            "fingerprint": fingerprint_,
            "team": row.team,
            "endpoints": sorted(row.endpoints),
            "term_s": round(term_s, 1),
        },
    )
