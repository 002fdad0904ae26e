"""Bounds the requests that all routers together have in flight at an endpoint.

A brittle endpoint falls over if it has to turn away more than a few requests in a
second. One router leases its slots, a request needs a lease while it is in
flight, and its router renews the lease. Leases that are neither ended nor renewed
expire, so that lost messages and ended routers block no slot for long.
"""

import collections

_TERM_S = 3.0
RENEWAL_INTERVAL_S = 1.0
_RAMP_S = 3.0
"""Time in which an endpoint that was just listed is given its whole load."""
_RATE_WINDOW_S = 1.0


def capacity(slots: int, share: float, listed_s: float) -> int:
  """Returns the requests that an endpoint may have in flight.

  Args:
    slots: the requests that it runs at a time.
    share: the share of these that this router leases.
    listed_s: seconds since it was listed. One that has fallen over and returns
      is given its load step by step.
  """
  ramped = share * min(1.0, max(0.0, listed_s) / _RAMP_S)
  return max(1 if share > 0 else 0, int(slots * ramped))


class SlotLeases:
  """The leases of one endpoint's slots."""

  def __init__(self) -> None:
    self._expires_at: dict[tuple[str, int], float] = {}
    """By the holder's address and its number of the lease."""
    self._ended_at: collections.deque[float] = collections.deque()

  def __len__(self) -> int:
    return len(self._expires_at)

  def acquire(self, holder: str, number: int, limit: int, now: float) -> bool:
    """Leases a slot if fewer than `limit` are leased; returns whether it did."""
    for key, at in list(self._expires_at.items()):
      if at <= now:
        del self._expires_at[key]
    if len(self._expires_at) >= limit:
      return False
    self._expires_at[holder, number] = now + _TERM_S
    return True

  def renew(self, holder: str, numbers: list[int], now: float) -> None:
    """Renews leases; those of an earlier lessor are taken over."""
    for number in numbers:
      self._expires_at[holder, number] = now + _TERM_S

  def end(self, holder: str, numbers: list[int], now: float) -> None:
    """Ends leases."""
    for number in numbers:
      if self._expires_at.pop((holder, number), None) is not None:
        self._ended_at.append(now)

  def ended_per_s(self, now: float) -> float:
    """Returns how many leases ended in the last second."""
    while self._ended_at and now - self._ended_at[0] > _RATE_WINDOW_S:
      self._ended_at.popleft()
    return len(self._ended_at) / _RATE_WINDOW_S
