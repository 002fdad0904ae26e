"""Limits this router's requests to cold endpoints."""

from mustardfall.membership import members as members_lib
from mustardfall.routing import coldstart
from mustardfall.routing import configuration
from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib


class ColdStartLimiter:
  """Decides when this router may send a request to a cold endpoint.

  Args:
    members: the routers that are up.
    clock: the time source.
  """

  def __init__(
      self, members: members_lib.Members, clock: clock_lib.Clock
  ) -> None:
    self._members = members
    self._clock = clock
    self._next_at: dict[str, float] = {}
    """When the next request may be sent, by the life of a cold endpoint."""

  def filter_permitted(
      self, rows: list[endpoints.Row], service: configuration.Service
  ) -> list[endpoints.Row]:
    """Returns the endpoints to which a request may be sent now."""
    now = self._clock.monotonic()
    return [row for row in rows if self._may_send(row, service, now)]

  def acquire(self, row: endpoints.Row, service: configuration.Service) -> bool:
    """Takes the permit for one request; returns False if there is none."""
    now = self._clock.monotonic()
    if not _is_limited(row, service, now):
      return True
    interval_s = self._interval_s(row, service)
    if interval_s is None or now < self._next_at.get(row.life, now):
      return False
    self._next_at[row.life] = now + interval_s
    return True

  def _may_send(
      self, row: endpoints.Row, service: configuration.Service, now: float
  ) -> bool:
    if not _is_limited(row, service, now):
      return True
    if now < self._next_at.get(row.life, now):
      return False
    return self._interval_s(row, service) is not None

  def _interval_s(
      self, row: endpoints.Row, service: configuration.Service
  ) -> float | None:
    # A router that was just started and has not read the list of routers would
    # take all endpoints for its own.
    if not self._members.was_listed:
      return None
    return coldstart.interval_s(
        row.life,
        self._members.me.name,
        self._members.names,
        service.cold_rate,
    )

  def prune(self) -> None:
    """Removes the entries of endpoints to which a request may be sent again."""
    now = self._clock.monotonic()
    for life, at in list(self._next_at.items()):
      if at <= now:
        del self._next_at[life]


def _is_limited(
    row: endpoints.Row, service: configuration.Service, now: float
) -> bool:
  return now < row.cold_until and service.cold_rate > 0
