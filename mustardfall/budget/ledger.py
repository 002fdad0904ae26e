"""The budget ledger in the KV, changed only by compare-and-swap.

Each budget is one key, `budget/<name>`, holding a `Ledger`::

    {"limit": 500000, "spent": 120000,
     "grants": {"router-1:5f3a:17": 4000},
     "lost": {"router-2:90bb:3": 2000}, "lost_before": 0,
     "parts": {"router-2:90bb:3": {"router-3:11aa:9": 500}},
     "ops": ["topup:ab12", ...]}

The invariant, kept by every change, is that what is spent, granted and
lost stays within the limit. A router spends only from grants it holds,
so what engines generate for a budget never exceeds its limit, whatever
fails. No clock takes part in that.

A grant whose holder has gone is *written off*: it moves to `lost` and
stays counted, because nobody knows how much of it was spent. Giving it
back instead would overspend when the holder was only paused. When that
holder wakes and settles, its grant is found in `lost`, the true count is
billed and the rest returns to the budget.

The holder of a grant hands parts of it on to other routers (`pool`). A
part is normally settled with that holder; when the holder has gone, it
is settled here instead and noted in `parts`, so that a holder that was
only paused does not bill it a second time.
"""

from collections.abc import Mapping
import typing
from typing import NamedTuple, TypedDict

from mustardfall import errors
from mustardfall.budget import ceilings as ceilings_lib
from mustardfall.kv import change as change_lib
from mustardfall.kv import protocol
from mustardfall.util import clock as clock_lib

PREFIX = "budget/"
_MAX_OPS = 64
"""Recent op ids kept per budget, to answer a retried top-up."""
_MAX_LOST_GRANTS = 64
"""Written-off grants that can still be settled; older ones are summed."""
_STOPPED_MARK = "/stopped"
"""Mark among a grant's parts; it stays as long as the grant does, so that
a late repeat of the holder's end is known, however many ops came since."""
_MAX_CAS_ATTEMPTS = 8
"""Compare-and-swap attempts before a write is given up as unavailable."""


class Ledger(TypedDict):
  """A budget's state in the KV; token counts throughout."""

  limit: int
  limit_version: typing.NotRequired[int]
  """Version of the configuration that `limit` is from, if from one."""
  spent: int
  grants: dict[str, int]
  lost: dict[str, int]
  lost_before: int
  parts: dict[str, dict[str, int]]
  ops: list[str]
  billed: typing.NotRequired[dict[str, int]]
  """Grant to the tokens of it that its holder has reported as used."""
  ceilings: typing.NotRequired[dict[str, list[float]]]
  """Grant to its holder's last promise; see `ceilings.decode`."""
  out: typing.NotRequired[dict[str, dict[str, int]]]
  """Grant of a holder that has stopped to the parts of it still with other
  routers, and their tokens."""


class Balance(NamedTuple):
  """What is known of a budget, from the last look at its ledger."""

  limit: int
  spent: int
  held: int
  """Tokens that routers hold, or held when they died."""
  at: float
  """When the ledger was seen, monotonic seconds."""


class Create(NamedTuple):
  """Creates the budget with `tokens`, unless it exists."""

  tokens: int


class Limit(NamedTuple):
  """A budget's limit as a version of the configuration sets it."""

  tokens: int
  version: int


