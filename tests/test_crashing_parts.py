"""Prompt parts that crash the servers that begin to write on them.

Requests with such a part come at any router, no two of them alike. Sound
requests share their caller, their route and all their other parts.
"""

import itertools

import anyio
import testtools

from mustardfall.emulator import server as server_lib
from tests import platformcase
from tests import test_gateway

_MAX_CRASHES = 5
"""Crashes after which such requests must soon reach no server."""
_CONTACT_S = 3.0
"""Time after the fifth crash within which all routers must know."""
_MAX_LATER_REQUESTS = 3
"""Requests that may reach a server after that time."""
_SERVED_SHARE = 0.97
"""Least share of the sound requests that are served at the first attempt."""
_BAD = "bad0"
_SERVERS = tuple(f"i-{n}" for n in range(8))


class _Load:
  """Sends requests with the bad part, and sound ones, to all routers in turn.

  Args:
    env: the environment.
    parts: the shared parts of the sound requests.
    bad_parts: the shared parts of the others.
    delay_s: how long a server works before it begins to write.
    sound_key: the API key of the sound requests; by default that of the others.
    more: further behaviour of the servers.
  """

  def __init__(
      self, env, parts, bad_parts, delay_s=0.0, sound_key="", **more
  ) -> None:
    self._env = env
    self._sound_key = sound_key or platformcase.KEY
    self._parts = parts
    self._bad_parts = bad_parts
    self._behaviour = server_lib.Behaviour(
        events=3,
        event_interval_s=0.02,
        crash_on_part=_BAD,
        response_delay_s=delay_s,
        **more,
    )
    for server in env.servers.values():
      server.behaviour = self._behaviour
    self._numbers = itertools.count()
    self.bad_statuses: list[int] = []
    self.sound_statuses: list[int] = []
    self.sound_took_s: list[float] = []
    self.bad_sent_at: list[float] = []

  async def call(self, parts, statuses, path="/text/a") -> None:
    """Sends a request that is unlike all others."""
    number = next(self._numbers)
    prefix = ",".join(f"{part}:100" for part in (*parts, f"e{number:06x}"))
    is_bad = statuses is self.bad_statuses
    routers = self._env.gateways[-3:]
    began_at = anyio.current_time()
    response = await self._env.call(
        path,
        f"r{number}",
        routers[number % len(routers)],
        body=b"%d" % number,
        prompt_prefix=prefix,
        credential=platformcase.KEY if is_bad else self._sound_key,
        token_usage="300,10",
        model="m",
    )
    if statuses is self.sound_statuses:
      self.sound_took_s.append(anyio.current_time() - began_at)
    statuses.append(response.status if response.is_complete else 0)

  async def run(self, seconds: float, bad_per_s=5.0, sound_per_s=20.0) -> None:
    """Sends requests of both kinds for some time."""
    async with anyio.create_task_group() as tg:
      tg.start_soon(self._env.restart_crashed_servers, self._behaviour)
      async with anyio.create_task_group() as calls:
        calls.start_soon(self._send, seconds, bad_per_s, True)
        calls.start_soon(self._send, seconds, sound_per_s, False)
      tg.cancel_scope.cancel()

  async def _send(self, seconds: float, per_s: float, is_bad: bool) -> None:
    async with anyio.create_task_group() as tg:
      for _ in range(int(seconds * per_s)):
        if is_bad:
          tg.start_soon(self.call, self._bad_parts, self.bad_statuses)
        else:
          tg.start_soon(self.call, self._parts, self.sound_statuses)
        await anyio.sleep(1 / per_s)


class CrashingPartTest(testtools.TestCase):

  async def _warm_up(self, load):
    """Lets each router earn retries and serve the sound parts."""
    async with anyio.create_task_group() as tg:
      for _ in range(24):
        tg.start_soon(load.call, load._parts, [])

  async def _check(self, env, parts, bad_parts, port_range=(), **more):
    await env.add_routers(3, port_range)
    load = _Load(env, parts, bad_parts, **more)
    await self._warm_up(load)
    await load.run(_CONTACT_S)
    crashes = env.crash_count
    await load.run(3.0)
    served = load.sound_statuses.count(200)
    total = len(load.sound_statuses)
    self.assertTrue(env.crash_count <= _MAX_CRASHES, env.crash_count)
    self.assertTrue(
        env.crash_count - crashes <= _MAX_LATER_REQUESTS, env.crash_count
    )
    self.assertTrue(served >= _SERVED_SHARE * total, (served, total))
    self.assertEqual({503}, set(load.bad_statuses[-5:]))

  @test_gateway.in_environment(servers=_SERVERS, prepaid=10_000_000)
  async def test_few_servers_crash_on_a_part_in_the_middle(self, env):
    """Guards against blame for requests of which no two are alike."""
    await self._check(env, ("a0", "b0"), ("a0", _BAD))

  @test_gateway.in_environment(servers=_SERVERS, prepaid=10_000_000)
  async def test_few_servers_crash_on_the_first_part(self, env):
    """Guards against the same where the part begins the prompt."""
    await self._check(env, ("a0", "b0"), (_BAD, "b0"))

  @test_gateway.in_environment(servers=_SERVERS, prepaid=10_000_000)
  async def test_few_servers_crash_without_datagrams(self, env):
    """Guards against blame that routers learn by datagram only."""
    await self._check(env, ("a0", "b0"), ("a0", _BAD), port_range=(0,))

  @test_gateway.in_environment(
      servers=_SERVERS, prepaid=10_000_000, teams=("acme", "other")
  )
  async def test_part_that_crashes_servers_for_one_team_only(self, env):
    """Guards against blame for another team that uses the same parts."""
    parts = ("a0", _BAD)
    await self._check(
        env,
        parts,
        parts,
        sound_key="key-of-other",
        crash_for_team="acme",
    )
