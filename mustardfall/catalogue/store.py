"""Reading, applying and following the catalogue in the KV.

Apply is a compare-and-swap on the key's revision, so when two
operators race, one wins and the other is told; nothing is overwritten
silently. Followers only ever move to a higher revision, so an accepted
change never reverts on a router, even when a stale read or a replayed
watch event arrives late.
"""

import json
import logging

import anyio

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.budget import ledger
from mustardfall.catalogue import model
from mustardfall.kv import client as kv_client
from mustardfall.kv import writer as writer_lib
from mustardfall.util import clock

logger = logging.getLogger(__name__)

_RETRY_S = 0.5
"""Pause before a broken watch is opened again."""


async def read(kv: kv_client.Client) -> tuple[int, model.CatalogueSpec | None]:
  """Returns the catalogue's revision and contents (0, None if absent)."""
  record = await kv.get(model.KEY)
  if record is None:
    return 0, None
  return record.mod_revision, model.parse(json.loads(record.value))


async def apply(kv: kv_client.Client, spec: model.CatalogueSpec) -> int:
  """Writes `spec` if the catalogue is still at `spec.base`.

  New entries get their budget created with `tokens`; existing budgets
  are left alone (top-ups go through `budget.ledger.top_up`).

  Returns:
    The new revision.

  Raises:
    errors.CatalogueRaceLostError: the revision moved since `spec.base`, or
      since our read when no base was given.
  """
  current, _ = await read(kv)
  base = current if spec.base is None else spec.base
  if base != current:
    raise errors.CatalogueRaceLostError(
        f"catalogue is at {current}, not {base}"
    )
  body = spec.model_dump(mode="json", by_alias=True, exclude={"base"})
  value = json.dumps(body, sort_keys=True).encode()
  try:
    result = await kv.txn(
        [kv_client.Compare(model.KEY, "MOD", current)],
        [kv_client.put_op(model.KEY, value)],
    )
  except errors.KvUnknownError:
    # Lost reply: the put may have landed. Ours landed iff the value now
    # is ours; an equal value of another operator is the same catalogue.
    record = await kv.get(model.KEY)
    if record is None or record.value != value:
      raise
    result = kv_client.TxnResult(True, record.mod_revision, [])
  if not result.succeeded:
    raise errors.CatalogueRaceLostError(f"catalogue moved past {current}")
  await _create_budgets(kv, spec)
  return result.revision


async def _create_budgets(
    kv: kv_client.Client, spec: model.CatalogueSpec
) -> None:
  """Creates the budgets that the KV does not hold yet, in batches."""
  writer = writer_lib.Writer(
      kv, settings.Writer(interval_s=0.0, linger_s=0.0), clock.SystemClock()
  )
  async with anyio.create_task_group() as tg:
    tg.start_soon(writer.run)
    async with anyio.create_task_group() as creating:
      for entry in spec.entries:
        change = ledger.Create(entry.tokens)
        creating.start_soon(writer.submit, ledger.key(entry.name), change)
    tg.cancel_scope.cancel()


class Follower:
  """Keeps the newest catalogue seen, by watching the KV.

  Args:
    kv: the KV client.
    bus: told of each newer catalogue.
    idle_s: a watch silent for this long is opened again.
  """

  def __init__(
      self, kv: kv_client.Client, bus: events.Bus, idle_s: float
  ) -> None:
    self._kv = kv
    self._bus = bus
    self._idle_s = idle_s
    self.current = model.EMPTY

  def offer(self, revision: int, spec: model.CatalogueSpec) -> bool:
    """Takes `spec` if newer than what is in force; returns whether."""
    if revision <= self.current.revision:
      return False
    self.current = model.build(revision, spec)
    logger.info("catalogue in force", extra={"revision": revision})
    self._bus.emit(events.Name.CATALOGUE_CHANGED, self.current)
    return True

  async def follow(self) -> None:
    """Reads, then watches; on any break re-reads and watches again."""
    while True:
      try:
        revision, spec = await read(self._kv)
        if spec is not None:
          self.offer(revision, spec)
        async for event in self._kv.watch(
            model.KEY, revision + 1, self._idle_s
        ):
          record = event.record
          if not event.deleted:
            spec = model.parse(json.loads(record.value))
            self.offer(record.mod_revision, spec)
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.debug("catalogue watch broke: %s", exc)
      except errors.SettingsError as exc:
        # Written past our CLI and not readable: what is in force stays.
        logger.error("catalogue refused: %s", exc)
      await anyio.sleep(_RETRY_S)
