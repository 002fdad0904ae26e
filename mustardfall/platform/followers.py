"""Loops that bring the platform's documents into the gateway."""

from collections.abc import Awaitable, Callable
import logging
import random
from typing import NamedTuple

import anyio

from mustardfall import errors
from mustardfall import gateway as gateway_lib
from mustardfall.membership import copies as copies_lib
from mustardfall.membership import deltas
from mustardfall.membership import members as members_lib
from mustardfall.membership import relay as relay_lib
from mustardfall.platform import documents
from mustardfall.platform import sources
from mustardfall.platform import store as store_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_BEHIND_S = 0.3
"""How long a router whose copy is not the one told of does not read it: others
may know the change, or another reader tells it with the next datagram."""
_RETRY_GROWTH = 2.0
"""Each read that fails puts off the next by so many times more."""
_SPREAD = 0.3
"""Part of a pause that is left to chance."""


class _Retry(NamedTuple):
  """Pauses after reads that failed, seconds."""

  first_s: float
  most_s: float


_TELLERS = _Retry(0.3, 1.0)
"""For those who tell the others what they read: they must find out soon when
the store is back."""
_TOLD = _Retry(1.2, 4.0)
"""For all others."""

Take = Callable[[deltas.Document], Awaitable[None]]
"""Takes a document in that may be the same as before."""


class Follower:
  """Keeps one document current: told of changes, or reading for itself.

  Args:
    source: where it is read.
    take: is given it, anew whenever it was found to be current.
    gateway: whose copies, notices and relay are used.
    clock: the time source.
    lose: called while nobody tells and it cannot be read.
  """

  def __init__(
      self,
      source: sources.Source,
      take: Take,
      gateway: gateway_lib.Gateway,
      clock: clock_lib.Clock,
      lose: Callable[[], None] = lambda: None,
  ) -> None:
    self._source = source
    self._name = source.name
    self._take = take
    self._copies = gateway.copies
    self._notices = gateway.notices
    self._relay = gateway.relay
    self._clock = clock
    self._lose = lose
    self._taken: copies_lib.Copy | None = None
    self._failures = 0
    self._behind_since: float | None = None

  async def run(self) -> None:
    """Keeps the document current until cancelled."""
    while True:
      if self._is_behind and await self._catch_up():
        continue
      if not self._is_due():
        await self._listen()
      elif await self.read():
        await anyio.sleep(self._source.pace_s)
      else:
        await self._pause()

  def _read_delay_s(self) -> float:
    return self._notices.read_delay_s(self._source.silence_s)

  def _is_due(self) -> bool:
    """Whether this router has to read for itself."""
    if self._copies.find(self._name) is None:
      return True
    if self._notices.since_notice_s(self._name) >= self._read_delay_s():
      return True
    behind_since = self._behind_since
    if behind_since is None:
      return False
    return self._clock.monotonic() - behind_since >= _BEHIND_S

  @property
  def _is_behind(self) -> bool:
    """Whether others told of a version without telling what has changed."""
    return self._behind_since is not None and not self._notices.is_reader

  async def _catch_up(self) -> bool:
    """Takes what has changed from another router; whether one had it."""
    for member in self._notices.relay_sources():
      want = self._notices.announced_digest(self._name)
      found = await self._relay.fetch_from(member, self._name, want)
      if found is not None:
        await self._keep_fetched(found)
      if self._notices.is_up_to_date(self._name):
        self._behind_since = None
        return True
    return False

  async def _listen(self) -> None:
    """Waits for a notice, or for the time to read."""
    left_s = self._read_delay_s() - self._notices.since_notice_s(self._name)
    if self._behind_since is not None:
      left_s = min(left_s, _BEHIND_S)
    await self._notices.wait(left_s)
    await self._take_current()

  async def _take_current(self) -> None:
    """Has the copy taken in where it changed or was found current again."""
    if self._notices.is_up_to_date(self._name):
      self._behind_since = None
    elif self._behind_since is None:
      self._behind_since = self._clock.monotonic()
    copy = self._copies.find(self._name)
    if copy is not None and copy != self._taken:
      self._taken = copy
      with anyio.CancelScope(shield=True):
        await self._take(copy.document)

  async def read(self) -> bool:
    """Reads the document once; returns whether the store gave it."""
    try:
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(self._take_told)
        document, as_of = await self._source.read()
        tasks.cancel_scope.cancel()
    except* (errors.KvUnavailableError, errors.KvUnknownError) as group:
      logger.debug("%s not read: %s", self._name, group.exceptions)
      document = None
    if document is None:
      await self._ask_others()
      if self._copies.age_s(self._name) > self._source.silence_s:
        self._lose()
      return False
    self._failures = 0
    self._behind_since = None
    await self._keep(document, as_of)
    return True

  async def _take_told(self) -> None:
    """Takes in what others tell while this router reads.

    An answer may take seconds over a slow link, and others know the document
    before it is here.
    """
    while True:
      await self._notices.wait(_BEHIND_S)
      await self._take_current()

  async def _keep(self, document: deltas.Document, as_of: float) -> None:
    """Keeps what was read, and tells the others."""
    before = self._copies.find(self._name)
    if before is not None and self._source.precedes(document, before.document):
      return  # others told of a later version while it was on its way
    copy = self._copies.put(self._name, document, as_of)
    await self._take_current()
    if not self._notices.is_announcer:
      return
    if before is not None and before.digest != copy.digest:
      change = deltas.diff(before.document, document)
      await self._notices.announce_change(self._name, change)
    elif self._name == documents.SERVERS_PREFIX:
      # The list is read most often; the others' digests go with it.
      await self._notices.announce()

  async def _ask_others(self) -> None:
    """Takes another router's copy where it is fresher than the own one."""
    found = await self._relay.fetch(self._name)
    if found is not None:
      await self._keep_fetched(found)

  async def _keep_fetched(self, found: relay_lib.Fetched) -> None:
    """Keeps what another router knows, where it is fresher."""
    copy = self._copies.find(self._name)
    if copy is not None and copy.as_of >= found.as_of:
      return
    self._copies.put(self._name, found.document, found.as_of)
    await self._take_current()

  async def _pause(self) -> None:
    """Waits before the next try, or until others tell what is current."""
    is_announcer = self._notices.is_announcer or self._notices.is_reader
    first_s, most_s = _TELLERS if is_announcer else _TOLD
    pause_s = min(most_s, first_s * _RETRY_GROWTH**self._failures)
    pause_s *= 1 + _SPREAD * (random.random() - 0.5)
    self._failures += 1
    ends = self._clock.monotonic() + pause_s
    while (left_s := ends - self._clock.monotonic()) > 0:
      await self._notices.wait(left_s)
      await self._take_current()
      if not self._notices.is_reader and not self._is_due():
        return


