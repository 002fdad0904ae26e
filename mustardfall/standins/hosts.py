"""Stand-in for the host list, which reports endpoints with a lag.

`GET /hosts` returns `{"hosts": [HostEntry, ...]}` as of `lag_s` seconds ago
with an `ETag`, or 304 if `If-None-Match` equals it. `POST /hosts` adds a
host entry, or replaces the entry with the same name.
"""

import time

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mustardfall import settings
from mustardfall.util import serving


def create_app(config: settings.HostsStandin) -> applications.Starlette:
  """Returns the ASGI application of the host list."""
  initial = {h.name: h.model_dump() for h in config.hosts}
  history: list[tuple[float, dict[str, dict]]] = [(0.0, initial)]

  def _list_with_lag() -> tuple[str, dict[str, dict]]:
    cutoff = time.monotonic() - config.lag_s
    visible = [
        (t, entries) for t, entries in history if t <= cutoff
    ] or history[:1]
    return f'"{visible[-1][0]}"', visible[-1][1]

  async def _get(request: requests.Request) -> responses.Response:
    etag, entries = _list_with_lag()
    headers = {"etag": etag}
    if request.headers.get("if-none-match") == etag:
      return responses.Response(status_code=304, headers=headers)
    hosts = {"hosts": list(entries.values())}
    return responses.JSONResponse(hosts, headers=headers)

  async def _post(request: requests.Request) -> responses.Response:
    entry = settings.parse(await request.json(), settings.HostEntry)
    latest = dict(history[-1][1])
    latest[entry.name] = entry.model_dump()
    history.append((time.monotonic(), latest))
    del history[:-1000]
    return responses.JSONResponse({"ok": True})

  async def _health(_: requests.Request) -> responses.Response:
    return responses.JSONResponse({"ok": True})

  return applications.Starlette(
      routes=[
          routing.Route("/hosts", _get, methods=["GET"]),
          routing.Route("/hosts", _post, methods=["POST"]),
          routing.Route("/healthz", _health, methods=["GET"]),
      ]
  )


async def run(config: settings.HostsStandin) -> None:
  """Serves the host list until SIGTERM."""
  await serving.serve(
      create_app(config), config.listen.host, config.listen.port, 1
  )
