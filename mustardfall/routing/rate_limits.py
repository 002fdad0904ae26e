"""Request rates that endpoints name in their answers for all routers together.

An endpoint in need names a limit in each answer and leaves it out again once it
has recovered. Each router learns of it from the endpoint's answers to its own
requests and from other routers. Both arrive late and in another order than they
were sent, so a limit ends only with an answer to a request that was sent after
the limit was last named.
"""

import collections
from collections.abc import Callable
import logging
from typing import Any, NamedTuple

from mustardfall.util import clock as clock_lib
from mustardfall.util import names

logger = logging.getLogger(__name__)

MAX_PER_S = 1_000_000.0
"""Requests per second above which a limit is taken for an error."""
MAX_UPDATES_PER_DATAGRAM = 30
"""Each update takes some 40 bytes before compression."""
_MAX_ROWS = 16_384
"""Endpoints whose limits are known, and endpoints whose limits have ended; the
one that was added first makes room for another."""
_ENDED_S = 30.0
"""How long the end of a limit is remembered, in case that another router has
not heard of it and still names the limit."""
_UNLISTED_S = 30.0
"""How long the limit of an endpoint that is not listed is kept after it was
last named. The endpoint may not be listed yet, or not again after an outage of
the store."""
_MAX_AGE_S = 86_400.0
"""Greatest age of another router's knowledge, seconds."""


class NamedRate(NamedTuple):
  """The request rate that an answer names."""

  per_s: float | None
  """Requests per second; None if the endpoint sent no usable value."""
  text: str
  """The value as received, shortened for the log."""


class RateLimit(NamedTuple):
  """The limit that an endpoint has named."""

  per_s: float
  """Requests per second, of all routers together."""
  since: float
  """When this router first heard of it, monotonic seconds."""
  named_at: float
  """When it was last named, as far as known; monotonic seconds."""


class Update(NamedTuple):
  """What a router knows of an endpoint's limit, for other routers."""

  endpoint: str
  """The endpoint's life (one run of its process)."""
  per_s: float
  """Requests per second; 0: it no longer names a limit."""
  age_s: float
  """Seconds since the endpoint last named it, or was found to name none."""


