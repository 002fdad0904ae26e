"""Finds routers that reach endpoints from which this router is cut off.

A router that is cut off asks a few others by datagram, and while none of them
reaches the endpoints, a few more. An answer also names routers that the one that
was asked knows to reach them, so that exits are found soon even if nearly all
routers are cut off.
"""

from collections.abc import Callable
import json
import logging
import random
from typing import Any, NamedTuple

import anyio

from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from mustardfall.routing import exits
from mustardfall.util import clock as clock_lib
from mustardfall.util import names

logger = logging.getLogger(__name__)

_ASKED_ROUTERS = 8
"""Routers that are asked in one round."""
_KEPT_EXITS = 8
"""Exits that are asked again while they are used; their load then spreads over
so many routers."""
_ROUND_S = 0.04
"""How long a round waits for an answer. One takes some ms, on a busy host of half
a core 15 ms."""
_MAX_ROUNDS = 5
"""Rounds that a request waits for."""
_VAIN_S = 1.0
"""How long no request waits after rounds in which no exit was found. Routers are
asked further, and the first exit that answers is used at once."""
_ASK_AGAIN_S = 0.5
"""Minimum time between two questions to a router."""
_MAX_NAMED_EXITS = 3
"""Exits that an answer names."""
_DROPPED_S = 1.0
"""How long an exit that opened no tunnel is not used."""


class Answer(NamedTuple):
  """A router's answer to whether it reaches a kind of endpoints."""

  question: int
  kind: str
  life: str
  reaches: bool
  busy: int
  referrals: list[str]
  """Lives of routers that it takes for exits."""


class _Known(NamedTuple):
  """What an exit answered, and when; monotonic seconds."""

  busy: int
  heard_at: float


