"""`POST /v1/chat/completions`: the OpenAI-compatible chat API.

A request is admitted against its budget, assigned a slot at an engine and
forwarded; the response is streamed or sent in one piece. Every failure is
reported as a `verdict.Verdict`.
"""

import json
import logging
from typing import Any, NamedTuple

import anyio
import httpx
from starlette import requests
from starlette import responses

from mustardfall import errors
from mustardfall import idempotency
from mustardfall import router as router_lib
from mustardfall import verdict
from mustardfall.api import bodies
from mustardfall.api import calls
from mustardfall.api import relay
from mustardfall.api import replies
from mustardfall.catalogue import model
from mustardfall.catalogue import table

logger = logging.getLogger(__name__)

_MAX_ATTEMPTS = 3
"""Maximum number of engines tried for one request.

Another engine is tried only if none may have run the request.
"""
_TEMPLATE_TOKENS_PER_MESSAGE = 4
"""Tokens reserved per message for what the chat template may add."""
_NOT_RUN_STATUSES = frozenset({429, 503})
"""Statuses by which an engine reports that it did not run the request.

Any other 5xx may come after generation began, so the request may have
run: it is not retried, and not reported as "not run".
"""


class _ChatRequest(NamedTuple):
  """A validated chat request."""

  body: dict[str, Any]
  tokens: int
  """Upper bound of tokens used: `max_prompt_tokens` plus `max_tokens`."""
  stream: bool
  include_usage: bool
  idem_key: str


def max_prompt_tokens(body: dict[str, Any]) -> int:
  """Returns an upper bound of the prompt's tokens.

  No tokenizer yields more tokens than bytes of UTF-8. The bound is the size
  of everything that a chat template may render, messages (with names, parts
  and tool calls) and tools, plus an allowance per message for the template.
  Of a message that has only `role` and `content`, only the content is counted.
  """
  messages = body["messages"]
  text = sum(len(_encode_content(m)) for m in messages)
  if "tools" in body:
    text += len(_encode_content(body["tools"]))
  return text + _TEMPLATE_TOKENS_PER_MESSAGE * len(messages)


def _encode_content(part: Any) -> bytes:
  if isinstance(part, dict) and set(part) == {"role", "content"}:
    part = part["content"]
  if not isinstance(part, str):
    part = json.dumps(part, ensure_ascii=False)
  return part.encode()


def _parse(
    router: router_lib.Router,
    entry: table.CallerEntry,
    request: requests.Request,
    body: dict[str, Any] | None,
) -> _ChatRequest | verdict.Verdict:
  """Validates the request body; returns a verdict if it is invalid."""
  if body is None:
    return replies.INVALID_JSON
  messages = body.get("messages")
  if not isinstance(messages, list) or not messages:
    return verdict.not_run("messages: a list is required", None, 400)
  max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
  max_tokens = (
      router.config.default_max_tokens if max_tokens is None else max_tokens
  )
  if not isinstance(max_tokens, int) or max_tokens < 1:
    return verdict.not_run("max_tokens: not a positive number", None, 400)
  choices = body.get("n") or 1
  if choices != 1:
    return verdict.not_run("n: only one choice is served", None, 400)
  options = body.get("stream_options") or {}
  upstream = {k: v for k, v in body.items() if k != "max_completion_tokens"}
  upstream["max_tokens"] = max_tokens
  upstream["priority"] = model.PRIORITY[entry.klass]
  stream = bool(body.get("stream"))
  if stream:
    upstream["stream_options"] = {"include_usage": True}
  return _ChatRequest(
      body=upstream,
      tokens=max_prompt_tokens(body) + max_tokens,
      stream=stream,
      include_usage=bool(options.get("include_usage")),
      idem_key=request.headers.get(replies.IDEMPOTENCY_HEADER, ""),
  )


async def handle(
    router: router_lib.Router, request: requests.Request
) -> responses.Response:
  """Handles one chat request."""
  entry = replies.find_entry(router, request)
  if entry is None:
    return replies.to_response(replies.UNKNOWN_API_KEY)
  chat_request = _parse(
      router, entry, request, await replies.read_json_object(request)
  )
  if isinstance(chat_request, verdict.Verdict):
    return replies.to_response(chat_request)
  call = await calls.admit(router, entry, chat_request.tokens)
  if isinstance(call, verdict.Verdict):
    return replies.to_response(call)
  with call.close_unless_transferred():
    opened = await _claim_and_dispatch(call, chat_request)
    if isinstance(opened, responses.Response):
      return opened
    if not chat_request.stream:
      return await _relay_complete(call, opened, chat_request)
    return _StreamResponse(call.transfer(), opened, chat_request)


async def _claim_and_dispatch(
    call: calls.Call, chat_request: _ChatRequest
) -> httpx.Response | responses.Response:
  """Claims the caller's Idempotency-Key, if any, and calls an engine.

  Returns:
    The engine's open response, or the final response to the caller.
  """
  if chat_request.idem_key:
    previous = await call.claim_key(chat_request.idem_key, chat_request.body)
    if isinstance(previous, verdict.Verdict):
      return replies.to_response(previous)
    if previous is not None:
      return replies.to_response(_to_verdict(previous))
  opened = await _dispatch(call, chat_request)
  if isinstance(opened, httpx.Response):
    return opened
  if opened.outcome is verdict.Outcome.NOT_RUN:
    await call.record(idempotency.State.NOT_RUN)
  return replies.to_response(opened)


