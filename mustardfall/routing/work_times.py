"""How long plain requests take, learned by route.

A plain request states no size, so that the time that its endpoint works on it
is known from earlier ones only.
"""

_WEIGHT = 0.1
"""Weight of the newest answer in the moving average."""
_MAX_WORK_S = 60.0
_MAX_ROUTES = 10_000
"""Routes remembered; the oldest are dropped. Configurations have thousands."""


class WorkTimes:
  """Moving averages of the response times of plain requests, by route."""

  def __init__(self) -> None:
    self._means: dict[str, float] = {}

  def note(self, route: str, work_s: float) -> None:
    """Records the time that an answer took, less the expected wait."""
    if not 0.0 <= work_s <= _MAX_WORK_S:
      return
    mean = self._means.get(route)
    if mean is None:
      if len(self._means) >= _MAX_ROUTES:
        del self._means[next(iter(self._means))]
      mean = work_s
    self._means[route] = mean + _WEIGHT * (work_s - mean)

  def work_s(self, route: str) -> float:
    """Returns the mean time of a route's requests; 0 if none is known."""
    return self._means.get(route, 0.0)
