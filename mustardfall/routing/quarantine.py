"""Requests that end the endpoints that run them, kept from all others.

The same request, sent again by its caller or by a router, would end one endpoint
after the other, and with each what runs beside it. An endpoint that ends counts
against all requests that ran there. Most of them only ran beside the one that
ended it: they differ from it in that they ended few endpoints, or succeed at the
next one.
"""

import collections
import dataclasses
import hashlib
import logging
from typing import NamedTuple

from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

CRASH_LIMIT = 3
"""Endpoints that end under a request before it is quarantined."""
QUARANTINE_S = 600.0
"""For which it is quarantined. Afterwards one more endpoint that ends under it
has it quarantined again."""
_REMEMBERED_S = 120.0
"""How long an endpoint that ended counts, and a success speaks for a request."""
_TOGETHER_S = 0.1
"""Endpoints that end within such a time may end of one cause, a rack's power say.
They count once against a request that ran on several of them at that time."""
_MOST_ROWS = 4_096
"""Suspected and quarantined requests known."""
_MOST_OF_TEAM = 128
"""Of these, of one team: a team that makes many of them pushes out its own."""
_MOST_SOUND = 8_192
"""Requests known to have succeeded lately."""
_DIGEST_BYTES = 12


class Suspect(NamedTuple):
  """What is told of a request whose endpoint has ended."""

  fingerprint: str
  team: str
  endpoint: str
  """The endpoint's life."""
  ran_s: float
  """How long the request had been there."""


class Verdict(NamedTuple):
  """What is told of a quarantined request."""

  fingerprint: str
  team: str
  left_s: float
  """Seconds until it may be tried again."""


def fingerprint(team: str, method: bytes, target: bytes, body: bytes) -> str:
  """Returns what the same request of the same team has in common."""
  digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
  for part in (team.encode(), method, target):
    digest.update(b"%d:%b" % (len(part), part))
  digest.update(body)
  return digest.hexdigest()


@dataclasses.dataclass
class _Row:
  """One suspected or quarantined request."""

  team: str
  endpoints: set[str] = dataclasses.field(default_factory=set)
  """Endpoints that ended under it."""
  events: int = 0
  """How often any did, those that ended together counted once."""
  began_at: float = -float("inf")
  """When the first endpoint of the last event ended."""
  until: float = -float("inf")
  """Until when it is quarantined."""


class Table:
  """Suspected and quarantined requests, by fingerprint.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._rows: collections.OrderedDict[str, _Row] = collections.OrderedDict()
    self._of_team: collections.Counter[str] = collections.Counter()
    self._sound: collections.OrderedDict[str, float]
    self._sound = collections.OrderedDict()

  def left_s(self, fingerprint_: str) -> float:
    """Returns for how long a request is still quarantined; 0: it is not."""
    row = self._rows.get(fingerprint_)
    if row is None:
      return 0.0
    return max(0.0, row.until - self._clock.monotonic())

  def note_end(self, suspect: Suspect) -> bool:
    """Notes that an endpoint ended while it ran a request.

    Returns:
      Whether the request is quarantined for it.
    """
    if self._is_sound(suspect.fingerprint):
      return False
    now = self._clock.monotonic()
    row = self._row(suspect.fingerprint, suspect.team)
    was_quarantined = row.until > -float("inf")
    since_s = now - row.began_at
    if since_s > _REMEMBERED_S and not was_quarantined:
      row.endpoints.clear()
      row.events = 0
    if suspect.endpoint in row.endpoints or row.until > now:
      return False
    row.endpoints.add(suspect.endpoint)
    if since_s > min(_TOGETHER_S, suspect.ran_s):
      row.events += 1
      row.began_at = now
    if row.events < CRASH_LIMIT and not was_quarantined:
      return False
    self._quarantine(suspect.fingerprint, row, QUARANTINE_S)
    return True

  def note_success(self, fingerprint_: str) -> bool:
    """Notes that an endpoint ran a request to its end.

    Returns:
      Whether it was suspected until now.
    """
    self._sound.pop(fingerprint_, None)
    self._sound[fingerprint_] = self._clock.monotonic()
    if len(self._sound) > _MOST_SOUND:
      self._sound.popitem(last=False)
    return self._drop(fingerprint_)

  def _is_sound(self, fingerprint_: str) -> bool:
    """Whether an endpoint lately ran the request to its end."""
    ran_at = self._sound.get(fingerprint_, -float("inf"))
    return self._clock.monotonic() - ran_at < _REMEMBERED_S

  def take(self, verdict: Verdict) -> bool:
    """Takes another router's word that a request is quarantined, or sound.

    Returns:
      Whether the request is quarantined for it.
    """
    if verdict.left_s <= 0:
      self.note_success(verdict.fingerprint)
      return False
    if self._is_sound(verdict.fingerprint) or self.left_s(verdict.fingerprint):
      return False
    row = self._row(verdict.fingerprint, verdict.team)
    self._quarantine(
        verdict.fingerprint, row, min(verdict.left_s, QUARANTINE_S)
    )
    return True

  def verdicts(self) -> list[Verdict]:
    """Returns the quarantined requests, the latest first."""
    now = self._clock.monotonic()
    return [
        Verdict(key, row.team, round(row.until - now, 1))
        for key, row in reversed(self._rows.items())
        if row.until > now
    ]

  def _row(self, fingerprint_: str, team: str) -> _Row:
    """Returns a request's row, made if there is none; makes room for it."""
    row = self._rows.get(fingerprint_)
    if row is None:
      if self._of_team[team] >= _MOST_OF_TEAM:
        oldest = next(k for k, r in self._rows.items() if r.team == team)
        self._drop(oldest)
      elif len(self._rows) >= _MOST_ROWS:
        self._drop(next(iter(self._rows)))
      row = self._rows[fingerprint_] = _Row(team)
      self._of_team[team] += 1
    self._rows.move_to_end(fingerprint_)
    return row

  def _drop(self, fingerprint_: str) -> bool:
    row = self._rows.pop(fingerprint_, None)
    if row is None:
      return False
    self._of_team[row.team] -= 1
    if not self._of_team[row.team]:
      del self._of_team[row.team]
    return True

  def _quarantine(self, fingerprint_: str, row: _Row, term_s: float) -> None:
    row.until = self._clock.monotonic() + term_s
    logger.warning(
        "request quarantined",
        extra={
            "fingerprint": fingerprint_,
            "team": row.team,
            "endpoints": sorted(row.endpoints),
            "term_s": round(term_s, 1),
        },
    )
