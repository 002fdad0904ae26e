"""Blame for what crashes the endpoints that run it.

Retried by its caller or by a router, a request that crashes endpoints would
crash one after the other and abort the requests that run beside it. Other
requests may share with it only the part of the prompt that does it. So crashes
are counted for each unit that may recur: the whole request, and each part of
its prompt but the last, which belongs to the request itself.

A crash counts against all requests that were running on the endpoint. Most of
these did not cause it: they are involved in few crashes, or succeed at the next
endpoint. A unit with several crashes is tried by one request at a time until
one succeeds, or until so many have crashed that it is quarantined.
"""

import collections
from collections.abc import Callable, Iterable, Sequence
import dataclasses
import enum
import hashlib
import logging
from typing import Any, NamedTuple

import anyio

from mustardfall.util import clock as clock_lib
from mustardfall.util import names

logger = logging.getLogger(__name__)

QUARANTINE_S = 600.0
"""How long a request is quarantined, and the longest quarantine of a part.
After that, a single further crash quarantines it again."""
_FIRST_SHARED_QUARANTINE_S = 15.0
"""The first quarantine of a unit that concerns many requests: a part, or a request
of which several like ones run at once; doubled with each further crash."""
_RETENTION_S = 120.0
"""How long a crash counts against a unit, and a success speaks for it."""
_SAME_CAUSE_S = 0.1
"""Crashes this close together may have one external cause, such as a rack
losing power. They count once against a unit that ran on several of the
endpoints."""
_WRITING_WEIGHT = 0.5
"""Weight of a crash against a shared unit if the endpoint had been writing the
answer: it had processed the prompt."""
_MAX_WEAK_ENDPOINTS = 4
"""Crashes of so many endpoints weigh less for that. Further ones count whole: that
a unit recurs says more than when the endpoints crashed."""
WRITING_S = 0.25
"""How long it must have been writing for that."""
_MAX_ROWS = 4_096
"""Suspected and quarantined units kept."""
_MAX_ROWS_PER_TEAM = 512
"""Of these, for one team: a team that exceeds it evicts only its own rows. An
endpoint runs dozens of requests with a few units each."""
_MAX_REQUESTS_PER_ROW = 4
"""Requests by which a row is told apart as a part."""
_MAX_ENDPOINTS_PER_ROW = 16
_MAX_CRASHES_PER_ROW = 8
"""Crashes kept with their times; older ones are added up."""
_MAX_SUCCEEDED = 8_192
"""Units kept that recently succeeded."""
MAX_PARTS = 32
"""Parts of a prompt that are counted; further ones are not."""
_DIGEST_BYTES = 12


class Standing(enum.Enum):
  """What may be done with requests that have a unit."""

  CLEAR = "clear"
  OPEN = "open"
  """Only one request at a time, of all routers, may run."""
  QUARANTINED = "quarantined"


class Policy(NamedTuple):
  """The crashes at which the standing of a unit changes."""

  trial_crashes: int = 2
  """A part that never succeeded is open from so many on."""
  crash_limit: int = 3
  """A unit that never succeeded is quarantined from so many on."""
  proven_trial_crashes: int = 3
  """The same as `trial_crashes` for units that succeeded before."""
  relapse_limit: int = 2
  """The same as `crash_limit` for parts that were quarantined before they last
  succeeded."""
  proven_crash_limit: int = 5
  """The same as `crash_limit` for these, and for parts that did not run without
  another suspected part."""


DEFAULT_POLICY = Policy()
CRASH_LIMIT = DEFAULT_POLICY.crash_limit
"""Crashes of endpoints running a request after which it is quarantined."""


class Record(NamedTuple):
  """What is known of one unit when it is judged."""

  crashes: float
  """Crashes since its last success; with a common cause they count once, and
  those amid an answer as a half."""
  requests: int
  """Different requests that were running then, of a part; 1 for a request."""
  is_part: bool
  is_proven: bool
  """Whether an endpoint recently completed a request with it."""
  was_isolated: bool
  """Whether one of the requests had no other suspected part."""
  has_relapsed: bool = False
  """Whether it was quarantined before it last succeeded: a part that crashes most
  endpoints, and not all, succeeds now and then."""


