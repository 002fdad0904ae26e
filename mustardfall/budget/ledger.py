"""The budget ledger in the KV, changed only by compare-and-swap.

Each budget is one key, `budget/<name>`, holding a `Ledger`::

    {"limit": 500000, "spent": 120000,
     "grants": {"router-1:5f3a:17": 4000},
     "lost": {"router-2:90bb:3": 2000}, "lost_before": 0,
     "parts": {"router-2:90bb:3": {"router-3:11aa:9": 500}},
     "ops": ["topup:ab12", ...]}

Every change preserves the invariant that the sum of spent, granted and lost
tokens stays within the limit. A router spends only from grants it holds, so the
tokens that engines generate for a budget never exceed its limit, whatever
fails. This does not depend on any clock.

These terms are used throughout the package. A *router life*, written
`name:epoch`, is one run of a router's process. Tokens are *drawn* while they
are reserved by a request in flight, used, or delegated to another router; they
are *used* once an engine has generated them, which the router knows when the
request ends; and they are *spent* once that usage is recorded in the ledger's
`spent`. The *headroom* is not granted to any router, *undrawn* tokens are
granted but not drawn, and *free* tokens are the undrawn ones below the ceiling
of their grant (see `ceilings`).

A grant whose holder is gone is *written off*: it moves to `lost` and remains
counted, because it is unknown how much of it was spent. Returning it to the
budget would cause overspending if the holder was only paused. When such a
holder resumes and settles, its grant is found in `lost`, the actual usage is
billed and the rest returns to the budget. If the holder has issued a ceiling,
only the tokens up to its cap are written off; the holder never draws the others,
so they return at once (see `ceilings`).

The holder of a grant delegates parts of it to other routers (see `pool`). A
part is normally settled with that holder. If the holder is gone, the part is
settled here instead and recorded in `parts`, so that a holder that was only
paused does not bill it a second time.
"""

from collections.abc import Mapping
import math
import typing
from typing import NamedTuple, TypedDict

from mustardfall import errors
from mustardfall.budget import ceilings as ceilings_lib
from mustardfall.kv import change as change_lib
from mustardfall.kv import protocol
from mustardfall.util import clock as clock_lib

PREFIX = "budget/"
_MAX_OPS = 64
"""Number of recent operation ids kept per budget to recognise a retried top-up.
"""
_MAX_LOST_GRANTS = 64
"""Number of written-off grants that can still be settled; older ones are
summed."""
_STOPPED_MARK = "/stopped"
"""Entry in a grant's `parts` that marks its holder as stopped. It remains as
long as the grant, so that a late repeat of `Release` is recognised however many
operations followed."""
_MAX_CAS_ATTEMPTS = 8
"""Compare-and-swap attempts before a write fails."""


class Ledger(TypedDict):
  """A budget's state in the KV; token counts throughout."""

  limit: int
  limit_version: typing.NotRequired[int]
  """Version of the configuration that set `limit`, if one did."""
  spent: int
  """Tokens billed: by settled grants and parts and by reports of usage."""
  grants: dict[str, int]
  """Grant id to the tokens granted and not yet billed. The number shrinks as
  usage is reported and as parts of the grant are settled here; `granted` adds
  these tokens again."""
  lost: dict[str, int]
  """Id of a written-off grant or part to its tokens."""
  lost_before: int
  """Sum of older written-off entries, which can no longer be settled."""
  parts: dict[str, dict[str, int]]
  """Grant id to the parts of it that were settled here and the tokens used of
  each. If the grant's holder has stopped, also `_STOPPED_MARK` and the parts
  that it settled or wrote off itself, with 0 tokens."""
  ops: list[str]
  """Ids of the latest top-ups, oldest first."""
  billed: typing.NotRequired[dict[str, int]]
  """Grant id to the tokens that its holder has reported as used."""
  ceilings: typing.NotRequired[dict[str, list[float]]]
  """Grant id to the holder's latest ceiling; see `ceilings.decode`."""
  caps: typing.NotRequired[dict[str, int]]
  """Grant id to the cap of that ceiling. A table of its own, which routers of
  earlier versions keep unread."""
  out: typing.NotRequired[dict[str, dict[str, int]]]
  """Grant id of a stopped holder to the parts of it that other routers still
  hold, and their tokens."""


