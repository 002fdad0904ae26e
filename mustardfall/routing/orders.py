"""Orders that make engines load and unload models.

The catalogue's `placements` say which models each engine should have loaded.
Each engine is owned by one router, as budgets are. The owner reconciles the
engine with its placement: it reads which models are loaded (`GET /v1/models`)
and orders the engine to load or unload the difference. Each order carries the
catalogue's revision as its fencing token.

Engines that check the token refuse an order of an older catalogue, for example
from a router that was paused while another one became the owner. For engines
that ignore it, two measures limit the harm: the revision is read from the KV
again right before each order, and the owner keeps reconciling, so that the
effect of a stale order is undone within two rounds.
"""

import collections
import logging

import anyio
import httpx

from mustardfall import errors
from mustardfall import settings
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client
from mustardfall.membership import members as members_lib
from mustardfall.routing import endpoints

logger = logging.getLogger(__name__)

FENCING_HEADER = "fencing-token"
_TIMEOUT_S = 5.0


class Orders:
  """Reconciles the engines that this router owns with their placements.

  Args:
    config: the router's complete settings.
    http: an HTTP client.
    kv: the KV client.
    members: determines which router owns an engine.
    catalogue: the catalogue in force.
    table: the endpoints.
  """

  def __init__(
      self,
      config: settings.Router,
      http: httpx.AsyncClient,
      kv: kv_client.Client,
      members: members_lib.Members,
      catalogue: store.Follower,
      table: endpoints.Table,
  ) -> None:
    self._config = config
    self._http = http
    self._kv = kv
    self._members = members
    self._catalogue = catalogue
    self._table = table
    self.counts: collections.Counter[str] = collections.Counter()

  async def run(self) -> None:
    """Reconciles every `orders_s` seconds, until cancelled."""
    while True:
      await anyio.sleep(self._config.orders_s)
      current = self._catalogue.current
      for name, wanted in list(current.placements.items()):
        row = self._table.rows.get(name)
        if row is None or row.state != "live":
          continue
        if self._members.owner(name).life == self._members.me.life:
          await self._reconcile(row, wanted, current.revision)

  async def _reconcile(
      self, row: endpoints.Row, wanted: frozenset[str], revision: int
  ) -> None:
    """Orders an engine to load missing models and unload superfluous ones."""
    try:
      reply = await self._http.get(row.url + "/v1/models", timeout=_TIMEOUT_S)
      loaded = {m["id"] for m in reply.json()["data"]}
      for model in sorted(wanted - loaded):
        await self._send_order(row, "load", model, revision)
      for model in sorted(loaded - wanted):
        await self._send_order(row, "unload", model, revision)
    except (httpx.HTTPError, ValueError, KeyError, errors.Error):
      self.counts["order_failures"] += 1  # retried in the next round

  async def _send_order(
      self, row: endpoints.Row, order: str, model: str, revision: int
  ) -> None:
    if await store.read_revision(self._kv) != revision:
      # This router's catalogue is out of date. Once the newer one is in force,
      # the engine's owner, possibly this router, reconciles with that.
      self.counts["orders_withheld"] += 1
      return
    reply = await self._http.post(
        row.url + "/orders",
        json={"order": order, "model": model},
        headers={FENCING_HEADER: str(revision)},
        timeout=_TIMEOUT_S,
    )
    if reply.status_code == httpx.codes.CONFLICT:
      self.counts["orders_refused"] += 1
      return
    reply.raise_for_status()
    self.counts["orders"] += 1
    logger.info(
        "order sent to engine",
        extra={"endpoint": row.name, "order": order, "model": model},
    )