class Exits:
  """Asks for exits, and answers other routers that ask.

  Args:
    members: the routers that are up.
    datagrams: carries questions and answers.
    reaches: whether this router reaches a kind of endpoints.
    busy: returns this router's requests in flight and open tunnels.
    clock: the time source.
    rng: draws the routers that are asked.
  """

  def __init__(
      self,
      members: members_lib.Members,
      datagrams: datagrams_lib.Datagrams,
      reaches: Callable[[str], bool],
      busy: Callable[[], int],
      clock: clock_lib.Clock,
      rng: random.Random | None = None,
  ) -> None:
    self._members = members
    self._datagrams = datagrams
    self._reaches = reaches
    self._busy = busy
    self._clock = clock
    self._random = rng or random.Random()
    self._known: dict[str, dict[str, _Known]] = {}
    """What exits answered, by kind and life."""
    self._referred: dict[str, dict[str, None]] = {}
    """Lives that were named as exits and not asked yet, by kind."""
    self._asked_at: dict[tuple[str, str], float] = {}
    """When routers were last asked, by kind and life."""
    self._dropped_until: dict[str, float] = {}
    self._vain_until: dict[str, float] = {}
    """Until when requests do not wait for an exit, by kind."""
    self._answered: dict[str, anyio.Event] = {}
    """By kind: set once an exit, or all routers of the last round, answered."""
    self._unanswered: dict[str, set[str]] = {}
    """Lives that were asked in the last round and have not answered, by kind."""
    self._questions = 0
    datagrams.connect_with_sender(
        datagrams_lib.Kind.EXIT_ASK, self._handle_question
    )
    datagrams.connect(datagrams_lib.Kind.EXIT_ANSWER, self._handle_answer)

  async def find(self, kind: str, datacentre: str) -> list[members_lib.Member]:
    """Returns exits to a kind of endpoints, in the order to try them.

    Waits for answers if none is known; returns an empty list if none is found.

    Args:
      kind: the kind of endpoints.
      datacentre: the data centre of the endpoint.
    """
    found = self._usable(kind, datacentre)
    if found or self._clock.monotonic() < self._vain_until.get(kind, 0.0):
      return found
    for _ in range(_MAX_ROUNDS):
      if not self._ask(kind) and not self._unanswered.get(kind):
        break
      event = self._answered.setdefault(kind, anyio.Event())
      with anyio.move_on_after(_ROUND_S):
        await event.wait()
      found = self._usable(kind, datacentre)
      if found:
        return found
    self._vain_until[kind] = self._clock.monotonic() + _VAIN_S
    return []

  def drop(self, life: str, reason: str) -> None:
    """Stops using an exit for some time: it opened no tunnel."""
    self._dropped_until[life] = self._clock.monotonic() + _DROPPED_S
    logger.info("exit not used", extra={"exit": life, "reason": reason})

  def known(self, kind: str) -> list[str]:
    """Returns the lives of the routers that answered that they reach a kind."""
    return list(self._known.get(kind, {}))

  def forget(self, kind: str, life: str, reason: str) -> None:
    """Stops using an exit to one kind until it answers a later question."""
    if self._known.get(kind, {}).pop(life, None) is not None:
      extra = {"exit": life, "kind": kind, "reason": reason}
      logger.info("exit not used", extra=extra)

  def note_opened(self, kind: str, life: str) -> None:
    """Records that an exit has opened a tunnel, which answers for it, too."""
    known = self._known.get(kind, {}).get(life)
    if known is not None:
      now = self._clock.monotonic()
      self._known[kind][life] = known._replace(heard_at=now)

  def refresh(self, kind: str) -> None:
    """Asks the known exits again, and a few other routers."""
    self._prune()
    self._ask(kind)

  def _usable(self, kind: str, datacentre: str) -> list[members_lib.Member]:
    now = self._clock.monotonic()
    lives = self._members.lives
    found = [
        exits.Exit(
            life, lives[life].datacentre, known.busy, now - known.heard_at
        )
        for life, known in self._known.get(kind, {}).items()
        if life in lives and self._dropped_until.get(life, 0.0) <= now
    ]
    nearby = frozenset((datacentre, self._members.me.datacentre))
    ordered = exits.order(found, nearby, self._random)
    return [lives[exit_.life] for exit_ in ordered]

  def _ask(self, kind: str) -> bool:
    """Asks some routers; returns whether there were any to ask."""
    if not self._datagrams.is_open:
      return False
    receivers = self._receivers(kind)
    now = self._clock.monotonic()
    self._questions += 1
    content = json.dumps([self._questions, kind]).encode()
    if receivers:
      self._unanswered[kind] = {member.life for member in receivers}
    for member in receivers:
      self._asked_at[kind, member.life] = now
      self._datagrams.enqueue(datagrams_lib.Kind.EXIT_ASK, content, member)
    return bool(receivers)

  def _receivers(self, kind: str) -> list[members_lib.Member]:
    """Returns the routers to ask: known exits, named ones, then any others."""
    now = self._clock.monotonic()
    known = list(self._known.get(kind, {}))[:_KEPT_EXITS]
    named = list(self._referred.pop(kind, {}))
    others = self._members.others
    sample = self._random.sample(others, min(_ASKED_ROUTERS, len(others)))
    lives = [*known, *named, *(member.life for member in sample)]
    return [
        member
        for life in list(dict.fromkeys(lives))[: 2 * _ASKED_ROUTERS]
        if (member := self._members.lives.get(life)) is not None
        and life != self._members.me.life
        and now - self._asked_at.get((kind, life), -_ASK_AGAIN_S)
        >= _ASK_AGAIN_S
    ]

  def _prune(self) -> None:
    now = self._clock.monotonic()
    for key, at in list(self._asked_at.items()):
      if now - at >= _ASK_AGAIN_S:
        del self._asked_at[key]
    for life, until in list(self._dropped_until.items()):
      if until <= now:
        del self._dropped_until[life]
    for known in self._known.values():
      for life, found in list(known.items()):
        if now - found.heard_at > exits.MAX_AGE_S:
          del known[life]

  def _handle_question(self, raw: bytes, sender: str) -> None:
    question, kind = json.loads(raw)
    names.check(kind)
    now = self._clock.monotonic()
    referrals = [
        life
        for life, known in self._known.get(kind, {}).items()
        if now - known.heard_at <= exits.MAX_AGE_S
    ]
    answer = Answer(
        int(question),
        kind,
        self._members.me.life,
        self._reaches(kind),
        self._busy(),
        referrals[:_MAX_NAMED_EXITS],
    )
    content = json.dumps(answer, separators=(",", ":")).encode()
    self._datagrams.enqueue_to(datagrams_lib.Kind.EXIT_ANSWER, content, sender)

  def _handle_answer(self, raw: bytes) -> None:
    answer = _decode(json.loads(raw))
    unanswered = self._unanswered.get(answer.kind, set())
    unanswered.discard(answer.life)
    self._apply(answer)
    if answer.reaches or not unanswered:
      event = self._answered.pop(answer.kind, None)
      if event is not None:
        event.set()

  def _apply(self, answer: Answer) -> None:
    known = self._known.setdefault(answer.kind, {})
    if not answer.reaches:
      known.pop(answer.life, None)
      referred = self._referred.setdefault(answer.kind, {})
      for life in answer.referrals[:_MAX_NAMED_EXITS]:
        if life not in known and len(referred) < _ASKED_ROUTERS:
          referred[life] = None
      return
    if answer.life not in self._members.lives:
      return  # it is not listed yet, or not any more
    known[answer.life] = _Known(answer.busy, self._clock.monotonic())
    self._vain_until.pop(answer.kind, None)


def _decode(fields: Any) -> Answer:
  """Decodes an answer; raises TypeError or ValueError if it is malformed."""
  answer = Answer(*fields)
  names.check(answer.kind, answer.life, *answer.referrals)
  return answer._replace(
      reaches=answer.reaches is True, busy=max(0, int(answer.busy))
  )
