"""Handlers of internal ports: calls of other routers, readiness and metrics.

They use the same HTTP server as callers. Internal requests need no id, API key
or deadline, so they have a `Dialect` of their own.
"""

from collections.abc import Awaitable, Callable
import json
import logging
from typing import Any

from mustardfall import accounts as accounts_lib
from mustardfall.membership import peers
from mustardfall.proxy import http_server
from mustardfall.proxy import messages

logger = logging.getLogger(__name__)

CallHandler = Callable[[dict[str, Any]], Awaitable[Any]]
"""Takes the JSON body of a call and returns the JSON response."""


class Dialect:
  """Translates plain HTTP, in which no header has a meaning."""

  def decode_request(
      self, method: bytes, target: bytes, headers: list[messages.Header]
  ) -> messages.Request:
    """Returns the request with its method, target, path and headers."""
    return messages.Request(
        id="",
        method=method,
        target=target,
        authority="",
        path=target.decode("latin-1").partition("?")[0],
        api_key="",
        caller_timeout_s=None,
        usage=None,
        parts=(),
        last_event=None,
        headers=tuple(headers),
    )

  def encode_refusal(
      self, request_id: str, retry_after_s: float | None
  ) -> list[messages.Header]:
    """Returns no headers."""
    del request_id, retry_after_s
    return []


class PeerHandler:
  """Serves the calls of other routers.

  Args:
    accounts: provides the budgets.
    extra: handlers of further paths.
  """

  def __init__(
      self, accounts: accounts_lib.Accounts, extra: dict[str, CallHandler]
  ) -> None:
    self._accounts = accounts
    self._handlers: dict[str, CallHandler] = {
        peers.RESERVE_PATH: self._reserve,
        peers.SETTLE_PATH: self._settle,
        peers.RECALL_PATH: self._recall,
        peers.REVIEW_PATH: self._review,
        **extra,
    }

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: http_server.Responder,
  ) -> None:
    """Responds to one call."""
    handler = self._handlers.get(request.path)
    if handler is None:
      await responder.respond(404, [])
      return
    try:
      result = await handler(json.loads(body or b"{}"))
    except (
        AttributeError,
        LookupError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
      logger.warning(
          "peer call malformed",
          extra={"path": request.path, "error": repr(exc)},
      )
      await responder.respond(400, [])
      return
    await _respond(responder, request, [], json.dumps(result).encode())

  async def _reserve(self, body: dict[str, Any]) -> dict[str, Any]:
    handed = await self._accounts.pool.owner.serve_part_request(
        peers.ReserveRequest(**body)
    )
    return handed._asdict()

  async def _settle(self, body: dict[str, Any]) -> dict[str, Any]:
    ended = [peers.EndedPart(**row) for row in body["ended"]]
    self._accounts.pool.owner.serve_settle(ended)
    return {}

  async def _recall(self, body: dict[str, Any]) -> dict[str, Any]:
    await self._accounts.pool.recaller.serve(body["budget"])
    return {}

  async def _review(self, body: dict[str, Any]) -> dict[str, Any]:
    await self._accounts.pool.reviewer.serve(body["budget"])
    return {}


class ReadyHandler:
  """Serves the load balancer's readiness checks.

  Args:
    is_ready: returns whether the router is ready; called for each check.
  """

  def __init__(self, is_ready: Callable[[], bool]) -> None:
    self._is_ready = is_ready

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: http_server.Responder,
  ) -> None:
    """Responds with 200 if the router is ready, otherwise with 503."""
    del request, body
    await responder.respond(200 if self._is_ready() else 503, [])


class TextHandler:
  """Serves a text, such as the metrics, at any path.

  Args:
    render: returns the text.
  """

  def __init__(self, render: Callable[[], str]) -> None:
    self._render = render

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: http_server.Responder,
  ) -> None:
    """Responds with the current text."""
    del body
    plain = (b"content-type", b"text/plain; version=0.0.4")
    await _respond(responder, request, [plain], self._render().encode())


async def _respond(
    responder: http_server.Responder,
    request: messages.Request,
    headers: list[messages.Header],
    body: bytes,
) -> None:
  """Responds with 200, or with 503 if there is no memory for the response."""
  if responder.hold_encoded(len(body)):
    await responder.respond(200, headers, body)
    return
  extra = {"path": request.path, "bytes": len(body)}
  logger.warning("no memory for an internal response", extra=extra)
  await responder.respond(503, [])
