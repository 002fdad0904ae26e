"""The load that each router has on the endpoints, shared among all routers.

An endpoint's queue holds the requests of many routers. A router that knew only
its own would send long prompts where others have just sent theirs. So each
router reports what it has in flight to the others and adds up what they report.
"""

import collections
from collections.abc import Iterable
import json
from typing import NamedTuple

from mustardfall.routing import endpoints
from mustardfall.routing import engine_memory

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
  usage: engine_memory.Usage = engine_memory.EMPTY
  """What the router's runs hold of the endpoint's memory."""


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
  rows: dict[str, list] = {}
  for life, load in report.loads.items():
    rows[life] = [load.in_flight, round(load.prefill_s, 4)]
    if load.usage.ranks:
      rows[life].append(engine_memory.encode(load.usage, with_parts=True))
  content = [report.sender, report.number, rows, report.prefixes]
  return json.dumps(content, separators=(",", ":")).encode()


def decode(raw: bytes) -> Report:
  """Decodes a report.

  Raises:
    ValueError, TypeError: `raw` is not a report.
  """
  sender, number, rows, prefixes = json.loads(raw)
  loads = {}
  for life, (in_flight, prefill_s, *more) in rows.items():
    usage = engine_memory.decode(more[0]) if more else engine_memory.EMPTY
    loads[life] = Load(int(in_flight), float(prefill_s), usage)
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

  def report(self, now: float | None = None) -> Report:
    """Returns a new report of this router's load.

    Args:
      now: the current time; None: what its runs hold is left out.
    """
    self._number += 1
    loads = {}
    for row in self._table.rows.values():
      if row.in_flight:
        usage = engine_memory.EMPTY if now is None else row.runs.usage(now)
        load = Load(row.in_flight, max(0.0, row.prefill_s), usage)
        loads[row.life] = load
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

  def update_usage(self, rows: Iterable[endpoints.Row], now: float) -> None:
    """Computes what the runs of all routers hold at endpoints.

    Args:
      rows: the endpoints; their `usage` is set.
      now: the current time, monotonic seconds.
    """
    reports = [
        received
        for received in self._received.values()
        if now - received.at <= _REPORT_LIFETIME_S
    ]
    for row in rows:
      usages = [row.runs.usage(now)]
      for report, at in reports:
        load = report.loads.get(row.life)
        if load is not None and load.usage.ranks:
          age_s = load.usage.age_s + max(0.0, now - at)
          usages.append(load.usage._replace(age_s=age_s))
      row.usage = engine_memory.combine(usages)

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
