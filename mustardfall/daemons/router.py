"""The router daemon: serves the API, runs the tick, drains on SIGTERM."""

import anyio

from mustardfall import api
from mustardfall import router as router_lib
from mustardfall import settings
from mustardfall.util import serving


async def run(config: settings.Router) -> None:
  """Serves one router until SIGTERM, then returns its allotments.

  On SIGTERM new connections are refused and requests in flight get
  `drain_s` seconds to finish; only then are allotments settled.
  """
  router = router_lib.Router(config)
  app = api.create_app(router)
  async with anyio.create_task_group() as tg:
    tg.start_soon(router.run)
    await serving.serve(
        app, config.listen.host, config.listen.port, config.drain_s
    )
    tg.cancel_scope.cancel()
  await router.stop()
