"""Memory of budgets that lately could not give what was asked."""

from typing import NamedTuple

from mustardfall.util import clock as clock_lib


class _Refusal(NamedTuple):
  """A budget that lately could not give `tokens`."""

  since: float
  until: float
  """How long the refusal may be repeated from memory."""
  tokens: int


class RefusalCache:
  """Repeats refusals for a moment, so that they cost nothing.

  Without it each request on a used-up budget would cost a read of the KV
  or a call to the owner. A top-up is noticed when the time of a refusal
  is over, tokens that come back to this router at once.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._by_budget: dict[str, _Refusal] = {}

  def add(self, budget: str, tokens: int, ttl_s: float) -> None:
    """Notes that `budget` cannot give `tokens` now."""
    now = self._clock.monotonic()
    refusal = self._by_budget.get(budget)
    since = refusal.since if refusal is not None else now
    self._by_budget[budget] = _Refusal(since, now + ttl_s, tokens)

  def is_cached(self, budget: str, tokens: int) -> bool:
    """Whether asking for `tokens` again would only be refused again."""
    refusal = self._by_budget.get(budget)
    if refusal is None or tokens < refusal.tokens:
      return False
    return self._clock.monotonic() <= refusal.until

  def duration_s(self, budget: str) -> float:
    """Returns for how long the budget has been refusing, seconds."""
    refusal = self._by_budget.get(budget)
    return 0.0 if refusal is None else self._clock.monotonic() - refusal.since

  def remove(self, budget: str) -> None:
    """Forgets a budget: it gives again."""
    self._by_budget.pop(budget, None)

  def prune(self, before: float) -> None:
    """Drops what was noted of budgets that are quiet since `before`."""
    for budget, refusal in list(self._by_budget.items()):
      if refusal.until < before:
        del self._by_budget[budget]
