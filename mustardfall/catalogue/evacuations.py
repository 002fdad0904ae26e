"""Evacuated data centres: written by operators, followed by routers.

Each evacuated data centre has a key in the KV. Routers send no new requests to
its endpoints while the key exists; requests in flight continue, and hosts there
go on serving callers. Evacuations have keys of their own, apart from the
catalogue, so that applying a catalogue file does not end one.
"""

from collections.abc import Callable
import logging

import anyio

from mustardfall import errors
from mustardfall.kv import client as kv_client
from mustardfall.kv import protocol

logger = logging.getLogger(__name__)

PREFIX = "evacuation/"
_RETRY_S = 0.5
"""Pause before a failed watch is opened again."""


async def evacuate(kv: kv_client.Client, datacentre: str) -> None:
  """Evacuates a data centre; has no effect if it is evacuated already.

  Raises:
    errors.KvUnavailableError: not written.
    errors.KvUnknownError: possibly written; repeating it is safe.
  """
  await kv.put(PREFIX + datacentre, b"{}")


async def take_back(kv: kv_client.Client, datacentre: str) -> bool:
  """Ends an evacuation; returns False if the data centre was not evacuated.

  Raises:
    errors.KvUnavailableError: not written.
    errors.KvUnknownError: possibly written; repeating it is safe.
  """
  key = PREFIX + datacentre
  record = await kv.get(key)
  if record is None:
    return False
  await kv.txn([], [protocol.Delete(key)])
  return True


async def read(kv: kv_client.Client) -> frozenset[str]:
  """Returns the evacuated data centres.

  Raises:
    errors.KvUnavailableError, errors.KvUnknownError: not read.
  """
  _, records = await kv.get_prefix(PREFIX)
  return frozenset(record.key.removeprefix(PREFIX) for record in records)


class Follower:
  """Keeps the set of evacuated data centres current by watching the KV.

  Args:
    kv: the KV client.
    apply: called with the set whenever it is read or changes.
    idle_s: a watch without any message for this long is opened again.
  """

  def __init__(
      self,
      kv: kv_client.Client,
      apply: Callable[[frozenset[str]], None],
      idle_s: float,
  ) -> None:
    self._kv = kv
    self._apply = apply
    self._idle_s = idle_s

  async def follow(self) -> None:
    """Reads the evacuations and watches them; starts over if that fails.

    While the KV is unreachable, the last known set stays in force.
    """
    while True:
      try:
        await self._watch()
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.debug("watching the evacuations failed: %s", exc)
      await anyio.sleep(_RETRY_S)

  async def _watch(self) -> None:
    revision, records = await self._kv.get_prefix(PREFIX)
    evacuated = {record.key.removeprefix(PREFIX) for record in records}
    self._apply(frozenset(evacuated))
    changes = self._kv.watch(PREFIX, revision + 1, self._idle_s)
    async for event in changes:
      name = event.record.key.removeprefix(PREFIX)
      if event.deleted:
        evacuated.discard(name)
      else:
        evacuated.add(name)
      self._apply(frozenset(evacuated))
