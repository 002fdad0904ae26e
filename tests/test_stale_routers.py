"""Routers that are out of step while endpoints of a new version join.

The others begin streams at the new version. When these break off, their callers
take them up at the router that does not know of it.
"""

import contextlib
import signal
from unittest import mock

import anyio
import testtools

from mustardfall.emulator import network as network_lib
from tests import platformcase
from tests import processcase
from tests import test_gateway

_EVENTS = 6
_LISTED_S = 8.0
"""Longer than callers wait, and than a record of a stream is kept after it."""
_STALE_S = (0.1, 0.4, 0.8, 1.2, 1.6, 2.5)
"""How long the router is out of step when streams are taken up."""


@contextlib.contextmanager
def _out_of_step(gateway):
  """Keeps lists of servers from a router, as if it stood still."""

  async def ignore(*args):
    del args

  with mock.patch.object(gateway, "apply_endpoints", ignore):
    yield


@contextlib.contextmanager
def _deaf(gateway):
  """Loses the datagrams to a router, and not those that it sends."""
  names = ("_note_heard", "_handle")
  ignored = {name: lambda *args: None for name in names}
  with mock.patch.multiple(gateway.datagrams, **ignored):
    yield


class StaleListTest(testtools.TestCase):

  async def _check(self, env, stale, fresh, **more):
    """Takes streams of a new version up at routers that do not know it."""
    await anyio.sleep(_LISTED_S)
    with contextlib.ExitStack() as out_of_step:
      for router in stale:
        out_of_step.enter_context(_out_of_step(router))
      began_at = anyio.current_time()
      new = env.add_server("i-new", "v2")
      new.behaviour.events = _EVENTS
      new.behaviour.reset_after_events = 2
      env.drain_server("i-1")
      rows = fresh.directory.endpoints.rows
      await env.wait_until(lambda: "i-new" in rows)
      await env.wait_until(lambda: rows["i-1"].state == "leaving")
      callers = []
      for due_s in _STALE_S:
        while anyio.current_time() < began_at + due_s:
          await anyio.sleep(0.01)
        caller = platformcase.StreamCaller(env, f"s{due_s}")
        await caller.attempt(fresh)
        self.assertEqual({"v2"}, caller.versions)
        for router in stale:
          await caller.attempt(router, **more)
        callers.append(caller)
    joined = [c.versions for c in callers if len(c.versions) > 1]
    self.assertEqual([], joined, [c.statuses for c in callers])

  async def _check_one(self, env, **more):
    """Checks one router with an old list beside one with a new list."""
    for server in env.servers.values():
      server.behaviour.events = _EVENTS
    fresh = (await env.add_routers(1))[0]
    await self._check(env, [env.gateway], fresh, **more)

  async def _check_fleet(
      self, env, stale_count, cut=None, is_deaf=False, **more
  ):
    """Checks three routers, of which some have an old list.

    Args:
      env: the environment.
      stale_count: the number of routers with an old list.
      cut: how these are cut off from the servers, so that they use tunnels.
      is_deaf: whether they hear no datagram, while the others hear theirs.
      more: headers of the resumptions.
    """
    for server in env.servers.values():
      server.behaviour.events = _EVENTS
    routers = await env.add_routers(3)
    stale, fresh = routers[:stale_count], routers[-1]
    if cut is not None:
      for router in stale:
        env.network.cut(router.config.name, cut)
    with contextlib.ExitStack() as losses:
      for router in stale if is_deaf else ():
        losses.enter_context(_deaf(router))
      await self._check(env, stale, fresh, **more)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_stream_that_names_its_begin_is_not_joined(self, env):
    """Guards against a stream of two versions at a router with an old list."""
    await self._check_one(env)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_stream_that_names_no_begin_is_not_joined(self, env):
    """Guards against the same where only the last event is named."""
    await self._check_one(env, resumes="")

  @test_gateway.in_environment(servers=("i-1",))
  async def test_streams_at_several_routers_with_old_lists(self, env):
    """Guards against an old list that a second router confirms."""
    await self._check_fleet(env, 2)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_streams_without_begin_at_several_routers(self, env):
    """Guards against the same where only the last event is named."""
    await self._check_fleet(env, 2, resumes="")

  @test_gateway.in_environment(servers=("i-1",))
  async def test_streams_through_tunnels_of_a_router_with_an_old_list(
      self, env
  ):
    """Guards against tunnels to a server of the old version."""
    await self._check_fleet(env, 1, network_lib.Cut.RESET)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_streams_without_begin_through_tunnels(self, env):
    """Guards against the same where only the last event is named."""
    await self._check_fleet(env, 1, network_lib.Cut.RESET, resumes="")

  @test_gateway.in_environment(servers=("i-1",))
  async def test_streams_at_a_router_that_only_sends(self, env):
    """Guards against a cut in one direction that hides a new version."""
    await self._check_fleet(env, 1, is_deaf=True)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_streams_without_begin_at_a_router_that_only_sends(self, env):
    """Guards against the same where only the last event is named."""
    await self._check_fleet(env, 1, is_deaf=True, resumes="")


class StandstillTest(testtools.TestCase):

  def _check(self, stopped_s: float, crashes: bool, **more: str) -> None:
    """Takes streams up at a router that has stood still for some time."""

    async def go():
      with anyio.fail_after(60):
        async with processcase.running_pair() as env:
          await self._play(env, stopped_s, crashes, more)

    anyio.run(go)

  async def _play(self, env, stopped_s, crashes, more) -> None:
    stale, fresh = env.routers
    await anyio.sleep(_LISTED_S)
    stale.signal(signal.SIGSTOP)
    began_at = anyio.current_time()
    new = env.add_server("i-new", "v2")
    for server in env.servers.values():
      server.behaviour.events = _EVENTS
    new.behaviour.reset_after_events = 2
    env.list_server("i-1", env.servers["i-1"].port, "v1", "draining")
    callers = [platformcase.StreamCaller(env, f"s{n}") for n in range(40)]
    for caller in callers:
      if anyio.current_time() > began_at + stopped_s - 0.05:
        break
      await caller.attempt(fresh)
      await anyio.sleep(0.03)
    if crashes:
      await new.crash()
    begun = [caller for caller in callers if caller.versions == {"v2"}]
    await anyio.sleep(max(0.0, began_at + stopped_s - anyio.current_time()))
    stale.signal(signal.SIGCONT)
    async with anyio.create_task_group() as tasks:
      for caller in begun:
        tasks.start_soon(lambda c=caller: c.attempt(stale, **more))
    joined = [c.statuses for c in begun if len(c.versions) > 1]
    self.assertTrue(begun)
    self.assertEqual([], joined)

  def test_stream_without_resumes_after_a_short_standstill(self):
    """Guards against datagrams of the standstill that make an old list look new."""
    self._check(1.1, crashes=False, resumes="")

  def test_stream_without_resumes_after_a_long_standstill(self):
    """Guards against the same where the old list has seemed outdated before."""
    self._check(3.0, crashes=True, resumes="")

  def test_stream_with_resumes_after_a_short_standstill(self):
    """Guards against a stream of two versions where the caller names its begin."""
    self._check(1.1, crashes=True)
