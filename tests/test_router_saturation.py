"""Uneven demand: one host gets several times what its processor can serve.

A caller that sends a quarter of all requests keeps its connections at one small
host. The host's event loop falls behind, so that all its callers wait until
their deadlines while other hosts are nearly idle.
"""

import datetime
import math
import random

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from mustardfall import metrics
from mustardfall import settings
from mustardfall.proxy import host_load
from mustardfall.proxy import saturation_limiter
from mustardfall.routing import router_saturation
from mustardfall.util import clock as clock_lib
from tests import test_gateway

_CAPACITY_PER_S = 25.0
"""Requests that the host's processor serves a second."""
_CLOSING_COST = 0.05
"""Processor time of a connection closed unread, relative to a served request."""
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
    self.closed = 0

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
    share = router_saturation.closed_share(self._lag_s)
    if self._sheds and self._random.random() < share:
      self.closed += 1
      self._backlog_s += _CLOSING_COST / _CAPACITY_PER_S
    else:
      self.waits_s.append(self._backlog_s)
      self._backlog_s += 1 / _CAPACITY_PER_S


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
    """Guards against closing more than the excess."""
    host = self._run(2.5)
    self.assertTrue(len(host.waits_s) > 0.75 * 60 * _CAPACITY_PER_S)

  def test_host_with_room_closes_nothing(self):
    """Guards against closing connections that the host can serve."""
    self.assertEqual(0, self._run(0.5).closed)

  @hypothesis.given(strategies.floats())
  def test_odd_delays_never_close_all(self, lag_s):
    """Guards against a clock that ends all service."""
    for lag_s_ in (lag_s, math.nan):
      share = router_saturation.closed_share(lag_s_)
      self.assertTrue(0.0 <= share <= 0.9, share)


class LimiterTest(testtools.TestCase):

  def _limiter(
      self,
      lag_s: float,
      others: bool = True,
      enabled: bool = True,
      link_mbps: float = 0.0,
  ) -> saturation_limiter.SaturationLimiter:
    listen = settings.Listen(port=0)
    config = settings.Router(
        name="r",
        datacentre="dc",
        listen=listen,
        peer_listen=listen,
        kv_url="",
        hosts_url="",
        proxy=settings.Proxy(sheds_saturated=enabled),
        limits=settings.Limits(link_mbps=link_mbps),
    )
    self.clock = clock_lib.FakeClock()
    self.host_load = host_load.HostLoad(config, self.clock)
    self.host_load._lag_s = lag_s
    return saturation_limiter.SaturationLimiter(
        config,
        self.clock,
        self.host_load,
        lambda: others,
        metrics.Instruments("r"),
        random.Random(1),
    )

  def _closed(self, limiter) -> int:
    """Returns how many of 200 new connections are closed unread."""
    return sum(limiter.closes_unread() for _ in range(200))

  def test_saturated_router_closes_the_excess_unread(self):
    """Guards against requests that wait at a saturated router."""
    self.assertTrue(80 < self._closed(self._limiter(0.1)) < 120)

  def _run_link(self, offered: float, seconds: float = 40.0):
    """Offers a 5 Mbit/s link requests of 6 KB; returns those served a second.

    Args:
      offered: bytes a second, relative to the rate of the link.
      seconds: the time.
    """
    limiter = self._limiter(0.0, link_mbps=5.0)
    served = []
    size = 6_000
    per_s = offered * 625_000 / size
    measured_at = self.clock.monotonic()
    for number in range(int(seconds * per_s)):
      self.clock.advance(datetime.timedelta(seconds=1 / per_s))
      elapsed_s = self.clock.monotonic() - measured_at
      if elapsed_s >= 0.25:
        self.host_load.measure_rate(elapsed_s)
        measured_at += elapsed_s
      if not limiter.closes_unread():
        self.host_load.note_bytes(size)
        served.append(number / per_s)
    later = [at for at in served if at > seconds / 2]
    return len(later) * size / 625_000 / (seconds / 2)

  def test_full_link_carries_what_it_can(self):
    """Guards against callers whose packets wait at a link that is full."""
    for offered in (0.8, 1.5, 3.0):
      self.assertTrue(0.4 < self._run_link(offered) < 0.6, offered)

  def test_link_with_room_closes_nothing(self):
    """Guards against closing connections that the link can carry."""
    self.assertAlmostEqual(0.4, self._run_link(0.4), delta=0.01)

  @hypothesis.given(strategies.floats(), strategies.floats(0, 1e9))
  def test_odd_rates_never_close_all(self, utilisation, now):
    """Guards against a measurement that ends all service."""
    state = router_saturation.LinkState(0.5, 10.0)
    share = router_saturation.update_link(state, utilisation, now).share
    self.assertTrue(0.0 <= share <= 0.9, share)

  def test_only_router_serves_what_it_can(self):
    """Guards against closing connections that no other router could serve."""
    limiter = self._limiter(0.5, others=False)
    self.assertEqual(0, self._closed(limiter))
    self.assertFalse(limiter.is_saturated)

  def test_nothing_is_closed_unless_configured(self):
    """Guards against a change for deployments that did not ask for it."""
    limiter = self._limiter(0.5, enabled=False)
    self.assertEqual(0, self._closed(limiter))
    self.assertFalse(limiter.is_saturated)


class GatewayTest(testtools.TestCase):

  async def _saturate(self, env) -> None:
    """Makes the first gateway take its processor for saturated."""
    limiter = env.gateway.http_server._saturation
    limiter._is_enabled = True
    env.gateway.host_load.note_delay = lambda late_s: None
    env.gateway.host_load._lag_s = 0.06
    limiter._has_others = lambda: True

  @test_gateway.in_environment()
  async def test_caller_of_a_saturated_router_is_told_to_reconnect(self, env):
    """Guards against kept connections that bind a caller to a saturated router."""
    await self._saturate(env)
    env.gateway.http_server._saturation._random = _Drawn(1.0)
    response = await env.call("/look/a", "r1")
    self.assertEqual(200, response.status)
    self.assertEqual("close", response.headers["connection"])

  @test_gateway.in_environment()
  async def test_connection_to_a_saturated_router_is_closed_unread(self, env):
    """Guards against requests that are read, and so count as served here."""
    await self._saturate(env)
    env.gateway.http_server._saturation._random = _Drawn(0.0)
    try:
      status = (await env.call("/look/a", "r1")).status
    except (anyio.BrokenResourceError, anyio.EndOfStream):
      status = 0
    self.assertEqual(0, status)
    self.assertEqual([], env.servers["i-1"].received)


class _Drawn:
  """Draws the same number each time."""

  def __init__(self, drawn: float) -> None:
    self._drawn = drawn

  def random(self) -> float:
    """Returns the number."""
    return self._drawn
