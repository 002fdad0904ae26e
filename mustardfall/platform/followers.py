"""Loops that keep the gateway up to date with the platform's documents."""

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

_CATCH_UP_S = 0.3
"""How long a router with an outdated copy waits before it reads the store.
Another router may have the change, or a reader may send it with its next
notice."""
_BACKOFF_FACTOR = 2.0
"""Growth of the pause with each consecutive failure."""
_JITTER = 0.3
"""Fraction of a pause that is random."""


class _Backoff(NamedTuple):
  """Bounds of the pause after a failed read."""

  initial_s: float
  max_s: float


_ANNOUNCER_BACKOFF = _Backoff(0.3, 1.0)
"""For readers and announcers: they must detect soon that the store is reachable
again."""
_DEFAULT_BACKOFF = _Backoff(1.2, 4.0)
"""For all other routers."""

DocumentHandler = Callable[[deltas.Document], Awaitable[None]]
"""Applies a document, which may be the same as in the previous call."""


class Follower:
  """Keeps one document current, from other routers' notices or by reading it.

  Args:
    source: reads the document from the store.
    apply: called with the document when it changed or was found to be current.
    gateway: provides the copies, the notices and the relay.
    clock: the time source.
    on_unreachable: called after each failed read while the copy is older than
      the source's `max_silence_s`.
    is_reachable: returns whether the store counts as reachable.
  """

  def __init__(
      self,
      source: sources.Source,
      apply: DocumentHandler,
      gateway: gateway_lib.Gateway,
      clock: clock_lib.Clock,
      on_unreachable: Callable[[], None] = lambda: None,
      is_reachable: Callable[[], bool] = lambda: True,
  ) -> None:
    self._source = source
    self._name = source.name
    self._apply = apply
    self._copies = gateway.copies
    self._notices = gateway.notices
    self._relay = gateway.relay
    self._clock = clock
    self._on_unreachable = on_unreachable
    self._is_reachable = is_reachable
    self._applied: copies_lib.Copy | None = None
    self._failures = 0
    self._behind_since: float | None = None

  async def run(self) -> None:
    """Keeps the document current until cancelled."""
    while True:
      if self._must_catch_up and await self._catch_up():
        continue
      if not self._must_read():
        await self._wait_for_notice()
      elif await self.read():
        await anyio.sleep(self._source.min_interval_s)
      else:
        await self._back_off()

  def _max_silence_s(self) -> float:
    """Returns the time without a notice after which this router reads."""
    return self._notices.read_delay_s(self._source.max_silence_s)

  def _must_read(self) -> bool:
    """Whether this router has to read the document from the store."""
    if self._copies.find(self._name) is None:
      return True
    if self._notices.since_notice_s(self._name) >= self._max_silence_s():
      return True
    behind_since = self._behind_since
    if behind_since is None:
      return False
    return self._clock.monotonic() - behind_since >= _CATCH_UP_S

  @property
  def _must_catch_up(self) -> bool:
    """Whether a notice named a newer version without its change.

    False on the readers, which read it from the store.
    """
    return self._behind_since is not None and not self._notices.is_reader

  async def _catch_up(self) -> bool:
    """Fetches the change from another router; returns whether one had it."""
    for member in self._notices.relay_sources():
      want = self._notices.announced_digest(self._name)
      fetched = await self._relay.fetch_from(member, self._name, want)
      if fetched is not None:
        await self._save_fetched(fetched)
      if self._notices.is_up_to_date(self._name):
        self._behind_since = None
        return True
    return False

  async def _wait_for_notice(self) -> None:
    """Waits until a notice arrives or a read is due."""
    left_s = self._max_silence_s() - self._notices.since_notice_s(self._name)
    if self._behind_since is not None:
      left_s = min(left_s, _CATCH_UP_S)
    await self._notices.wait(left_s)
    await self._apply_copy()

  async def _apply_copy(self) -> None:
    """Applies the copy if it changed or was confirmed to be current."""
    if self._notices.is_up_to_date(self._name):
      self._behind_since = None
    elif self._behind_since is None:
      self._behind_since = self._clock.monotonic()
    copy = self._copies.find(self._name)
    if copy is not None and copy != self._applied:
      self._applied = copy
      with anyio.CancelScope(shield=True):
        await self._apply(copy.document)

  async def read(self) -> bool:
    """Reads the document once; returns whether the read succeeded.

    While the store counts as unreachable only readers and announcers call it.
    The others learn that it is back from the renewal of their lease.
    """
    document = None
    if self._reads_early or self._is_reachable():
      try:
        async with anyio.create_task_group() as tasks:
          tasks.start_soon(self._apply_notices)
          document, as_of = await self._source.read()
          tasks.cancel_scope.cancel()
      except* (errors.KvUnavailableError, errors.KvUnknownError) as group:
        logger.debug("document %s not read: %s", self._name, group.exceptions)
    if document is None:
      await self._fetch_from_peers()
      if self._copies.age_s(self._name) > self._source.max_silence_s:
        self._on_unreachable()
      return False
    self._failures = 0
    self._behind_since = None
    await self._save_and_announce(document, as_of)
    return True

  async def _apply_notices(self) -> None:
    """Applies copies that change during a read, until cancelled.

    Over a slow link the store's response may take seconds, and notices of
    other routers bring the document earlier.
    """
    while True:
      await self._notices.wait(_CATCH_UP_S)
      await self._apply_copy()

  async def _save_and_announce(
      self, document: deltas.Document, as_of: float
  ) -> None:
    """Saves a document that was read from the store and announces it."""
    previous = self._copies.find(self._name)
    if previous is not None and self._source.precedes(
        document, previous.document
    ):
      return  # a notice brought a later version during the read
    copy = self._copies.put(self._name, document, as_of)
    await self._apply_copy()
    if not self._notices.is_announcer:
      return
    if previous is not None and previous.digest != copy.digest:
      change = deltas.diff(previous.document, document)
      await self._notices.announce_change(self._name, change)
    elif self._name == documents.SERVERS_PREFIX:
      # A notice carries the digests of all documents. The server list is read
      # most often, so notices go out after its reads.
      await self._notices.announce()

  async def _fetch_from_peers(self) -> None:
    """Fetches the document from another router if that has a newer copy."""
    fetched = await self._relay.fetch(self._name)
    if fetched is not None:
      await self._save_fetched(fetched)

  async def _save_fetched(self, fetched: relay_lib.Fetched) -> None:
    """Saves a document of another router if it is newer than the own copy."""
    copy = self._copies.find(self._name)
    if copy is not None and copy.as_of >= fetched.as_of:
      return
    self._copies.put(self._name, fetched.document, fetched.as_of)
    await self._apply_copy()

  @property
  def _reads_early(self) -> bool:
    """Whether this router has to detect soon that the store is back."""
    return self._notices.is_announcer or self._notices.is_reader

  async def _back_off(self) -> None:
    """Waits before the next read, or until a notice makes it unnecessary."""
    backoff = _ANNOUNCER_BACKOFF if self._reads_early else _DEFAULT_BACKOFF
    initial_s, max_s = backoff
    pause_s = min(max_s, initial_s * _BACKOFF_FACTOR**self._failures)
    pause_s *= 1 + _JITTER * (random.random() - 0.5)
    self._failures += 1
    resume_at = self._clock.monotonic() + pause_s
    while (left_s := resume_at - self._clock.monotonic()) > 0:
      await self._notices.wait(left_s)
      await self._apply_copy()
      if not self._notices.is_reader and not self._must_read():
        return


