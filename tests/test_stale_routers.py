"""Routers that are out of step while endpoints of a new version join.

The others begin streams at the new version. When these break off, their callers
take them up at the router that does not know of it.
"""

import contextlib
from unittest import mock

import anyio
import testtools

from tests import platformcase
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


class StaleListTest(testtools.TestCase):

  async def _check(self, env, **more):
    """Takes streams of a new version up at a router that does not know it."""
    for server in env.servers.values():
      server.behaviour.events = _EVENTS
    stale, fresh = env.gateway, (await env.add_routers(1))[0]
    await anyio.sleep(_LISTED_S)
    with _out_of_step(stale):
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
        await caller.attempt(stale, **more)
        callers.append(caller)
    joined = [c.versions for c in callers if len(c.versions) > 1]
    self.assertEqual([], joined, [c.statuses for c in callers])

  @test_gateway.in_environment(servers=("i-1",))
  async def test_stream_that_names_its_begin_is_not_joined(self, env):
    """Guards against a stream of two versions at a router with an old list."""
    await self._check(env)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_stream_that_names_no_begin_is_not_joined(self, env):
    """Guards against the same where only the last event is named."""
    await self._check(env, resumes="")
