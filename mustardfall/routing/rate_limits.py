"""Request rates that endpoints name in their answers for all routers together.

An endpoint in need names a limit in each answer and leaves it out again once it
has recovered. Answers arrive late and in another order than they were sent, so
a limit ends only with an answer to a request that was sent after the limit was
last named.
"""

import collections
import logging
from typing import NamedTuple

from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MAX_ROWS = 16_384
"""Endpoints whose limits are known; the one whose limit was heard of first
makes room for another."""


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


class Table:
  """The rate limits that are in force, by endpoint.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._rows: collections.OrderedDict[str, RateLimit] = (
        collections.OrderedDict()
    )
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
  ) -> None:
    """Records what limit an endpoint named in the answer to a request.

    Args:
      endpoint: the endpoint's life (one run of its process).
      request: the request's id, for the log.
      sent_at: when the request was sent, monotonic seconds.
      named: the limit in the answer; None if it named none.
    """
    now = self._clock.monotonic()
    before = self._rows.get(endpoint)
    if named is None:
      if before is not None and sent_at > before.named_at:
        del self._rows[endpoint]
        _log_change("endpoint rate limit ended", endpoint, request, before, now)
      return
    if named.per_s is None:
      self._keep(endpoint, request, named.text)
      return
    self._unusable.pop(endpoint, None)
    since = now if before is None else before.since
    self._rows[endpoint] = after = RateLimit(named.per_s, since, now)
    _drop_oldest(self._rows)
    if before is None or before.per_s != named.per_s:
      _log_change(
          "endpoint rate limit named", endpoint, request, before, now, after
      )

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
    logger.error("endpoint rate limit unusable", extra=extra)


def _drop_oldest(rows: collections.OrderedDict) -> None:
  while len(rows) > _MAX_ROWS:
    rows.popitem(last=False)


def _log_change(
    message: str,
    endpoint: str,
    request: str,
    before: RateLimit | None,
    now: float,
    after: RateLimit | None = None,
) -> None:
  extra = {
      "endpoint": endpoint,
      "request": request,
      "before_per_s": before.per_s if before is not None else None,
      "per_s": after.per_s if after is not None else None,
      "named_s": round(now - before.named_at, 3) if before else None,
      "in_force_s": round(now - before.since, 3) if before else None,
  }
  logger.info(message, extra=extra)
