"""`POST /v1/chat/completions`: the OpenAI-compatible chat API.

A request is admitted against its budget, given a place at an engine and
relayed, streamed or whole. Every failure is answered with a
`verdict.Verdict`.
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
from mustardfall.api import calls
from mustardfall.api import relay
from mustardfall.api import replies
from mustardfall.catalogue import model
from mustardfall.catalogue import table

logger = logging.getLogger(__name__)

_ATTEMPTS = 3
"""Endpoints tried for one request while the failures prove it not run."""
_MESSAGE_OVERHEAD = 4
"""Tokens a chat template may add per message, reserved on top."""
_NOT_RUN_STATUSES = frozenset({429, 503})
"""Answers by which an engine says that it did not take the request.

Any other 5xx may come after it began to generate, so the request may
have run: it is neither tried elsewhere nor told "not run".
"""


class _Ask(NamedTuple):
  """A chat request as read from the caller."""

  body: dict[str, Any]
  tokens: int
  """Most tokens it can use: its prompt's bound and `max_tokens`."""
  stream: bool
  want_usage: bool
  idem_key: str


def max_prompt_tokens(body: dict[str, Any]) -> int:
  """Returns an upper bound of the prompt's tokens: its UTF-8 bytes.

  No tokenizer yields more tokens than bytes, so a reservation built on
  this bound cannot be overrun by the prompt. All that a template may
  render counts: messages whole (names, parts, tool calls) and tools.
  """
  messages = body["messages"]
  text = sum(len(_text(m)) for m in messages)
  if "tools" in body:
    text += len(_text(body["tools"]))
  return text + _MESSAGE_OVERHEAD * len(messages)


def _text(part: Any) -> bytes:
  if isinstance(part, dict) and set(part) == {"role", "content"}:
    part = part["content"]
  if not isinstance(part, str):
    part = json.dumps(part, ensure_ascii=False)
  return part.encode()


def _read(
    router: router_lib.Router,
    entry: table.Found,
    request: requests.Request,
    body: dict[str, Any] | None,
) -> _Ask | verdict.Verdict:
  """Reads the caller's request; a verdict when it is not proper."""
  if body is None:
    return replies.NOT_JSON
  messages = body.get("messages")
  if not isinstance(messages, list) or not messages:
    return verdict.refuse("messages: a list is required", None, 400)
  most = body.get("max_completion_tokens") or body.get("max_tokens")
  most = router.config.default_max_tokens if most is None else most
  if not isinstance(most, int) or most < 1:
    return verdict.refuse("max_tokens: not a positive number", None, 400)
  choices = body.get("n") or 1
  if choices != 1:
    return verdict.refuse("n: only one choice is served", None, 400)
  options = body.get("stream_options") or {}
  upstream = {k: v for k, v in body.items() if k != "max_completion_tokens"}
  upstream["max_tokens"] = most
  upstream["priority"] = model.PRIORITY[entry.klass]
  stream = bool(body.get("stream"))
  if stream:
    upstream["stream_options"] = {"include_usage": True}
  return _Ask(
      body=upstream,
      tokens=max_prompt_tokens(body) + most,
      stream=stream,
      want_usage=bool(options.get("include_usage")),
      idem_key=request.headers.get(replies.IDEMPOTENCY_HEADER, ""),
  )


async def handle(
    router: router_lib.Router, request: requests.Request
) -> responses.Response:
  """Answers one chat request."""
  entry = replies.find_entry(router, request)
  if entry is None:
    return replies.answer(replies.UNKNOWN_KEY)
  ask = _read(router, entry, request, await replies.read_object(request))
  if isinstance(ask, verdict.Verdict):
    return replies.answer(ask)
  call = await calls.admit(router, entry, ask.tokens)
  if isinstance(call, verdict.Verdict):
    return replies.answer(call)
  with call.unless_handed_over():
    opened = await _claim_and_open(call, ask)
    if isinstance(opened, responses.Response):
      return opened
    if not ask.stream:
      return await _relay_whole(call, opened, ask)
    return _StreamAnswer(call.hand_over(), opened, ask)


async def _claim_and_open(
    call: calls.Call, ask: _Ask
) -> httpx.Response | responses.Response:
  """Claims the caller's Idempotency-Key, if any, and opens the call.

  Returns:
    The engine's open answer, or the final answer to the caller.
  """
  if ask.idem_key:
    earlier = await call.claim_key(ask.idem_key, ask.body)
    if isinstance(earlier, verdict.Verdict):
      return replies.answer(earlier)
    if earlier is not None:
      return replies.answer(_verdict_of(earlier))
  opened = await _open(call, ask)
  if isinstance(opened, httpx.Response):
    return opened
  if opened.outcome is verdict.Outcome.NOT_RUN:
    await call.record(idempotency.State.NOT_RUN)
  return replies.answer(opened)


