"""Tells routers which requests end the endpoints that run them.

A router that sees an endpoint end tells the few that judge the request, by
datagram. Whoever finds that too many have ended tells all others at once, and
writes it down in the KV, for routers that start later. Each router repeats what
it knows to two others each second: datagrams are lost, and the KV may be away.
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
_ROUND_S = 1.0
"""Between two rounds of repeating what is known."""
_TOLD = 2
"""Routers told in a round. One of a fleet hears of as many in the mean."""
_TOLD_AT_ONCE = 20
"""Verdicts in one datagram; each takes some 60 bytes."""
_MOST_CONTENT_BYTES = 16_384
"""Of what a datagram unpacks to."""
_MOST_NAME = 200
"""Characters of a name that is told."""
_TELL_AGAIN_S = 0.05
"""News is told twice: one datagram in some hundreds is lost."""


class _Written(NamedTuple):
  """A verdict in the KV."""

  fingerprint: str
  team: str
  until_s: float
  """Unix seconds."""


class Verdicts:
  """Tells and hears of suspected and quarantined requests.

  Args:
    table: what is known; kept current here.
    members: who is up.
    datagrams: carries notes.
    notices: tells whether this router reads for the others.
    kv: keeps verdicts for routers that start later.
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
    self._news: list[quarantine.Verdict] = []
    """Verdicts of this router that are not told and written yet."""
    self._news_came = anyio.Event()
    datagrams.connect(datagrams_lib.Kind.SUSPECT, self._take_suspect)
    datagrams.connect(datagrams_lib.Kind.VERDICT, self._take_verdicts)

  def note_end(self, suspect: quarantine.Suspect) -> None:
    """Notes that an endpoint ended while it ran a request of this router."""
    content = json.dumps(suspect).encode()
    for judge in self._judges(suspect.fingerprint):
      for _ in range(2):  # one datagram in some hundreds is lost
        self._datagrams.post(datagrams_lib.Kind.SUSPECT, content, judge)
    self._judge(suspect)

  def note_success(self, fingerprint: str) -> None:
    """Notes that an endpoint ran a request to its end."""
    was_quarantined = bool(self._table.remaining_s(fingerprint))
    if not self._table.note_success(fingerprint):
      return
    sound = quarantine.Verdict(fingerprint, "", 0.0)
    if was_quarantined:
      self._publish(sound)
      return
    # Dozens run at an endpoint that ends, and most succeed at the next one.
    content = deltas.pack([sound])
    for judge in self._judges(fingerprint):
      self._datagrams.post(datagrams_lib.Kind.VERDICT, content, judge)

  def _judges(self, fingerprint: str) -> list[members_lib.Member]:
    """Returns the other routers that count what ends under a request."""
    if not self._members.is_large:
      return self._members.others
    me = self._members.me.life
    found = self._members.candidates(fingerprint)
    return [member for member in found if member.life != me]

  def _judge(self, suspect: quarantine.Suspect) -> None:
    if self._table.note_crash(suspect):
      self._publish(
          quarantine.Verdict(
              suspect.fingerprint, suspect.team, quarantine.QUARANTINE_S
          )
      )

  def _publish(self, verdict: quarantine.Verdict) -> None:
    self._news.append(verdict)
    self._news_came.set()

  def _take_suspect(self, raw: bytes) -> None:
    fingerprint, team, endpoint, ran_s = json.loads(raw)
    _check(fingerprint, team, endpoint)
    self._judge(quarantine.Suspect(fingerprint, team, endpoint, float(ran_s)))

  def _take_verdicts(self, raw: bytes) -> None:
    for fingerprint, team, left_s in deltas.unpack(raw, _MOST_CONTENT_BYTES):
      _check(fingerprint, team)
      self._table.apply_verdict(
          quarantine.Verdict(fingerprint, team, float(left_s))
      )

  async def run(self) -> None:
    """Tells, writes and repeats verdicts until cancelled."""
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._tell_news)
      tasks.start_soon(self._repeat)

  async def _tell_news(self) -> None:
    while True:
      await self._news_came.wait()
      self._news_came = anyio.Event()
      news, self._news = self._news, []
      for _ in range(2):
        await self._tell(news, self._members.others)
        await anyio.sleep(_TELL_AGAIN_S)
      for verdict in news:
        await self._write(verdict)

  async def _repeat(self) -> None:
    """Repeats what is known to a few, each round to others."""
    is_read = False
    while True:
      await anyio.sleep(_ROUND_S)
      if not is_read and self._notices.reads:
        is_read = await self._read()
      known = self._table.verdicts()
      others = self._members.others
      if known and others:
        some = random.sample(known, min(_TOLD_AT_ONCE, len(known)))
        told = random.sample(others, min(_TOLD, len(others)))
        await self._tell(some, told)

  async def _tell(
      self,
      verdicts: list[quarantine.Verdict],
      told: Iterable[members_lib.Member],
  ) -> None:
    told = list(told)
    for begin in range(0, len(verdicts), _TOLD_AT_ONCE):
      content = deltas.pack(verdicts[begin : begin + _TOLD_AT_ONCE])
      await self._datagrams.tell(datagrams_lib.Kind.VERDICT, content, told)

  async def _write(self, verdict: quarantine.Verdict) -> None:
    """Writes a verdict down, for as long as it holds."""
    key = PREFIX + verdict.fingerprint
    until_s = self._clock.wall().timestamp() + verdict.left_s
    value = json.dumps(_Written(verdict.fingerprint, verdict.team, until_s))
    try:
      lease = await self._kv.grant_lease(max(1, int(verdict.left_s)))
      await self._kv.put(key, value.encode(), lease)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info(
          "verdict not written",
          extra={"fingerprint": verdict.fingerprint, "error": str(exc)},
      )

  async def _read(self) -> bool:
    """Takes in what is written, and tells all; whether the KV answered."""
    try:
      _, records = await self._kv.get_prefix(PREFIX)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info("verdicts not read", extra={"error": str(exc)})
      return False
    now_s = self._clock.wall().timestamp()
    found = []
    for record in records:
      try:
        written = _Written(*json.loads(record.value))
        _check(written.fingerprint, written.team)
        left_s = float(written.until_s) - now_s
      except (TypeError, ValueError) as exc:
        extra = {"entry": record.key, "error": repr(exc)}
        logger.error("verdict unreadable", extra=extra)
        continue
      verdict = quarantine.Verdict(written.fingerprint, written.team, left_s)
      if left_s > 0 and self._table.apply_verdict(verdict):
        found.append(verdict)
    await self._tell(found, self._members.others)
    return True


def _check(*names: str) -> None:
  """Checks what was told by name; raises ValueError where it is no name."""
  for name in names:
    if not isinstance(name, str) or len(name) > _MOST_NAME:
      raise ValueError("no name")
