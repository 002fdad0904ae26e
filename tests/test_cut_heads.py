"""Endpoints that stop within the head of their answer."""

import itertools

import testtools

from mustardfall.emulator import server as server_lib
from tests import test_gateway

_PATHS = ("/look/a", "/book/a", "/text/a", "/once/a")
"""A safe, an unsafe and two streaming routes, one of them resumable."""
_MAX_CUT_BYTES = 150
"""Most bytes that are missing at the end of a head; more than a head has."""


class CutHeadTest(testtools.TestCase):

  async def _check(self, env, path: str, behaviour: server_lib.Behaviour):
    """Checks that a request whose response head is cut gets no success."""
    env.servers["i-1"].behaviour = behaviour
    id_ = f"{path[1]}-{behaviour.cut_head_at}-{behaviour.reset}"
    async with env.caller() as caller:
      await caller.send(path, id_)
      response = await caller.receive()
    seen = (path, behaviour, response)
    is_success = 200 <= response.status < 300  # noqa: PLR2004
    self.assertFalse(is_success and response.is_complete, seen)
    self.assertFalse(is_success and response.body, seen)

  @test_gateway.in_environment(servers=("i-1",))
  async def test_no_position_of_the_cut_gives_a_success(self, env):
    """Guards against an empty or short body framed as a whole answer."""
    cuts = itertools.product(
        range(-_MAX_CUT_BYTES, 0, 3), (False, True), (False, True), _PATHS
    )
    for position, reset, close_delimited, path in cuts:
      behaviour = server_lib.Behaviour(
          cut_head_at=position,
          reset=reset,
          events=0 if path in ("/look/a", "/book/a") else 2,
          close_delimited=close_delimited,
      )
      await self._check(env, path, behaviour)
