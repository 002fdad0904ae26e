"""What each router has at the endpoints, known to all routers.

An endpoint's queue is the work of many routers. One that knows only its own
sends long prompts where others have just sent theirs. So each tells the
others what it has in flight, and adds up what they tell.
"""

import collections
import json
from typing import NamedTuple

from mustardfall.routing import endpoints

_REPEATS = 2
"""Reports that tell of a prefix: one datagram in some hundreds is lost."""
_FRESH_S = 1.5
"""What was heard longer ago counts no more: its router may be dead, and what
it had in flight has ended."""


class Load(NamedTuple):
  """What one router has at one endpoint."""

  in_flight: int
  prefill_s: float
  """Seconds of prompts that the endpoint has still to read for it."""


class Report(NamedTuple):
  """What one router has at all endpoints."""

  sender: str
  """The router's life."""
  number: int
  """Counts up; an earlier report that arrives late is passed over."""
  loads: dict[str, Load]
  """By the endpoint's life; those without any are left out."""
  prefixes: dict[str, list[str]]
  """Prompt prefixes lately sent to endpoints, by the endpoint's life."""


def encode(report: Report) -> bytes:
  """Returns a report as it is sent."""
  rows = {
      name: [load.in_flight, round(load.prefill_s, 4)]
      for name, load in report.loads.items()
  }
  whole = [report.sender, report.number, rows, report.prefixes]
  return json.dumps(whole, separators=(",", ":")).encode()


def decode(raw: bytes) -> Report:
  """Returns a report as it was sent.

  Raises:
    ValueError, TypeError: it is none.
  """
  sender, number, rows, prefixes = json.loads(raw)
  loads = {
      name: Load(int(in_flight), float(prefill_s))
      for name, (in_flight, prefill_s) in rows.items()
  }
  sent = {name: list(ids) for name, ids in prefixes.items()}
  return Report(str(sender), int(number), loads, sent)


class Heard(NamedTuple):
  """A report, and when it came, monotonic seconds."""

  report: Report
  at: float


class _Sent(NamedTuple):
  """A prefix sent to an endpoint, told in reports up to number `until`."""

  endpoint: str
  prefix: str
  until: int


class Loads:
  """Adds up the routers' loads in the table of endpoints.

  Args:
    table: the endpoints; their `others_*` fields are set here.
    life: this router's life.
  """

  def __init__(self, table: endpoints.Table, life: str) -> None:
    self._table = table
    self._life = life
    self._number = 0
    self._heard: dict[str, Heard] = {}
    self._sent: collections.deque[_Sent] = collections.deque()

  def note_sent(self, endpoint: str, prefix: str, now: float) -> None:
    """Notes that a prompt with `prefix` is being sent to an endpoint."""
    if prefix:
      self._table.note_prefix(endpoint, prefix, now)
      self._sent.append(_Sent(endpoint, prefix, self._number + _REPEATS))

  def report(self) -> Report:
    """Returns what this router has at the endpoints now."""
    self._number += 1
    loads = {
        row.life: Load(row.in_flight, max(0.0, row.prefill_s))
        for row in self._table.rows.values()
        if row.in_flight
    }
    prefixes: dict[str, list[str]] = {}
    for sent in self._sent:
      prefixes.setdefault(sent.endpoint, []).append(sent.prefix)
    while self._sent and self._sent[0].until <= self._number:
      self._sent.popleft()
    return Report(self._life, self._number, loads, prefixes)

  def take(self, report: Report, now: float) -> None:
    """Takes in what another router has."""
    last = self._heard.get(report.sender)
    if last is not None and last.report.number >= report.number:
      return
    if last is not None:
      self._add(last.report, -1)
    self._add(report, 1)
    self._heard[report.sender] = Heard(report, now)
    for life, prefixes in report.prefixes.items():
      for prefix in prefixes:
        self._table.note_prefix(life, prefix, now)

  def _add(self, report: Report, sign: int) -> None:
    """Adds a report to the table's sums, or takes it off."""
    for life, load in report.loads.items():
      row = self._table.find_life(life)
      if row is not None:
        row.others_in_flight += sign * load.in_flight
        row.others_reading_s += sign * load.prefill_s

  def recompute_totals(self, now: float) -> None:
    """Adds up what is fresh; called each tick.

    Routers that have gone silent count no more, and endpoints that were
    listed after they were reported do.
    """
    for sender, heard in list(self._heard.items()):
      if now - heard.at > _FRESH_S:
        del self._heard[sender]
    for row in self._table.rows.values():
      row.others_in_flight = 0
      row.others_reading_s = 0.0
    for heard in self._heard.values():
      self._add(heard.report, 1)
