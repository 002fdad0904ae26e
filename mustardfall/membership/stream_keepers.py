"""Copies the records of streams to other routers, and asks these for them.

A router sends the record of a stream to its holders when it sends the request
to an endpoint, so that they have confirmed it when the first event arrives. In
a small fleet all other routers are holders.
"""

import logging
import struct
from typing import Any, NamedTuple

import anyio

from mustardfall import errors
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers
from mustardfall.routing import stream_holders
from mustardfall.routing import stream_records
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_HOLDER_ROUTERS = 3
"""Holders of a record in a large fleet, beside the router that made it."""
_ASKED_ROUTERS = 2 * _HOLDER_ROUTERS
"""Routers of a region that are asked for a record: its holders, and those that
were or will be its holders while routers join and leave."""
_MIN_CONFIRMING_ROUTERS = 1
"""Holders that confirm a record before the first event, one of them in another
data centre if there is one."""
_CONFIRM_TIMEOUT_S = 0.025
"""How long a first event waits for confirmations."""
_RESEND_S = 0.02
_MAX_SEND_ATTEMPTS = 4
_ANSWER_S = 0.03
"""How long answers are waited for before a question is repeated. One takes 1 to
5 ms, and some 15 ms on a busy host of half a core."""
_REMOTE_ANSWER_S = 0.15
"""The same for routers of other regions, which are asked once."""
_ROUNDS = 2
_SETTLE_S = 0.008
"""How long later answers are waited for after the first record."""
_MAX_PENDING = 4_096
"""Records that wait for confirmations; more are sent once."""
_CALL_TIMEOUT_S = 0.2
_CALLED_ROUTERS = 3
"""Routers that are called if datagrams to them seem to be lost."""
_MAX_RECORDS_PER_CALL = 500
_QUESTION = struct.Struct(f">I{stream_holders.KEY_BYTES}s")


PATH = "/peer/streams"


class Lookup(NamedTuple):
  """What was found of a stream."""

  record: stream_records.StreamRecord | None
  source: str
  """The router that knew it: a name, or an address for datagrams."""
  age_s: float
  """Seconds since that router received it, if it is this one."""
  asked: int
  """Routers that were asked."""
  unanswered: int
  """Those of them that did not answer."""


class Announcement:
  """A record that is being copied to its holders.

  Args:
    record: the record.
    holders: the routers that it is sent to.
    datacentre: that of this router.
    must_reach_all: whether each holder has to confirm it, as they may know
      the record of an earlier attempt.
  """

  def __init__(
      self,
      record: stream_records.StreamRecord,
      holders: list[members_lib.Member],
      datacentre: str,
      must_reach_all: bool,
  ) -> None:
    self.record = record
    self.unconfirmed = {member.life: member for member in holders}
    self.holder_count = len(holders)
    self._needed = len(holders) if must_reach_all else _MIN_CONFIRMING_ROUTERS
    self._needed = min(self._needed, len(holders))
    self._lacks_remote = any(m.datacentre != datacentre for m in holders)
    self._datacentre = datacentre
    self.confirmed = anyio.Event()
    """Set once enough holders have confirmed it."""
    self._check()

  def note_confirmed(self, life: str) -> None:
    """Records that a holder has the record."""
    member = self.unconfirmed.pop(life, None)
    if member is None:
      return
    if member.datacentre != self._datacentre:
      self._lacks_remote = False
    self._check()

  def _check(self) -> None:
    count = self.holder_count - len(self.unconfirmed)
    if count >= self._needed and not self._lacks_remote:
      self.confirmed.set()


class _Question:
  """A question for a record, and the answers received so far."""

  def __init__(self, key: bytes) -> None:
    self.key = key
    self.unanswered: set[str] = set()
    """Addresses of the routers that were asked and did not answer."""
    self.best: stream_records.StreamRecord | None = None
    self.source = ""
    self.answered = anyio.Event()

  def note_answer(
      self, sender: str, record: stream_records.StreamRecord | None
  ) -> None:
    """Adds a router's answer; None: it does not know the stream."""
    if record is not None and (
        self.best is None or record.attempt > self.best.attempt
    ):
      self.best, self.source = record, sender
    self.unanswered.discard(sender)
    self.answered.set()
    self.answered = anyio.Event()


