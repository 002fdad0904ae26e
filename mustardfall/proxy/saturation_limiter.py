"""Rejects requests while this router's own processor is saturated."""

import bisect
import collections
from collections.abc import Callable
import logging
import random

from mustardfall import metrics
from mustardfall import settings
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import configuration
from mustardfall.routing import router_saturation

logger = logging.getLogger(__name__)


class SaturationLimiter:
  """Rejects new requests at once that another router serves sooner.

  Args:
    config: all of the router's settings.
    lag_s: returns the mean delay of this process's timers, seconds.
    has_others: whether other routers are up.
    ranks: returns the configuration, whose priorities rank the requests.
    instruments: counts the rejected requests.
    rng: draws the rejected requests and the times to return.
  """

  def __init__(
      self,
      config: settings.Router,
      lag_s: Callable[[], float],
      has_others: Callable[[], bool],
      ranks: Callable[[], configuration.Configuration | None],
      instruments: metrics.Instruments,
      rng: random.Random | None = None,
  ) -> None:
    self._is_enabled = config.proxy.sheds_saturated
    self._lag_s = lag_s
    self._has_others = has_others
    self._ranks = ranks
    self._random = rng or random.Random()
    self._is_saturated = False
    self._counts: collections.Counter[str] = collections.Counter()
    instruments.observe_totals(
        "mustardfall.saturation",
        "",
        "requests rejected as the router's processor was saturated",
        self._counts,
    )

  def refuse_if_saturated(
      self, context: request_context_lib.RequestContext
  ) -> None:
    """Rejects a new request that the router has no processor time for.

    Requests that resume a stream are served: their caller waits in the middle
    of an answer.

    Raises:
      refusals.RefusalError: another router will serve the request sooner.
    """
    if not self._is_enabled:
      return
    lag_s = self._lag_s()
    self._log_change(lag_s)
    if not self._is_saturated or context.sequencer.last_event_id is not None:
      return
    rank = self._rank(context)
    share = router_saturation.rejected_share(lag_s, rank)
    if self._random.random() >= share or not self._has_others():
      return
    self._counts[f"rank {rank:.1f}"] += 1
    facts = {
        "lag_s": round(lag_s, 3),
        "rejected_share": round(share, 3),
        "rank": round(rank, 3),
    }
    retry_s = router_saturation.retry_after_s(self._random.random())
    raise refusals.router_saturated(round(retry_s, 3), facts)

  def _log_change(self, lag_s: float) -> None:
    """Logs that the router begins or ends to reject requests."""
    is_saturated = router_saturation.rejected_share(lag_s, 1.0) > 0.0
    if is_saturated == self._is_saturated:
      return
    self._is_saturated = is_saturated
    extra = {
        "is_saturated": is_saturated,
        "lag_s": round(lag_s, 3),
        "rejected": dict(self._counts),
    }
    logger.info("router saturation changed", extra=extra)

  def _rank(self, context: request_context_lib.RequestContext) -> float:
    """Returns 0 for the most urgent requests, up to 1 for the least urgent."""
    config = self._ranks()
    priorities = config.priorities if config is not None else ()
    if len(priorities) <= 1:
      return 0.5
    position = bisect.bisect_left(priorities, context.priority)
    return min(position / (len(priorities) - 1), 1.0)
