"""Budgets after the host of a router was lost for good."""

import base64
import json
from typing import Any

import anyio
import testtools

from mustardfall.budget import ledger
from tests import platformcase

_PREPAID = 200_000
_USAGE = "1900,100"
_REQUESTS_BEFORE = 30
_MAX_LOST_SHARE = 0.3
"""Default of `allotment.outage_share`."""
_REQUEST_TOKENS = 2_000
"""Reserved by each request."""
_WAIT_S = 12.0
"""More than the lease and the grace period of the tests' routers."""


def _ledger(env: platformcase.Environment) -> dict[str, Any]:
  return json.loads(base64.b64decode(env.store.items["budget/acme"].value))


class LostHostTest(testtools.TestCase):

  def test_most_tokens_of_a_lost_host_return(self):
    """Guards against tokens lost with a host that never comes back."""
    reserved = _REQUESTS_BEFORE * _REQUEST_TOKENS

    async def run():
      async with platformcase.running(prepaid=_PREPAID) as env:
        routers = await env.add_routers(2)
        for number in range(_REQUESTS_BEFORE):
          router = routers[number % len(routers)]
          response = await env.call(
              "/text/a", f"r{number}", router, token_usage=_USAGE, model="m"
          )
          self.assertEqual(200, response.status)
        await anyio.sleep(1.5)  # the use is reported
        before = _ledger(env)
        gid = max(before["grants"], key=before["grants"].get)
        holder = ledger.holder(gid).partition(":")[0]
        held = before["grants"][gid]
        lost = [r for r in env.gateways if r.config.name == holder]
        env.kill(lost[0])
        survivor = next(r for r in routers if r is not lost[0])
        with anyio.fail_after(_WAIT_S):
          while gid not in _ledger(env)["lost"]:
            # Routers read the ledger of a budget while it is drawn on.
            await env.call(
                "/text/a", "after", survivor, token_usage=_USAGE, model="m"
            )
            await anyio.sleep(0.2)
        after = _ledger(env)
        # What requests have reserved and is not billed yet counts as drawn.
        unbilled = reserved - before["spent"]
        most_lost = _MAX_LOST_SHARE * _PREPAID + unbilled
        self.assertTrue(held > most_lost, before)
        self.assertTrue(after["lost"][gid] <= most_lost, (before, after))

    allotment = {
        "headroom_share": 0.8,
        "share_held": 1.0,
        "part_horizon_s": 0.0,
        "reports": True,
    }
    settings = platformcase.ROUTER_SETTINGS | {"allotment": allotment}
    self.patch(platformcase, "ROUTER_SETTINGS", settings)
    anyio.run(run)