class Balance(NamedTuple):
  """A budget's figures as of the last read of its ledger."""

  limit: int
  spent: int
  held: int
  """Tokens in grants and in written-off grants."""
  at: float
  """Time of the read, monotonic seconds."""


class Create(NamedTuple):
  """Creates the budget with `tokens` unless it exists."""

  tokens: int


class Limit(NamedTuple):
  """A budget's limit as set by a version of the configuration."""

  tokens: int
  version: int


class Grant(NamedTuple):
  """Grants `least` to `want` tokens to a holder under the id `gid`.

  At most `share` of the headroom is granted (but at least `least` if that much
  is left), so that one holder cannot take a budget that others also draw on.
  `margin` is the fraction of the limit that is never granted: a reserve for
  engines that generate more than they were allowed.

  `base` is the number of tokens that the holder knows to be granted under
  `gid`: 0 creates a grant, a larger number enlarges an existing one. Enlarging
  one grant keeps a holder's free tokens together; several grants would each
  keep a remainder too small for any request. A ledger that shows more than
  `base` has applied this change already and its reply was lost.

  `limit`, where operators set limits by configuration, replaces the ledger's
  limit unless that is from the same or a newer version. A router that does not
  know of a reduced limit therefore cannot restore the old one.

  `ceiling` is the holder's new ceiling on the grant; see `ceilings`.
  """

  gid: str
  least: int
  want: int
  share: float
  margin: float = 0.0
  limit: Limit | None = None
  base: int = 0
  ceiling: ceilings_lib.Ceiling | None = None


class Settle(NamedTuple):
  """Ends grant `gid`: used tokens become spent, the rest returns to the budget.

  `used` is the holder's own usage. `parts` maps the id of each ended part to
  the tokens used of it; parts already settled here are skipped. `lost` maps the
  parts whose holders are gone to their tokens. They are written off under their
  own ids and can be settled by their holders later. Usage beyond the grant is
  billed as well; hiding it would hide an overspend.
  """

  gid: str
  used: int
  parts: Mapping[str, int] = {}
  lost: Mapping[str, int] = {}


class ReportUse(NamedTuple):
  """Reports the usage of grant `gid` so far, while its holder continues.

  Reported tokens move from the grant to `spent`, so that less is written off if
  the holder dies. `used` and `parts` are as in `Settle`. `ceiling` is the
  holder's new ceiling.
  """

  gid: str
  used: int
  parts: Mapping[str, int] = {}
  ceiling: ceilings_lib.Ceiling | None = None


class Release(NamedTuple):
  """Ends a stopping holder's own use of `gid`.

  The holder exits while other routers still hold parts of its grant. `out` maps
  these parts to their tokens. They stay granted, and their holders settle them
  here.
  """

  gid: str
  used: int
  out: Mapping[str, int]
  parts: Mapping[str, int] = {}
  lost: Mapping[str, int] = {}


class SettlePart(NamedTuple):
  """Bills a part of a grant whose own holder (not the part's) is gone.

  `tokens` is the size of the part. Only its used tokens are deducted from grant
  `gid`; the remainder must not be returned yet. The grant's holder may be
  paused rather than dead. It may have received the part's settlement, with its
  reply lost, and may be spending the remainder. The remainder returns when the
  grant's holder settles, or at once if that holder has stopped for good.

  An empty `gid` stands for the grant of a stopped holder that lists the part: a
  router that never received a reply to its request does not know the grant.
  """

  gid: str
  part: str
  tokens: int
  used: int


class Shrink(NamedTuple):
  """Returns `tokens` of grant `gid` that its holder has not drawn.

  The holder stops drawing on them before it asks. `base` is the number of
  tokens it knows to be granted. A ledger that shows another number has applied
  this change already, or one that the holder does not know of yet.
  """

  gid: str
  base: int
  tokens: int


