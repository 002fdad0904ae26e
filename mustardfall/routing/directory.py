"""What a router knows of the deployment: configuration and endpoints.

Both, and the data centres that operators have evacuated, are read from the
store by followers. The directory decides which updates are applied: the
configuration's version never decreases, and an endpoint that is missing right
after an outage of the store is kept until it has had time to register again.
"""

from collections.abc import Callable
import datetime
import logging

import anyio

from mustardfall import settings
from mustardfall.routing import configuration
from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_REREGISTRATION_S = 1.8
"""How long missing entries are kept after an outage. Entries that expired
during it are registered again about 2 s after its end; removing them at once
would remove live endpoints."""
_OUTAGE_GAP_S = 1.5
"""A longer gap between two lists means that the store was unavailable."""


class Directory:
  """Holds the configuration in force and the endpoints.

  Args:
    config: settings of the endpoints' concurrency limits.
    clock: the time source.
    cold: whether the endpoints listed first have empty caches because they
      start together with this router.
    is_withheld: see `endpoints.Table`.
  """

  def __init__(
      self,
      config: settings.Scheduler,
      clock: clock_lib.Clock,
      cold: bool = False,
      is_withheld: Callable[[endpoints.Row], bool] = lambda row: False,
  ) -> None:
    self._clock = clock
    self.configuration: configuration.Configuration | None = None
    self.endpoints = endpoints.Table(config, cold, is_withheld)
    self._hosts: dict[str, endpoints.EndpointEntry] = {}
    self._keep_missing_until = -float("inf")
    self._listed_at = -float("inf")
    """When a list was last applied, monotonic seconds."""
    self._list_as_of = -float("inf")
    """When the newest applied list was the list, monotonic seconds."""
    self._list_applied: anyio.Event | None = None
    """Set when a list is applied; None if nobody waits for it."""
    self.in_force_since: datetime.datetime | None = None
    self._confirmed_at = -float("inf")

  @property
  def limits(self) -> configuration.Limits:
    """The limits on callers' requests that are in force."""
    if self.configuration is None:
      return configuration.DEFAULT_LIMITS
    return self.configuration.limits

  def apply_configuration(self, new: configuration.Configuration) -> bool:
    """Puts a configuration in force; returns False if it is not newer."""
    old = self.configuration
    if old is not None and new.version <= old.version:
      return False
    self.configuration = new
    self.in_force_since = self._clock.wall()
    logger.info(
        "configuration in force",
        extra={
            "version": new.version,
            "before": old.version if old else None,
            "teams": len(new.teams),
        },
    )
    return True

  def confirm_configuration(self, as_of: float) -> None:
    """Records that the configuration was the newest at `as_of`.

    Args:
      as_of: monotonic seconds.
    """
    self._confirmed_at = max(self._confirmed_at, as_of)

  @property
  def unconfirmed_s(self) -> float:
    """Seconds since the configuration was last known to be the newest."""
    return self._clock.monotonic() - self._confirmed_at

  @property
  def is_listed(self) -> bool:
    """Whether a list of endpoints was applied; it may be empty."""
    return self._list_as_of > -float("inf")

  def apply_endpoints(
      self,
      hosts: list[endpoints.EndpointEntry],
      as_of: float | None = None,
  ) -> bool:
    """Applies a complete list of endpoints; returns whether any changed.

    Args:
      hosts: the list.
      as_of: when it was the list, monotonic seconds; None: now.
    """
    now = self._clock.monotonic()
    as_of = now if as_of is None else as_of
    if now - self._listed_at > _OUTAGE_GAP_S:
      self._keep_missing_until = now + _REREGISTRATION_S
    self._listed_at = now
    listed = {host["name"]: host for host in hosts}
    if now < self._keep_missing_until:
      listed = {**self._hosts, **listed}
    self._hosts = listed
    changed = self.endpoints.update(list(listed.values()))
    self.endpoints.update_cold(listed.values(), now)
    self.endpoints.note_leaving(self._list_as_of)
    self.endpoints.note_versions(now)
    self._list_as_of = max(self._list_as_of, as_of)
    if self._list_applied is not None:
      self._list_applied.set()
      self._list_applied = None
    return changed

  async def wait_for_list(self, as_of: float, timeout_s: float) -> bool:
    """Waits for a list that was the list at a time, or later.

    Args:
      as_of: monotonic seconds.
      timeout_s: how long to wait, seconds.

    Returns:
      Whether such a list was applied in time.
    """
    with anyio.move_on_after(timeout_s):
      while self._list_as_of < as_of:
        if self._list_applied is None:
          self._list_applied = anyio.Event()
        await self._list_applied.wait()
      return True
    return False

  @property
  def list_age_s(self) -> float:
    """Seconds since the newest list that was applied was the list."""
    return self._clock.monotonic() - self._list_as_of

  def sole_version(self, kind: str, for_s: float) -> str | None:
    """Returns the only version that a kind's endpoints had for some time.

    Returns None if there were several, or if it is not known: the list is not
    current, or it has been followed for less than `for_s`.
    """
    now = self._clock.monotonic()
    if now - self._list_as_of > _OUTAGE_GAP_S:
      return None
    return self.endpoints.sole_version(kind, for_s, now)

  def apply_evacuations(self, evacuated: frozenset[str]) -> bool:
    """Applies the set of evacuated data centres; returns whether it changed.

    The endpoints of a data centre that is taken back count as cold at first,
    since their own reports of it arrive later.
    """
    taken_back = self.endpoints.evacuated - evacuated
    changed = self.endpoints.evacuate(evacuated)
    services = self.configuration.services if self.configuration else {}
    now = self._clock.monotonic()
    for datacentre in taken_back:
      for service in services.values():
        cold_s = service.cold_start.total_seconds()
        self.endpoints.mark_cold(datacentre, service.name, cold_s, now)
    return changed

  def drop(self, name: str) -> None:
    """Removes an endpoint at whose address another server answers."""
    self._hosts.pop(name, None)
    self.endpoints.update(list(self._hosts.values()))