def judge(record: Record, policy: Policy = DEFAULT_POLICY) -> Standing:
  """Returns the standing of a unit.

  Blame belongs to the unit that recurs: a part of only one request is not
  blamed, since that request may have crashed the endpoints by itself.
  """
  if record.is_part and record.requests < 2:  # noqa: PLR2004
    return Standing.CLEAR
  limit = policy.crash_limit
  if record.is_proven or not record.was_isolated:
    limit = policy.proven_crash_limit
  if record.has_relapsed:
    limit = policy.relapse_limit
  if record.crashes >= limit:
    return Standing.QUARANTINED
  first = policy.trial_crashes
  if record.is_proven:
    first = policy.proven_trial_crashes
  if record.is_part and record.crashes >= first:
    return Standing.OPEN
  return Standing.CLEAR


def term_s(crashes: float, is_shared: bool, policy: Policy) -> float:
  """Returns how long a unit is quarantined, seconds.

  Args:
    crashes: see `Record`.
    is_shared: whether many requests have the unit.
    policy: the crashes at which standings change.
  """
  if not is_shared:
    return QUARANTINE_S
  further = min(max(0.0, crashes - policy.crash_limit), 16.0)
  return min(QUARANTINE_S, _FIRST_SHARED_QUARANTINE_S * 2**further)


class CrashReport(NamedTuple):
  """A report that an endpoint crashed while it ran a request."""

  fingerprint: str
  """The key of the request, or of a part of its prompt."""
  team: str
  endpoint: str
  """The endpoint's life (one run of its process), see `endpoints.Row.life`."""
  ran_s: float
  """How long the request had been running there."""
  request: str = ""
  """The request's key, in the report of a part; empty in that of a request."""
  was_writing: bool = False
  """Whether the endpoint had been writing the answer for `WRITING_S`."""
  is_isolated: bool = True
  """Whether the request had no other suspected part."""
  is_proven: bool = False
  """Whether the reporter knows a recent success of the unit."""


class Suspects(NamedTuple):
  """The parts of a request that ran on an endpoint when it crashed."""

  parts: list[str]
  """Their keys; the one with the most recent success comes last."""
  unproven_count: int
  """How many of them, the first ones, did not succeed recently."""


class QuarantineUpdate(NamedTuple):
  """Tells other routers of a unit's standing."""

  fingerprint: str
  team: str
  left_s: float
  """Seconds of quarantine left; 0 or less: a request that was sent `-left_s` seconds
  ago succeeded."""
  crashed_s: float = 0.0
  """Seconds since the last request was sent under which an endpoint crashed."""
  crashes: float = float(CRASH_LIMIT)
  """Crashes since its last success; see `Record`."""
  is_part: bool = False
  is_open: bool = False
  """Whether it is open; `left_s` means nothing then."""
  succeeded_s: float = -1.0
  """Seconds since the last request was sent that succeeded, which was before these
  crashes; negative: none is known."""


def decode(fact: list[Any]) -> QuarantineUpdate:
  """Returns the update of another router.

  Raises:
    TypeError, ValueError: `fact` is malformed.
  """
  update = QuarantineUpdate(*fact)
  names.check(update.fingerprint, update.team)
  return update._replace(
      left_s=float(update.left_s),
      crashed_s=max(0.0, float(update.crashed_s)),
      crashes=float(update.crashes),
      is_part=update.is_part is True,
      is_open=update.is_open is True,
      succeeded_s=float(update.succeeded_s),
  )


def fingerprint(
    team: str,
    method: bytes,
    target: bytes,
    body: bytes,
    prompt: Sequence[str] = (),
) -> str:
  """Returns a hash that is equal for repetitions of a team's request.

  Args:
    team: the team's name.
    method: the HTTP method.
    target: path and query.
    body: the body.
    prompt: what else the endpoint's work depends on: the model, and the ids of
      all parts of the prompt.
  """
  digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
  encoded = [part.encode() for part in prompt]
  for part in (team.encode(), method, target, *encoded):
    digest.update(b"%d:%b" % (len(part), part))
  digest.update(body)
  return digest.hexdigest()