class Table:
  """The rate limits that are in force, by endpoint.

  Args:
    clock: the time source.
    is_listed: returns whether an endpoint's life is in the list of endpoints.
    subject: what the endpoints name, for the log.
  """

  def __init__(
      self,
      clock: clock_lib.Clock,
      is_listed: Callable[[str], bool],
      subject: str = "endpoint rate limit",
  ) -> None:
    self._subject = subject
    self._clock = clock
    self._is_listed = is_listed
    self._rows: collections.OrderedDict[str, RateLimit]
    self._rows = collections.OrderedDict()
    self._ended_at: collections.OrderedDict[str, float]
    self._ended_at = collections.OrderedDict()
    """When endpoints were found to name no limit any more."""
    self._unusable: collections.OrderedDict[str, str]
    self._unusable = collections.OrderedDict()
    """The last value of each endpoint that names an unusable one."""

  def find(self, endpoint: str) -> RateLimit | None:
    """Returns the limit in force at an endpoint's life, None if none is."""
    return self._rows.get(endpoint)

  def note_answer(
      self,
      endpoint: str,
      request: str,
      sent_at: float,
      named: NamedRate | None,
  ) -> bool:
    """Records what limit an endpoint named in the answer to a request.

    Args:
      endpoint: the endpoint's life (one run of its process).
      request: the request's id, for the log.
      sent_at: when the request was sent, monotonic seconds.
      named: the limit in the answer; None if it named none.

    Returns:
      Whether the other routers have to know.
    """
    now = self._clock.monotonic()
    limit = self._rows.get(endpoint)
    if named is None:
      if limit is None or sent_at <= limit.named_at:
        return False
      self._end(endpoint, sent_at, {"request": request})
      return True
    if named.per_s is None:
      self._keep(endpoint, request, named.text)
      return False
    self._unusable.pop(endpoint, None)
    return self._set(endpoint, named.per_s, now, {"request": request})

  def _set(
      self, endpoint: str, per_s: float, named_at: float, source: dict[str, str]
  ) -> bool:
    """Puts a limit in force; returns whether it differs from the one before."""
    before = self._rows.get(endpoint)
    since = self._clock.monotonic() if before is None else before.since
    self._rows[endpoint] = RateLimit(per_s, since, named_at)
    self._ended_at.pop(endpoint, None)
    _drop_oldest(self._rows)
    if before is not None and before.per_s == per_s:
      return False
    extra = {
        "endpoint": endpoint,
        "per_s": per_s,
        "before_per_s": before.per_s if before is not None else None,
        **source,
    }
    logger.info("%s named", self._subject, extra=extra)
    return True

  def _end(
      self, endpoint: str, ended_at: float, source: dict[str, str]
  ) -> None:
    limit = self._rows.pop(endpoint)
    self._ended_at[endpoint] = ended_at
    _drop_oldest(self._ended_at)
    now = self._clock.monotonic()
    extra = {
        "endpoint": endpoint,
        "before_per_s": limit.per_s,
        "in_force_s": round(now - limit.since, 3),
        "named_s": round(now - limit.named_at, 3),
        **source,
    }
    logger.info("%s ended", self._subject, extra=extra)

  def _keep(self, endpoint: str, request: str, text: str) -> None:
    """Keeps the last usable limit in force while the value is unusable."""
    limit = self._rows.get(endpoint)
    if limit is not None:
      named_at = self._clock.monotonic()
      self._rows[endpoint] = limit._replace(named_at=named_at)
    if self._unusable.get(endpoint) == text:
      return
    self._unusable[endpoint] = text
    _drop_oldest(self._unusable)
    extra = {
        "endpoint": endpoint,
        "request": request,
        "value": text,
        "in_force_per_s": limit.per_s if limit is not None else None,
    }
    logger.error("%s unusable", self._subject, extra=extra)

  def keys(self) -> list[str]:
    """Returns the endpoints that others have to know of; see `gossip.Table`."""
    return [*self._rows, *self._ended_at]

  def fact(self, key: str) -> list[Any]:
    """Returns an `Update` on an endpoint; see `gossip.Table`."""
    now = self._clock.monotonic()
    limit = self._rows.get(key)
    if limit is not None:
      return list(Update(key, limit.per_s, round(now - limit.named_at, 3)))
    ended_at = self._ended_at.get(key, now)
    return list(Update(key, 0.0, round(now - ended_at, 3)))

  def apply(self, fact: list[Any]) -> None:
    """Applies another router's `Update` if it is later than what is known.

    Raises:
      TypeError, ValueError: `fact` is malformed.
    """
    endpoint, per_s, age_s = fact
    names.check(endpoint)
    update = Update(endpoint, float(per_s), float(age_s))
    is_valid = (
        0 <= update.age_s <= _MAX_AGE_S and 0 <= update.per_s <= MAX_PER_S
    )
    if not is_valid:
      raise ValueError(f"out of range: {update}")
    at = self._clock.monotonic() - update.age_s
    if at <= self._known_at(endpoint) or self._is_outdated(endpoint, at):
      return
    source = {"age_s": round(update.age_s, 3)}
    if update.per_s > 0:
      self._set(endpoint, update.per_s, at, source)
    elif endpoint in self._rows:
      self._end(endpoint, at, source)
    else:
      self._ended_at[endpoint] = at
      _drop_oldest(self._ended_at)

  def _known_at(self, endpoint: str) -> float:
    """Returns the time of the latest knowledge of an endpoint's limit."""
    limit = self._rows.get(endpoint)
    if limit is not None:
      return limit.named_at
    return self._ended_at.get(endpoint, -float("inf"))

  def _is_outdated(self, endpoint: str, at: float) -> bool:
    """Whether knowledge of the time `at` is of an endpoint that has gone."""
    age_s = self._clock.monotonic() - at
    return age_s > _UNLISTED_S and not self._is_listed(endpoint)

  def prune(self) -> None:
    """Forgets limits of endpoints that have gone, and ends of limits."""
    for endpoint, limit in list(self._rows.items()):
      if self._is_outdated(endpoint, limit.named_at):
        del self._rows[endpoint]
    oldest = self._clock.monotonic() - _ENDED_S
    for endpoint, at in list(self._ended_at.items()):
      if at < oldest:
        del self._ended_at[endpoint]


def _drop_oldest(rows: collections.OrderedDict) -> None:
  while len(rows) > _MAX_ROWS:
    rows.popitem(last=False)
