"""Command that runs one router on the users' platform."""

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

_STOP_FRACTION = 0.95
"""Fraction of the platform's grace period (SIGTERM to SIGKILL) in which the
router stops. Less the time reserved for returning budgets, requests in flight
get 0.86 of the grace period: the platform counts an interrupted request as the
router's failure unless it lasts past five sixths of that period."""

_RETRY_INTERVAL_S = 0.5
"""Time between two reads of an invalid settings file at start."""
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def _watch_signals(
    stop: anyio.Event,
    own: str | None,
    path: str,
    *,
    task_status: abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
  """Sets `stop` at SIGTERM and SIGINT; validates the settings at SIGHUP."""
  with anyio.open_signal_receiver(*_SIGNALS) as signals:
    task_status.started()
    async for signum in signals:
      if signum == signal.SIGHUP:
        _validate_settings(path, own)
      else:
        stop.set()


def _validate_settings(path: str, own: str | None) -> None:
  try:
    process_settings.load(path, own)
    logger.info(
        "settings valid, in force after a restart", extra={"path": path}
    )
  except errors.SettingsError as exc:
    logger.error("settings rejected", extra={"error": str(exc)})


async def _run(path: str, own: str | None) -> None:
  stop = anyio.Event()
  async with anyio.create_task_group() as tg:
    await tg.start(_watch_signals, stop, own, path)
    await _serve(await _load_settings(path, own), stop)
    # Exits while the signal handlers are installed. Once they are removed,
    # another SIGTERM or SIGHUP would kill the process by its default action,
    # which looks like a crash.
    logging.shutdown()
    os._exit(0)


async def _load_settings(
    path: str, own: str | None
) -> process_settings.ProcessSettings:
  """Returns the settings; retries until the files are valid.

  A file may be read while it is being written. If the process exited instead,
  it would be restarted only to read the same file.
  """
  last_error = ""
  while True:
    try:
      return process_settings.load(path, own)
    except errors.SettingsError as exc:
      if str(exc) != last_error:
        last_error = str(exc)
        logger.error("settings rejected", extra={"error": last_error})
    await anyio.sleep(_RETRY_INTERVAL_S)


async def _serve(
    config: process_settings.ProcessSettings, stop: anyio.Event
) -> None:
  clock = clock_lib.SystemClock()
  gateway = gateway_lib.Gateway(
      config.router,
      clock,
      headers.Dialect(),
      lambda http_client: store.Store(config.store_address, http_client, clock),
  )
  followers = followers_lib.Followers(gateway, gateway.kv, gateway.clock)
  await gateway.run(
      followers.loops(),
      config.ready,
      stop,
      config.grace_s * _STOP_FRACTION,
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
