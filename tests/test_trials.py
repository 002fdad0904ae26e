"""Requests with an open unit run one at a time at all routers.

Three routers on sockets share the permits of the unit; one of them may be killed
while its request runs.
"""

import anyio
import testtools

from mustardfall.routing import quarantine
from tests import test_gateway

_UNIT = "part-p"
"""Its permits, as those of `p3` and `p4`, are issued by a router that exchanges
datagrams."""
_PERMIT_TERM_S = 3.0


class TrialsTest(testtools.TestCase):

  def _open(self, routers, *units):
    """Has two endpoints crash under requests with the units."""
    for router in routers:
      for unit in units:
        for number in range(2):
          report = quarantine.CrashReport(
              unit, "acme", f"e{number}", 0.0, f"q{number}"
          )
          router.quarantine.note_crash(report)

  @test_gateway.in_environment()
  async def test_one_request_at_a_time_runs_in_the_fleet(self, env):
    """Guards against an open unit that is tried at several endpoints at once."""
    routers = await env.add_routers(3)
    self._open(routers, _UNIT)
    running, most, ended = 0, 0, 0

    async def _run(router, number):
      nonlocal running, most, ended
      trial = await router.trials.begin(f"r{number}", [_UNIT])
      running += 1
      most = max(most, running)
      await anyio.sleep(0.05)
      running -= 1
      ended += 1
      router.trials.end(trial, "test")

    async with anyio.create_task_group() as tasks:
      for number in range(9):
        tasks.start_soon(_run, routers[number % 3], number)
    self.assertEqual((1, 9), (most, ended))

  @test_gateway.in_environment()
  async def test_waiting_requests_run_once_the_unit_is_cleared(self, env):
    """Guards against requests that wait although the unit is sound."""
    routers = await env.add_routers(3)
    self._open(routers, _UNIT)
    trial = await routers[0].trials.begin("r0", [_UNIT])
    waited_s = []

    async def _wait(router):
      began_at = anyio.current_time()
      self.assertIsNone(await router.trials.begin("r1", [_UNIT]))
      waited_s.append(anyio.current_time() - began_at)

    async with anyio.create_task_group() as tasks:
      for router in routers:
        tasks.start_soon(_wait, router)
      await anyio.sleep(0.3)
      routers[0].verdicts.note_success(_UNIT)
      routers[0].trials.end(trial, "test")
    self.assertTrue(all(0.25 < s < 0.6 for s in waited_s), waited_s)

  @test_gateway.in_environment()
  async def test_waiting_requests_go_on_once_the_unit_is_quarantined(self, env):
    """Guards against requests that wait for what is refused anyway."""
    routers = await env.add_routers(3)
    self._open(routers, _UNIT)
    trial = await routers[0].trials.begin("r0", [_UNIT])
    with anyio.fail_after(1.0):
      async with anyio.create_task_group() as tasks:
        tasks.start_soon(routers[1].trials.begin, "r1", [_UNIT])
        await anyio.sleep(0.1)
        told = quarantine.QuarantineUpdate(_UNIT, "acme", 9.0, is_part=True)
        routers[1].quarantine.apply_update(told)
    routers[0].trials.end(trial, "test")

  @test_gateway.in_environment()
  async def test_trial_of_a_killed_router_ends(self, env):
    """Guards against a unit that nobody may try after a router was killed."""
    routers = await env.add_routers(3)
    self._open(routers, _UNIT)
    await routers[0].trials.begin("r0", [_UNIT])
    env.kill(routers[0])
    with anyio.fail_after(_PERMIT_TERM_S + 6.0):
      trial = await routers[1].trials.begin("r1", [_UNIT])
    self.assertIsNotNone(trial)

  @test_gateway.in_environment()
  async def test_caller_that_leaves_gives_its_permits_back(self, env):
    """Guards against permits held by a request that is gone."""
    (router,) = await env.add_routers(1)
    self._open([router], "p3", "p4")
    other = await router.trials.begin("r0", ["p4"])
    with anyio.move_on_after(1.5):
      await router.trials.begin("r1", ["p3", "p4"])
    with anyio.fail_after(1.0):
      trial = await router.trials.begin("r2", ["p3"])
    router.trials.end(trial, "test")
    router.trials.end(other, "test")
