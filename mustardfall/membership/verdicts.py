"""Shares verdicts on what crashes the endpoints that run it.

A router that sees an endpoint crash reports the request that it was running, and
the parts of its prompt, by datagram, to the few routers that count crashes for
each of these units. A router that has counted too many for a unit publishes a
verdict to all others, and stores it in the KV for the case that all routers
restart. Successes clear units in the same way. Routers from which no datagram
arrives are called.
"""

from collections.abc import Iterable, Sequence
import json
import logging
import math
import random
from typing import Any, NamedTuple

import anyio

from mustardfall import errors
from mustardfall.kv import protocol
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import gossip as gossip_lib
from mustardfall.membership import members as members_lib
from mustardfall.membership import notices as notices_lib
from mustardfall.membership import peers
from mustardfall.routing import quarantine
from mustardfall.util import clock as clock_lib
from mustardfall.util import names

logger = logging.getLogger(__name__)

PREFIX = "quarantine/"
PATH = "/peer/blame"
_SILENCE_S = 3.0
"""Time without datagrams of a router after which it is called instead."""
_CALL_DELAY_S = 0.01
"""Time in which reports and verdicts are collected for one call."""
_CALL_TIMEOUT_S = 0.2
_MAX_CALLED_ROUTERS = 24
"""Routers of a large fleet that are called with one verdict."""
_MAX_ENTRIES_PER_CALL = 200
_READ_INTERVAL_S = 1.0
"""Interval between two attempts to read the stored verdicts after the start."""
_MAX_VERDICTS_PER_DATAGRAM = 12
"""Each verdict takes some 100 bytes."""
_REPORT_FIELDS = 4
"""Fields of the report of a request. If the prompt has parts, `was_writing`, the
number of those that are unproven and their keys follow."""
_NO_SUSPECTS = quarantine.Suspects([], 0)
_ANSWER_SPREAD_S = 0.001
"""Mean time between two routers' answers to a verdict of which they know
better."""


class _StoredVerdict(NamedTuple):
  """A verdict as stored in the KV."""

  fingerprint: str
  team: str
  until_s: float
  """Unix seconds."""
  is_part: bool = False
  """False in those that earlier versions have stored, as the next two."""
  crashes: float = float(quarantine.CRASH_LIMIT)
  crashed_s: float = 0.0
  """When the last crash was, Unix seconds; 0: unknown."""