class StreamKeepers:
  """Keeps records of streams at this router and at others.

  Args:
    members: the routers that are up.
    datagrams: carries records, confirmations and questions.
    post: calls another router if no datagram passes between them.
    clock: the time source.
  """

  def __init__(
      self,
      members: members_lib.Members,
      datagrams: datagrams_lib.Datagrams,
      post: peers.Post,
      clock: clock_lib.Clock,
  ) -> None:
    self._members = members
    self._datagrams = datagrams
    self._post = post
    self._clock = clock
    self.table = stream_records.Table()
    self._holders = stream_holders.Holders()
    self._ranked_lives: dict[str, members_lib.Member] | None = None
    """The list of routers by which `_holders` ranks."""
    self._pending: dict[bytes, Announcement] = {}
    self._resends: list[tuple[float, int, Announcement]] = []
    """Due time and number of the next send of records, in order of time."""
    self._resends_added = anyio.Event()
    self._uncalled: dict[str, dict[bytes, Announcement]] = {}
    """What is to be sent to routers by call, by the router's life and the
    record's key."""
    self._uncalled_added = anyio.Event()
    self._questions: dict[int, _Question] = {}
    self._question_count = 0
    kinds = datagrams_lib.Kind
    datagrams.connect_with_sender(kinds.STREAM_RECORD, self._handle_record)
    datagrams.connect_with_sender(kinds.STREAM_CONFIRM, self._handle_confirm)
    datagrams.connect_with_sender(kinds.STREAM_ASK, self._handle_question)
    datagrams.connect_with_sender(kinds.STREAM_ANSWER, self._handle_answer)

  def _rank(
      self, key: bytes, region: str, count: int
  ) -> list[members_lib.Member]:
    """Returns the other routers of a region in the order for a stream."""
    lives = self._members.lives
    if self._ranked_lives is not lives:
      self._ranked_lives = lives
      self._holders.set(
          stream_holders.Router(m.name, m.datacentre, m.region)
          for m in lives.values()
      )
    me = self._members.me.name
    ranked = self._holders.rank(key, region, count + 1)
    found = [self._members.find(r.name) for r in ranked if r.name != me]
    return [member for member in found if member is not None][:count]

  def _receivers(self, key: bytes, count: int) -> list[members_lib.Member]:
    """Returns the first `count` routers for a stream; all in a small fleet."""
    if not self._members.is_large:
      return self._members.others
    return self._rank(key, self._members.me.region, count)

  def announce(
      self,
      record: stream_records.StreamRecord,
      replaces: Announcement | None = None,
  ) -> Announcement:
    """Stores a record here and sends it to its holders.

    Args:
      record: the record.
      replaces: what was announced of an earlier attempt of the same request.
    """
    self.table.put(record, self._clock.monotonic())
    holders = self._receivers(record.key, _HOLDER_ROUTERS)
    announcement = Announcement(
        record, holders, self._members.me.datacentre, replaces is not None
    )
    if announcement.unconfirmed and len(self._pending) < _MAX_PENDING:
      self._pending[record.key] = announcement
    self._send(announcement, 1)
    if replaces is not None:
      # A holder that keeps the record of the earlier attempt would have the
      # stream resumed at the wrong version, so that a lost datagram matters.
      self._call_later(announcement, announcement.holder_count)
    return announcement

  def _send(self, announcement: Announcement, number: int) -> None:
    content = announcement.record.encode()
    for member in announcement.unconfirmed.values():
      self._datagrams.enqueue(datagrams_lib.Kind.STREAM_RECORD, content, member)
    due_at = self._clock.monotonic() + _RESEND_S
    self._resends.append((due_at, number + 1, announcement))
    self._resends_added.set()

  async def run(self) -> None:
    """Sends records again that are not confirmed, until cancelled."""
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._call_holders)
      await self._resend_unconfirmed()

  async def _resend_unconfirmed(self) -> None:
    """Sends records again when they are due, until cancelled."""
    while True:
      while not self._resends:
        self._resends_added = anyio.Event()
        await self._resends_added.wait()
      now = self._clock.monotonic()
      if self._resends[0][0] > now:
        await anyio.sleep(self._resends[0][0] - now)
      due, self._resends = self._resends, []
      now = self._clock.monotonic()
      for due_at, number, announcement in due:
        if due_at > now:
          self._resends.append((due_at, number, announcement))
        else:
          self._resend(number, announcement)

  def _resend(self, number: int, announcement: Announcement) -> None:
    key = announcement.record.key
    if self._pending.get(key) is not announcement:
      return
    if number <= _MAX_SEND_ATTEMPTS and self._datagrams.is_open:
      self._send(announcement, number)
      return
    del self._pending[key]
    if not announcement.confirmed.is_set():
      self._call_later(announcement, _CALLED_ROUTERS)

  def _call_later(self, announcement: Announcement, count: int) -> None:
    """Has a record sent by call to holders that have not confirmed it."""
    key = announcement.record.key
    for member in list(announcement.unconfirmed.values())[:count]:
      self._uncalled.setdefault(member.life, {})[key] = announcement
    self._uncalled_added.set()

  async def _call_holders(self) -> None:
    """Sends records by call, until cancelled."""
    while True:
      await self._uncalled_added.wait()
      self._uncalled_added = anyio.Event()
      uncalled, self._uncalled = self._uncalled, {}
      async with anyio.create_task_group() as tasks:
        for life, announcements in uncalled.items():
          newest = list(announcements.values())[-_MAX_RECORDS_PER_CALL:]
          tasks.start_soon(self._call_holder, life, newest)

  async def _call_holder(
      self, life: str, announcements: list[Announcement]
  ) -> None:
    member = self._members.lives.get(life)
    if member is None:
      return
    encoded = [one.record.encode().hex() for one in announcements]
    if await self._call(member, {"records": encoded}) is not None:
      for announcement in announcements:
        announcement.note_confirmed(life)

  async def _call(
      self, member: members_lib.Member, body: dict[str, Any]
  ) -> dict[str, Any] | None:
    """Calls another router; returns None if it gave no answer."""
    try:
      return await self._post(member.url + PATH, body, _CALL_TIMEOUT_S)
    except errors.PeerUnavailableError as exc:
      extra = {"peer": member.life, "call": PATH, "error": repr(exc)}
      logger.info("peer call failed", extra=extra)
      return None

  async def serve(self, body: dict[str, Any]) -> dict[str, Any]:
    """Serves another router's call.

    Args:
      body: `records` to be stored, and the `key` of one that is asked for.
    """
    now = self._clock.monotonic()
    for text in body.get("records", ()):
      self.table.put(stream_records.decode_record(bytes.fromhex(text)), now)
    if "key" not in body:
      return {}
    found = self.table.find(bytes.fromhex(body["key"]), now)
    return {"record": found.record.encode().hex() if found else None}

  async def wait_confirmed(self, announcement: Announcement) -> bool:
    """Waits briefly for confirmations; returns whether enough arrived."""
    if not announcement.confirmed.is_set():
      with anyio.move_on_after(_CONFIRM_TIMEOUT_S):
        await announcement.confirmed.wait()
    return announcement.confirmed.is_set()

  async def find(self, key: bytes) -> Lookup:
    """Returns the record of a stream, asking other routers if necessary."""
    found = self.table.find(key, self._clock.monotonic())
    if found is not None:
      me = self._members.me.name
      return Lookup(found.record, me, found.age_s, 0, 0)
    asked = self._receivers(key, _ASKED_ROUTERS)
    lookup = await self._ask(key, asked, _ANSWER_S, _ROUNDS)
    remote = self._remote_holders(key) if lookup.record is None else []
    if remote:
      further = await self._ask(key, remote, _REMOTE_ANSWER_S, 1)
      lookup = further._replace(
          asked=lookup.asked + further.asked,
          unanswered=lookup.unanswered + further.unanswered,
      )
    if lookup.record is None and lookup.unanswered:
      return await self._find_by_calls(key, asked, lookup)
    return lookup

  async def _find_by_calls(
      self, key: bytes, asked: list[members_lib.Member], before: Lookup
  ) -> Lookup:
    """Asks the first holders by call, as datagrams were not answered."""
    found: list[tuple[str, stream_records.StreamRecord]] = []

    async def ask_one(member: members_lib.Member) -> None:
      answer = await self._call(member, {"key": key.hex()}) or {}
      text = answer.get("record")
      if text:
        record = stream_records.decode_record(bytes.fromhex(text))
        found.append((member.name, record))

    async with anyio.create_task_group() as tasks:
      for member in asked[:_CALLED_ROUTERS]:
        tasks.start_soon(ask_one, member)
    if not found:
      return before
    source, record = max(found, key=lambda pair: pair[1].attempt)
    self.table.put(record, self._clock.monotonic())
    return before._replace(record=record, source=source)

  def _remote_holders(self, key: bytes) -> list[members_lib.Member]:
    """Returns the holders in the other regions."""
    if not self._members.is_large:
      return []
    return [
        member
        for region in self._holders.regions
        if region != self._members.me.region
        for member in self._rank(key, region, _HOLDER_ROUTERS)
    ]

  async def _ask(
      self,
      key: bytes,
      asked: list[members_lib.Member],
      wait_s: float,
      rounds: int,
  ) -> Lookup:
    """Asks routers by datagram, in `rounds` rounds of `wait_s` seconds."""
    self._question_count = (self._question_count + 1) & 0xFFFFFFFF
    number = self._question_count
    question = _Question(key)
    by_host = {datagrams_lib.host_of(member): member for member in asked}
    by_host.pop("", None)
    question.unanswered = set(by_host)
    self._questions[number] = question
    content = _QUESTION.pack(number, key)
    try:
      for _ in range(rounds if self._datagrams.is_open else 0):
        for host in question.unanswered:
          self._datagrams.enqueue_to(
              datagrams_lib.Kind.STREAM_ASK, content, host
          )
        await self._wait_answers(question, wait_s)
        if question.best is not None or not question.unanswered:
          break
    finally:
      del self._questions[number]
    if question.best is not None:
      self.table.put(question.best, self._clock.monotonic())
    unanswered = len(question.unanswered)
    return Lookup(question.best, question.source, 0.0, len(by_host), unanswered)

  async def _wait_answers(self, question: _Question, wait_s: float) -> None:
    with anyio.move_on_after(wait_s):
      while question.unanswered and question.best is None:
        await question.answered.wait()
      with anyio.move_on_after(_SETTLE_S):
        while question.unanswered:
          await question.answered.wait()

  def prune(self) -> None:
    """Removes the records of streams that may no longer be resumed."""
    self.table.prune(self._clock.monotonic())

  def _handle_record(self, raw: bytes, sender: str) -> None:
    record = stream_records.decode_record(raw)
    self.table.put(record, self._clock.monotonic())
    content = record.key + bytes((record.attempt,))
    self._datagrams.enqueue_to(
        datagrams_lib.Kind.STREAM_CONFIRM, content, sender
    )

  def _handle_confirm(self, raw: bytes, sender: str) -> None:
    if len(raw) != stream_holders.KEY_BYTES + 1:
      raise ValueError("confirmation of another length")
    announcement = self._pending.get(raw[:-1])
    if announcement is None or announcement.record.attempt != raw[-1]:
      return  # it was confirmed before, or replaced
    for member in list(announcement.unconfirmed.values()):
      if datagrams_lib.host_of(member) == sender:
        announcement.note_confirmed(member.life)
    if not announcement.unconfirmed:
      del self._pending[announcement.record.key]

  def _handle_question(self, raw: bytes, sender: str) -> None:
    try:
      _, key = _QUESTION.unpack(raw)
    except struct.error as exc:
      raise ValueError(str(exc)) from exc
    found = self.table.find(key, self._clock.monotonic())
    content = raw[: -stream_holders.KEY_BYTES]
    if found is not None:
      content += found.record.encode()
    self._datagrams.enqueue_to(
        datagrams_lib.Kind.STREAM_ANSWER, content, sender
    )

  def _handle_answer(self, raw: bytes, sender: str) -> None:
    question = self._questions.get(int.from_bytes(raw[:4]))
    record = None
    if len(raw) > 4:  # noqa: PLR2004  the number of the question
      record = stream_records.decode_record(raw[4:])
    if question is None or (record and record.key != question.key):
      return  # the answer is late: the question was given up
    question.note_answer(sender, record)
