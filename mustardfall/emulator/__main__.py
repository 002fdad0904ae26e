"""Runs a router on the emulated platform: `python -m mustardfall.emulator`.

Starts the store and the servers in this process and one router as a child
process, sends some requests and prints a JSON summary. With `--keep`, all
of them keep running until Ctrl-C.
"""

import contextlib
import json
import pathlib
import shlex
import subprocess
import sys
import tempfile
from typing import Any

import anyio
import click
import httpx

from mustardfall.bench import fleet
from mustardfall.emulator import server as server_lib
from mustardfall.emulator import store as store_lib

_HOST = "shop.example"
_API_KEY = "key-of-acme"
_SERVER_COUNT = 3
_EVENTS_PER_STREAM = 10
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0


def _configuration() -> dict[str, Any]:
  """Returns a platform configuration: a streaming and a plain route."""
  route = {
      "host": _HOST,
      "timeout_ms": 5000,
      "slo_ms": 500,
      "priority": 1,
      "service": "pool",
      "max_attempts": 2,
      "public": False,
      "resumable": True,
  }
  return {
      "version": 1,
      "routes": [
          {**route, "name": "text", "prefix": "/text/", "kind": "streaming"},
          {**route, "name": "look", "prefix": "/look/", "kind": "safe"},
      ],
      "services": [{"name": "pool", "max_conns": 50, "engine": {"stride": 4}}],
      "tenants": [{"name": "acme", "api_keys": [_API_KEY], "prepaid": 100_000}],
  }


def _settings(store_port: int) -> dict[str, Any]:
  """Returns the content of a host's platform settings file."""
  listen = {
      role: f"127.0.0.1:{fleet.free_port()}"
      for role in ("front", "ready", "control")
  }
  return {
      "node": "front-1",
      "ip": "127.0.0.1",
      "zone": "dc",
      "region": "region",
      "listen": listen,
      "bounds": {"retry_ratio": 0.2, "retry_slack": 58, "grace_s": 8},
      "platform": {"address": f"127.0.0.1:{store_port}"},
  }


@contextlib.asynccontextmanager
async def _router(command: list[str], settings: dict[str, Any]):
  """Runs the router process until the block ends."""
  with tempfile.TemporaryDirectory() as folder:
    path = pathlib.Path(folder) / "local.json"
    path.write_text(json.dumps(settings))
    process = subprocess.Popen(
        [*command, "--settings", str(path), "--log-level", "WARNING"]
    )
    try:
      yield
    finally:
      process.terminate()
      # Waits in a thread: the exiting router still writes to the store,
      # which runs on this process's event loop.
      with anyio.CancelScope(shield=True):
        await anyio.to_thread.run_sync(process.wait, _STOP_TIMEOUT_S)


async def _wait_ready(http: httpx.AsyncClient, address: str) -> None:
  with anyio.fail_after(_START_TIMEOUT_S):
    while True:
      with contextlib.suppress(httpx.HTTPError):
        if (await http.get(f"http://{address}/")).status_code == 200:  # noqa: PLR2004
          return
      await anyio.sleep(0.05)


async def _send_requests(
    http: httpx.AsyncClient, front: str, count: int
) -> dict:
  """Sends requests to both routes in turn; returns a summary."""
  statuses: dict[int, int] = {}
  events = 0
  for number in range(count):
    path = ("/text/", "/look/")[number % 2]
    headers = {"host": _HOST, "credential": _API_KEY, "deadline-ms": "4000"}
    headers["request-id"] = f"demo-{number}"
    if path == "/text/":
      headers["token-usage"] = "200,60"
    reply = await http.post(f"http://{front}{path}a", headers=headers)
    statuses[reply.status_code] = statuses.get(reply.status_code, 0) + 1
    events += reply.text.count("data:")
  return {"requests": count, "statuses": statuses, "events": events}


async def _run(count: int, keep: bool, command: list[str]) -> None:
  store = store_lib.Store()
  store_port = fleet.free_port()
  store.put("op/config", _configuration())
  settings = _settings(store_port)
  front = settings["listen"]["front"]
  async with anyio.create_task_group() as tg:
    await tg.start(store.serve, store_port)
    for number in range(_SERVER_COUNT):
      server = server_lib.Server(f"i-{number}")
      server.behaviour.events = _EVENTS_PER_STREAM
      server.behaviour.event_interval_s = 0.01
      port = fleet.free_port()
      await tg.start(server.serve, port)
      entry = server_lib.make_registration(f"127.0.0.1:{port}")
      store.put(f"servers/i-{number}", entry)
    async with _router(command, settings):
      async with httpx.AsyncClient(timeout=10) as http:
        await _wait_ready(http, settings["listen"]["ready"])
        summary = await _send_requests(http, front, count)
      click.echo(json.dumps(summary))
      if keep:
        click.echo(
            f"try: curl -N -H 'Host: {_HOST}' -H 'Credential: {_API_KEY}' -H"
            " 'Request-Id: 1' -H 'Token-Usage: 200,60' -d x"
            f" http://{front}/text/a\nCtrl-C ends it."
        )
        await anyio.sleep_forever()
    tg.cancel_scope.cancel()


@click.command()
@click.option("--requests", "count", default=40, show_default=True)
@click.option(
    "--keep", is_flag=True, help="Keep everything running until Ctrl-C."
)
@click.option(
    "--router",
    default=f"{sys.executable} -m mustardfall.platform",
    help="Command that runs the router; default: the platform adapter.",
)
def main(count: int, keep: bool, router: str) -> None:
  """Runs a router on the emulated platform."""
  with contextlib.suppress(KeyboardInterrupt):
    anyio.run(_run, count, keep, shlex.split(router))


if __name__ == "__main__":
  main()