class WriteOff(NamedTuple):
  """Counts grant `gid` as lost because its holder is gone.

  The tokens above the cap of its ceiling return to the budget.
  """

  gid: str


class Reclaim(NamedTuple):
  """Returns the tokens that earlier lives of a router cannot have drawn.

  Router life `life` has run since `started`, and no earlier life of the router
  has run since then. The tokens that an earlier life held above its ceiling at
  that moment were not drawn; the rest is written off. `renewed` maps earlier
  lives to the last renewal of their ceilings; see `renewals`.
  """

  life: str
  started: clock_lib.Moment
  renewed: Mapping[str, clock_lib.Moment] = {}


class TopUp(NamedTuple):
  """Adds `tokens` to the limit once; `op` identifies the top-up."""

  tokens: int
  op: str


def key(name: str) -> str:
  """Returns the KV key of budget `name`."""
  return PREFIX + name


def headroom(ledger: Ledger) -> int:
  """Returns the tokens that are neither spent, granted nor lost."""
  counted = sum(ledger["grants"].values()) + lost(ledger)
  return ledger["limit"] - ledger["spent"] - counted


def lost(ledger: Ledger) -> int:
  """Returns the written-off tokens; it is unknown whether they were spent."""
  return sum(ledger["lost"].values()) + ledger["lost_before"]


def holder(gid: str) -> str:
  """Returns the router life (`name:epoch`) that holds grant `gid`."""
  return gid.rpartition(":")[0]


@change_lib.apply.register
def _(change: Create, ledger: Ledger | None) -> Ledger | None:
  if ledger is not None:
    return None
  return Ledger(
      limit=change.tokens,
      spent=0,
      grants={},
      lost={},
      lost_before=0,
      parts={},
      ops=[],
  )


def _with_limit(ledger: Ledger | None, limit: Limit | None) -> Ledger | None:
  """Returns `ledger` with `limit` applied, created if it does not exist."""
  if limit is None:
    return ledger
  if ledger is None:
    ledger = change_lib.apply(Create(limit.tokens), None)
  elif ledger.get("limit_version", 0) >= limit.version:
    return ledger
  return {**ledger, "limit": limit.tokens, "limit_version": limit.version}


@change_lib.apply.register
def _(change: Grant, ledger: Ledger | None) -> Ledger | None:
  ledger = _with_limit(ledger, change.limit)
  if ledger is None or granted(ledger, change.gid) != change.base:
    return None
  grantable = headroom(ledger) - int(ledger["limit"] * change.margin)
  size = min(
      change.want, max(change.least, int(grantable * change.share)), grantable
  )
  if size < change.least:
    return None
  held = ledger["grants"].get(change.gid, 0) + size
  after = {**ledger, "grants": {**ledger["grants"], change.gid: held}}
  return _with_ceiling(after, change)


def granted(ledger: Ledger, gid: str) -> int:
  """Returns all tokens granted under `gid`.

  Includes reported usage and parts settled here. 0 if there is no such grant or
  it was written off.
  """
  return _granted(ledger, "grants", gid) if gid in ledger["grants"] else 0


def _granted(ledger: Ledger, table: str, gid: str) -> int:
  settled_here = sum(ledger["parts"].get(gid, {}).values())
  return ledger[table][gid] + settled_here + billed(ledger, gid)


def ceiling(ledger: Ledger, gid: str) -> ceilings_lib.Ceiling | None:
  """Returns the last ceiling that the holder of `gid` issued, if any."""
  raw = ledger.get("ceilings", {}).get(gid)
  if raw is None:
    return None
  return ceilings_lib.decode(raw, ledger.get("caps", {}).get(gid, math.inf))


