"""The host-list stand-in: live and leaving endpoints, shown with a lag.

`GET /hosts` answers `{"hosts": [HostEntry, ...]}` as the list stood
`lag_s` seconds ago, with an `ETag`, and 304 to an `If-None-Match` that
still holds; `POST /hosts` takes one entry and replaces the
entry of that name (a new state, or a new host).
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

  def _visible() -> tuple[str, dict[str, dict]]:
    cutoff = time.monotonic() - config.lag_s
    past = [(t, shown) for t, shown in history if t <= cutoff] or history[:1]
    return f'"{past[-1][0]}"', past[-1][1]

  async def _get(request: requests.Request) -> responses.Response:
    tag, shown = _visible()
    headers = {"etag": tag}
    if request.headers.get("if-none-match") == tag:
      return responses.Response(status_code=304, headers=headers)
    hosts = {"hosts": list(shown.values())}
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