class Grant(NamedTuple):
  """Sets `least` to `want` tokens aside for a holder, as grant `gid`.

  At most `share` of the headroom is given (but never below `least` when
  that much is free), so that one holder cannot take a budget that others
  draw on too. `margin` of the limit is never given out: a cushion for
  engines that generate more than they were allowed.

  `base` is what the holder knows to have been granted under `gid` before:
  0 takes a new grant, more raises one that it holds. One grant that grows
  keeps a holder's free tokens together; many would each keep a rest that
  is too small for any request. A ledger that shows more than `base` has
  taken this change already, its reply was lost.

  `limit`, where operators set limits by configuration, replaces the
  ledger's unless that is from a newer version: a router that has not
  heard of a reduced limit cannot bring the old one back.

  `ceiling` is what the holder promises of the grant; see `ceilings`.
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
  """Ends grant `gid`: what was used is spent, the rest returns.

  `used` is the holder's own; `parts` maps the id of each part it handed
  on to the tokens used of it, and those already settled here are passed
  over. `lost` maps the parts whose holders have gone to their tokens;
  they are written off under their own ids, and settled by those later.
  More used than was granted is billed all the same: hiding it would hide
  an overspend.
  """

  gid: str
  used: int
  parts: Mapping[str, int] = {}
  lost: Mapping[str, int] = {}


class ReportUse(NamedTuple):
  """Reports what was used of `gid` so far, while its holder goes on.

  What is reported moves from the grant to what is spent, so that less is
  written off when the holder dies. `used` and `parts` are as in `Settle`.
  `ceiling` is what the holder promises from now on.
  """

  gid: str
  used: int
  parts: Mapping[str, int] = {}
  ceiling: ceilings_lib.Ceiling | None = None


class Release(NamedTuple):
  """Ends a stopping holder's own use of `gid`.

  The holder exits while other routers still hold parts of its grant:
  `out` maps them to their tokens. These stay granted, and their holders
  settle them here.
  """

  gid: str
  used: int
  out: Mapping[str, int]
  parts: Mapping[str, int] = {}
  lost: Mapping[str, int] = {}


class SettlePart(NamedTuple):
  """Bills a part of `tokens` of grant `gid` whose holder has gone.

  Only what was used comes off the grant. The rest may not be given back:
  the holder may only be paused, and may have heard that the part ended
  (its reply was lost) and be spending the rest by itself. It is given
  back when the holder settles, or after a holder that stopped for good.

  An empty `gid` stands for the grant that the part is of, if its holder has
  stopped: a router that never had an answer to its ask does not know it.
  """

  gid: str
  part: str
  tokens: int
  used: int


class Shrink(NamedTuple):
  """Gives `tokens` of grant `gid` back that its holder has not drawn.

  The holder no longer draws on them when it asks. `base` is what it knows to
  be granted: a ledger that shows another figure has taken this change
  already, or one that the holder has not heard of.
  """

  gid: str
  base: int
  tokens: int


class WriteOff(NamedTuple):
  """Counts grant `gid` as lost, since its holder has gone."""

  gid: str


class Reclaim(NamedTuple):
  """Gives back what earlier lives of a router cannot have drawn.

  The router life `life` runs since `started`, and no earlier life of it any
  more: what each held above its ceiling at that moment was not drawn. The
  rest is written off. `renewed` tells when earlier lives last renewed all
  their promises; see `renewals`.
  """

  life: str
  started: clock_lib.Moment
  renewed: Mapping[str, clock_lib.Moment] = {}


class TopUp(NamedTuple):
  """Adds `tokens` once; `op` names this top-up in the ledger."""

  tokens: int
  op: str


def key(name: str) -> str:
  """Returns the KV key of budget `name`."""
  return PREFIX + name


def headroom(ledger: Ledger) -> int:
  """Returns tokens neither spent, granted nor lost."""
  counted = sum(ledger["grants"].values()) + lost(ledger)
  return ledger["limit"] - ledger["spent"] - counted


def lost(ledger: Ledger) -> int:
  """Returns tokens written off: spent or not, nobody knows."""
  return sum(ledger["lost"].values()) + ledger["lost_before"]


def holder(gid: str) -> str:
  """Returns the router life (`name:epoch`) that a grant id belongs to."""
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
  """Returns `ledger` under `limit`, created if there is none yet."""
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
  free = headroom(ledger) - int(ledger["limit"] * change.margin)
  size = min(change.want, max(change.least, int(free * change.share)), free)
  if size < change.least:
    return None
  held = ledger["grants"].get(change.gid, 0) + size
  after = {**ledger, "grants": {**ledger["grants"], change.gid: held}}
  return _with_ceiling(after, change)


def granted(ledger: Ledger, gid: str) -> int:
  """Returns all that was granted under `gid`, parts settled here included.

  0 when there is no such grant, or it was written off.
  """
  return _granted(ledger, "grants", gid) if gid in ledger["grants"] else 0


def _granted(ledger: Ledger, table: str, gid: str) -> int:
  settled_here = sum(ledger["parts"].get(gid, {}).values())
  return ledger[table][gid] + settled_here + billed(ledger, gid)


def ceiling(ledger: Ledger, gid: str) -> ceilings_lib.Ceiling | None:
  """Returns what the holder of `gid` has promised last, if anything."""
  raw = ledger.get("ceilings", {}).get(gid)
  return None if raw is None else ceilings_lib.decode(raw)


def _with_ceiling(ledger: Ledger, change: Grant | ReportUse) -> Ledger:
  """Returns `ledger` with a holder's promise, unless a later one is there.

  A report that waited for the KV may land after a later change of the same
  holder; it then knows nothing of what the holder has drawn since.
  """
  new, old = change.ceiling, ceiling(ledger, change.gid)
  if new is None or (old is not None and old.issued > new.issued):
    return ledger
  raw = ceilings_lib.encode(new)
  return {
      **ledger,
      "ceilings": {**ledger.get("ceilings", {}), change.gid: raw},
  }


def earlier_grants(ledger: Ledger, life: str) -> list[str]:
  """Returns the grants with a promise that earlier lives of `life` held."""
  name = life.rpartition(":")[0]
  return [
      gid
      for gid in ledger.get("ceilings", {})
      if holder(gid) != life and holder(gid).rpartition(":")[0] == name
  ]


def billed(ledger: Ledger, gid: str) -> int:
  """Returns what the holder of `gid` has reported as used."""
  return ledger.get("billed", {}).get(gid, 0)


def _find_table(ledger: Ledger | None, gid: str) -> str | None:
  """Returns which table holds `gid`: "grants", "lost" or neither."""
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
  """Returns the tokens to bill: all but the parts settled here before."""
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
  marks = {
      **settled,
      **dict.fromkeys([*change.parts, *change.lost, _STOPPED_MARK], 0),
  }
  after = {
      **ledger,
      table: {**ledger[table], change.gid: sum(kept.values())},
      "spent": ledger["spent"] + _unbilled(change, ledger),
      "parts": {**ledger["parts"], change.gid: marks},
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
  """Returns the stopped holder's grant that `part` is of; empty: none."""
  for gid, parts in (ledger or {}).get("out", {}).items():
    if part in parts:
      return gid
  return ""


