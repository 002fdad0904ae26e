"""Cache of budgets that recently could not provide the requested tokens."""

from typing import NamedTuple

from mustardfall.util import clock as clock_lib


class _Refusal(NamedTuple):
  """A budget that recently could not provide `tokens`."""

  since: float
  until: float
  """Until when the refusal may be repeated from the cache."""
  tokens: int


class RefusalCache:
  """Caches refusals for a short time.

  Without it each request on an exhausted budget would cost a read of the KV or
  a call to the owner. A top-up takes effect when the cached refusal expires;
  tokens returned to this router do at once.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._by_budget: dict[str, _Refusal] = {}

  def add(self, budget: str, tokens: int, ttl_s: float) -> None:
    """Records that `budget` cannot provide `tokens` now."""
    now = self._clock.monotonic()
    refusal = self._by_budget.get(budget)
    since = refusal.since if refusal is not None else now
    self._by_budget[budget] = _Refusal(since, now + ttl_s, tokens)

  def is_cached(self, budget: str, tokens: int) -> bool:
    """Whether a request for `tokens` would be refused from the cache."""
    refusal = self._by_budget.get(budget)
    if refusal is None or tokens < refusal.tokens:
      return False
    return self._clock.monotonic() <= refusal.until

  def duration_s(self, budget: str) -> float:
    """Returns for how long the budget has been refusing, seconds."""
    refusal = self._by_budget.get(budget)
    return 0.0 if refusal is None else self._clock.monotonic() - refusal.since

  def remove(self, budget: str) -> None:
    """Removes a budget that provides tokens again."""
    self._by_budget.pop(budget, None)

  def prune(self, before: float) -> None:
    """Removes the refusals that expired before `before`."""
    for budget, refusal in list(self._by_budget.items()):
      if refusal.until < before:
        del self._by_budget[budget]
