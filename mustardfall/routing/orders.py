"""Orders to engines: which models they shall have loaded.

The catalogue's `placements` say what each engine shall serve. One router
owns each engine, as with budgets, and brings it there step by step: it
asks what is loaded (`GET /v1/models`) and orders what is missing or too
much. Each order carries the catalogue's revision as its fencing token.

Engines that honour the token refuse an order from an older catalogue,
say of a router that was paused while another took over. For those that
ignore it, two things bound the harm: the revision is read again from the
KV right before an order, and the owner keeps comparing, so a stale order
that slips through is undone within two rounds.
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
  """Keeps the engines that this router owns at their placements.

  Args:
    config: the router's settings, whole.
    http: an HTTP client.
    kv: the KV client.
    members: who is up and owns what.
    catalogue: what is in force.
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
    """Compares and orders each `orders_s`, until cancelled."""
    while True:
      await anyio.sleep(self._config.orders_s)
      current = self._catalogue.current
      for name, wanted in list(current.placements.items()):
        row = self._table.rows.get(name)
        if row is None or row.state != "live":
          continue
        if self._members.owner(name).life == self._members.me.life:
          await self._bring(row, wanted, current.revision)

  async def _bring(
      self, row: endpoints.Row, wanted: frozenset[str], revision: int
  ) -> None:
    """Orders what an engine lacks or has too much of."""
    try:
      reply = await self._http.get(row.url + "/v1/models", timeout=_TIMEOUT_S)
      loaded = {m["id"] for m in reply.json()["data"]}
      for model in sorted(wanted - loaded):
        await self._order(row, "load", model, revision)
      for model in sorted(loaded - wanted):
        await self._order(row, "unload", model, revision)
    except (httpx.HTTPError, ValueError, KeyError, errors.Error):
      self.counts["order_failures"] += 1  # compared again next time

  async def _order(
      self, row: endpoints.Row, order: str, model: str, revision: int
  ) -> None:
    if await store.read_revision(self._kv) != revision:
      # This router is behind: the owner by the newer catalogue, maybe
      # itself, orders from that.
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
        "ordered",
        extra={"endpoint": row.name, "order": order, "model": model},
    )
