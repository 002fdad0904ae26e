"""The entry-host application object: it owns the tables and runs them.

`Router` is built from the settings object and wires the KV client, the
catalogue follower, the allotment table and the endpoint table. Its
`tick` runs the systems over the tables; the HTTP front (`api`) calls
only `Router` methods.
"""

import collections
import logging
import secrets

import anyio
import httpx

from mustardfall import errors
from mustardfall import metrics
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ledger
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client
from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)


class Router:
  """One router: admits, bills and routes requests.

  Args:
    config: the router's settings, whole.
    clock: the time source.
  """

  def __init__(
      self, config: settings.Router, clock: clock_lib.Clock | None = None
  ) -> None:
    self.config = config
    self.clock = clock or clock_lib.SystemClock()
    self.kv = kv_client.Client(config.kv_url, config.name, config.kv_timeout_s)
    self.http = httpx.AsyncClient(timeout=httpx.Timeout(60.0, connect=1.0))
    self.allotments = allotment.Table(config.name, config.allotment)
    self.endpoints = endpoints.Table()
    self.catalogue = store.Follower(self.kv, self._on_catalogue)
    self.instruments = metrics.Instruments(config.name)
    self.counts: collections.Counter[str] = collections.Counter()
    self.epoch = secrets.randbits(32)
    """Distinguishes this life's grant ids from an earlier life's."""
    self._unsettled: list[allotment.Row] = []
    self._grant_locks: dict[str, anyio.Lock] = {}
    self._last_tick = self.clock.monotonic()
    self.stopping = False

  def _on_catalogue(self, catalogue: model.Catalogue) -> None:
    self.counts["catalogue_changes"] += 1

  async def reserve(
      self, budget: str, tokens: int
  ) -> allotment.Reservation | None:
    """Sets `tokens` aside for a request, taking a grant when needed.

    Returns:
      The reservation, or None when the budget (or the KV, for a new
      grant) cannot give that many now: the request must not run.
    """
    found = self.allotments.reserve(budget, tokens)
    if found is not None:
      return found
    lock = self._grant_locks.setdefault(budget, anyio.Lock())
    async with lock:
      found = self.allotments.reserve(budget, tokens)
      if found is not None:
        return found
      gid = self.allotments.new_gid(self.epoch)
      want = self.allotments.want(budget, tokens)
      try:
        granted = await ledger.grant(
            self.kv,
            budget,
            gid,
            tokens,
            want,
            self.config.allotment.headroom_share,
        )
      except (errors.KvUnavailableError, errors.KvUnknownError):
        # The grant may have landed; if so its tokens stay counted in
        # the ledger and are stranded, never overspent.
        self.counts["grant_failures"] += 1
        return None
      self.counts["grants"] += 1
      if granted == 0:
        return None
      self.allotments.add(budget, gid, granted, self.clock.monotonic())
      return self.allotments.reserve(budget, tokens)

  def settle(self, reservation: allotment.Reservation, used: int) -> int:
    """Bills `used` tokens of `reservation`; returns tokens billed."""
    billed = self.allotments.settle(reservation, used)
    self.counts["billed_tokens"] += billed
    return billed

  async def _settle_rows(self) -> None:
    rows, self._unsettled = self._unsettled, []
    for row in rows:
      try:
        await ledger.settle(self.kv, row.budget, row.gid, row.committed)
        self.counts["settlements"] += 1
      except (errors.KvUnavailableError, errors.KvUnknownError):
        self._unsettled.append(row)

  async def tick(self) -> None:
    """Runs the systems once: host list, allotments, settlements."""
    now = self.clock.monotonic()
    elapsed = now - self._last_tick
    self._last_tick = now
    try:
      self.endpoints.update(
          await endpoints.fetch(self.http, self.config.hosts_url)
      )
    except (httpx.HTTPError, KeyError, ValueError):
      self.counts["hosts_failures"] += 1
    self._unsettled.extend(self.allotments.tick(now, elapsed))
    await self._settle_rows()

  async def run(self) -> None:
    """Follows the catalogue and ticks until cancelled."""
    async with anyio.create_task_group() as tg:
      tg.start_soon(self.catalogue.run)
      while True:
        await self.tick()
        await anyio.sleep(self.config.tick_s)

  async def stop(self) -> None:
    """Returns every allotment to the KV; called after the drain."""
    self.allotments.retire_all()
    self._unsettled.extend(self.allotments.tick(self.clock.monotonic(), 1.0))
    for _ in range(3):
      await self._settle_rows()
      if not self._unsettled:
        break
    logger.info(
        "stopped",
        extra={"unsettled": len(self._unsettled), **dict(self.counts)},
    )
    await self.http.aclose()
    await self.kv.close()
