"""Closes connections unread while this router's own processor is saturated."""

import collections
from collections.abc import Callable
import logging
import random

from mustardfall import metrics
from mustardfall import settings
from mustardfall.routing import router_saturation

logger = logging.getLogger(__name__)


class SaturationLimiter:
  """Turns callers to other routers, which serve them sooner.

  Args:
    config: all of the router's settings.
    lag_s: returns the mean delay of this process's timers, seconds.
    has_others: whether other routers are up.
    instruments: counts the closed connections.
    rng: draws the connections that are closed.
  """

  def __init__(
      self,
      config: settings.Router,
      lag_s: Callable[[], float],
      has_others: Callable[[], bool],
      instruments: metrics.Instruments,
      rng: random.Random | None = None,
  ) -> None:
    self._is_enabled = config.proxy.sheds_saturated
    self._lag_s = lag_s
    self._has_others = has_others
    self._random = rng or random.Random()
    self._was_saturated = False
    self._counts: collections.Counter[str] = collections.Counter()
    instruments.observe_totals(
        "mustardfall.saturation",
        "",
        "connections of callers while the router's processor was saturated",
        self._counts,
    )

  @property
  def is_saturated(self) -> bool:
    """Whether callers should come back on a new connection, to any router."""
    if not self._is_enabled or not self._has_others():
      return False
    lag_s = self._lag_s()
    is_saturated = router_saturation.closed_share(lag_s) > 0.0
    if is_saturated != self._was_saturated:
      self._was_saturated = is_saturated
      extra = {
          "is_saturated": is_saturated,
          "lag_s": round(lag_s, 3),
          "connections": dict(self._counts),
      }
      logger.info("router saturation changed", extra=extra)
    return is_saturated

  def closes_unread(self) -> bool:
    """Whether to close a new connection before anything is read from it."""
    if not self.is_saturated:
      return False
    share = router_saturation.closed_share(self._lag_s())
    is_closed = self._random.random() < share
    self._counts["closed unread" if is_closed else "served"] += 1
    return is_closed
