"""Keeps the limits that endpoints name in the KV, for routers that start.

The router that issues an endpoint's permits writes the limit under its own
lease. A router reads all of them once at its start, so that it also knows them
if all routers were restarted together.
"""

import json
import logging

import anyio

from mustardfall import errors
from mustardfall.kv import protocol
from mustardfall.membership import members as members_lib
from mustardfall.membership import permits as permits_lib
from mustardfall.routing import limited_endpoints
from mustardfall.routing import rate_limits as rate_limits_lib

logger = logging.getLogger(__name__)

PREFIX = "limits/"
_WRITE_INTERVAL_S = 1.0
_READ_RETRY_S = 0.5
_MAX_OPS = 24
"""Keys written in one transaction."""
_READ_AGE_S = 10.0
"""Age given to a limit that was read: an entry outlasts its writer by the term
of a lease."""


class LimitRecords:
  """Writes and reads the limits in the KV.

  Args:
    kv: the KV client.
    members: this router's registration and lease.
    permits: determines the endpoints whose permits this router issues.
    limits: the limited endpoints.
    rate_limits: the limits that endpoints have named; updated once.
  """

  def __init__(
      self,
      kv: protocol.Store,
      members: members_lib.Members,
      permits: permits_lib.Permits,
      limits: limited_endpoints.LimitedEndpoints,
      rate_limits: rate_limits_lib.Table,
  ) -> None:
    self._kv = kv
    self._members = members
    self._permits = permits
    self._limits = limits
    self._rate_limits = rate_limits
    self._written: dict[str, float] = {}
    """Rates that are stored under `_lease`, by endpoint."""
    self._lease = 0

  async def run(self) -> None:
    """Reads the limits once, then keeps those of this router written."""
    while not await self._read():
      await anyio.sleep(_READ_RETRY_S)
    while True:
      await anyio.sleep(_WRITE_INTERVAL_S)
      await self._write()

  async def _read(self) -> bool:
    """Applies the stored limits; returns whether the KV answered."""
    try:
      _, records = await self._kv.get_prefix(PREFIX)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info("limits not read", extra={"error": str(exc)})
      return False
    for record in records:
      try:
        endpoint, per_s = json.loads(record.value)
        self._rate_limits.apply([endpoint, per_s, _READ_AGE_S])
      except (TypeError, ValueError, RecursionError) as exc:
        extra = {"entry": record.key, "error": repr(exc)}
        logger.error("limit unreadable", extra=extra)
    return True

  async def _write(self) -> None:
    """Writes the changes since the last time, as far as one call holds."""
    lease = self._members.lease
    if lease != self._lease:
      self._lease = lease
      self._written.clear()
    if not lease:
      return
    wanted = self._wanted()
    self._forget_moved(wanted)
    ops = self._changes(wanted)[:_MAX_OPS]
    if not ops:
      return
    try:
      await self._kv.txn([], ops)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info("limits not written", extra={"error": str(exc)})
      return
    for op in ops:
      endpoint = op.key.removeprefix(PREFIX)
      self._written.pop(endpoint, None)
      if isinstance(op, protocol.Put):
        self._written[endpoint] = wanted[endpoint]

  def _wanted(self) -> dict[str, float]:
    """Returns the named rates of the endpoints whose issuer this router is."""
    named = {}
    for limit in self._limits.all():
      found = self._rate_limits.find(limit.endpoint)
      if found is not None and self._permits.is_issuer_of(limit):
        named[limit.endpoint] = found.per_s
    return named

  def _forget_moved(self, wanted: dict[str, float]) -> None:
    """Leaves the entries of limits that another router now issues to it."""
    for endpoint in self._written.keys() - wanted.keys():
      if self._rate_limits.find(endpoint) is not None:
        del self._written[endpoint]

  def _changes(self, wanted: dict[str, float]) -> list[protocol.Op]:
    puts = [
        protocol.Put(
            PREFIX + endpoint,
            json.dumps([endpoint, per_s]).encode(),
            self._lease,
        )
        for endpoint, per_s in wanted.items()
        if self._written.get(endpoint) != per_s
    ]
    return puts + [
        protocol.Delete(PREFIX + endpoint)
        for endpoint in self._written
        if endpoint not in wanted
    ]
