"""The router daemon: serves its APIs, runs its loops, drains at SIGTERM."""

import anyio

from mustardfall import router as router_lib
from mustardfall import settings
from mustardfall.api import peer
from mustardfall.api import public
from mustardfall.util import serving

_PEER_DRAIN_TIMEOUT_S = 2.0
"""Maximum time for calls of other routers to finish once all else is done."""


async def run(config: settings.Router) -> None:
  """Serves one router until SIGTERM, then returns its allotments.

  At SIGTERM the router reports that it is not ready, but keeps serving for
  `lame_duck_s`, so that the load balancer detects it. Then it refuses new
  connections, and requests in flight get `drain_s` to finish. After that the
  allotments are returned, for which the port for other routers and the loops
  are still needed.
  """
  router = router_lib.Router(config)
  stop_requested, stop_public, stop_peer = (
      anyio.Event(),
      anyio.Event(),
      anyio.Event(),
  )

  def _on_signal() -> None:
    router.begin_stop()
    stop_requested.set()

  async def _lame_duck() -> None:
    await stop_requested.wait()
    await anyio.sleep(config.lame_duck_s)
    stop_public.set()

  async with anyio.create_task_group() as background:
    background.start_soon(serving.watch_signals, _on_signal)
    background.start_soon(_lame_duck)
    background.start_soon(router.run)
    async with anyio.create_task_group() as peer_server:
      peer_server.start_soon(
          serving.serve_until,
          peer.create_app(router),
          config.peer_listen.host,
          config.peer_listen.port,
          _PEER_DRAIN_TIMEOUT_S,
          stop_peer,
      )
      await serving.serve_until(
          public.create_app(router),
          config.listen.host,
          config.listen.port,
          config.drain_s,
          stop_public,
      )
      await router.return_allotments()
      stop_peer.set()
    await router.finish()
    background.cancel_scope.cancel()
  await router.close()