class _Batch(NamedTuple):
  """What is to be sent to one router by call."""

  reports: list[list[Any]]
  verdicts: dict[str, None]
  """Keys of the units."""


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
    post: calls another router.
    rng: draws receivers and waits; None: a source of its own.
  """

  def __init__(
      self,
      table: quarantine.Table,
      members: members_lib.Members,
      datagrams: datagrams_lib.Datagrams,
      notices: notices_lib.Notices,
      kv: protocol.Store,
      clock: clock_lib.Clock,
      post: peers.Post,
      rng: random.Random | None = None,
  ) -> None:
    self._table = table
    self._members = members
    self._datagrams = datagrams
    self._notices = notices
    self._kv = kv
    self._clock = clock
    self._random = rng or random.Random()
    self._gossip = gossip_lib.Gossip(
        datagrams_lib.Kind.VERDICT,
        self,
        members,
        datagrams,
        clock,
        _MAX_VERDICTS_PER_DATAGRAM,
        self._random,
    )
    self._unstored: list[quarantine.QuarantineUpdate] = []
    """New verdicts of this router that are not yet stored."""
    self._unstored_added = anyio.Event()
    self._outdated: dict[str, float] = {}
    """Units of which another router does not know a success, and when it is to
    be published."""
    self._outdated_added = anyio.Event()
    self._post = post
    self._uncalled: dict[str, _Batch] = {}
    """By the router's life."""
    self._uncalled_added = anyio.Event()
    table.on_outdated = self._note_outdated
    datagrams.connect_with_sender(
        datagrams_lib.Kind.SUSPECT, self._handle_crash_report
    )

  def note_end(
      self,
      report: quarantine.CrashReport,
      suspects: quarantine.Suspects = _NO_SUSPECTS,
  ) -> None:
    """Records that an endpoint crashed while running a request.

    Args:
      report: the request and the endpoint.
      suspects: the parts of its prompt.
    """
    fields = list(report[:_REPORT_FIELDS])
    if suspects.parts:
      fields += [report.was_writing, suspects.unproven_count, *suspects.parts]
    content = json.dumps(fields).encode()
    keys = (report.fingerprint, *suspects.parts)
    counting = list(self._counting_routers(keys))
    for router in counting:
      for _ in range(2):  # one datagram in some hundreds is lost
        self._datagrams.enqueue(datagrams_lib.Kind.SUSPECT, content, router)
    for batch in self._batches(counting):
      batch.reports.append(fields)
    self._count_crash(report, suspects, "")

  def note_success(self, *keys: str, age_s: float = 0.0) -> None:
    """Records that an endpoint completed a request; clears its units.

    Args:
      keys: the units.
      age_s: seconds since the request was sent.
    """
    for key in keys:
      before = self._table.standing(key)
      crashes = self._table.crash_count(key)
      if self._table.note_success(key, age_s):
        self._announce_success(key, before, crashes)

  def _announce_success(
      self, key: str, before: quarantine.Standing, crashes: float
  ) -> None:
    if before is not quarantine.Standing.CLEAR:
      extra = {"key": key, "standing": before.value, "crashes": crashes}
      logger.info("blame cleared by a success", extra=extra)
    if before is quarantine.Standing.QUARANTINED:
      self._publish(quarantine.QuarantineUpdate(key, "", 0.0))
    elif before is quarantine.Standing.OPEN:
      self._tell_all(key)
    else:
      # Not sent to all: an endpoint that crashes runs dozens of requests, most
      # of which succeed at the next one.
      counting = list(self._counting_routers((key,)))
      self._gossip.send_to(key, counting)
      for batch in self._batches(counting):
        batch.verdicts[key] = None

  def _tell_all(self, key: str) -> None:
    """Sends what is known of a unit to all other routers."""
    self._gossip.publish(key)
    for batch in self._batches(self._members.others):
      batch.verdicts[key] = None

  def _batches(
      self, receivers: Sequence[members_lib.Member]
  ) -> Iterable[_Batch]:
    """Yields the batches for those receivers that are to be called."""
    datagrams = self._datagrams
    if not self._members.is_large:
      called = [m for m in receivers if datagrams.heard_s(m) > _SILENCE_S]
    elif datagrams.heard_s() > _SILENCE_S:
      count = min(_MAX_CALLED_ROUTERS, len(receivers))
      called = self._random.sample(receivers, count)
    else:
      called = []
    for member in called:
      self._uncalled_added.set()
      yield self._uncalled.setdefault(member.life, _Batch([], {}))

  async def _call_silent(self) -> None:
    """Calls routers from which no datagram arrives, until cancelled."""
    while True:
      await self._uncalled_added.wait()
      await anyio.sleep(_CALL_DELAY_S)
      self._uncalled_added = anyio.Event()
      uncalled, self._uncalled = self._uncalled, {}
      async with anyio.create_task_group() as tasks:
        for life, batch in uncalled.items():
          tasks.start_soon(self._call, life, batch)

  async def _call(self, life: str, batch: _Batch) -> None:
    member = self._members.lives.get(life)
    if member is None:
      return
    keys = list(batch.verdicts)[-_MAX_ENTRIES_PER_CALL:]
    body = {
        "router": self._members.me.name,
        "reports": batch.reports[-_MAX_ENTRIES_PER_CALL:],
        "verdicts": [self._table.fact(key) for key in keys],
    }
    try:
      await self._post(member.url + PATH, body, _CALL_TIMEOUT_S)
    except errors.PeerUnavailableError as exc:
      extra = {"peer": life, "call": PATH, "error": repr(exc)}
      logger.info("peer call failed", extra=extra)

  async def serve(self, body: dict[str, Any]) -> dict[str, Any]:
    """Serves another router's call.

    Args:
      body: the `reports` and `verdicts` of a `router`, as in datagrams.
    """
    reporter = body.get("router", "")
    names.check(reporter)
    for report in body.get("reports", ())[:_MAX_ENTRIES_PER_CALL]:
      self._handle_report(report, reporter)
    for fact in body.get("verdicts", ())[:_MAX_ENTRIES_PER_CALL]:
      self.apply(fact)
    return {}

  def _counting_routers(
      self, keys: Sequence[str]
  ) -> Iterable[members_lib.Member]:
    """Returns the other routers that count crashes for any of the units."""
    if not self._members.is_large:
      return self._members.others
    found = {
        member.life: member
        for key in keys
        for member in self._members.candidates(key)
    }
    found.pop(self._members.me.life, None)
    return found.values()

  def _count_crash(
      self,
      report: quarantine.CrashReport,
      suspects: quarantine.Suspects,
      reporter: str,
  ) -> None:
    """Counts a crash that `reporter` saw; empty: this router."""
    counts = {}
    for one in self._reports(report, suspects):
      key = one.fingerprint
      before = self._table.standing(key)
      crashes = self._table.crash_count(key)
      if self._table.note_crash(one):
        self._publish(quarantine.decode(self._table.fact(key)))
      if self._table.crash_count(key) != crashes:
        counts[key] = self._table.crash_count(key)
      after = self._table.standing(key)
      if after is not before:
        self._note_standing(key, after)
    if counts:
      extra = {
          "counts": counts,
          "request": report.fingerprint,
          "team": report.team,
          "endpoint": report.endpoint,
          "ran_s": round(report.ran_s, 3),
          "reporter": reporter,
      }
      logger.info("crash counted", extra=extra)

  def _reports(
      self, report: quarantine.CrashReport, suspects: quarantine.Suspects
  ) -> Iterable[quarantine.CrashReport]:
    """Yields the report of each unit of a request."""
    yield report
    unproven_count = suspects.unproven_count or len(suspects.parts)
    for rank, part in enumerate(suspects.parts):
      yield report._replace(
          fingerprint=part,
          request=report.fingerprint,
          is_isolated=rank == 0 and unproven_count == 1,
          is_proven=rank >= suspects.unproven_count,
      )

  def _note_standing(self, key: str, standing: quarantine.Standing) -> None:
    """Tells the others that a unit is open, unless all of them count."""
    crashes = self._table.crash_count(key)
    extra = {"key": key, "standing": standing.value, "crashes": crashes}
    logger.info("blame changed", extra=extra)
    if standing is quarantine.Standing.OPEN and self._members.is_large:
      self._tell_all(key)

  def _publish(self, verdict: quarantine.QuarantineUpdate) -> None:
    self._tell_all(verdict.fingerprint)
    storing = self._members.candidates(verdict.fingerprint)
    if self._members.me.life in {member.life for member in storing}:
      self._unstored.append(verdict)
      self._unstored_added.set()

  def _note_outdated(self, key: str) -> None:
    """Has a success published that another router does not know."""
    # Many routers may know of one. The first to send it spares the others that.
    wait_s = self._random.uniform(
        0, _ANSWER_SPREAD_S * len(self._members.lives)
    )
    self._outdated.setdefault(key, self._clock.monotonic() + wait_s)
    self._outdated_added.set()

  async def _publish_outdated(self) -> None:
    """Publishes successes that another router does not know."""
    while True:
      if not self._outdated:
        await self._outdated_added.wait()
      self._outdated_added = anyio.Event()
      now = self._clock.monotonic()
      for key, due_at in list(self._outdated.items()):
        if due_at <= now:
          del self._outdated[key]
          self._tell_all(key)
      if self._outdated:
        due_at = min(self._outdated.values())
        with anyio.move_on_after(max(0.0, due_at - now)):
          await self._outdated_added.wait()

  def _handle_crash_report(self, raw: bytes, sender: str) -> None:
    self._handle_report(json.loads(raw), sender)

  def _handle_report(self, fields: list[Any], reporter: str) -> None:
    fingerprint, team, endpoint, ran_s, *more = fields
    was_writing, unproven_count, *parts = more or (False, 0)
    names.check(fingerprint, team, endpoint, *parts)
    ran_s = float(ran_s)
    if not 0.0 <= ran_s < math.inf:
      raise ValueError(f"a request that ran for {ran_s} s")
    report = quarantine.CrashReport(
        fingerprint,
        team,
        endpoint,
        ran_s,
        was_writing=was_writing is True,
    )
    suspects = quarantine.Suspects(
        parts[: quarantine.MAX_PARTS], int(unproven_count)
    )
    self._count_crash(report, suspects, reporter)

  def keys(self) -> list[str]:
    """Returns the units that others have to know of; see `gossip.Table`."""
    return self._table.keys()

  def fact(self, key: str) -> list[Any]:
    """Returns what others have to know of a unit; see `gossip.Table`."""
    return self._table.fact(key)

  def apply(self, fact: list[Any]) -> None:
    """Applies what another router knows of a unit.

    Raises:
      TypeError, ValueError: `fact` is malformed.
    """
    update = quarantine.decode(fact)
    key = update.fingerprint
    before = self._table.standing(key)
    self._table.apply_update(update)
    after = self._table.standing(key)
    if not update.is_open and update.left_s <= 0:
      self._outdated.pop(key, None)  # another router has published it
    if after is not before:
      extra = {
          "key": key,
          "standing": after.value,
          "crashes": update.crashes,
          "told_left_s": update.left_s,
          "crashed_s": update.crashed_s,
          "succeeded_s": update.succeeded_s,
      }
      logger.info("blame changed by another router", extra=extra)

  async def run(self) -> None:
    """Sends, stores and gossips verdicts until cancelled."""
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._gossip.run)
      tasks.start_soon(self._store_new)
      tasks.start_soon(self._publish_outdated)
      tasks.start_soon(self._call_silent)
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
    now_s = self._clock.wall().timestamp()
    value = json.dumps(
        _StoredVerdict(
            verdict.fingerprint,
            verdict.team,
            now_s + verdict.left_s,
            verdict.is_part,
            verdict.crashes,
            now_s - verdict.crashed_s,
        )
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
        crashed_s = max(0.0, now_s - float(stored.crashed_s or now_s))
        verdict = quarantine.QuarantineUpdate(
            stored.fingerprint,
            stored.team,
            left_s,
            crashed_s,
            float(stored.crashes),
            stored.is_part is True,
        )
      except (OverflowError, RecursionError, TypeError, ValueError) as exc:
        extra = {"entry": record.key, "error": repr(exc)}
        logger.error("verdict unreadable", extra=extra)
        continue
      if left_s > 0 and self._table.apply_update(verdict):
        self._gossip.publish(verdict.fingerprint)
    return True
