"""The routers' own port: other routers' calls, readiness, metrics.

Small JSON over the same HTTP front as the callers'. Its requests need no
id, key or deadline, so it has a dialect of its own.
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
"""Takes a JSON body, returns the JSON answer."""


class Dialect:
  """Plain HTTP without headers of meaning."""

  def decode_request(
      self, method: bytes, target: bytes, headers: list[messages.Header]
  ) -> messages.Request:
    """Returns the request; only its path and headers matter."""
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
  """Serves other routers' calls.

  Args:
    accounts: the budgets.
    extra: further paths.
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
    """Answers one call."""
    handler = self._handlers.get(request.path)
    if handler is None:
      await responder.respond(404, [])
      return
    try:
      answer = await handler(json.loads(body or b"{}"))
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
      logger.warning(
          "peer call malformed",
          extra={"path": request.path, "error": repr(exc)},
      )
      await responder.respond(400, [])
      return
    await responder.respond(200, [], json.dumps(answer).encode())

  async def _reserve(self, body: dict[str, Any]) -> dict[str, Any]:
    handed = await self._accounts.pool.owner.serve_ask(peers.Ask(**body))
    return handed._asdict()

  async def _settle(self, body: dict[str, Any]) -> dict[str, Any]:
    ended = [peers.Ended(**row) for row in body["ended"]]
    self._accounts.pool.owner.serve_settle(ended)
    return {}

  async def _recall(self, body: dict[str, Any]) -> dict[str, Any]:
    await self._accounts.pool.recaller.serve(body["budget"])
    return {}

  async def _review(self, body: dict[str, Any]) -> dict[str, Any]:
    await self._accounts.pool.reviewer.serve(body["budget"])
    return {}


class ReadyHandler:
  """Tells the balancer whether to send callers here.

  Args:
    is_ready: asked at each call.
  """

  def __init__(self, is_ready: Callable[[], bool]) -> None:
    self._is_ready = is_ready

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: http_server.Responder,
  ) -> None:
    """Answers 200 or 503."""
    del request, body
    await responder.respond(200 if self._is_ready() else 503, [])


class TextHandler:
  """Serves a text, e.g. metrics, at any path.

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
    """Answers with the text as it is now."""
    del request, body
    plain = (b"content-type", b"text/plain; version=0.0.4")
    await responder.respond(200, [plain], self._render().encode())