class Followers:
  """Follows the configuration, the server list and the other routers.

  Args:
    gateway: is told of them.
    kv: the platform's store.
    clock: the time source.
  """

  def __init__(
      self,
      gateway: gateway_lib.Gateway,
      kv: store_lib.Store,
      clock: clock_lib.Clock,
  ) -> None:
    self._gateway = gateway
    self._members = gateway.accounts.members
    self.configuration = Follower(
        sources.Configuration(kv, clock), self._configure, gateway, clock
    )
    self.servers = Follower(
        sources.Servers(kv, clock), self._list, gateway, clock
    )
    self.members = Follower(
        sources.Members(kv, clock),
        self._meet,
        gateway,
        clock,
        self._lose_members,
    )
    self._version = ""
    """Digest of the configuration that was decoded last."""
    self._decoder = documents.ConfigurationDecoder()

  def loops(self) -> list[Callable[[], Awaitable[None]]]:
    """Returns the loops to be supervised."""
    return [self.configuration.run, self.servers.run, self.members.run]

  async def _configure(self, document: deltas.Document) -> None:
    copy = self._gateway.copies.find(documents.CONFIGURATION_KEY)
    if not document or copy is None:
      return
    self._gateway.directory.confirm_configuration(copy.as_of)
    if copy.digest == self._version:
      return
    self._version = copy.digest
    try:
      new = self._decoder.decode(document)
    except ValueError as exc:
      logger.error("configuration unreadable", extra={"error": repr(exc)})
      return
    self._gateway.take_configuration(new)

  async def _list(self, document: deltas.Document) -> None:
    await self._gateway.take_endpoints(document["hosts"])

  async def _meet(self, document: deltas.Document) -> None:
    self._members.update([members_lib.from_row(r) for r in document["members"]])
    self._members.set_connected(True)

  def _lose_members(self) -> None:
    self._members.set_connected(False)
