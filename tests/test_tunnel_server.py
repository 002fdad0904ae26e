"""Tests of tunnels that are opened and not used."""

import contextlib

import anyio
import testtools

from mustardfall.bench import fleet
from mustardfall.proxy import tunnels
from tests import test_gateway


class TunnelServerTest(testtools.TestCase):

  async def _start(self, env, **connections):
    [router] = await env.add_routers(1, connections=connections)
    config = router.config
    return router, f"{config.peer_listen.host}:{config.tunnel_port}"

  async def _open(self, env, exit_address: str):
    endpoint = f"127.0.0.1:{env.servers['i-1'].port}"
    return await tunnels.connect(exit_address, endpoint, "r1", 1.0)

  async def _wait_until_closed(self, tunnel) -> None:
    with (
        anyio.fail_after(10),
        contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream),
    ):
      while True:
        await tunnel.receive()

  @test_gateway.in_environment()
  async def test_tunnel_through_which_nothing_passes(self, env):
    """Guards against tunnels that hold descriptors without end."""
    router, address = await self._start(env, tunnel_idle_s=0.3)
    tunnel = await self._open(env, address)
    self.assertEqual(1, router.tunnel_server.open_count)
    await self._wait_until_closed(tunnel)
    self.assertEqual(0, router.tunnel_server.open_count)

  @test_gateway.in_environment()
  async def test_tunnel_whose_response_is_not_taken(self, env):
    """Guards against tunnels that wait without end for a router."""
    router, address = await self._start(env, send_timeout_s=0.5)
    env.servers["i-1"].behaviour.padding = 20_000_000
    tunnel = await self._open(env, address)
    request = b"GET /look/a HTTP/1.1\r\nhost: x\r\nexpect-instance: i-1\r\n\r\n"
    await tunnel.send(request)
    await env.wait_until(lambda: not router.tunnel_server.open_count)
    await tunnel.aclose()

  @test_gateway.in_environment()
  async def test_response_while_the_exit_stops(self, env):
    """Guards against responses of others that a stopping router cuts off."""
    stop = anyio.Event()
    exit_ = await env.add_gateway(
        "router-2", stop, host="127.0.0.2", port_range=(fleet.free_port(),)
    )
    config = exit_.config
    env.servers["i-1"].behaviour.response_delay_s = 0.5
    tunnel = await self._open(
        env, f"{config.peer_listen.host}:{config.tunnel_port}"
    )
    stop.set()
    await anyio.sleep(0.8)
    request = (
        b"GET /look/a HTTP/1.1\r\nhost: x\r\nrequest-id: r1\r\n"
        b"expect-instance: i-1\r\n\r\n"
    )
    await tunnel.send(request)
    received = b""
    with anyio.fail_after(2.0):
      while b"i-1 /look/a" not in received:
        received += await tunnel.receive()
    self.assertTrue(tunnel.is_closing)
    closed_at = anyio.current_time()
    await tunnel.aclose()
    await env.wait_until(lambda: env.gateway_stopped)
    self.assertTrue(anyio.current_time() - closed_at < 0.5)

  @test_gateway.in_environment()
  async def test_tunnels_beside_silent_connections(self, env):
    """Guards against routers refused in place of silent connections."""
    router, address = await self._start(env)
    host, _, port = address.rpartition(":")
    async with contextlib.AsyncExitStack() as stack:
      for _ in range(100):
        stream = await anyio.connect_tcp(host, int(port))
        await stack.enter_async_context(stream)
      tunnel = await self._open(env, address)
      self.assertEqual(1, router.tunnel_server.open_count)
      await tunnel.aclose()