def part_key(team: str, part: str) -> str:
  """Returns a hash that is equal for requests of a team with a prompt part."""
  digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
  digest.update(f"{len(team)}:{team}{part}".encode())
  return digest.hexdigest()


def part_keys(team: str, parts: Sequence[str]) -> tuple[str, ...]:
  """Returns the keys of a prompt's parts without the last, in their order."""
  shared = dict.fromkeys(parts[:-1][:MAX_PARTS])
  return tuple(part_key(team, part) for part in shared)


class _Crash(NamedTuple):
  """A crash that counts against a unit."""

  at: float
  """When it was reported, monotonic seconds."""
  sent_at: float
  """When the last request with the unit was sent to the endpoint, as far as known;
  monotonic seconds."""
  weight: float
  endpoint: str = ""
  """The endpoint's life; empty: another router counted the crash."""


@dataclasses.dataclass
class _Row:
  """One suspected or quarantined unit."""

  team: str
  endpoints: dict[str, float] = dataclasses.field(default_factory=dict)
  """Endpoints that crashed while they ran it, and for how long, seconds."""
  has_like_requests: bool = False
  """Whether an endpoint ran several requests with it when it crashed."""
  requests: set[str] = dataclasses.field(default_factory=set)
  """Keys of requests with it that ran there; empty: it is a request."""
  crash_log: list[_Crash] = dataclasses.field(default_factory=list)
  """Crashes counted since the last success, in order."""
  quarantined_until: float = -float("inf")
  """When its quarantine ends."""
  is_part: bool = False
  is_proven: bool = False
  was_isolated: bool = False
  has_relapsed: bool = False
  told_open: bool = False
  """Whether another router found it open."""

  @property
  def crashes(self) -> float:
    """Crashes counted; those with a likely common cause count once."""
    return sum(crash.weight for crash in self.crash_log)

  @property
  def last_crash_at(self) -> float:
    """When the last counted crash was reported."""
    return self.crash_log[-1].at if self.crash_log else -float("inf")

  @property
  def last_sent_at(self) -> float:
    """When the last request was sent under which an endpoint crashed."""
    sent_at = (crash.sent_at for crash in self.crash_log)
    return max(sent_at, default=-float("inf"))

  def log_crash(self, crash: _Crash) -> None:
    """Counts a crash, or several that were counted elsewhere."""
    self.crash_log.append(crash)
    if len(self.crash_log) > _MAX_CRASHES_PER_ROW:
      oldest, second = self.crash_log[:2]
      weight = oldest.weight + second.weight
      sent_at = max(oldest.sent_at, second.sent_at)
      self.crash_log[:2] = [second._replace(weight=weight, sent_at=sent_at)]

  def note_sent_later(self, endpoint: str, sent_at: float) -> None:
    """Records when a further request was sent to an endpoint that crashed."""
    for number, crash in enumerate(self.crash_log):
      if crash.endpoint == endpoint and crash.sent_at < sent_at:
        self.crash_log[number] = crash._replace(sent_at=sent_at)

  @property
  def was_quarantined(self) -> bool:
    return self.quarantined_until > -float("inf")

  @property
  def is_shared(self) -> bool:
    """Whether many requests have the unit."""
    return self.is_part or self.has_like_requests

  @property
  def record(self) -> Record:
    """The input of `judge`."""
    return Record(
        self.crashes,
        len(self.requests),
        self.is_part,
        self.is_proven,
        self.was_isolated,
        self.has_relapsed,
    )


