"""The endpoints that bear only few requests, and why.

An endpoint may name a rate in its answers, or say that it is brittle; all of its
kind are then taken for brittle, also one that has just returned.
"""

from typing import NamedTuple

from mustardfall.routing import endpoints
from mustardfall.routing import rate_limits as rate_limits_lib


class LimitedEndpoint(NamedTuple):
  """An endpoint to which requests need permits."""

  endpoint: str
  """The endpoint's life (one run of its process)."""
  datacentre: str
  per_s: float
  """Requests per second that it bears from all routers together."""
  slots: int = 0
  """Requests in flight, of all routers together; 0: they are not bounded."""


class LimitedEndpoints:
  """Finds the rate that each endpoint bears.

  Args:
    table: all endpoints.
    rate_limits: the limits that endpoints have named.
    brittle: the kinds of endpoints that say that they are brittle.
  """

  def __init__(
      self,
      table: endpoints.Table,
      rate_limits: rate_limits_lib.Table,
      brittle: rate_limits_lib.Table,
  ) -> None:
    self._table = table
    self._rate_limits = rate_limits
    self._brittle = brittle

  def find(self, row: endpoints.Row) -> LimitedEndpoint | None:
    """Returns the rate that an endpoint bears; None if it is not limited."""
    named = self._rate_limits.find(row.life)
    slots = max(1, row.slots) if self._brittle.find(row.kind) else 0
    if named is None and not slots:
      return None
    per_s = rate_limits_lib.MAX_PER_S if named is None else named.per_s
    return LimitedEndpoint(row.life, row.datacentre, per_s, slots)

  def find_row(self, endpoint: str) -> endpoints.Row | None:
    """Returns the row of an endpoint's life; None if it is not listed."""
    return self._table.find_life(endpoint)

  def listed_at(self, endpoint: str) -> float:
    """Returns when an endpoint's life was listed, monotonic seconds."""
    row = self._table.find_life(endpoint)
    return row.listed_at if row is not None else -float("inf")

  def find_life(self, endpoint: str) -> LimitedEndpoint | None:
    """Returns the same for an endpoint's life; None if it is not listed."""
    row = self._table.find_life(endpoint)
    return self.find(row) if row is not None else None

  def all(self) -> list[LimitedEndpoint]:
    """Returns all limited endpoints."""
    rows = self._table.rows.values()
    found = (self.find(row) for row in rows)
    return [limit for limit in found if limit is not None]
