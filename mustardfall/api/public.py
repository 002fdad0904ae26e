"""API of a router for its callers."""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mustardfall import router as router_lib
from mustardfall.api import bookings
from mustardfall.api import chat


def create_app(router: router_lib.Router) -> applications.Starlette:
  """Returns the ASGI application for callers."""

  async def _chat(request: requests.Request) -> responses.Response:
    return await chat.handle(router, request)

  async def _book(request: requests.Request) -> responses.Response:
    return await bookings.handle(router, request)

  async def _health(_: requests.Request) -> responses.Response:
    status = 200 if router.ready else 503
    return responses.JSONResponse({"ready": router.ready}, status_code=status)

  return applications.Starlette(
      routes=[
          routing.Route("/v1/chat/completions", _chat, methods=["POST"]),
          routing.Route("/v1/bookings", _book, methods=["POST"]),
          routing.Route("/healthz", _health, methods=["GET"]),
      ]
  )
