"""The router daemon: serves its APIs, runs its loops, drains on SIGTERM."""

import anyio

from mustardfall import router as router_lib
from mustardfall import settings
from mustardfall.api import peer
from mustardfall.api import public
from mustardfall.util import serving

_PEER_DRAIN_S = 2.0
"""Seconds that other routers' calls may take at the very end."""


async def run(config: settings.Router) -> None:
  """Serves one router until SIGTERM, then hands its allotments back.

  On SIGTERM the router first says that it is not ready and serves on for
  `lame_duck_s`, until the balancer has noticed. Then new connections are
  refused and requests in flight get `drain_s` to finish. Allotments go
  back after that, with the routers' own port and the loops still up,
  since both are needed for it.
  """
  router = router_lib.Router(config)
  signalled, drained, ended = anyio.Event(), anyio.Event(), anyio.Event()

  def _on_signal() -> None:
    router.begin_stop()
    signalled.set()

  async def _lame_duck() -> None:
    await signalled.wait()
    await anyio.sleep(config.lame_duck_s)
    drained.set()

  async with anyio.create_task_group() as loops:
    loops.start_soon(serving.watch_signals, _on_signal)
    loops.start_soon(_lame_duck)
    loops.start_soon(router.run)
    async with anyio.create_task_group() as peers:
      peers.start_soon(
          serving.serve_until,
          peer.create_app(router),
          config.peer_listen.host,
          config.peer_listen.port,
          _PEER_DRAIN_S,
          ended,
      )
      await serving.serve_until(
          public.create_app(router),
          config.listen.host,
          config.listen.port,
          config.drain_s,
          drained,
      )
      await router.return_allotments()
      ended.set()
    await router.finish()
    loops.cancel_scope.cancel()
  await router.close()
