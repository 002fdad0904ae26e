"""The status of an endpoint, kept by the router that tracks it.

In a large fleet, a router sends an endpoint one request per half minute, which
is too few to know its queue or measure its speed. Each endpoint is therefore
tracked by one router. The others report to it every request that they send
there, its first token and its end, and query it before they choose an endpoint.
"""

import dataclasses
from typing import NamedTuple

from mustardfall.routing import engine_memory
from mustardfall.routing import server_speed

_CACHE_LIFETIME_S = 15.0
"""How long an unused prefix is assumed to stay in an endpoint's cache."""
_MAX_PREFILL_S = 10.0
"""Bound on the prefill reported for one request, longer than that of the
longest prompt that fits into an engine's memory. Without it, one wrong report
could keep the endpoint from being chosen ever again."""
_REQUEST_LIFETIME_S = 8.0
"""A request whose end was not reported is assumed to have ended after this."""
_ENDPOINT_LIFETIME_S = 60.0
"""An endpoint that was not reported on for this long is removed."""
_SLOWNESS_WEIGHT = 0.25
"""Weight of the newest first token in the moving average. An engine sends about
five a second to all routers, so that a slow one is noticed within a second."""
_SLOWNESS_DECAY_S = 4.0
"""Time in which a slowness's deviation from 1 decays to a quarter if no first
token comes: a slow endpoint that is no longer chosen must be tried again."""
_FAILURE_DECAY_S = 1.5
"""Time in which the number of failures decays to a quarter."""
_MIN_EXPECTED_S = 0.05
"""Expected times are raised to this; in shorter ones, batch steps and network
latency outweigh the endpoint's speed."""
_MAX_RATIO = 6.0
"""Limits how much slower or faster than expected one first token counts."""


class EndpointStatus(NamedTuple):
  """An endpoint's status, as sent to a router that may choose it."""

  in_flight: int
  """Requests in flight there, of all routers."""
  prefill_s: float
  """Seconds until it has prefilled all prompts that it was sent."""
  prefix_cached: bool
  """Whether it was recently sent the prefix in question."""
  slowness: float
  """Moving average of the time to first token, relative to the expected one."""
  failures: float
  """Recently failed attempts; decays."""
  speed: server_speed.Speed = server_speed.UNKNOWN_SPEED
  """How fast it works, learned over a longer time than `slowness`."""
  usage: engine_memory.Usage = engine_memory.EMPTY
  """What the runs there hold of its memory."""
  holds_prefix: bool = False
  """Whether a run there holds the prefix in question."""


UNKNOWN = EndpointStatus(0, 0.0, False, 1.0, 0.0)
"""The status of an endpoint without any report."""


@dataclasses.dataclass
class _State:
  """What the tracker knows of one endpoint; times are monotonic seconds."""

  last_used_at: float
  """When it was last reported on."""
  prefill_done_at: float = 0.0
  """When it will have prefilled the prompts that it was sent."""
  requests: dict[str, float] = dataclasses.field(default_factory=dict)
  """Requests in flight there, and when each was sent."""
  runs: engine_memory.Book = dataclasses.field(
      default_factory=engine_memory.Book
  )
  """Those of them whose need of memory is known."""
  prefixes: dict[str, float] = dataclasses.field(default_factory=dict)
  """Prefixes that it was sent, and when each was last sent."""
  slowness: float = 1.0
  estimate: server_speed.Estimate = server_speed.UNMEASURED
  """The measured times from which its speed is estimated."""
  failures: float = 0.0
  decayed_at: float = 0.0
  """When the decay was last applied to slowness and failures."""


