"""Detects that all endpoints of a service have standing queues.

Queues of a moment pass by themselves, and a request that waits in one is served
late at worst. A queue that stays means that requests arrive faster than they
are served: whatever is admitted then makes all answers late, callers leave
before their answers, and prompts that were evicted meanwhile are prefilled
again. Requests that would be answered late are refused then, those of less
urgent routes first.
"""

from typing import NamedTuple

_STANDING_S = 0.5
"""How long every request must have met a long wait until a queue counts as
standing."""
_LONG_WAIT_RATIO = 0.25
"""Wait at the best endpoint, relative to the latency objective, that counts as
long."""
_DRAINED_RATIO = 0.1
"""The same, at which a queue no longer counts as standing."""
_RATIO_PER_RANK = 0.15
"""Part of the objective by which the longest admitted answer time falls with
each rank of a route's priority."""
_MIN_RATIO = 0.5
"""Lowest admitted answer time, relative to the objective."""
_MIN_RETRY_S = 0.25


class Forecast(NamedTuple):
  """The times that a request would need at the best endpoint."""

  wait_s: float
  """Until the endpoint begins with it."""
  answer_s: float
  """Until the answer begins."""
  objective_s: float
  """The route's latency objective."""
  priority: int
  """The route's priority; 0 is the most urgent."""


class Detector:
  """Decides which requests of one service are refused."""

  def __init__(self) -> None:
    self._long_since: float | None = None
    """Since when all requests have met a long wait, monotonic seconds."""
    self._is_standing = False

  def retry_after_s(self, forecast: Forecast, now: float) -> float | None:
    """Returns after which time a refused request may come back.

    Args:
      forecast: the times that the request would need.
      now: the current time, monotonic seconds.

    Returns:
      None if the request is admitted.
    """
    self._update(forecast.wait_s / forecast.objective_s, now)
    ratio = max(_MIN_RATIO, 1 - _RATIO_PER_RANK * forecast.priority)
    admitted_s = ratio * forecast.objective_s
    if not self._is_standing or forecast.answer_s <= admitted_s:
      return None
    return max(_MIN_RETRY_S, forecast.answer_s - admitted_s)

  def _update(self, wait_ratio: float, now: float) -> None:
    if wait_ratio <= _DRAINED_RATIO:
      self._is_standing = False
    if wait_ratio <= _LONG_WAIT_RATIO:
      self._long_since = None
      return
    if self._long_since is None:
      self._long_since = now
    elif now - self._long_since >= _STANDING_S:
      self._is_standing = True