@change_lib.apply.register
def _(change: SettlePart, ledger: Ledger | None) -> Ledger | None:
  if not change.gid:
    change = change._replace(gid=_stopped_grant_of(ledger, change.part))
  if ledger is not None and change.part in ledger["lost"]:
    # The holder of the grant wrote the part off before it went.
    return change_lib.apply(Settle(change.part, change.used), ledger)
  table = _find_table(ledger, change.gid)
  if table is None:
    return None
  settled = ledger["parts"].get(change.gid, {})
  if change.part in settled:
    return None
  holder_stopped = _has_stopped(ledger, change.gid)
  deducted = change.tokens if holder_stopped else change.used
  marks = {**settled, change.part: change.used}
  after = {
      **ledger,
      table: {
          **ledger[table],
          change.gid: ledger[table][change.gid] - deducted,
      },
      "spent": ledger["spent"] + change.used,
      "parts": {**ledger["parts"], change.gid: marks},
  }
  return _drop_if_done(after, table, change.gid)


def _unbilled(change: Settle | Release, ledger: Ledger) -> int:
  """Returns the tokens to bill that were not reported before."""
  return _billable(change, ledger) - billed(ledger, change.gid)


def _forget_reports(ledger: Ledger, gid: str) -> Ledger:
  """Returns `ledger` without the reports on a grant that has ended."""
  kept = {
      table: _without(ledger[table], gid)
      for table in ("billed", "ceilings")
      if table in ledger
  }
  return {**ledger, **kept}


def _has_stopped(ledger: Ledger, gid: str) -> bool:
  """Whether the holder of `gid` has ended its own use of it."""
  return _STOPPED_MARK in ledger["parts"].get(gid, {})


def _drop_if_done(ledger: Ledger, table: str, gid: str) -> Ledger:
  """Returns `ledger` without a stopped holder's grant that is used up."""
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
  grants = _without(ledger["grants"], change.gid)
  tokens = ledger["grants"][change.gid]
  return _add_lost({**ledger, "grants": grants}, {change.gid: tokens})


@change_lib.apply.register
def _(change: Reclaim, ledger: Ledger | None) -> Ledger | None:
  if ledger is None:
    return None
  after = ledger
  for gid in earlier_grants(ledger, change.life):
    after = _reclaim(after, gid, change)
  return None if after is ledger else after


def _reclaim(ledger: Ledger, gid: str, change: Reclaim) -> Ledger:
  """Returns `ledger` with a dead holder's grant down to its ceiling."""
  last_ceiling = ceiling(ledger, gid)
  table = _find_table(ledger, gid)
  elapsed_s = unheard_s(change, gid, last_ceiling)
  ledger = {**ledger, "ceilings": _without(ledger["ceilings"], gid)}
  if table is None:
    return ledger
  left = ledger[table][gid]
  if elapsed_s is not None:
    undrawn = _granted(ledger, table, gid) - last_ceiling.allowed_after(
        elapsed_s
    )
    left -= max(0, min(left, undrawn))
  return _add_lost({**ledger, table: _without(ledger[table], gid)}, {gid: left})


def unheard_s(
    change: Reclaim, gid: str, last_ceiling: ceilings_lib.Ceiling
) -> float | None:
  """Returns how long the holder of `gid` can have drawn unheard, at most.

  Since its promise or its last renewal, whichever is later; None when the
  clocks tell nothing.
  """
  moments = [last_ceiling.issued, change.renewed.get(holder(gid))]
  spans = [
      ceilings_lib.max_elapsed_s(moment, change.started)
      for moment in moments
      if moment is not None
  ]
  return min((span for span in spans if span is not None), default=None)


def _unsettled_lost(change: Settle | Release, ledger: Ledger) -> dict[str, int]:
  """Returns the lost parts that were not settled here meanwhile."""
  settled = ledger["parts"].get(change.gid, {})
  return {p: n for p, n in change.lost.items() if p not in settled}


def _add_lost(ledger: Ledger, tokens: Mapping[str, int]) -> Ledger:
  """Returns `ledger` with more written off; the oldest are summed."""
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
  """Returns budget `name`'s ledger, or None when there is none."""
  record = await kv.get(key(name))
  return change_lib.decode(record.value) if record else None


async def write(
    kv: protocol.Store, name: str, change: NamedTuple
) -> Ledger | None:
  """Applies one change at once, without a `writer.Writer` (operators).

  Returns:
    The ledger after the change, or as found when it had nothing to write
    (None: there is no such budget).

  Raises:
    errors.KvUnavailableError: not written.
    errors.KvUnknownError: it may be written; the same change again is safe.
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
      continue  # the re-read shows whether it landed
    if result.succeeded:
      return after
  kind = errors.KvUnknownError if sent else errors.KvUnavailableError
  raise kind(f"budget {name}: too many conflicts")
