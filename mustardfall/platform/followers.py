"""Loops that bring the platform's documents into the gateway."""

import logging

import anyio

from mustardfall import errors
from mustardfall import gateway as gateway_lib
from mustardfall.kv import protocol
from mustardfall.platform import documents

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
      await anyio.sleep(_PAUSE_S)

  def _take(self, record: protocol.Record) -> None:
    if record.key != documents.CONFIGURATION_KEY or not record.value:
      return
    try:
      new = documents.decode_configuration(record.value)
    except (KeyError, TypeError, ValueError) as exc:
      logger.error(
          "configuration unreadable",
          extra={"revision": record.mod_revision, "error": repr(exc)},
      )
      return
    self._gateway.take_configuration(new)

  async def follow_servers(self) -> None:
    """Keeps the endpoints current until cancelled."""
    while True:
      pause_s = _LIST_S
      try:
        _, records = await self._kv.get_prefix(documents.SERVERS_PREFIX)
        hosts = [documents.decode_endpoint(record) for record in records]
        self._gateway.directory.take_endpoints(hosts)
      except _STORE_ERRORS as exc:
        logger.debug("server list not read: %s", exc)
        pause_s = _PAUSE_S
      except (KeyError, TypeError, ValueError) as exc:
        logger.error("server list unreadable", extra={"error": repr(exc)})
      await anyio.sleep(pause_s)
