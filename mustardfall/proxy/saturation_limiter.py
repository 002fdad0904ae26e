"""Closes connections unread while this router's own host is saturated."""

import collections
from collections.abc import Callable
import logging
import random

from mustardfall import metrics
from mustardfall import settings
from mustardfall.proxy import host_load as host_load_lib
from mustardfall.routing import router_saturation
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_SAMPLE_S = 0.25
"""Shortest time between two updates of the share for the link's sake."""


class SaturationLimiter:
  """Turns callers to other routers, which serve them sooner.

  Args:
    config: all of the router's settings.
    clock: the time source.
    host_load: measures the delay of this process's timers and its link.
    has_others: whether other routers are up.
    instruments: counts the closed connections.
    rng: draws the connections that are closed.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      host_load: host_load_lib.HostLoad,
      has_others: Callable[[], bool],
      instruments: metrics.Instruments,
      rng: random.Random | None = None,
  ) -> None:
    self._is_enabled = config.proxy.sheds_saturated
    self._clock = clock
    self._host_load = host_load
    self._has_others = has_others
    self._random = rng or random.Random()
    self._link = router_saturation.LinkState()
    self._was_saturated = False
    self._counts: collections.Counter[str] = collections.Counter()
    instruments.observe_totals(
        "mustardfall.saturation",
        "",
        "connections of callers while the router's host was saturated",
        self._counts,
    )

  @property
  def is_saturated(self) -> bool:
    """Whether callers should come back on a new connection, to any router."""
    return self._closed_share() > 0.0

  def closes_unread(self) -> bool:
    """Whether to close a new connection before anything is read from it."""
    share = self._closed_share()
    if not share:
      return False
    is_closed = self._random.random() < share
    self._counts["closed unread" if is_closed else "served"] += 1
    return is_closed

  def _closed_share(self) -> float:
    """Returns the share of new connections that is closed now."""
    if not self._is_enabled or not self._has_others():
      return 0.0
    self._update_link()
    lag_s = self._host_load.lag_s
    share = max(router_saturation.closed_share(lag_s), self._link.share)
    if bool(share) != self._was_saturated:
      self._was_saturated = bool(share)
      extra = {
          "is_saturated": bool(share),
          **self._host_load.describe(),
          "connections": dict(self._counts),
      }
      logger.info("router saturation changed", extra=extra)
    return share

  def _update_link(self) -> None:
    now = self._clock.monotonic()
    if now - self._link.at >= _SAMPLE_S:
      self._link = router_saturation.update_link(
          self._link, self._host_load.link_utilisation, now
      )
