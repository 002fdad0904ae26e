"""Runs an ASGI application under hypercorn until SIGTERM or SIGINT."""

from collections.abc import Awaitable, Callable
import logging
import signal

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

logger = logging.getLogger(__name__)


async def serve(
    app,
    host: str,
    port: int,
    graceful_s: float = 30.0,
    on_stop: Callable[[], Awaitable[None]] | None = None,
) -> None:
  """Serves `app` on `host:port` and drains it on SIGTERM.

  On the signal hypercorn stops accepting connections and waits up to
  `graceful_s` seconds for requests in flight; `on_stop` runs after that.

  Args:
    app: an ASGI application.
    host: address to listen on.
    port: TCP port.
    graceful_s: seconds that requests in flight may take to finish.
    on_stop: coroutine run once the server has stopped serving.
  """
  config = hypercorn_config.Config()
  config.bind = [f"{host}:{port}"]
  config.graceful_timeout = graceful_s
  config.accesslog = None
  config.errorlog = logger
  config.keep_alive_timeout = 75
  stopping = anyio.Event()

  async def _watch_signals() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
      async for signum in signals:
        logger.info("stopping", extra={"signal": signum})
        stopping.set()
        return

  async with anyio.create_task_group() as tg:
    tg.start_soon(_watch_signals)
    await hypercorn_asyncio.serve(app, config, shutdown_trigger=stopping.wait)
    if on_stop is not None:
      await on_stop()
    tg.cancel_scope.cancel()
