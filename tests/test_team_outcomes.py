"""How busy a host is, and which team is served least, as routers log it."""

import datetime
import io
import json
import logging

from click import testing
import testtools

from mustardfall import cli
from mustardfall import settings
from mustardfall.proxy import host_load
from mustardfall.proxy import team_outcomes
from mustardfall.routing import configuration
from mustardfall.util import clock as clock_lib
from tests import test_gateway


def _line(team: str, status: int, reason: str, lag_ms: int = 0) -> str:
  message = "request refused" if status >= 300 else "request ended"
  field = "reason" if status >= 300 else "outcome"
  fields = {"message": message, "team": team, "status": status, field: reason}
  return json.dumps(fields | {"lag_ms": lag_ms})


class TeamOutcomesTest(testtools.TestCase):

  def test_team_that_is_hardly_served_comes_first(self):
    """Guards against a starved team that sums over all teams hide."""
    lines = [_line("large", 200, "answered")] * 98
    lines += [_line("small", 429, "budget cannot cover it now", 700)] * 9
    lines += [_line("small", 200, "answered"), "not JSON", "{}", '{"a": [']
    responses = team_outcomes.read_responses("router-1", lines)
    first, second = team_outcomes.count(responses)
    self.assertEqual(("small", 0.1, 10), (first.team, first.served_share, 10))
    self.assertEqual(9, first.reasons["429 budget cannot cover it now"])
    self.assertEqual({"router-1": 10}, dict(first.routers))
    self.assertEqual(700, first.median_lag_ms)
    self.assertEqual(98, second.served)

  def test_router_is_named_by_the_prefix_of_a_line(self):
    """Guards against a collected log whose routers count as one."""
    lines = ["  1.5 router-2 " + _line("a", 200, "answered")]
    (response,) = team_outcomes.read_responses("all", lines)
    self.assertEqual("router-2", response.router)

  def test_command_prints_the_table(self):
    """Guards against a report that operators cannot run."""
    runner = testing.CliRunner()
    with runner.isolated_filesystem():
      with open("router-1.log", "w", encoding="utf-8") as log:
        log.write(_line("acme", 503, "no endpoint free") + "\n")
      result = runner.invoke(cli.main, ["requests", "teams", "router-1.log"])
    self.assertEqual(0, result.exit_code, result.output)
    self.assertIn("acme  1 503 no endpoint free", result.output)


class TeamChangesTest(testtools.TestCase):

  def _configuration(self, version, **teams):
    found = [
        configuration.Team(name, keys, None, 100)
        for name, keys in teams.items()
    ]
    limits = configuration.DEFAULT_LIMITS
    return configuration.Configuration(version, [], [], found, limits)

  def test_teams_whose_keys_change_are_named(self):
    """Guards against an unknown key of which nothing says whose it was."""
    old = self._configuration(1, a=("k1", "k2"), b=("k3",))
    new = self._configuration(2, a=("k2",), b=("k3",))
    (change,) = configuration.team_changes(old, new)
    self.assertEqual(("a", 1, []), change[:3])
    self.assertEqual([configuration.key_digest("k1")], change.removed)


class HostLoadTest(testtools.TestCase):

  def _host_load(self) -> host_load.HostLoad:
    listen = settings.Listen(port=0)
    config = settings.Router(
        name="r",
        datacentre="dc",
        listen=listen,
        peer_listen=listen,
        kv_url="",
        hosts_url="",
        limits=settings.Limits(link_mbps=8.0),
    )
    self.clock = clock_lib.FakeClock()
    return host_load.HostLoad(config, self.clock)

  def test_late_timers_are_logged_as_they_begin_and_end(self):
    """Guards against a saturated host whose log does not say so."""
    load = self._host_load()
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    host_load.logger.addHandler(handler)
    host_load.logger.setLevel(logging.INFO)
    try:
      for late_s in [0.5] * 30 + [0.0] * 30:
        self.clock.advance(datetime.timedelta(seconds=0.1))
        load.note_delay(late_s)
    finally:
      host_load.logger.removeHandler(handler)
    count = stream.getvalue().count("host load changed")
    self.assertTrue(2 <= count <= 6, count)
    self.assertTrue(load.lag_s < 0.05)

  def test_use_of_the_link_is_relative_to_its_rate(self):
    """Guards against a full link that counts as idle."""
    load = self._host_load()
    for _ in range(12):
      load.note_bytes(500_000)
      load.measure_rate(0.5)
    self.assertAlmostEqual(1.0, load.link_utilisation, delta=0.01)

  @test_gateway.in_environment()
  async def test_refusals_say_how_busy_the_host_is(self, env):
    """Guards against time-outs of a busy host that look like those of others."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    formatter = logging.Formatter("%(message)s %(lag_ms)s %(facts)s")
    handler.setFormatter(formatter)
    logger = logging.getLogger("mustardfall.proxy.request_log")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
      response = await env.call("/look/a", "r1", credential="unknown")
    finally:
      logger.removeHandler(handler)
    self.assertEqual(401, response.status)
    self.assertIn("request refused 0", stream.getvalue())
    self.assertIn(configuration.key_digest("unknown"), stream.getvalue())
