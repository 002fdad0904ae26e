"""Shares verdicts on requests that crash the endpoints that run them.

A router that sees an endpoint crash reports the request that it was running, by
datagram, to the few routers that count crashes for each request. A router that
has counted too many for a request publishes a verdict to all others, and
stores it in the KV for the case that all routers restart.
"""

import json
import logging
from typing import NamedTuple

import anyio

from mustardfall import errors
from mustardfall.kv import protocol
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import gossip as gossip_lib
from mustardfall.membership import members as members_lib
from mustardfall.membership import notices as notices_lib
from mustardfall.routing import quarantine
from mustardfall.util import clock as clock_lib
from mustardfall.util import names

logger = logging.getLogger(__name__)

PREFIX = "quarantine/"
_READ_INTERVAL_S = 1.0
"""Interval between two attempts to read the stored verdicts after the start."""
_MAX_VERDICTS_PER_DATAGRAM = 20
"""Each verdict takes some 60 bytes."""


class _StoredVerdict(NamedTuple):
  """A verdict as stored in the KV."""

  fingerprint: str
  team: str
  until_s: float
  """Unix seconds."""


class Verdicts:
  """Sends and receives crash reports and verdicts.

  A verdict is a `quarantine.QuarantineUpdate`.

  Args:
    table: this router's crash counts and verdicts; updated here.
    members: the routers that are up.
    datagrams: carries crash reports and verdicts.
    notices: determines whether this router is a reader of the KV.
    kv: stores verdicts for routers that start later.
    clock: the time source.
  """

  def __init__(
      self,
      table: quarantine.Table,
      members: members_lib.Members,
      datagrams: datagrams_lib.Datagrams,
      notices: notices_lib.Notices,
      kv: protocol.Store,
      clock: clock_lib.Clock,
  ) -> None:
    self._table = table
    self._members = members
    self._datagrams = datagrams
    self._notices = notices
    self._kv = kv
    self._clock = clock
    self._gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.VERDICT,
        table,
        members,
        datagrams,
        clock,
        _MAX_VERDICTS_PER_DATAGRAM,
    )
    self._unstored: list[quarantine.QuarantineUpdate] = []
    """New verdicts of this router that are not yet stored."""
    self._unstored_added = anyio.Event()
    datagrams.connect_with_sender(
        datagrams_lib.Kind.SUSPECT, self._handle_crash_report
    )

  def note_end(self, report: quarantine.CrashReport) -> None:
    """Records that an endpoint crashed while running a request."""
    content = json.dumps(report).encode()
    for router in self._counting_routers(report.fingerprint):
      for _ in range(2):  # one datagram in some hundreds is lost
        self._datagrams.enqueue(datagrams_lib.Kind.SUSPECT, content, router)
    self._count_crash(report, "")

  def note_success(self, fingerprint: str) -> None:
    """Records that an endpoint completed a request; clears the request."""
    was_quarantined = bool(self._table.remaining_s(fingerprint))
    if not self._table.note_success(fingerprint):
      return
    cleared = quarantine.QuarantineUpdate(fingerprint, "", 0.0)
    if was_quarantined:
      self._publish(cleared)
      return
    # Not sent to all: an endpoint that crashes runs dozens of requests, most of
    # which succeed at the next one.
    self._gossip.send_to(fingerprint, self._counting_routers(fingerprint))

  def _counting_routers(self, fingerprint: str) -> list[members_lib.Member]:
    """Returns the other routers that count crashes for a request."""
    if not self._members.is_large:
      return self._members.others
    me = self._members.me.life
    candidates = self._members.candidates(fingerprint)
    return [member for member in candidates if member.life != me]

  def _count_crash(self, report: quarantine.CrashReport, reporter: str) -> None:
    """Counts a crash that `reporter` saw; empty: this router."""
    before = self._table.crash_count(report.fingerprint)
    is_quarantined = self._table.note_crash(report)
    crashes = self._table.crash_count(report.fingerprint)
    if crashes != before:
      extra = {
          "key": report.fingerprint,
          "team": report.team,
          "crashes": crashes,
          "endpoint": report.endpoint,
          "ran_s": round(report.ran_s, 3),
          "reporter": reporter,
      }
      logger.info("crash counted", extra=extra)
    if is_quarantined:
      self._publish(
          quarantine.QuarantineUpdate(
              report.fingerprint, report.team, quarantine.QUARANTINE_S
          )
      )

  def _publish(self, verdict: quarantine.QuarantineUpdate) -> None:
    self._gossip.publish(verdict.fingerprint)
    self._unstored.append(verdict)
    self._unstored_added.set()

  def _handle_crash_report(self, raw: bytes, sender: str) -> None:
    fingerprint, team, endpoint, ran_s = json.loads(raw)
    names.check(fingerprint, team, endpoint)
    self._count_crash(
        quarantine.CrashReport(fingerprint, team, endpoint, float(ran_s)),
        sender,
    )

  async def run(self) -> None:
    """Sends, stores and gossips verdicts until cancelled."""
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._gossip.run)
      tasks.start_soon(self._store_new)
      tasks.start_soon(self._read_stored)

  async def _store_new(self) -> None:
    while True:
      await self._unstored_added.wait()
      self._unstored_added = anyio.Event()
      unstored, self._unstored = self._unstored, []
      for verdict in unstored:
        await self._store(verdict)

  async def _read_stored(self) -> None:
    """Reads the stored verdicts once, on the readers of the KV."""
    while True:
      await anyio.sleep(_READ_INTERVAL_S)
      if self._notices.is_reader and await self._read():
        await anyio.sleep_forever()

  async def _store(self, verdict: quarantine.QuarantineUpdate) -> None:
    """Stores a verdict in the KV, under a lease for its remaining term."""
    key = PREFIX + verdict.fingerprint
    until_s = self._clock.wall().timestamp() + verdict.left_s
    value = json.dumps(
        _StoredVerdict(verdict.fingerprint, verdict.team, until_s)
    )
    try:
      lease = await self._kv.grant_lease(max(1, int(verdict.left_s)))
      await self._kv.put(key, value.encode(), lease)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info(
          "verdict not written",
          extra={"fingerprint": verdict.fingerprint, "error": str(exc)},
      )

  async def _read(self) -> bool:
    """Reads verdicts from the KV and publishes new ones.

    Returns:
      Whether the KV answered.
    """
    try:
      _, records = await self._kv.get_prefix(PREFIX)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info("verdicts not read", extra={"error": str(exc)})
      return False
    now_s = self._clock.wall().timestamp()
    for record in records:
      try:
        stored = _StoredVerdict(*json.loads(record.value))
        names.check(stored.fingerprint, stored.team)
        left_s = float(stored.until_s) - now_s
      except (TypeError, ValueError) as exc:
        extra = {"entry": record.key, "error": repr(exc)}
        logger.error("verdict unreadable", extra=extra)
        continue
      verdict = quarantine.QuarantineUpdate(
          stored.fingerprint, stored.team, left_s
      )
      if left_s > 0 and self._table.apply_update(verdict):
        self._gossip.publish(verdict.fingerprint)
    return True
