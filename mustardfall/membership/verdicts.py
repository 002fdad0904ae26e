"""Shares verdicts on requests that crash the endpoints that run them.

A router that sees an endpoint crash reports the request that it was running, by
datagram, to the few routers that count crashes for each request. A router that
has counted too many for a request sends a verdict to all others at once, and
stores it in the KV for routers that start later. Each router also gossips its
verdicts to two others each second, since datagrams may be lost and the KV may
be unavailable.
"""

from collections.abc import Iterable
import json
import logging
import random
from typing import NamedTuple

import anyio

from mustardfall import errors
from mustardfall.kv import protocol
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import deltas
from mustardfall.membership import members as members_lib
from mustardfall.membership import notices as notices_lib
from mustardfall.routing import quarantine
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

PREFIX = "quarantine/"
_GOSSIP_INTERVAL_S = 1.0
"""Interval between two rounds of gossip."""
_GOSSIP_FANOUT = 2
"""Receivers in a round, and so the mean number of senders to each router."""
_MAX_VERDICTS_PER_DATAGRAM = 20
"""Each verdict takes some 60 bytes."""
_MAX_UNPACKED_BYTES = 16_384
"""Limit of a datagram's size after decompression."""
_MAX_NAME_LENGTH = 200
"""Limit of the length of received names, in characters."""
_RESEND_DELAY_S = 0.05
"""New verdicts are sent twice, as one datagram in some hundreds is lost."""


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
    self._unsent: list[quarantine.QuarantineUpdate] = []
    """New verdicts of this router, not yet sent and stored."""
    self._unsent_added = anyio.Event()
    datagrams.connect(datagrams_lib.Kind.SUSPECT, self._handle_crash_report)
    datagrams.connect(datagrams_lib.Kind.VERDICT, self._handle_verdicts)

  def note_end(self, report: quarantine.CrashReport) -> None:
    """Records that an endpoint crashed while running a request."""
    content = json.dumps(report).encode()
    for router in self._counting_routers(report.fingerprint):
      for _ in range(2):  # one datagram in some hundreds is lost
        self._datagrams.enqueue(datagrams_lib.Kind.SUSPECT, content, router)
    self._count_crash(report)

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
    content = deltas.pack([cleared])
    for router in self._counting_routers(fingerprint):
      self._datagrams.enqueue(datagrams_lib.Kind.VERDICT, content, router)

  def _counting_routers(self, fingerprint: str) -> list[members_lib.Member]:
    """Returns the other routers that count crashes for a request."""
    if not self._members.is_large:
      return self._members.others
    me = self._members.me.life
    candidates = self._members.candidates(fingerprint)
    return [member for member in candidates if member.life != me]

  def _count_crash(self, report: quarantine.CrashReport) -> None:
    if self._table.note_crash(report):
      self._publish(
          quarantine.QuarantineUpdate(
              report.fingerprint, report.team, quarantine.QUARANTINE_S
          )
      )

  def _publish(self, verdict: quarantine.QuarantineUpdate) -> None:
    self._unsent.append(verdict)
    self._unsent_added.set()

  def _handle_crash_report(self, raw: bytes) -> None:
    fingerprint, team, endpoint, ran_s = json.loads(raw)
    _check_names(fingerprint, team, endpoint)
    self._count_crash(
        quarantine.CrashReport(fingerprint, team, endpoint, float(ran_s))
    )

  def _handle_verdicts(self, raw: bytes) -> None:
    for fingerprint, team, left_s in deltas.unpack(raw, _MAX_UNPACKED_BYTES):
      _check_names(fingerprint, team)
      self._table.apply_update(
          quarantine.QuarantineUpdate(fingerprint, team, float(left_s))
      )

  async def run(self) -> None:
    """Sends, stores and gossips verdicts until cancelled."""
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._send_new)
      tasks.start_soon(self._gossip)

  async def _send_new(self) -> None:
    while True:
      await self._unsent_added.wait()
      self._unsent_added = anyio.Event()
      unsent, self._unsent = self._unsent, []
      for _ in range(2):
        await self._send(unsent, self._members.others)
        await anyio.sleep(_RESEND_DELAY_S)
      for verdict in unsent:
        await self._store(verdict)

  async def _gossip(self) -> None:
    """Sends known verdicts to a few random routers in each round."""
    is_read = False
    while True:
      await anyio.sleep(_GOSSIP_INTERVAL_S)
      if not is_read and self._notices.is_reader:
        is_read = await self._read()
      known = self._table.verdicts()
      others = self._members.others
      if known and others:
        sample = random.sample(
            known, min(_MAX_VERDICTS_PER_DATAGRAM, len(known))
        )
        receivers = random.sample(others, min(_GOSSIP_FANOUT, len(others)))
        await self._send(sample, receivers)

  async def _send(
      self,
      verdicts: list[quarantine.QuarantineUpdate],
      receivers: Iterable[members_lib.Member],
  ) -> None:
    receivers = list(receivers)
    for start in range(0, len(verdicts), _MAX_VERDICTS_PER_DATAGRAM):
      content = deltas.pack(
          verdicts[start : start + _MAX_VERDICTS_PER_DATAGRAM]
      )
      await self._datagrams.send(datagrams_lib.Kind.VERDICT, content, receivers)

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
    """Reads verdicts from the KV and sends new ones to all other routers.

    Returns:
      Whether the KV answered.
    """
    try:
      _, records = await self._kv.get_prefix(PREFIX)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info("verdicts not read", extra={"error": str(exc)})
      return False
    now_s = self._clock.wall().timestamp()
    added = []
    for record in records:
      try:
        stored = _StoredVerdict(*json.loads(record.value))
        _check_names(stored.fingerprint, stored.team)
        left_s = float(stored.until_s) - now_s
      except (TypeError, ValueError) as exc:
        extra = {"entry": record.key, "error": repr(exc)}
        logger.error("verdict unreadable", extra=extra)
        continue
      verdict = quarantine.QuarantineUpdate(
          stored.fingerprint, stored.team, left_s
      )
      if left_s > 0 and self._table.apply_update(verdict):
        added.append(verdict)
    await self._send(added, self._members.others)
    return True


def _check_names(*names: str) -> None:
  """Checks received names; raises ValueError if one is invalid."""
  for name in names:
    if not isinstance(name, str) or len(name) > _MAX_NAME_LENGTH:
      raise ValueError("not a string, or too long for a name")
