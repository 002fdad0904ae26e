"""Spreads facts that one router has learned to all others.

A new fact is sent to all routers at once, twice. Each router also sends facts
that it knows to two others each second, since datagrams may be lost. A router
that has just started asks the others for all that they know, two at a time, until
it is told something: those that it asks first may have started with it.
"""

from collections.abc import Iterable
import logging
import random
from typing import Any, Protocol

import anyio

from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import deltas
from mustardfall.membership import members as members_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_INTERVAL_S = 1.0
"""Interval between two rounds of gossip."""
_START_POLL_S = 0.1
"""Interval at which a router looks for others after its start."""
_QUESTION_INTERVAL_S = 0.1
"""Interval between two rounds in which a router asks others after its start."""
_MAX_QUESTION_ROUNDS = 10
_FANOUT_ROUTERS = 2
"""Receivers in a round, and so the mean number of senders to each router."""
_RESEND_DELAY_S = 0.05
"""New facts are sent twice, as one datagram in some hundreds is lost."""
_MIN_REPEAT_S = 0.5
"""Minimum time between two publications of facts with the same key."""
_MAX_UNPACKED_BYTES = 16_384
"""Limit of a datagram's size after decompression."""
_MAX_ANSWER_DATAGRAMS = 20
"""Most datagrams sent to a router that asks."""


class Table(Protocol):
  """Facts by key; a later fact with the same key replaces the earlier one."""

  def keys(self) -> list[str]:
    """Returns the keys of all facts that others have to know."""

  def fact(self, key: str) -> list[Any]:
    """Returns the current fact with a key, as a JSON array."""

  def apply(self, fact: list[Any]) -> None:
    """Applies a fact of another router.

    Raises:
      TypeError, ValueError: the fact is malformed.
    """


class Gossip:
  """Sends and receives the facts of one table.

  Args:
    kind: the kind of the datagrams that carry the facts.
    table: this router's facts; updated by those of others.
    members: the routers that are up.
    datagrams: carries the facts.
    clock: the time source.
    max_facts: the most facts that fit into one datagram.
    rng: draws receivers; None: a source of its own.
  """

  def __init__(
      self,
      kind: datagrams_lib.Kind,
      table: Table,
      members: members_lib.Members,
      datagrams: datagrams_lib.Datagrams,
      clock: clock_lib.Clock,
      max_facts: int,
      rng: random.Random | None = None,
  ) -> None:
    self._kind = kind
    self._table = table
    self._members = members
    self._datagrams = datagrams
    self._clock = clock
    self._max_facts = max_facts
    self._random = rng or random.Random()
    self._unsent: dict[str, None] = {}
    """Keys of facts to be published, in order."""
    self._unsent_added = anyio.Event()
    self._published_at: dict[str, float] = {}
    """When facts were last published, for `_MIN_REPEAT_S`."""
    self._was_told = False
    """Whether another router has sent facts."""
    datagrams.connect_with_sender(kind, self._handle)

  def publish(self, key: str) -> None:
    """Sends the fact with a key to all other routers, soon."""
    self._unsent[key] = None
    self._unsent_added.set()

  def send_to(self, key: str, receivers: Iterable[members_lib.Member]) -> None:
    """Sends the fact with a key to some routers."""
    content = deltas.pack([self._table.fact(key)])
    for member in receivers:
      self._datagrams.enqueue(self._kind, content, member)

  def send_fact(self, fact: list[Any], receiver: members_lib.Member) -> None:
    """Sends a fact that concerns only one router."""
    self._datagrams.enqueue(self._kind, deltas.pack([fact]), receiver)

  async def run(self) -> None:
    """Publishes new facts and gossips until cancelled."""
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._publish_new)
      tasks.start_soon(self._gossip)
      tasks.start_soon(self._ask)

  async def _publish_new(self) -> None:
    await self._wait_for_others()
    while True:
      await self._unsent_added.wait()
      self._unsent_added = anyio.Event()
      keys = self._take_due()
      for _ in range(2):
        await self._send(keys, self._members.others)
        await anyio.sleep(_RESEND_DELAY_S)
      if self._unsent:
        self._unsent_added.set()

  def _take_due(self) -> list[str]:
    """Returns the keys to be published now; the others stay unsent."""
    now = self._clock.monotonic()
    for key, at in list(self._published_at.items()):
      if now - at >= _MIN_REPEAT_S:
        del self._published_at[key]
    due = [key for key in self._unsent if key not in self._published_at]
    for key in due:
      del self._unsent[key]
      self._published_at[key] = now
    return due

  async def _wait_for_others(self) -> None:
    """Waits until the list of routers has been read after the start."""
    while not self._members.others:
      await anyio.sleep(_START_POLL_S)

  async def _ask(self) -> None:
    """Asks others for their facts, a few at a time, until one knows some."""
    await self._wait_for_others()
    others = self._members.others
    order = self._random.sample(others, len(others))
    question = deltas.pack(None)
    for number in range(_MAX_QUESTION_ROUNDS):
      first = number * _FANOUT_ROUTERS % len(order)
      asked = order[first : first + _FANOUT_ROUTERS]
      await self._datagrams.send(self._kind, question, asked)
      await anyio.sleep(_QUESTION_INTERVAL_S)
      if self._was_told:
        return

  async def _gossip(self) -> None:
    """Sends known facts to a few random routers in each round."""
    await self._wait_for_others()
    while True:
      await anyio.sleep(_INTERVAL_S)
      keys = self._table.keys()
      if keys:
        sample = self._random.sample(keys, min(self._max_facts, len(keys)))
        await self._send(sample, self._receivers())

  def _receivers(self) -> list[members_lib.Member]:
    others = self._members.others
    return self._random.sample(others, min(_FANOUT_ROUTERS, len(others)))

  async def _send(
      self, keys: list[str], receivers: Iterable[members_lib.Member]
  ) -> None:
    receivers = list(receivers)
    for content in self._encode(keys):
      await self._datagrams.send(self._kind, content, receivers)

  def _encode(self, keys: list[str]) -> list[bytes]:
    """Returns the contents of the datagrams that carry facts."""
    return [
        deltas.pack(
            [self._table.fact(key) for key in keys[at : at + self._max_facts]]
        )
        for at in range(0, len(keys), self._max_facts)
    ]

  def _handle(self, raw: bytes, sender: str) -> None:
    facts = deltas.unpack(raw, _MAX_UNPACKED_BYTES)
    if facts is None:
      contents = self._encode(self._table.keys())
      for content in contents[:_MAX_ANSWER_DATAGRAMS]:
        self._datagrams.enqueue_to(self._kind, content, sender)
      return
    self._was_told = self._was_told or bool(facts)
    for fact in facts:
      self._table.apply(fact)