class Table:
  """Suspected and quarantined units, by key.

  Args:
    clock: the time source.
    policy: the crashes at which standings change.
  """

  def __init__(
      self, clock: clock_lib.Clock, policy: Policy = DEFAULT_POLICY
  ) -> None:
    self._clock = clock
    self._policy = policy
    self._rows: collections.OrderedDict[str, _Row] = collections.OrderedDict()
    self._keys_by_team: dict[str, dict[str, None]] = {}
    """The keys of each team's rows, oldest first."""
    self._blamed: dict[str, None] = {}
    """Units that were open or quarantined when last judged, oldest first."""
    self._succeeded_at: collections.OrderedDict[str, float]
    self._succeeded_at = collections.OrderedDict()
    self._cleared_at: collections.OrderedDict[str, float]
    self._cleared_at = collections.OrderedDict()
    """When parts succeeded that had been quarantined."""
    self.on_outdated: Callable[[str], None] = lambda key: None
    """Called with a unit whose standing another router has sent if this router
    knows a success that the other does not."""
    self._changed: anyio.Event | None = None
    """Set at the next change of a standing; None if nobody waits for it."""

  def __len__(self) -> int:
    return len(self._rows)

  async def wait_for_change(self) -> None:
    """Waits until the standing of some unit changes."""
    if self._changed is None:
      self._changed = anyio.Event()
    await self._changed.wait()

  def _note_change(self) -> None:
    if self._changed is not None:
      self._changed.set()
      self._changed = None

  def remaining_s(self, fingerprint_: str) -> float:
    """Returns the seconds of quarantine left for a unit, 0 if none."""
    row = self._rows.get(fingerprint_)
    if row is None:
      return 0.0
    return max(0.0, row.quarantined_until - self._clock.monotonic())

  def standing(self, key: str) -> Standing:
    """Returns the standing of a unit."""
    row = self._rows.get(key)
    return Standing.CLEAR if row is None else self._standing_of(row)

  def _standing_of(self, row: _Row) -> Standing:
    now = self._clock.monotonic()
    if row.quarantined_until > now:
      return Standing.QUARANTINED
    if row.was_quarantined:
      return Standing.OPEN if row.is_shared else Standing.CLEAR
    if now - row.last_crash_at > _RETENTION_S:
      return Standing.CLEAR
    if row.told_open:
      return Standing.OPEN
    return judge(row.record, self._policy)

  def open_units(self, keys: Iterable[str]) -> list[str]:
    """Returns the units that only one request at a time may have, sorted."""
    if not self._rows:
      return []
    return sorted(k for k in keys if self.standing(k) is Standing.OPEN)

  def rank_suspects(self, keys: Sequence[str]) -> Suspects:
    """Returns the parts of a request that crashed its endpoint, ranked."""
    succeeded_at = {k: self._succeeded_at.get(k, -float("inf")) for k in keys}
    ranked = sorted(keys, key=succeeded_at.__getitem__)
    return Suspects(ranked, sum(not self.is_proven(key) for key in keys))

  def is_proven(self, key: str) -> bool:
    """Whether an endpoint recently completed a request with a unit."""
    succeeded_at = self._succeeded_at.get(key, -float("inf"))
    return self._clock.monotonic() - succeeded_at < _RETENTION_S

  def is_suspected(self, key: str) -> bool:
    """Whether a part that just ran on a crashed endpoint may have caused it.

    The crash itself speaks against it only if it has not succeeded recently.
    """
    return not self.is_proven(key) or self.crash_count(key) > 1

  def note_crash(self, report: CrashReport) -> bool:
    """Records that an endpoint crashed while it ran a unit.

    Returns:
      Whether this put the unit into quarantine.
    """
    now = self._clock.monotonic()
    row = self._row(report.fingerprint, report.team)
    row.is_part = row.is_part or bool(report.request)
    row.is_proven = row.is_proven or report.is_proven
    since_last_s = now - row.last_crash_at
    if since_last_s > _RETENTION_S and not row.was_quarantined:
      self._reset(report.fingerprint, row)
    if row.endpoints.get(report.endpoint, report.ran_s) != report.ran_s:
      # Each report is sent twice; those of several requests differ in this.
      row.has_like_requests = True
    row.note_sent_later(report.endpoint, now - report.ran_s)
    if report.endpoint in row.endpoints or row.quarantined_until > now:
      return False
    row.endpoints[report.endpoint] = report.ran_s
    if len(row.endpoints) > _MAX_ENDPOINTS_PER_ROW:
      del row.endpoints[next(iter(row.endpoints))]
    # A request that ran for less time than has passed since the last crash was
    # sent after that crash, so this one has a cause of its own.
    if since_last_s > min(_SAME_CAUSE_S, report.ran_s):
      is_weak = row.is_shared and report.was_writing
      is_weak = is_weak and len(row.endpoints) <= _MAX_WEAK_ENDPOINTS
      is_weak = is_weak and not row.has_relapsed
      weight = _WRITING_WEIGHT if is_weak else 1.0
      sent_at = now - report.ran_s
      row.log_crash(_Crash(now, sent_at, weight, report.endpoint))
      row.was_isolated = row.was_isolated or report.is_isolated
    if len(row.requests) < _MAX_REQUESTS_PER_ROW:
      row.requests.add(report.request or report.fingerprint)
    standing = judge(row.record, self._policy)
    if standing is not Standing.QUARANTINED and not row.was_quarantined:
      if standing is Standing.OPEN:
        self._blamed[report.fingerprint] = None
      return False
    self._quarantine(report.fingerprint, row)
    self._explain_crashes(row)
    return True

  def _explain_crashes(self, culprit: _Row) -> None:
    """Forgets the crashes that a unit explains in the other rows of its team."""
    for key in list(self._keys_by_team[culprit.team]):
      row = self._rows[key]
      is_explained = row.endpoints.keys() <= culprit.endpoints.keys()
      is_explained = is_explained and bool(row.endpoints)
      if is_explained and not row.was_quarantined:
        self._drop(key)

  def _reset(self, key: str, row: _Row) -> None:
    """Forgets the crashes of a unit, which are too old."""
    row.endpoints.clear()
    row.requests.clear()
    row.crash_log.clear()
    row.was_isolated = row.told_open = row.has_like_requests = False
    row.is_proven = row.is_proven or self.is_proven(key)

  def crash_count(self, fingerprint_: str) -> float:
    """Returns the crashes that count against a unit; see `Record`."""
    row = self._rows.get(fingerprint_)
    return row.crashes if row is not None else 0.0

  def note_success(self, fingerprint_: str, age_s: float = 0.0) -> bool:
    """Records that an endpoint completed a request with a unit.

    Args:
      fingerprint_: the unit's key.
      age_s: seconds since the request was sent. Crashes under requests that were
        sent later still count: what was sound may have become faulty.

    Returns:
      Whether crashes that counted until now are forgotten.
    """
    if age_s >= _RETENTION_S:
      return False
    at = self._clock.monotonic() - age_s
    before = self._succeeded_at.pop(fingerprint_, -float("inf"))
    self._succeeded_at[fingerprint_] = max(before, at)
    if len(self._succeeded_at) > _MAX_SUCCEEDED:
      self._succeeded_at.popitem(last=False)
    row = self._rows.get(fingerprint_)
    if row is None:
      return False
    crash_count = len(row.crash_log)
    row.crash_log = [crash for crash in row.crash_log if crash.sent_at > at]
    if not row.crash_log:
      self._note_cleared(fingerprint_, row)
      return self._drop(fingerprint_)
    row.told_open = False
    if not row.is_proven:
      # A success before the crashes: more of them are needed for blame.
      row.is_proven = True
      if judge(row.record, self._policy) is not Standing.QUARANTINED:
        row.quarantined_until = -float("inf")
    self._note_change()
    return len(row.crash_log) < crash_count

  def _note_cleared(self, key: str, row: _Row) -> None:
    """Remembers that a part succeeded that had been quarantined."""
    if not row.is_part or not row.was_quarantined:
      return
    self._cleared_at.pop(key, None)
    self._cleared_at[key] = self._clock.monotonic()
    if len(self._cleared_at) > _MAX_ROWS:
      self._cleared_at.popitem(last=False)

  def _has_relapsed(self, key: str) -> bool:
    cleared_at = self._cleared_at.get(key, -float("inf"))
    return self._clock.monotonic() - cleared_at < _RETENTION_S

  def apply_update(self, update: QuarantineUpdate) -> bool:
    """Applies an update from another router.

    Returns:
      Whether this put the unit into quarantine.
    """
    key = update.fingerprint
    if not update.is_open and update.left_s <= 0:
      self.note_success(key, -update.left_s)
      return False
    is_news = update.succeeded_s < 0 and self.is_proven(key)
    if update.succeeded_s >= 0:
      self.note_success(key, update.succeeded_s)
    crashed_at = self._clock.monotonic() - update.crashed_s
    is_cleared = self._succeeded_at.get(key, -float("inf")) >= crashed_at
    if is_news or is_cleared:
      self.on_outdated(key)
    if is_cleared or self.remaining_s(key):
      return False
    row = self._row(key, update.team)
    row.is_part = row.is_part or update.is_part
    missed = update.crashes - row.crashes
    if missed > 0:
      at = max(row.last_crash_at, crashed_at)
      row.log_crash(_Crash(at, crashed_at, missed))
    if update.is_open or (is_news and row.is_part):
      row.told_open = not is_news
      self._blamed[key] = None
      return False
    self._quarantine(key, row, min(update.left_s, QUARANTINE_S))
    return True

  def keys(self) -> list[str]:
    """Returns the units that are quarantined or open, most recent first."""
    for key in list(self._blamed):
      if self.standing(key) is Standing.CLEAR:
        del self._blamed[key]
    return list(reversed(self._blamed))

  def fact(self, key: str) -> list[Any]:
    """Returns what others have to know of a unit; see `decode`."""
    now = self._clock.monotonic()
    row = self._rows.get(key)
    standing = Standing.CLEAR if row is None else self._standing_of(row)
    succeeded_s = round(now - self._succeeded_at.get(key, -float("inf")), 3)
    if row is None or standing is Standing.CLEAR:
      succeeded_s = min(succeeded_s, _RETENTION_S)
      return list(QuarantineUpdate(key, "", -succeeded_s))
    return list(
        QuarantineUpdate(
            key,
            row.team,
            round(self.remaining_s(key), 1),
            round(now - row.last_sent_at, 3),
            row.crashes,
            row.is_part,
            standing is Standing.OPEN,
            succeeded_s if succeeded_s < _RETENTION_S else -1.0,
        )
    )

  def _row(self, fingerprint_: str, team: str) -> _Row:
    """Returns a unit's row; adds it, evicting another, if missing."""
    row = self._rows.get(fingerprint_)
    if row is None:
      self._make_room(team)
      row = self._rows[fingerprint_] = _Row(team)
      row.is_proven = self.is_proven(fingerprint_)
      row.has_relapsed = self._has_relapsed(fingerprint_)
    self._rows.move_to_end(fingerprint_)
    keys = self._keys_by_team.setdefault(row.team, {})
    keys.pop(fingerprint_, None)
    keys[fingerprint_] = None
    return row

  def _make_room(self, team: str) -> None:
    """Evicts a row if there are too many, of the same team if possible."""
    keys = self._keys_by_team.get(team, {})
    if len(keys) >= _MAX_ROWS_PER_TEAM:
      # Most of them only ran beside; one that is blamed must not be lost.
      clear = (k for k in keys if self.standing(k) is Standing.CLEAR)
      self._drop(next(clear, next(iter(keys))))
    elif len(self._rows) >= _MAX_ROWS:
      self._drop(next(iter(self._rows)))

  def _drop(self, fingerprint_: str) -> bool:
    """Removes a unit's row; returns whether there was one."""
    row = self._rows.pop(fingerprint_, None)
    if row is None:
      return False
    self._blamed.pop(fingerprint_, None)
    keys = self._keys_by_team[row.team]
    del keys[fingerprint_]
    if not keys:
      del self._keys_by_team[row.team]
    self._note_change()
    return True

  def _quarantine(
      self, key: str, row: _Row, left_s: float | None = None
  ) -> None:
    """Quarantines a unit; `left_s` is None if this router found it."""
    if left_s is None:
      left_s = term_s(row.crashes, row.is_shared, self._policy)
    row.quarantined_until = self._clock.monotonic() + left_s
    self._blamed.pop(key, None)
    self._blamed[key] = None
    self._note_change()
    logger.warning(
        "request quarantined",
        extra={
            "fingerprint": key,
            "is_part": row.is_part,
            "is_shared": row.is_shared,
            "team": row.team,
            "crashes": row.crashes,
            "endpoints": sorted(row.endpoints),
            "term_s": round(left_s, 1),
        },
    )
