"""Stand-in for a plain service whose calls are not idempotent.

`POST /v1/bookings` with `{"item": str}` makes one booking per call. Calls
with an `Idempotency-Key` that was used before are counted as `duplicates`:
violations of at-most-once delivery. `GET /standin/stats` returns the
counters; `POST /standin/faults` takes `fail_after_run`, the number of calls
that make a booking but return 500 without JSON.
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
  calls_by_key: collections.Counter[str] = collections.Counter()
  booking_numbers = itertools.count(1)
  stats = {"executions": 0, "duplicates": 0}
  faults = {"fail_after_run": 0}

  async def _book(request: requests.Request) -> responses.Response:
    body = await request.json()
    key = request.headers.get("idempotency-key", "")
    await anyio.sleep(config.latency_s)
    stats["executions"] += 1
    if key:
      calls_by_key[key] += 1
      if calls_by_key[key] > 1:
        stats["duplicates"] += 1
    if faults["fail_after_run"] > 0:
      faults["fail_after_run"] -= 1
      return responses.PlainTextResponse("broke", status_code=500)
    return responses.JSONResponse(
        {
            "booking": f"{config.name}-{next(booking_numbers)}",
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