class Tracker:
  """The endpoints that this router tracks; all times in monotonic seconds."""

  def __init__(self) -> None:
    self._states: dict[str, _State] = {}
    self._last_purge_at = 0.0

  def status_of(self, endpoint: str, prefix: str, now: float) -> EndpointStatus:
    """Returns an endpoint's status for a request with `prefix`."""
    state = self._states.get(endpoint)
    if state is None:
      return UNKNOWN
    self._decay(state, now)
    sent_at = state.prefixes.get(prefix)
    usage = state.runs.usage(now)
    return EndpointStatus(
        in_flight=len(state.requests),
        prefill_s=max(0.0, state.prefill_done_at - now),
        prefix_cached=sent_at is not None
        and now - sent_at <= _CACHE_LIFETIME_S,
        slowness=state.slowness,
        failures=state.failures,
        speed=server_speed.speed_of(state.estimate, now),
        usage=usage,
        holds_prefix=prefix in usage.parts,
    )

  def speeds(self, now: float) -> dict[str, server_speed.Speed]:
    """Returns what was learned of the speed of each endpoint."""
    return {
        endpoint: server_speed.speed_of(state.estimate, now)
        for endpoint, state in self._states.items()
        if state.estimate.nominal_s
    }

  def note_sent(
      self,
      endpoint: str,
      request: str,
      prefix: str,
      prefill_s: float,
      now: float,
      run: engine_memory.Run | None = None,
  ) -> None:
    """Records that a request is being sent to an endpoint.

    Args:
      endpoint: the endpoint's life (one run of its process).
      request: identifies the request among those of all routers.
      prefix: the prompt's prefix; empty: none.
      prefill_s: expected time to prefill its prompt there.
      now: the current time.
      run: what it needs of the endpoint's memory; None: that is not known.
    """
    state = self._state_of(endpoint, now)
    state.requests[request] = now
    begin = max(now, state.prefill_done_at)
    bounded_s = min(max(0.0, prefill_s), _MAX_PREFILL_S)
    speed = server_speed.speed_of(state.estimate, now)
    ratio = state.slowness * server_speed.ratio_of(speed, 1.0)
    state.prefill_done_at = begin + bounded_s * ratio
    if run is not None:
      begins_s = state.prefill_done_at - now
      state.runs.add(request, run._replace(prefill_s=begins_s, sent_at=now))
    if prefix:
      state.prefixes.pop(prefix, None)
      state.prefixes[prefix] = now

  def note_first_token(
      self,
      endpoint: str,
      expected_s: float,
      took_s: float,
      now: float,
      measured: server_speed.Measurement | None = None,
  ) -> None:
    """Records how long a first token took, or has taken so far.

    Args:
      endpoint: the endpoint's life (one run of its process).
      expected_s: the time that was expected.
      took_s: the actual time.
      now: the current time.
      measured: what the time says of the endpoint's speed; None: nothing.
    """
    state = self._state_of(endpoint, now)
    self._decay(state, now)
    if measured is not None:
      state.estimate = server_speed.add(state.estimate, measured, now)
    ratio = took_s / max(expected_s, _MIN_EXPECTED_S)
    ratio = min(max(ratio, 1 / _MAX_RATIO), _MAX_RATIO)
    state.slowness += _SLOWNESS_WEIGHT * (ratio - state.slowness)

  def note_end(
      self, endpoint: str, request: str, failed: bool, now: float
  ) -> None:
    """Records that a request has ended or was aborted."""
    state = self._state_of(endpoint, now)
    self._decay(state, now)
    state.requests.pop(request, None)
    state.runs.remove(request, failed, now)
    state.failures += failed

  def _state_of(self, endpoint: str, now: float) -> _State:
    if now - self._last_purge_at >= _ENDPOINT_LIFETIME_S:
      self._purge(now)
    state = self._states.get(endpoint)
    if state is None:
      state = self._states[endpoint] = _State(now, decayed_at=now)
    state.last_used_at = now
    return state

  def _purge(self, now: float) -> None:
    """Removes endpoints that were not reported on for long."""
    self._last_purge_at = now
    for endpoint, state in list(self._states.items()):
      if now - state.last_used_at >= _ENDPOINT_LIFETIME_S:
        del self._states[endpoint]

  def _decay(self, state: _State, now: float) -> None:
    """Applies the decay for the time since it was last applied."""
    elapsed_s = max(0.0, now - state.decayed_at)
    state.decayed_at = now
    kept = 0.5 ** (2 * elapsed_s / _SLOWNESS_DECAY_S)
    state.slowness = 1.0 + (state.slowness - 1.0) * kept
    state.failures *= 0.5 ** (2 * elapsed_s / _FAILURE_DECAY_S)
    _remove_older(state.requests, now - _REQUEST_LIFETIME_S)
    _remove_older(state.prefixes, now - _CACHE_LIFETIME_S)


def _remove_older(times: dict[str, float], before: float) -> None:
  """Removes entries older than `before`, given that the oldest come first."""
  while times:
    oldest = next(iter(times))
    if times[oldest] >= before:
      return
    del times[oldest]