class _DecodedMembers(NamedTuple):
  """A list of routers that was decoded.

  Notices confirm the list several times a second, and decoding it takes time
  that grows with the fleet.
  """

  digest: str
  members: list[members_lib.Member]


class Followers:
  """Follows the configuration, the server list and the other routers.

  Args:
    gateway: the application object that uses the documents.
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

    def _is_reachable() -> bool:
      return kv.reachable

    self.configuration = Follower(
        sources.Configuration(kv, clock),
        self._apply_configuration,
        gateway,
        clock,
        is_reachable=_is_reachable,
    )
    self.servers = Follower(
        sources.Servers(kv, clock),
        self._apply_servers,
        gateway,
        clock,
        is_reachable=_is_reachable,
    )
    self.members = Follower(
        sources.Members(kv, clock),
        self._apply_members,
        gateway,
        clock,
        self._mark_unreachable,
        _is_reachable,
    )
    self._decoded_digest = ""
    """Digest of the configuration that was last decoded, valid or not."""
    self._decoder = documents.ConfigurationDecoder()
    self._decoded_members: _DecodedMembers | None = None

  def loops(self) -> list[Callable[[], Awaitable[None]]]:
    """Returns the loops to be supervised."""
    return [self.configuration.run, self.servers.run, self.members.run]

  async def _apply_configuration(self, document: deltas.Document) -> None:
    copy = self._gateway.copies.find(documents.CONFIGURATION_KEY)
    if not document or copy is None:
      return
    evacuated = documents.decode_evacuations(document)
    if evacuated is not None:
      self._gateway.directory.apply_evacuations(evacuated)
    self._gateway.directory.confirm_configuration(copy.as_of)
    if copy.digest == self._decoded_digest:
      return
    self._decoded_digest = copy.digest
    try:
      decoded = self._decoder.decode(document)
    except ValueError as exc:
      logger.error("configuration unreadable", extra={"error": repr(exc)})
      return
    self._gateway.apply_configuration(decoded)

  async def _apply_servers(self, document: deltas.Document) -> None:
    copy = self._gateway.copies.find(documents.SERVERS_PREFIX)
    as_of = copy.as_of if copy is not None else None
    await self._gateway.apply_endpoints(document["hosts"], as_of)

  async def _apply_members(self, document: deltas.Document) -> None:
    copy = self._gateway.copies.find(members_lib.PREFIX)
    digest = copy.digest if copy is not None else ""
    decoded = self._decoded_members
    if decoded is None or not digest or decoded.digest != digest:
      members = [members_lib.from_row(row) for row in document["members"]]
      decoded = self._decoded_members = _DecodedMembers(digest, members)
    self._members.update(
        decoded.members, copy.as_of if copy is not None else None
    )
    self._members.set_list_current(True)

  def _mark_unreachable(self) -> None:
    self._members.set_list_current(False)
