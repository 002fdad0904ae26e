"""What all routers have at an endpoint, as the router that tracks it knows.

In a large fleet a router sends an endpoint one request in half a minute, so it
can neither see its queue nor measure its speed. Each endpoint is tracked by one
router, which is told of every request that is sent there, of first tokens and
of ends, and which answers those who are about to choose.
"""

import dataclasses
from typing import NamedTuple

_CACHED_S = 15.0
"""How long an unused prefix is taken to stay in an endpoint's cache."""
_MOST_READING_S = 10.0
"""Longer than an engine reads the longest prompt that fits into its memory; a
router that tells more would have the endpoint passed over for good."""
_STAY_S = 8.0
"""A request whose end was not heard of is taken to have ended after this."""
_QUIET_S = 60.0
"""An endpoint that nobody was sent to for so long is forgotten."""
_SLOWNESS_WEIGHT = 0.25
"""Weight of the newest first token. An engine gives some five a second to all
routers, so that one that turns slow is known for it within a second."""
_FORGET_S = 4.0
"""Within which most of a slowness is forgotten when no first token comes: an
endpoint that is passed over must be tried again."""
_FAILURE_S = 1.5
"""The same for failures."""
_LEAST_EXPECTED_S = 0.05
"""Shorter expectations are all noise: a step of a batch, the way there."""
_MOST_SLOWNESS = 6.0
"""Most that one first token counts as slower or faster than expected."""


class EndpointStatus(NamedTuple):
  """How an endpoint stands, as told to a router that may choose it."""

  in_flight: int
  """Requests there, of all routers."""
  prefill_s: float
  """Seconds until it has read all prompts that it was sent."""
  held: bool
  """Whether it was lately sent the prefix that was asked for."""
  slowness: float
  """Time to first tokens against what was expected, lately."""
  failures: float
  """Tries that failed there lately, decaying."""


UNKNOWN = EndpointStatus(0, 0.0, False, 1.0, 0.0)
"""Of an endpoint that nothing was heard of."""


@dataclasses.dataclass
class _Tracked:
  """What is known of one endpoint."""

  seen_at: float
  read_at: float = 0.0
  """When it will have read what it was sent."""
  requests: dict[str, float] = dataclasses.field(default_factory=dict)
  """Requests there, and when each was sent."""
  prefixes: dict[str, float] = dataclasses.field(default_factory=dict)
  """Prefixes that it was sent, and when last."""
  slowness: float = 1.0
  failures: float = 0.0
  judged_at: float = 0.0
  """When slowness and failures were last brought up to date."""


class Tracker:
  """The endpoints that this router tracks; all times in monotonic seconds."""

  def __init__(self) -> None:
    self._tracked: dict[str, _Tracked] = {}
    self._cleared_at = 0.0

  def status_of(self, endpoint: str, prefix: str, now: float) -> EndpointStatus:
    """Returns how an endpoint stands for a request with `prefix`."""
    found = self._tracked.get(endpoint)
    if found is None:
      return UNKNOWN
    self._age(found, now)
    sent_at = found.prefixes.get(prefix)
    return EndpointStatus(
        in_flight=len(found.requests),
        prefill_s=max(0.0, found.read_at - now),
        held=sent_at is not None and now - sent_at <= _CACHED_S,
        slowness=found.slowness,
        failures=found.failures,
    )

  def note_sent(
      self,
      endpoint: str,
      request: str,
      prefix: str,
      prefill_s: float,
      now: float,
  ) -> None:
    """Notes a request that is on its way to an endpoint.

    Args:
      endpoint: the endpoint's life.
      request: names the request among all routers.
      prefix: the prompt's prefix; empty: none.
      prefill_s: how long its prompt should take to read there.
      now: the time.
    """
    found = self._find(endpoint, now)
    found.requests[request] = now
    begin = max(now, found.read_at)
    most_s = min(max(0.0, prefill_s), _MOST_READING_S)
    found.read_at = begin + most_s * found.slowness
    if prefix:
      found.prefixes.pop(prefix, None)
      found.prefixes[prefix] = now

  def note_first_token(
      self, endpoint: str, expected_s: float, took_s: float, now: float
  ) -> None:
    """Notes how long a first token took, or has taken so far."""
    found = self._find(endpoint, now)
    self._age(found, now)
    ratio = took_s / max(expected_s, _LEAST_EXPECTED_S)
    ratio = min(max(ratio, 1 / _MOST_SLOWNESS), _MOST_SLOWNESS)
    found.slowness += _SLOWNESS_WEIGHT * (ratio - found.slowness)

  def note_end(
      self, endpoint: str, request: str, failed: bool, now: float
  ) -> None:
    """Notes that a request has left an endpoint."""
    found = self._find(endpoint, now)
    self._age(found, now)
    found.requests.pop(request, None)
    found.failures += failed

  def _find(self, endpoint: str, now: float) -> _Tracked:
    if now - self._cleared_at >= _QUIET_S:
      self._clear(now)
    found = self._tracked.get(endpoint)
    if found is None:
      found = self._tracked[endpoint] = _Tracked(now, judged_at=now)
    found.seen_at = now
    return found

  def _clear(self, now: float) -> None:
    """Forgets endpoints that nobody was sent to for long."""
    self._cleared_at = now
    for endpoint, found in list(self._tracked.items()):
      if now - found.seen_at >= _QUIET_S:
        del self._tracked[endpoint]

  def _age(self, found: _Tracked, now: float) -> None:
    """Brings what fades with time up to date."""
    passed_s = max(0.0, now - found.judged_at)
    found.judged_at = now
    kept = 0.5 ** (2 * passed_s / _FORGET_S)
    found.slowness = 1.0 + (found.slowness - 1.0) * kept
    found.failures *= 0.5 ** (2 * passed_s / _FAILURE_S)
    _drop_before(found.requests, now - _STAY_S)
    _drop_before(found.prefixes, now - _CACHED_S)


def _drop_before(noted: dict[str, float], before: float) -> None:
  """Drops what was noted before then; the oldest come first."""
  while noted:
    oldest = next(iter(noted))
    if noted[oldest] >= before:
      return
    del noted[oldest]