def _verdict_of(record: idempotency.Record) -> verdict.Verdict:
  if record["state"] == idempotency.State.RAN:
    return verdict.ran("this call ran before; its answer is not kept")
  return verdict.unknown("an earlier try may have run", 409)


async def _open(
    call: calls.Call, ask: _Ask
) -> httpx.Response | verdict.Verdict:
  """Opens the call at an engine, trying others while it is not run."""
  router = call.router
  avoid: set[str] = set()
  for attempt in range(_ATTEMPTS):
    if attempt and not router.retries.withdraw():
      break
    shed = await call.take_place("engine", call.entry.model, frozenset(avoid))
    if shed is not None:
      if attempt:
        break
      call.settle(0, calls.End.SHED)
      return verdict.refuse(shed.reason, shed.retry_after_s, 503)
    avoid.add(call.row.name)
    reply = await _send(call, ask)
    if reply is not None:
      return reply
    call.release()
  call.settle(0, calls.End.NOT_RUN)
  return verdict.refuse(
      "no engine can take this request now", router.config.retry_after_s, 503
  )


async def _send(
    call: calls.Call, ask: _Ask
) -> httpx.Response | verdict.Verdict | None:
  """Sends the request to the engine whose place is held.

  Returns:
    The open answer; a final verdict; or None when it did not run there
    and may be tried elsewhere.
  """
  row, http = call.row, call.router.http
  if ask.stream:
    call.await_first_token()
  request = http.build_request(
      "POST",
      row.url + "/v1/chat/completions",
      json=ask.body,
      headers={"accept-encoding": "identity"},
  )
  try:
    reply = await http.send(request, stream=True)
  except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
    row.failures += 2
    return None  # no byte of it reached the engine
  except httpx.HTTPError as exc:
    row.failures += 2
    call.settle(None, calls.End.MAY_HAVE_RUN)
    return verdict.unknown(f"engine {row.name}: {exc!r}")
  if reply.is_success:
    return reply
  await reply.aclose()
  if reply.status_code in _NOT_RUN_STATUSES:
    row.failures += 1
    return None
  if reply.is_client_error:
    call.settle(0, calls.End.NOT_RUN)
    return verdict.refuse(
        f"the engine refused it: {reply.status_code}", None, reply.status_code
    )
  row.failures += 2
  call.settle(None, calls.End.MAY_HAVE_RUN)
  return verdict.unknown(f"engine {row.name} failed: {reply.status_code}")


async def _relay_whole(
    call: calls.Call, reply: httpx.Response, ask: _Ask
) -> responses.Response:
  row = call.row
  try:
    data = json.loads(await reply.aread())
    used = int(data["usage"]["total_tokens"])
  except (httpx.HTTPError, ValueError, KeyError, TypeError) as exc:
    row.failures += 2
    call.settle(None, calls.End.MAY_HAVE_RUN)
    return replies.answer(
        verdict.unknown(f"engine {row.name} broke off: {exc!r}")
    )
  finally:
    with anyio.CancelScope(shield=True):
      await reply.aclose()
  call.note_first_token(steer=False)
  billed = call.settle(used, calls.End.COMPLETED)
  await call.record(idempotency.State.RAN)
  return responses.JSONResponse(
      data, headers={replies.BILLED_HEADER: str(billed)}
  )


class _StreamAnswer(responses.StreamingResponse):
  """Streams an engine's answer and ends the call with it.

  The call ends in `__call__`, not in the generator: when the caller has
  left before the first event, the generator is never started, and its
  `finally` would never run. The reservation would then stay in flight
  and hold its allotment for ever.
  """

  def __init__(
      self, call: calls.Call, reply: httpx.Response, ask: _Ask
  ) -> None:
    super().__init__(self._events(), media_type="text/event-stream")
    self._call = call
    self._reply = reply
    self._stream = relay.Stream(reply, ask.want_usage)

  async def __call__(self, scope, receive, send) -> None:
    """Sends the answer (ASGI)."""
    with self._call:
      try:
        await super().__call__(scope, receive, send)
      finally:
        with anyio.CancelScope(shield=True):
          await self._reply.aclose()

  async def _events(self):
    call, stream, row = self._call, self._stream, self._call.row
    try:
      async for block in stream.relay():
        call.note_first_token()
        yield block
    except (httpx.HTTPError, errors.MismatchedResponseError, ValueError) as exc:
      logger.debug("engine stream broke: %r", exc)
    if stream.done and stream.usage is not None:
      call.settle(stream.usage, calls.End.COMPLETED)
      await call.record(idempotency.State.RAN)
      yield relay.END
      return
    row.failures += 2
    call.settle(None, calls.End.MAY_HAVE_RUN)
    broken = verdict.unknown(f"engine {row.name} broke off the stream")
    yield f"data: {json.dumps(verdict.to_body(broken))}\n\n".encode()