def _with_ceiling(ledger: Ledger, change: Grant | ReportUse) -> Ledger:
  """Returns `ledger` with the change's ceiling, unless a later one is stored.

  A report delayed by an unavailable KV may be applied after a later change of
  the same holder and does not cover what the holder has drawn since. The cap of
  a written-off grant is not raised, since the tokens above it were returned.
  """
  gid, new, old = change.gid, change.ceiling, ceiling(ledger, change.gid)
  if new is None or (old is not None and old.issued > new.issued):
    return ledger
  if gid in ledger["lost"] and old is not None and new.cap > old.cap:
    return ledger
  caps = _without(ledger.get("caps", {}), gid)
  if new.cap < math.inf:
    caps[gid] = int(new.cap)
  raw = ceilings_lib.encode(new)
  return {
      **ledger,
      "ceilings": {**ledger.get("ceilings", {}), gid: raw},
      **({"caps": caps} if caps or "caps" in ledger else {}),
  }


def earlier_grants(ledger: Ledger, life: str) -> list[str]:
  """Returns the grants of the router's earlier lives with a stored ceiling.

  `life` is the router's current life.
  """
  name = life.rpartition(":")[0]
  return [
      gid
      for gid in ledger.get("ceilings", {})
      if holder(gid) != life and holder(gid).rpartition(":")[0] == name
  ]


def billed(ledger: Ledger, gid: str) -> int:
  """Returns the tokens that the holder of `gid` has reported as used."""
  return ledger.get("billed", {}).get(gid, 0)


def _find_table(ledger: Ledger | None, gid: str) -> str | None:
  """Returns the table that holds `gid`: "grants", "lost" or None."""
  for table in ("grants", "lost"):
    if ledger is not None and gid in ledger[table]:
      return table
  return None


def _without(table: Mapping, gid: str) -> dict:
  return {g: v for g, v in table.items() if g != gid}


@change_lib.apply.register
def _(change: ReportUse, ledger: Ledger | None) -> Ledger | None:
  table = _find_table(ledger, change.gid)
  if table is None or _has_stopped(ledger, change.gid):
    return None
  used = _billable(change, ledger)
  newly_used = used - billed(ledger, change.gid)
  after = _with_ceiling(ledger, change)
  if newly_used <= 0:
    return None if after is ledger else after
  left = ledger[table][change.gid] - newly_used
  return {
      **after,
      table: {**ledger[table], change.gid: left},
      "spent": ledger["spent"] + newly_used,
      "billed": {**ledger.get("billed", {}), change.gid: used},
  }


def _billable(change: Settle | ReportUse | Release, ledger: Ledger) -> int:
  """Returns the holder's usage except for parts already settled here."""
  settled = ledger["parts"].get(change.gid, {})
  return change.used + sum(
      used for part, used in change.parts.items() if part not in settled
  )


@change_lib.apply.register
def _(change: Settle, ledger: Ledger | None) -> Ledger | None:
  table = _find_table(ledger, change.gid)
  if table is None:
    return None
  after = {
      **ledger,
      table: _without(ledger[table], change.gid),
      "spent": ledger["spent"] + _unbilled(change, ledger),
  }
  after = _add_lost(after, _unsettled_lost(change, ledger))
  after["parts"] = _without(after["parts"], change.gid)
  return _forget_reports(after, change.gid)


@change_lib.apply.register
def _(change: Release, ledger: Ledger | None) -> Ledger | None:
  table = _find_table(ledger, change.gid)
  if table is None or _has_stopped(ledger, change.gid):
    return None
  settled = ledger["parts"].get(change.gid, {})
  kept = {p: n for p, n in change.out.items() if p not in settled}
  settled_parts = {
      **settled,
      **dict.fromkeys([*change.parts, *change.lost, _STOPPED_MARK], 0),
  }
  after = {
      **ledger,
      table: {**ledger[table], change.gid: sum(kept.values())},
      "spent": ledger["spent"] + _unbilled(change, ledger),
      "parts": {**ledger["parts"], change.gid: settled_parts},
      "out": {**ledger.get("out", {}), change.gid: kept},
  }
  after = _forget_reports(after, change.gid)
  after = _drop_if_done(after, table, change.gid)
  return _add_lost(after, _unsettled_lost(change, ledger))


