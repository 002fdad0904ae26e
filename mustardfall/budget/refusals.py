"""Memory of budgets that lately could not give what was asked."""

from typing import NamedTuple

from mustardfall.util import clock as clock_lib


class _Refused(NamedTuple):
  """A budget that lately could not give `tokens`."""

  since: float
  until: float
  """How long the refusal may be repeated from memory."""
  tokens: int


class Refusals:
  """Repeats refusals for a moment, so that they cost nothing.

  Without it each request on a used-up budget would cost a read of the KV
  or a call to the owner. A top-up is noticed when the time of a refusal
  is over, tokens that come back to this router at once.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._refused: dict[str, _Refused] = {}

  def note(self, budget: str, tokens: int, ttl_s: float) -> None:
    """Notes that `budget` cannot give `tokens` now."""
    now = self._clock.monotonic()
    last = self._refused.get(budget)
    since = last.since if last is not None else now
    self._refused[budget] = _Refused(since, now + ttl_s, tokens)

  def repeat(self, budget: str, tokens: int) -> bool:
    """Whether asking for `tokens` again would only be refused again."""
    last = self._refused.get(budget)
    if last is None or tokens < last.tokens:
      return False
    return self._clock.monotonic() <= last.until

  def lasts_s(self, budget: str) -> float:
    """Returns for how long the budget has been refusing, seconds."""
    last = self._refused.get(budget)
    return 0.0 if last is None else self._clock.monotonic() - last.since

  def end(self, budget: str) -> None:
    """Forgets a budget: it gives again."""
    self._refused.pop(budget, None)

  def forget(self, before: float) -> None:
    """Drops what was noted of budgets that are quiet since `before`."""
    for budget, last in list(self._refused.items()):
      if last.until < before:
        del self._refused[budget]
