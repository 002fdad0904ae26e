"""Closes connections unread while this router's own host is saturated."""

import collections
from collections.abc import Callable
import logging
import random

from mustardfall import metrics
from mustardfall import settings
from mustardfall.routing import router_saturation
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_BYTES_PER_S_PER_MBPS = 125_000
_SAMPLE_S = 0.25
"""Shortest time over which the rate of bytes is measured."""
_RATE_WEIGHT = 0.5
"""Weight of the newest measured rate in the moving average."""


class SaturationLimiter:
  """Turns callers to other routers, which serve them sooner.

  Args:
    config: all of the router's settings.
    clock: the time source.
    lag_s: returns the mean delay of this process's timers, seconds.
    has_others: whether other routers are up.
    instruments: counts the closed connections.
    rng: draws the connections that are closed.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      lag_s: Callable[[], float],
      has_others: Callable[[], bool],
      instruments: metrics.Instruments,
      rng: random.Random | None = None,
  ) -> None:
    self._is_enabled = config.proxy.sheds_saturated
    self._link_bytes_per_s = config.limits.link_mbps * _BYTES_PER_S_PER_MBPS
    self._clock = clock
    self._lag_s = lag_s
    self._has_others = has_others
    self._random = rng or random.Random()
    self._passed_bytes = 0
    """Bytes of requests and responses since the last measurement."""
    self._utilisation = 0.0
    self._link = router_saturation.LinkState()
    self._was_saturated = False
    self._counts: collections.Counter[str] = collections.Counter()
    instruments.observe_totals(
        "mustardfall.saturation",
        "",
        "connections of callers while the router's host was saturated",
        self._counts,
    )

  def note_bytes(self, size: int) -> None:
    """Counts bytes that a caller has sent or is sent.

    They pass the link twice, once in each direction: to or from the caller, and
    from or to an endpoint.
    """
    self._passed_bytes += size

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
    self._measure_rate()
    lag_s = self._lag_s()
    share = max(router_saturation.closed_share(lag_s), self._link.share)
    if bool(share) != self._was_saturated:
      self._was_saturated = bool(share)
      extra = {
          "is_saturated": bool(share),
          "lag_s": round(lag_s, 3),
          "link_utilisation": round(self._utilisation, 3),
          "connections": dict(self._counts),
      }
      logger.info("router saturation changed", extra=extra)
    return share

  def _measure_rate(self) -> None:
    now = self._clock.monotonic()
    elapsed_s = now - self._link.at
    if not self._link_bytes_per_s or elapsed_s < _SAMPLE_S:
      return
    measured = self._passed_bytes / elapsed_s / self._link_bytes_per_s
    self._passed_bytes = 0
    self._utilisation += _RATE_WEIGHT * (measured - self._utilisation)
    self._link = router_saturation.update_link(
        self._link, self._utilisation, now
    )