@change_lib.apply.register
def _(change: Shrink, ledger: Ledger | None) -> Ledger | None:
  if ledger is None or granted(ledger, change.gid) != change.base:
    return None
  left = ledger["grants"][change.gid] - change.tokens
  return {**ledger, "grants": {**ledger["grants"], change.gid: left}}


def _stopped_grant_of(ledger: Ledger | None, part: str) -> str:
  """Returns the grant of a stopped holder that lists `part`.

  Empty if there is none.
  """
  for gid, parts in (ledger or {}).get("out", {}).items():
    if part in parts:
      return gid
  return ""


@change_lib.apply.register
def _(change: SettlePart, ledger: Ledger | None) -> Ledger | None:
  if not change.gid:
    change = change._replace(gid=_stopped_grant_of(ledger, change.part))
  if ledger is not None and change.part in ledger["lost"]:
    # The grant's holder wrote the part off before it disappeared itself.
    return change_lib.apply(Settle(change.part, change.used), ledger)
  table = _find_table(ledger, change.gid)
  if table is None:
    return None
  settled = ledger["parts"].get(change.gid, {})
  if change.part in settled:
    return None
  holder_stopped = _has_stopped(ledger, change.gid)
  deducted = change.tokens if holder_stopped else change.used
  settled_parts = {**settled, change.part: change.used}
  after = {
      **ledger,
      table: {
          **ledger[table],
          change.gid: ledger[table][change.gid] - deducted,
      },
      "spent": ledger["spent"] + change.used,
      "parts": {**ledger["parts"], change.gid: settled_parts},
  }
  return _drop_if_done(after, table, change.gid)


def _unbilled(change: Settle | Release, ledger: Ledger) -> int:
  """Returns the tokens to bill that were not reported before."""
  return _billable(change, ledger) - billed(ledger, change.gid)


def _forget_reports(ledger: Ledger, gid: str) -> Ledger:
  """Returns `ledger` without an ended grant's reported usage and ceiling."""
  kept = {
      table: _without(ledger[table], gid)
      for table in ("billed", "ceilings", "caps")
      if table in ledger
  }
  return {**ledger, **kept}


def _has_stopped(ledger: Ledger, gid: str) -> bool:
  """Whether the holder of `gid` has released it."""
  return _STOPPED_MARK in ledger["parts"].get(gid, {})


def _drop_if_done(ledger: Ledger, table: str, gid: str) -> Ledger:
  """Returns `ledger` without a stopped holder's grant if nothing is left."""
  if not _has_stopped(ledger, gid) or ledger[table][gid] > 0:
    return ledger
  return {
      **ledger,
      table: _without(ledger[table], gid),
      "parts": _without(ledger["parts"], gid),
      "out": _without(ledger.get("out", {}), gid),
  }


@change_lib.apply.register
def _(change: WriteOff, ledger: Ledger | None) -> Ledger | None:
  if ledger is None or change.gid not in ledger["grants"]:
    return None
  kept = ledger["grants"][change.gid] - returnable(ledger, change.gid)
  grants = _without(ledger["grants"], change.gid)
  return _add_lost({**ledger, "grants": grants}, {change.gid: kept})


def returnable(ledger: Ledger, gid: str, elapsed_s: float | None = None) -> int:
  """Returns the tokens of a gone holder's grant that it cannot have drawn.

  Args:
    ledger: the ledger, which holds the grant or has it written off.
    gid: the grant.
    elapsed_s: an upper bound on the time since the holder's last ceiling; None
      if it is unknown.
  """
  table, last_ceiling = _find_table(ledger, gid), ceiling(ledger, gid)
  if table is None or last_ceiling is None:
    return 0
  undrawn = _granted(ledger, table, gid) - last_ceiling.allowed_after(elapsed_s)
  return int(max(0, min(ledger[table][gid], undrawn)))


@change_lib.apply.register
def _(change: Reclaim, ledger: Ledger | None) -> Ledger | None:
  if ledger is None:
    return None
  after = ledger
  for gid in earlier_grants(ledger, change.life):
    after = _reclaim(after, gid, change)
  return None if after is ledger else after


