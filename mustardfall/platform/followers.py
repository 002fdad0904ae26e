"""Loops that bring the platform's documents into the gateway."""

import json
import logging

import anyio

from mustardfall import errors
from mustardfall import gateway as gateway_lib
from mustardfall.kv import protocol
from mustardfall.membership import relay as relay_lib
from mustardfall.platform import documents
from mustardfall.routing import endpoints

logger = logging.getLogger(__name__)

_WATCH_S = 2.0
"""How long one watch call waits. A silent connection is noticed just after
it, well inside the time in which a change must be in force."""
_LIST_S = 1.0
"""Between two reads of the server list. Leaving servers must get no work
2 s after they said so. A watch would return at once all the time: each
server writes its entry about every second."""
_PAUSE_S = 0.3
"""Before a call to the store is tried again after it failed."""
_OPERATOR_PREFIX = "op/"

_STORE_ERRORS = (errors.KvUnavailableError, errors.KvUnknownError)


class Followers:
  """Follows the configuration and the server list.

  Args:
    gateway: is told of them.
    kv: the platform's store.
  """

  def __init__(self, gateway: gateway_lib.Gateway, kv: protocol.Store) -> None:
    self._gateway = gateway
    self._kv = kv
    self._relay = gateway.relay
    self._configuration = ""
    """The configuration's text, as last read from the store."""
    self._servers = documents.ServerList()

  async def follow_configuration(self) -> None:
    """Keeps the configuration current until cancelled."""
    while True:
      try:
        revision, records = await self._kv.get_prefix(_OPERATOR_PREFIX)
        for record in records:
          self._take(record)
        async for event in self._kv.watch(
            _OPERATOR_PREFIX, revision + 1, _WATCH_S
        ):
          self._take(event.record)
      except _STORE_ERRORS as exc:
        logger.debug("configuration watch broke: %s", exc)
        text = await self._relay.fetch(documents.CONFIGURATION_KEY)
        if text is not None:
          self._put_in_force(text.encode(), "another router")
      await anyio.sleep(_PAUSE_S)

  def _take(self, record: protocol.Record) -> None:
    if record.key != documents.CONFIGURATION_KEY or not record.value:
      return
    if self._put_in_force(record.value, f"revision {record.mod_revision}"):
      self._configuration = record.value.decode()

  def _put_in_force(self, raw: bytes, source: str) -> bool:
    """Decodes a configuration; returns whether it could be."""
    try:
      new = documents.decode_configuration(raw)
    except ValueError as exc:
      logger.error(
          "configuration unreadable",
          extra={"source": source, "error": repr(exc)},
      )
      return False
    self._gateway.take_configuration(new)
    return True

  async def follow_servers(self) -> None:
    """Keeps the endpoints current until cancelled."""
    while True:
      await anyio.sleep(await self.read_servers())

  async def read_servers(self) -> float:
    """Reads the server list once; returns when to read it again, seconds."""
    try:
      _, records = await self._kv.get_prefix(documents.SERVERS_PREFIX)
    except _STORE_ERRORS as exc:
      logger.debug("server list not read: %s", exc)
      text = await self._relay.fetch(documents.SERVERS_PREFIX)
      if text is not None:
        await self._gateway.take_endpoints(json.loads(text))
      return _PAUSE_S
    hosts = self._servers.decode(records)
    await self._gateway.take_endpoints(hosts)
    self._share(hosts)
    return _LIST_S

  def _share(self, hosts: list[endpoints.Host]) -> None:
    """Lets the other routers know what was read.

    The configuration goes with each list: its watch says nothing while it
    stays as it is, and only what was read lately is passed on.
    """
    self._relay.note(documents.SERVERS_PREFIX, relay_lib.encode(hosts))
    if self._configuration:
      self._relay.note(documents.CONFIGURATION_KEY, self._configuration)
