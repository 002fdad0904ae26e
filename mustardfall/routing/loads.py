"""The load that each router has on the endpoints, shared among all routers.

An endpoint's queue holds the requests of many routers. A router that knew only
its own would send long prompts where others have just sent theirs. So each
router reports what it has in flight to the others and adds up what they report.
"""

import collections
import json
from typing import NamedTuple

from mustardfall.routing import endpoints

_PREFIX_REPORTS = 2
"""Reports that repeat a sent prefix: one datagram in some hundreds is lost."""
_REPORT_LIFETIME_S = 1.5
"""Older reports are ignored: their router may be dead, and the requests that it
had in flight have ended."""


class Load(NamedTuple):
  """The load of one router on one endpoint."""

  in_flight: int
  prefill_s: float
  """Seconds of prefill pending there for the router's requests."""


class Report(NamedTuple):
  """The load of one router on all endpoints."""

  sender: str
  """The router's life (one run of its process), see `members.Member`."""
  number: int
  """Increases with each report; a report that arrives late is ignored."""
  loads: dict[str, Load]
  """By the endpoint's life (one run of its process), see `endpoints.Row.life`;
  endpoints without load are left out."""
  prefixes: dict[str, list[str]]
  """Prompt prefixes recently sent to endpoints, by the endpoint's life."""


def encode(report: Report) -> bytes:
  """Encodes a report for a datagram."""
  rows = {
      life: [load.in_flight, round(load.prefill_s, 4)]
      for life, load in report.loads.items()
  }
  content = [report.sender, report.number, rows, report.prefixes]
  return json.dumps(content, separators=(",", ":")).encode()


def decode(raw: bytes) -> Report:
  """Decodes a report.

  Raises:
    ValueError, TypeError: `raw` is not a report.
  """
  sender, number, rows, prefixes = json.loads(raw)
  loads = {
      life: Load(int(in_flight), float(prefill_s))
      for life, (in_flight, prefill_s) in rows.items()
  }
  prefixes_ = {life: list(ids) for life, ids in prefixes.items()}
  return Report(str(sender), int(number), loads, prefixes_)


class _Received(NamedTuple):
  """A report and when it was received, monotonic seconds."""

  report: Report
  at: float


class _SentPrefix(NamedTuple):
  """A prefix that was sent to an endpoint."""

  endpoint: str
  prefix: str
  last_report: int
  """Number of the last report that contains it."""


class Loads:
  """Adds up the other routers' loads in the table of endpoints.

  Args:
    table: the endpoints; their `others_*` fields are set here.
    life: this router's life.
  """

  def __init__(self, table: endpoints.Table, life: str) -> None:
    self._table = table
    self._life = life
    self._number = 0
    self._received: dict[str, _Received] = {}
    self._sent: collections.deque[_SentPrefix] = collections.deque()

  def note_sent(self, endpoint: str, prefix: str, now: float) -> None:
    """Records that a prompt with `prefix` is being sent to an endpoint."""
    if prefix:
      self._table.note_prefix(endpoint, prefix, now)
      self._sent.append(
          _SentPrefix(endpoint, prefix, self._number + _PREFIX_REPORTS)
      )

  def report(self) -> Report:
    """Returns a new report of this router's load."""
    self._number += 1
    loads = {
        row.life: Load(row.in_flight, max(0.0, row.prefill_s))
        for row in self._table.rows.values()
        if row.in_flight
    }
    prefixes: dict[str, list[str]] = {}
    for sent in self._sent:
      prefixes.setdefault(sent.endpoint, []).append(sent.prefix)
    while self._sent and self._sent[0].last_report <= self._number:
      self._sent.popleft()
    return Report(self._life, self._number, loads, prefixes)

  def apply_report(self, report: Report, now: float) -> None:
    """Applies another router's report, in place of its previous one."""
    last = self._received.get(report.sender)
    if last is not None and last.report.number >= report.number:
      return
    if last is not None:
      self._add(last.report, -1)
    self._add(report, 1)
    self._received[report.sender] = _Received(report, now)
    for life, prefixes in report.prefixes.items():
      for prefix in prefixes:
        self._table.note_prefix(life, prefix, now)

  def _add(self, report: Report, sign: int) -> None:
    """Adds a report to the table's sums, or subtracts it (`sign` -1)."""
    for life, load in report.loads.items():
      row = self._table.find_life(life)
      if row is not None:
        row.others_in_flight += sign * load.in_flight
        row.others_prefill_s += sign * load.prefill_s

  def recompute_totals(self, now: float) -> None:
    """Computes the table's sums anew from recent reports; call once per tick.

    This leaves out routers that are no longer heard from, and includes the
    load of endpoints that were listed only after they were reported on.
    """
    for sender, received in list(self._received.items()):
      if now - received.at > _REPORT_LIFETIME_S:
        del self._received[sender]
    for row in self._table.rows.values():
      row.others_in_flight = 0
      row.others_prefill_s = 0.0
    for received in self._received.values():
      self._add(received.report, 1)