def _reclaim(ledger: Ledger, gid: str, change: Reclaim) -> Ledger:
  """Returns `ledger` with a dead holder's grant reduced and written off.

  The grant is reduced to what its holder may have drawn; the rest returns to
  the budget.
  """
  table = _find_table(ledger, gid)
  elapsed_s = max_unreported_s(change, gid, ceiling(ledger, gid))
  returned = returnable(ledger, gid, elapsed_s)
  for name in ("ceilings", "caps"):
    if name in ledger:
      ledger = {**ledger, name: _without(ledger[name], gid)}
  if table is None:
    return ledger
  left = ledger[table][gid] - returned
  return _add_lost({**ledger, table: _without(ledger[table], gid)}, {gid: left})


def max_unreported_s(
    change: Reclaim, gid: str, last_ceiling: ceilings_lib.Ceiling
) -> float | None:
  """Returns an upper bound on the time of unreported draws on grant `gid`.

  This is the time for which its holder may have drawn tokens without reporting
  them. It is measured from the issue of its last ceiling or from its last
  renewal, whichever gives the smaller bound; None if the clocks allow neither.
  """
  moments = [last_ceiling.issued, change.renewed.get(holder(gid))]
  spans = [
      ceilings_lib.max_elapsed_s(moment, change.started)
      for moment in moments
      if moment is not None
  ]
  return min((span for span in spans if span is not None), default=None)


def _unsettled_lost(change: Settle | Release, ledger: Ledger) -> dict[str, int]:
  """Returns the change's lost parts that were not settled here."""
  settled = ledger["parts"].get(change.gid, {})
  return {p: n for p, n in change.lost.items() if p not in settled}


def _add_lost(ledger: Ledger, tokens: Mapping[str, int]) -> Ledger:
  """Returns `ledger` with more written off; the oldest entries are summed."""
  written_off = {**ledger["lost"], **tokens}
  before = ledger["lost_before"]
  parts = dict(ledger["parts"])
  while len(written_off) > _MAX_LOST_GRANTS:
    oldest = next(iter(written_off))
    before += written_off.pop(oldest)
    parts.pop(oldest, None)
    ledger = _forget_reports(ledger, oldest)
  return {**ledger, "lost": written_off, "lost_before": before, "parts": parts}


def _append_op(ledger: Ledger, op: str) -> list[str]:
  return (ledger["ops"] + [op])[-_MAX_OPS:]


@change_lib.apply.register
def _(change: TopUp, ledger: Ledger | None) -> Ledger | None:
  if ledger is None or change.op in ledger["ops"]:
    return None
  return {
      **ledger,
      "limit": ledger["limit"] + change.tokens,
      "ops": _append_op(ledger, change.op),
  }


async def read(kv: protocol.Store, name: str) -> Ledger | None:
  """Returns budget `name`'s ledger, or None if there is none."""
  record = await kv.get(key(name))
  return change_lib.decode(record.value) if record else None


async def write(
    kv: protocol.Store, name: str, change: NamedTuple
) -> Ledger | None:
  """Applies one change directly, without a `writer.Writer` (for operators).

  Returns:
    The ledger after the change, or as found if the change does not apply (None
    if there is no such budget).

  Raises:
    errors.KvUnavailableError: not written.
    errors.KvUnknownError: possibly written; repeating the same change is safe.
  """
  sent = False
  for _ in range(_MAX_CAS_ATTEMPTS):
    record = await kv.get(key(name))
    current = change_lib.decode(record.value) if record else None
    after = change_lib.apply(change, current)
    if after is None:
      return current
    revision = record.mod_revision if record else 0
    sent = True
    try:
      result = await kv.txn(
          [protocol.Compare(key(name), "MOD", revision)],
          [protocol.Put(key(name), change_lib.encode(after))],
      )
    except errors.KvUnknownError:
      continue  # the next read shows whether it was written
    if result.succeeded:
      return after
  kind = errors.KvUnknownError if sent else errors.KvUnavailableError
  raise kind(
      f"budget {name}: compare-and-swap failed {_MAX_CAS_ATTEMPTS} times"
  )