def _to_verdict(record: idempotency.Record) -> verdict.Verdict:
  if record["state"] == idempotency.State.RAN:
    return verdict.ran("this call ran before; its answer is not kept")
  return verdict.may_have_run("an earlier try may have run", 409)


async def _dispatch(
    call: calls.Call, chat_request: _ChatRequest
) -> httpx.Response | verdict.Verdict:
  """Sends the request, and retries at other engines while it has not run."""
  router = call.router
  excluded: set[str] = set()
  for attempt in range(_MAX_ATTEMPTS):
    if attempt and not router.retries.withdraw():
      break
    shed = await call.acquire_slot(
        "engine", call.entry.model, frozenset(excluded)
    )
    if shed is not None:
      if attempt:
        break
      call.settle(0, calls.CallResult.SHED)
      return verdict.not_run(shed.reason, shed.retry_after_s, 503)
    excluded.add(call.endpoint.name)
    reply = await _send(call, chat_request)
    if reply is not None:
      return reply
    call.release()
  call.settle(0, calls.CallResult.NOT_RUN)
  return verdict.not_run(
      "no engine can take this request now", router.config.retry_after_s, 503
  )


async def _send(
    call: calls.Call, chat_request: _ChatRequest
) -> httpx.Response | verdict.Verdict | None:
  """Sends the request to the engine at which the call holds a slot.

  Returns:
    The open response; a final verdict; or None if the engine did not run
    the request, so that another may be tried.
  """
  endpoint, http = call.endpoint, call.router.http
  if chat_request.stream:
    call.expect_first_token()
  request = http.build_request(
      "POST",
      endpoint.url + "/v1/chat/completions",
      json=chat_request.body,
      headers={"accept-encoding": "identity"},
  )
  try:
    reply = await bodies.send(http, request)
  except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
    endpoint.failures += 2
    return None  # not connected: nothing was sent
  except httpx.HTTPError as exc:
    endpoint.failures += 2
    call.settle(None, calls.CallResult.MAY_HAVE_RUN)
    return verdict.may_have_run(f"engine {endpoint.name}: {exc!r}")
  if reply.is_success:
    call.note_accepted()
    return reply
  await reply.aclose()
  if reply.status_code in _NOT_RUN_STATUSES:
    call.note_turned_away(reply, chat_request.idem_key)
    return None
  if reply.is_client_error:
    call.settle(0, calls.CallResult.NOT_RUN)
    return verdict.not_run(
        f"the engine refused it: {reply.status_code}",
        None,
        reply.status_code,
    )
  endpoint.failures += 2
  call.settle(None, calls.CallResult.MAY_HAVE_RUN)
  return verdict.may_have_run(
      f"engine {endpoint.name} failed: {reply.status_code}"
  )


async def _relay_complete(
    call: calls.Call, reply: httpx.Response, chat_request: _ChatRequest
) -> responses.Response:
  endpoint = call.endpoint
  try:
    data = json.loads(await bodies.read(reply))
    used = int(data["usage"]["total_tokens"])
  except (httpx.HTTPError, ValueError, KeyError, TypeError) as exc:
    endpoint.failures += 2
    call.settle(None, calls.CallResult.MAY_HAVE_RUN)
    return replies.to_response(
        verdict.may_have_run(f"engine {endpoint.name} broke off: {exc!r}")
    )
  call.record_first_token(update_limit=False)
  billed = call.settle(used, calls.CallResult.COMPLETED)
  await call.record(idempotency.State.RAN)
  return responses.JSONResponse(
      data, headers={replies.BILLED_HEADER: str(billed)}
  )


class _StreamResponse(responses.StreamingResponse):
  """Streams an engine's response and closes the call afterwards.

  The call is closed in `__call__`, not in the generator: if the caller
  disconnects before the first event, the generator is never started and
  its `finally` never runs. The reservation would then stay open and hold
  its allotment for ever.
  """

  def __init__(
      self, call: calls.Call, reply: httpx.Response, chat_request: _ChatRequest
  ) -> None:
    super().__init__(self._events(), media_type="text/event-stream")
    self._call = call
    self._reply = reply
    self._stream = relay.Stream(reply, chat_request.include_usage)

  async def __call__(self, scope, receive, send) -> None:
    """Sends the response (ASGI)."""
    with self._call:
      try:
        await super().__call__(scope, receive, send)
      finally:
        with anyio.CancelScope(shield=True):
          await self._reply.aclose()

  async def _events(self):
    call, stream, endpoint = self._call, self._stream, self._call.endpoint
    try:
      async for block in stream.relay():
        call.record_first_token()
        yield block
    except (httpx.HTTPError, errors.MismatchedResponseError, ValueError) as exc:
      logger.debug("relay of an engine's event stream failed: %r", exc)
    if stream.done and stream.usage is not None:
      call.settle(stream.usage, calls.CallResult.COMPLETED)
      await call.record(idempotency.State.RAN)
      yield relay.DONE_EVENT
      return
    endpoint.failures += 2
    call.settle(None, calls.CallResult.MAY_HAVE_RUN)
    broken = verdict.may_have_run(
        f"engine {endpoint.name} broke off the stream"
    )
    yield f"data: {json.dumps(verdict.to_body(broken))}\n\n".encode()
