"""The endpoints that bear only a low rate of requests."""

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


class LimitedEndpoints:
  """Finds the rate that each endpoint bears.

  Args:
    table: all endpoints.
    rate_limits: the limits that endpoints have named.
  """

  def __init__(
      self,
      table: endpoints.Table,
      rate_limits: rate_limits_lib.Table,
  ) -> None:
    self._table = table
    self._rate_limits = rate_limits

  def find(self, row: endpoints.Row) -> LimitedEndpoint | None:
    """Returns the rate that an endpoint bears; None if it is not limited."""
    named = self._rate_limits.find(row.life)
    if named is None:
      return None
    return LimitedEndpoint(row.life, row.datacentre, named.per_s)

  def find_life(self, endpoint: str) -> LimitedEndpoint | None:
    """Returns the same for an endpoint's life; None if it is not listed."""
    row = self._table.find_life(endpoint)
    return self.find(row) if row is not None else None

  def all(self) -> list[LimitedEndpoint]:
    """Returns all limited endpoints."""
    rows = self._table.rows.values()
    found = (self.find(row) for row in rows)
    return [limit for limit in found if limit is not None]
