"""The program that runs a router on the users' platform."""

import logging
import os
import signal
import sys

import anyio
from anyio import abc
import click

from mustardfall import errors
from mustardfall import gateway as gateway_lib
from mustardfall.platform import followers as followers_lib
from mustardfall.platform import headers
from mustardfall.platform import process_settings
from mustardfall.platform import store
from mustardfall.util import clock as clock_lib
from mustardfall.util import logging as log_setup

logger = logging.getLogger(__name__)

_STOP_SHARE = 0.95
"""Done by this part of the time after which the platform kills the process.
With what is kept for handing budgets back, callers get 0.86 of that time: the
platform cuts off without blame only what lasts past five sixths of it."""

_RELOAD_S = 0.5
"""Between two looks at a settings file that makes no sense."""
_HEARD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def _watch_signals(
    stop: anyio.Event,
    own: str | None,
    path: str,
    *,
    task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
  """Stops at SIGTERM; checks the settings anew at SIGHUP."""
  with anyio.open_signal_receiver(*_HEARD) as signals:
    task_status.started()
    async for signum in signals:
      if signum == signal.SIGHUP:
        _check_settings(path, own)
      else:
        stop.set()


def _check_settings(path: str, own: str | None) -> None:
  try:
    process_settings.load(path, own)
    logger.info("settings reloaded", extra={"path": path})
  except errors.SettingsError as exc:
    logger.error("settings rejected", extra={"error": str(exc)})


async def _run(path: str, own: str | None) -> None:
  stop = anyio.Event()
  async with anyio.create_task_group() as tg:
    await tg.start(_watch_signals, stop, own, path)
    await _serve(await _load(path, own), stop)
    # Ends while signals are still heard. Later their defaults are back, and
    # one more of them would turn a stop in order into a crash.
    logging.shutdown()
    os._exit(0)


async def _load(path: str, own: str | None) -> process_settings.ProcessSettings:
  """Returns the settings, as soon as they make sense.

  The file may be read while it is being written. Ending would only have the
  process started again, to read the same file.
  """
  rejected = ""
  while True:
    try:
      return process_settings.load(path, own)
    except errors.SettingsError as exc:
      if str(exc) != rejected:
        rejected = str(exc)
        logger.error("settings rejected", extra={"error": rejected})
    await anyio.sleep(_RELOAD_S)


async def _serve(
    site: process_settings.ProcessSettings, stop: anyio.Event
) -> None:
  clock = clock_lib.SystemClock()
  gateway = gateway_lib.Gateway(
      site.router,
      clock,
      headers.Dialect(),
      lambda caller: store.Store(site.store_address, caller, clock),
  )
  followers = followers_lib.Followers(gateway, gateway.kv, gateway.clock)
  await gateway.run(
      followers.loops(),
      site.ready,
      stop,
      site.grace_s * _STOP_SHARE,
  )


@click.command()
@click.option(
    "--settings",
    "path",
    envvar=process_settings.SETTINGS_VARIABLE,
    required=True,
    help="The platform's settings file.",
)
@click.option("--own", default=None, help="The router's own YAML settings.")
@click.option("--log-level", default="INFO", show_default=True)
def main(path: str, own: str | None, log_level: str) -> None:
  """Runs one router until SIGTERM."""
  log_setup.setup("router", log_level, sys.stdout)
  anyio.run(_run, path, own)
