"""Finds where a budget's tokens were at some moment, from routers' logs.

The routers log the rows that they hold with each report of use (`budget held`),
each grant (`grant asked`), each review of a dead life's grant, and what they
knew with each refusal. The latest line of each router before the moment is
used. A grant whose last line is old belongs to a router that is cut off, idle or
dead; its age says so.
"""

from collections.abc import Iterable, Iterator
import datetime
import json
from typing import Any, NamedTuple

from mustardfall.budget import ledger

_HELD = "budget held"
_REVIEWED = "grant of an earlier life reviewed"
_REFUSED = "request refused"


class Line(NamedTuple):
  """A log line on one budget."""

  at: datetime.datetime
  message: str
  fields: dict[str, Any]


class Holding(NamedTuple):
  """One grant, as its holder last logged it; tokens."""

  gid: str
  granted: int
  used: int
  reserved: int
  """For requests in flight of the holder itself."""
  parts: int
  """Delegated to other routers."""
  idle: int
  drawable: int
  """Part of `idle` that the holder's ceilings allowed to be reserved."""
  age_s: float


class Whereabouts(NamedTuple):
  """Where the tokens of a budget's limit were."""

  limit: int
  spent: int
  """Billed, according to the ledger."""
  free: int
  """Granted to nobody."""
  lost: int
  """Written off: held by routers that died."""
  holdings: list[Holding]
  unknown: int
  """Part of the limit that no line accounts for; negative if usage in
  `holdings` was already billed as `spent`."""
  ledger_age_s: float
  """Age of the figures of the ledger, with that of their reading."""


def read_lines(texts: Iterable[str], budget: str) -> Iterator[Line]:
  """Yields the log lines on a budget; skips text that is no such line.

  Args:
    texts: lines of logs, each with any prefix before its JSON object.
    budget: the budget's name.
  """
  for text in texts:
    start = text.find("{")
    if start < 0 or budget not in text:
      continue
    try:
      fields = json.loads(text[start:])
      at = datetime.datetime.strptime(fields["asctime"], "%Y-%m-%d %H:%M:%S,%f")
      message = fields["message"]
    except (KeyError, TypeError, ValueError):
      continue
    if budget in (fields.get("budget"), fields.get("team")):
      yield Line(at, message, fields)


def find(
    lines: Iterable[Line], at: datetime.datetime | None = None
) -> Whereabouts | None:
  """Returns where the tokens were at a moment; None if no line shows a ledger.

  Args:
    lines: the log lines on one budget, of all routers.
    at: the moment; None for that of the last line.
  """
  ordered = sorted(lines, key=lambda line: line.at)
  if at is None and ordered:
    at = ordered[-1].at
  known = _Known()
  for line in ordered:
    if line.at <= at:
      known.add(line)
  if known.ledger_at is None:
    return None
  return known.sum_up(at)


class _Known:
  """What the lines so far show of a budget."""

  def __init__(self) -> None:
    self.ledger: dict[str, Any] = {}
    self.ledger_at: datetime.datetime | None = None
    self.rows: dict[str, Line] = {}

  def add(self, line: Line) -> None:
    """Takes the figures of a line, later than those before."""
    if line.message == _HELD:
      self.rows[line.fields["gid"]] = line
      self._add_ledger(line, line.fields["ledger"])
    elif line.message == _REVIEWED:
      self.rows.pop(line.fields["gid"], None)
    elif line.message == _REFUSED:
      facts = line.fields.get("facts") or {}
      self._add_ledger(line, facts.get("ledger"))
      for answer in facts.get("asked") or ():
        self._add_ledger(line, answer.get("facts"))

  def _add_ledger(self, line: Line, figures: dict[str, Any] | None) -> None:
    if not figures:
      return
    read_at = line.at - datetime.timedelta(seconds=figures["seen_s"])
    if self.ledger_at is None or read_at >= self.ledger_at:
      self.ledger, self.ledger_at = figures, read_at

  def sum_up(self, at: datetime.datetime) -> Whereabouts:
    """Returns the whereabouts; the holders with the most tokens come first."""
    holdings = [_decode_holding(line, at) for line in self.rows.values()]
    holdings.sort(key=lambda holding: holding.used - holding.granted)
    figures = self.ledger
    held = sum(holding.granted - holding.used for holding in holdings)
    accounted = figures["spent"] + figures["free"] + figures["lost"] + held
    return Whereabouts(
        limit=figures["limit"],
        spent=figures["spent"],
        free=figures["free"],
        lost=figures["lost"],
        holdings=holdings,
        unknown=figures["limit"] - accounted,
        ledger_age_s=(at - self.ledger_at).total_seconds(),
    )


def _decode_holding(line: Line, at: datetime.datetime) -> Holding:
  fields = line.fields
  return Holding(
      gid=fields["gid"],
      granted=fields["granted"],
      used=fields["used"],
      reserved=fields["reserved"],
      parts=fields["parts"],
      idle=fields["undrawn"],
      drawable=max(0, fields["free"]),
      age_s=(at - line.at).total_seconds(),
  )


def to_table(found: Whereabouts) -> str:
  """Returns the whereabouts as text, one holder a line."""
  lines = [
      f"limit {found.limit}  spent {found.spent}  free {found.free}"
      f"  lost {found.lost}  unknown {found.unknown}"
      f"  (ledger {found.ledger_age_s:.1f} s old)",
      f"{'holder':32} {'granted':>9} {'used':>9} {'reserved':>9} {'parts':>9}"
      f" {'idle':>9} {'drawable':>9} {'age s':>7}",
  ]
  lines += [
      f"{ledger.holder(one.gid):32} {one.granted:9} {one.used:9}"
      f" {one.reserved:9} {one.parts:9} {one.idle:9} {one.drawable:9}"
      f" {one.age_s:7.1f}"
      for one in found.holdings
  ]
  return "\n".join(lines)
