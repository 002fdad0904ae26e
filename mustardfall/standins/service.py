"""A plain service stand-in whose bookings must not be repeated.

`POST /v1/bookings` with `{"item": str}` books once per call; it counts
how many calls carried an `Idempotency-Key` already seen, which is the
measure of at-most-once failures. `GET /standin/stats` reports counts;
`POST /standin/faults` takes `fail_after_run` (calls that book, then
answer 500 with no JSON).
"""

import collections
import itertools

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mustardfall import settings
from mustardfall.util import serving


def create_app(config: settings.ServiceStandin) -> applications.Starlette:
  """Returns the ASGI application of the service."""
  seen: collections.Counter[str] = collections.Counter()
  numbers = itertools.count(1)
  stats = {"executions": 0, "duplicates": 0}
  faults = {"fail_after_run": 0}

  async def _book(request: requests.Request) -> responses.Response:
    body = await request.json()
    key = request.headers.get("idempotency-key", "")
    await anyio.sleep(config.latency_s)
    stats["executions"] += 1
    if key:
      seen[key] += 1
      if seen[key] > 1:
        stats["duplicates"] += 1
    if faults["fail_after_run"] > 0:
      faults["fail_after_run"] -= 1
      return responses.PlainTextResponse("broke", status_code=500)
    return responses.JSONResponse(
        {
            "booking": f"{config.name}-{next(numbers)}",
            "item": body.get("item"),
            "usage": {"total_tokens": 1},
        }
    )

  async def _stats(_: requests.Request) -> responses.Response:
    return responses.JSONResponse(stats)

  async def _faults(request: requests.Request) -> responses.Response:
    faults.update(await request.json())
    return responses.JSONResponse({"ok": True})

  async def _health(_: requests.Request) -> responses.Response:
    return responses.JSONResponse({"ok": True})

  return applications.Starlette(
      routes=[
          routing.Route("/v1/bookings", _book, methods=["POST"]),
          routing.Route("/standin/faults", _faults, methods=["POST"]),
          routing.Route("/standin/stats", _stats, methods=["GET"]),
          routing.Route("/healthz", _health, methods=["GET"]),
      ]
  )


async def run(config: settings.ServiceStandin) -> None:
  """Serves the service until SIGTERM."""
  await serving.serve(
      create_app(config), config.listen.host, config.listen.port, 5
  )
