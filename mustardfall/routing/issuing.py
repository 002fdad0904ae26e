"""Divides the request rate that an endpoint bears among all routers.

Each request to a limited endpoint needs a permit. One router issues all permits
of an endpoint: the first one in an order that is the same on all routers. While
routers know different lists of routers, several may take themselves for the
first. Only one of these can be certain, see `members.Members.is_certain`, and
issues the whole rate; the others together issue at most half of it.
"""

from collections.abc import Iterable
import hashlib
from typing import NamedTuple

MAX_PROMISE_S = 1.0
"""How long before its use a permit may be issued."""
_BURST_S = 0.125
"""How far permits may be ahead of evenly spaced ones, at least."""
_BURST_REQUESTS = 1.0
"""Permits that a certain issuer may issue ahead of evenly spaced ones. Requests
arrive at random, and without any ahead half of a low rate would be left."""
_MAX_FIRST_S = 1.0
"""Longest time from an issuer's start to its first permit. What others issued
before is unknown to it."""
_MIN_RATE_PER_S = 1 / 60
"""Lowest rate of permits: an endpoint whose limit is lower gets a request each
minute, whose answer shows whether it still names that limit."""
_UNCERTAIN_SHARE = 0.5
"""Share of the rate that all routers which are not certain issue together."""


class Candidate(NamedTuple):
  """A router that may issue permits."""

  name: str
  datacentre: str


def issuer(
    endpoint: str, datacentre: str, routers: Iterable[Candidate]
) -> str | None:
  """Returns the name of the router that issues an endpoint's permits.

  Args:
    endpoint: the endpoint's life (one run of its process).
    datacentre: the endpoint's data centre; its routers come first, since they
      and the endpoint are reachable from the same hosts.
    routers: the routers that are up.

  Returns:
    None if there are no routers.
  """
  first = min(
      routers,
      key=lambda router: (
          router.datacentre != datacentre,
          rank_key(endpoint, router.name),
      ),
      default=None,
  )
  return first.name if first is not None else None


def rank_key(endpoint: str, router: str) -> bytes:
  """Returns the key that orders the routers for an endpoint."""
  text = f"{endpoint} {router}"
  return hashlib.blake2b(text.encode(), digest_size=8).digest()


def share(is_certain: bool, followers: int, fleet: int) -> float:
  """Returns the share of an endpoint's rate that an issuer may issue.

  Args:
    is_certain: whether no other issuer can be certain.
    followers: the routers that take it for the endpoint's issuer, itself
      included. Each router follows one issuer, so that the shares of all
      uncertain ones add up to `_UNCERTAIN_SHARE` at most.
    fleet: the number of routers that are up.
  """
  if is_certain:
    return 1.0
  return _UNCERTAIN_SHARE * min(1.0, followers / max(1, fleet))


class Bucket:
  """Spaces the permits of one endpoint evenly, with a small burst.

  Args:
    now: the current time, monotonic seconds.
  """

  def __init__(self, now: float) -> None:
    self._due: float | None = None
    """When the next permit is due at an even rate, monotonic seconds."""
    self._created_at = now

  def take(
      self, rate: float, max_wait_s: float, now: float, is_certain: bool = True
  ) -> float | None:
    """Takes a permit.

    Args:
      rate: permits per second.
      max_wait_s: the longest wait of use, at most `MAX_PROMISE_S`.
      now: the current time, monotonic seconds.
      is_certain: whether this is the only issuer for sure; others must not add
        their bursts to its own.

    Returns:
      Seconds from now at which the permit may be used; None if there is none
      within `max_wait_s`.
    """
    interval_s = 1 / max(rate, _MIN_RATE_PER_S)
    wait_s = self._wait_s(interval_s, now, is_certain)
    if wait_s > min(max_wait_s, MAX_PROMISE_S):
      return None
    self._due = max(self._due, now + wait_s) + interval_s
    return wait_s

  def wait_s(self, rate: float, now: float, is_certain: bool = True) -> float:
    """Returns the seconds until the next permit can be used; see `take`."""
    interval_s = 1 / max(rate, _MIN_RATE_PER_S)
    return self._wait_s(interval_s, now, is_certain)

  def _wait_s(self, interval_s: float, now: float, is_certain: bool) -> float:
    ahead_s = _BURST_S
    if is_certain:
      ahead_s = max(ahead_s, _BURST_REQUESTS * interval_s)
    if self._due is None:
      self._due = self._created_at + ahead_s + min(interval_s, _MAX_FIRST_S)
    # A higher rate than before shortens the wait that the last permit caused.
    latest = now + MAX_PROMISE_S + ahead_s + interval_s
    self._due = min(self._due, latest)
    return max(0.0, self._due - ahead_s - now)
