"""Runs ASGI applications under hypercorn until SIGTERM or SIGINT."""

from collections.abc import Callable
import logging
import signal

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

logger = logging.getLogger(__name__)

_KEEP_ALIVE_TIMEOUT_S = 75


async def serve_until(
    app, host: str, port: int, graceful_timeout_s: float, stop: anyio.Event
) -> None:
  """Serves `app` on `host:port` until `stop`, then drains it.

  Args:
    app: an ASGI application.
    host: address to listen on.
    port: TCP port.
    graceful_timeout_s: maximum time for requests in flight to finish.
    stop: when it is set, no more connections are accepted.
  """
  config = hypercorn_config.Config()
  config.bind = [f"{host}:{port}"]
  config.graceful_timeout = graceful_timeout_s
  config.accesslog = None
  config.errorlog = logger
  config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S

  async def _serve() -> None:
    await hypercorn_asyncio.serve(app, config, shutdown_trigger=stop.wait)

  # In a separate task: hypercorn uses asyncio task groups, which leave a
  # cancellation count on their task that anyio takes for a cancellation.
  async with anyio.create_task_group() as tg:
    tg.start_soon(_serve)


async def watch_signals(on_signal: Callable[[], None]) -> None:
  """Calls `on_signal` at the first SIGTERM or SIGINT, until cancelled.

  The receiver stays open after the first signal. Otherwise a second SIGTERM,
  for instance of a supervisor, would kill the process and interrupt the
  streams that may still finish. SIGHUP is received for the same reason and
  otherwise ignored: the processes served by this module read their settings
  only at the start.
  """
  receiver = anyio.open_signal_receiver(
      signal.SIGTERM, signal.SIGINT, signal.SIGHUP
  )
  with receiver as signals:
    is_first = True
    async for signum in signals:
      if signum == signal.SIGHUP:
        logger.info("SIGHUP ignored: settings are read only at the start")
        continue
      logger.info("stopping", extra={"signal": signum, "first": is_first})
      if is_first:
        on_signal()
      is_first = False


async def serve(
    app, host: str, port: int, graceful_timeout_s: float = 30.0
) -> None:
  """Serves `app` on `host:port`; drains it at SIGTERM or SIGINT."""
  stop = anyio.Event()
  async with anyio.create_task_group() as tg:
    tg.start_soon(watch_signals, stop.set)
    await serve_until(app, host, port, graceful_timeout_s, stop)
    tg.cancel_scope.cancel()
