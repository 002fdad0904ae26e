"""Uneven demand: one host gets several times what its processor can serve.

A caller that sends a quarter of all requests keeps its connections at one small
host. The host's event loop falls behind, so that all its callers wait until
their deadlines while other hosts are nearly idle.
"""

import math
import random
from typing import NamedTuple

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall import metrics
from mustardfall import settings
from mustardfall.proxy import refusals
from mustardfall.proxy import saturation_limiter
from mustardfall.routing import router_saturation

_CAPACITY_PER_S = 25.0
"""Requests that the host's processor serves a second."""
_REJECTION_COST = 0.1
"""Processor time of a rejected request, relative to a served one."""
_LAG_INTERVAL_S = 0.1
_LAG_WEIGHT = 0.2


class _Host:
  """A host that serves requests one after the other."""

  def __init__(self, sheds: bool, seed: int) -> None:
    self._sheds = sheds
    self._random = random.Random(seed)
    self._backlog_s = 0.0
    self._lag_s = 0.0
    self.waits_s: list[float] = []
    """Time that each served request waited for the processor."""
    self.rejected = 0

  def run(self, per_s: float, seconds: float) -> None:
    """Receives requests at a steady rate."""
    now = at = lag_at = 0.0
    while now < seconds:
      at = now + self._random.expovariate(per_s)
      self._backlog_s = max(0.0, self._backlog_s - (at - now))
      now = at
      while lag_at <= now:
        self._lag_s += _LAG_WEIGHT * (self._backlog_s - self._lag_s)
        lag_at += _LAG_INTERVAL_S
      self._receive()

  def _receive(self) -> None:
    share = router_saturation.rejected_share(self._lag_s, 0.5)
    if self._sheds and self._random.random() < share:
      self.rejected += 1
      self._backlog_s += _REJECTION_COST / _CAPACITY_PER_S
    else:
      self.waits_s.append(self._backlog_s)
      self._backlog_s += 1 / _CAPACITY_PER_S


class _Sequencer(NamedTuple):
  """Stands for a stream's sequencer."""

  last_event_id: int | None


class _Context(NamedTuple):
  """Stands for a request's context."""

  sequencer: _Sequencer
  priority: int = 0


class PolicyTest(testtools.TestCase):

  def _run(self, load: float, sheds: bool = True) -> _Host:
    host = _Host(sheds, seed=1)
    host.run(load * _CAPACITY_PER_S, 60.0)
    return host

  def test_saturated_host_answers_the_others_soon(self):
    """Guards against a saturated host whose callers all wait for seconds."""
    host = self._run(2.5)
    settled = sorted(host.waits_s[len(host.waits_s) // 5 :])
    self.assertTrue(settled[len(settled) * 3 // 4] < 0.3, settled[-1])
    waiting = sorted(self._run(2.5, sheds=False).waits_s)
    self.assertTrue(waiting[len(waiting) // 2] > 5.0)

  def test_saturated_host_serves_what_it_can(self):
    """Guards against rejecting more than the excess."""
    host = self._run(2.5)
    self.assertTrue(len(host.waits_s) > 0.75 * 60 * _CAPACITY_PER_S)

  def test_host_with_room_rejects_nothing(self):
    """Guards against rejecting requests that the host can serve."""
    self.assertEqual(0, self._run(0.5).rejected)

  def test_urgent_requests_are_rejected_less_often(self):
    """Guards against rejecting the most urgent requests like all others."""
    shares = [router_saturation.rejected_share(0.08, r) for r in (0, 0.5, 1)]
    self.assertEqual(sorted(shares), shares)
    self.assertTrue(shares[0] < shares[1] < shares[2])

  @hypothesis.given(strategies.floats(), strategies.floats())
  def test_odd_delays_and_ranks_never_reject_all(self, lag_s, rank):
    """Guards against a clock or a priority that ends all service."""
    for rank_ in (rank, math.nan):
      share = router_saturation.rejected_share(lag_s, rank_)
      self.assertTrue(0.0 <= share <= 0.9, share)
    share = router_saturation.rejected_share(math.nan, rank)
    self.assertTrue(0.0 <= share <= 0.9, share)


class LimiterTest(testtools.TestCase):

  def _limiter(self, lag_s: float, others: bool = True, enabled: bool = True):
    listen = settings.Listen(port=0)
    config = settings.Router(
        name="r",
        datacentre="dc",
        listen=listen,
        peer_listen=listen,
        kv_url="",
        hosts_url="",
        proxy=settings.Proxy(sheds_saturated=enabled),
    )
    return saturation_limiter.SaturationLimiter(
        config,
        lambda: lag_s,
        lambda: others,
        lambda: None,
        metrics.Instruments("r"),
        random.Random(1),
    )

  def _rejections(self, limiter, last_event=None) -> list:
    """Returns the rejections among 200 requests."""
    found = []
    context = _Context(_Sequencer(last_event))
    for _ in range(200):
      try:
        limiter.refuse_if_saturated(context)
      except refusals.RefusalError as refusal:
        found.append(refusal)
    return found

  def test_saturated_router_rejects_and_names_a_short_time(self):
    """Guards against callers that wait before they try another router."""
    found = self._rejections(self._limiter(0.5))
    self.assertTrue(len(found) > 50)
    self.assertEqual({503}, {refusal.status for refusal in found})
    self.assertTrue(max(refusal.retry_after_s for refusal in found) < 0.1)
    self.assertTrue(len({refusal.retry_after_s for refusal in found}) > 10)

  def test_only_router_serves_what_it_can(self):
    """Guards against rejecting requests that no other router could serve."""
    self.assertEqual([], self._rejections(self._limiter(0.5, others=False)))

  def test_resumed_streams_are_served(self):
    """Guards against breaking off streams that have begun."""
    limiter = self._limiter(0.5)
    self.assertEqual([], self._rejections(limiter, last_event=3))

  def test_nothing_is_rejected_unless_configured(self):
    """Guards against a change for deployments that did not ask for it."""
    self.assertEqual([], self._rejections(self._limiter(0.5, enabled=False)))
