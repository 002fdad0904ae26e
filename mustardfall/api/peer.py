"""API for other routers and operators, on a port not open to callers.

Counters and metrics are served here because they name every customer.
"""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mustardfall import router as router_lib
from mustardfall.membership import peers


def create_app(router: router_lib.Router) -> applications.Starlette:
  """Returns the ASGI application for other routers and operators."""

  async def _reserve(request: requests.Request) -> responses.Response:
    ask = peers.ReserveRequest(**await request.json())
    handed = await router.pool.owner.serve_part_request(ask)
    return responses.JSONResponse(handed._asdict())

  async def _settle(request: requests.Request) -> responses.Response:
    body = await request.json()
    router.pool.owner.serve_settle(
        [peers.EndedPart(**e) for e in body["ended"]]
    )
    return responses.JSONResponse({})

  async def _recall(request: requests.Request) -> responses.Response:
    body = await request.json()
    await router.pool.recaller.serve(body["budget"])
    return responses.JSONResponse({})

  async def _stats(_: requests.Request) -> responses.Response:
    return responses.JSONResponse(router.stats())

  async def _metrics(_: requests.Request) -> responses.Response:
    return responses.Response(
        router.instruments.snapshot(), media_type="application/json"
    )

  return applications.Starlette(
      routes=[
          routing.Route("/admin/stats", _stats, methods=["GET"]),
          routing.Route("/admin/metrics", _metrics, methods=["GET"]),
          routing.Route(peers.RESERVE_PATH, _reserve, methods=["POST"]),
          routing.Route(peers.SETTLE_PATH, _settle, methods=["POST"]),
          routing.Route(peers.RECALL_PATH, _recall, methods=["POST"]),
      ]
  )
