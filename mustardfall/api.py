"""The HTTP front of a router: the OpenAI-compatible API and bookings.

`POST /v1/chat/completions` admits against the caller's budget, picks an
engine and relays its answer, streamed or whole; `POST /v1/bookings`
sends a non-idempotent call to a plain service at most once. Every
failure is answered with a `verdict.Verdict`. Handlers call only the
`router.Router` object.
"""

import json
import logging
import time
import uuid

import httpx
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mustardfall import errors
from mustardfall import idempotency
from mustardfall import verdict
from mustardfall.budget import allotment
from mustardfall.catalogue import model
from mustardfall.router import Router
from mustardfall.routing import endpoints

logger = logging.getLogger(__name__)

_ATTEMPTS = 3
"""Endpoints tried for one request while the failures prove it not run."""
_MESSAGE_OVERHEAD = 4
"""Tokens a chat template may add per message, reserved on top."""


def _answer(v: verdict.Verdict) -> responses.JSONResponse:
  return responses.JSONResponse(
      verdict.to_body(v), status_code=v.status, headers=verdict.to_headers(v)
  )


def _entry(router: Router, request: requests.Request) -> model.EntrySpec | None:
  auth = request.headers.get("authorization", "")
  token = auth.removeprefix("Bearer ").strip()
  return router.catalogue.current.find(token)


def prompt_bound(messages: list[dict]) -> int:
  """Returns an upper bound of the prompt's tokens: its UTF-8 bytes.

  No tokenizer yields more tokens than bytes, so a reservation built on
  this bound cannot be overrun by the prompt.
  """
  return sum(
      len(str(m.get("content", "")).encode()) + _MESSAGE_OVERHEAD
      for m in messages
  )


def _attrs(entry: model.EntrySpec) -> dict[str, str]:
  return {"customer": entry.customer, "class": entry.klass.value}


class _Call:
  """One admitted chat request: its reservation, settled exactly once."""

  def __init__(
      self, router: Router, entry: model.EntrySpec, res: allotment.Reservation
  ) -> None:
    self.router = router
    self.entry = entry
    self.reservation = res
    self.started = time.monotonic()
    self.first_token: float | None = None
    self._settled = False

  def settle(self, used: int | None, outcome: str) -> int:
    """Bills `used` (the whole reservation when unknown) once."""
    if self._settled:
      return 0
    self._settled = True
    tokens = self.reservation.tokens if used is None else used
    billed = self.router.settle(self.reservation, tokens)
    self.router.instruments.tokens.record(billed, _attrs(self.entry))
    self.router.instruments.outcomes.add(
        1, {**_attrs(self.entry), "outcome": outcome}
    )
    self.router.counts[outcome] += 1
    return billed

  def mark_first_token(self) -> None:
    if self.first_token is None:
      self.first_token = time.monotonic()
      self.router.instruments.ttft.record(
          self.first_token - self.started, _attrs(self.entry)
      )


async def _open(
    router: Router, entry: model.EntrySpec, body: dict
) -> tuple[httpx.Response, endpoints.Row] | verdict.Verdict:
  """Opens the upstream call, trying other engines while it is not run."""
  avoid: set[str] = set()
  for _ in range(_ATTEMPTS):
    row = router.endpoints.choose(
        "engine", entry.model, router.config.datacentre, frozenset(avoid)
    )
    if row is None:
      break
    avoid.add(row.name)
    request = router.http.build_request(
        "POST", row.url + "/v1/chat/completions", json=body
    )
    try:
      reply = await router.http.send(request, stream=True)
    except (httpx.ConnectError, httpx.ConnectTimeout):
      row.failures += 1
      continue  # never reached the engine: not run, try another
    except httpx.HTTPError as exc:
      return verdict.unknown(f"engine {row.name}: {exc!r}")
    if reply.status_code >= 500:
      # Engines answer an error before they start decoding, so a 5xx
      # here means not run; the next engine may serve it.
      await reply.aclose()
      row.failures += 1
      continue
    row.failures = 0
    row.in_flight += 1
    return reply, row
  return verdict.refuse(
      "no engine can take this request now", router.config.retry_after_s, 503
  )


async def _chat(
    router: Router, request: requests.Request
) -> responses.Response:
  entry = _entry(router, request)
  if entry is None:
    return _answer(verdict.refuse("unknown API key", 0, 401))
  if router.stopping:
    return _answer(verdict.refuse("router stopping", 1, 503))
  body = await request.json()
  messages = body.get("messages") or []
  max_tokens = int(
      body.get("max_tokens")
      or body.get("max_completion_tokens")
      or router.config.default_max_tokens
  )
  res = await router.reserve(entry.name, prompt_bound(messages) + max_tokens)
  if res is None:
    router.counts["refused"] += 1
    router.instruments.outcomes.add(1, {**_attrs(entry), "outcome": "refused"})
    return _answer(
        verdict.refuse(
            "budget cannot cover this request now", router.config.retry_after_s
        )
    )
  call = _Call(router, entry, res)
  stream = bool(body.get("stream"))
  want_usage = bool((body.get("stream_options") or {}).get("include_usage"))
  upstream = {k: v for k, v in body.items() if k != "max_completion_tokens"}
  upstream.update(max_tokens=max_tokens, priority=model.PRIORITY[entry.klass])
  if stream:
    upstream["stream_options"] = {"include_usage": True}
  opened = await _open(router, entry, upstream)
  if isinstance(opened, verdict.Verdict):
    call.settle(
        None if opened.outcome is verdict.Outcome.MAY_HAVE_RUN else 0,
        opened.outcome.value,
    )
    return _answer(opened)
  reply, row = opened
  rid = f"req-{uuid.uuid4().hex[:16]}"
  if not stream:
    return await _relay_whole(call, reply, row, rid)
  return responses.StreamingResponse(
      _relay_stream(call, reply, row, want_usage),
      media_type="text/event-stream",
      headers={"x-request-id": rid},
  )


async def _relay_whole(
    call: _Call, reply: httpx.Response, row: endpoints.Row, rid: str
) -> responses.Response:
  try:
    data = json.loads(await reply.aread())
    used = int(data["usage"]["total_tokens"])
  except (httpx.HTTPError, ValueError, KeyError) as exc:
    call.settle(None, "may_have_run")
    return _answer(verdict.unknown(f"engine {row.name} broke off: {exc!r}"))
  finally:
    row.in_flight -= 1
    await reply.aclose()
  call.mark_first_token()
  billed = call.settle(used, "completed")
  return responses.JSONResponse(
      data, headers={"x-request-id": rid, "x-mustardfall-billed": str(billed)}
  )


async def _relay_stream(
    call: _Call, reply: httpx.Response, row: endpoints.Row, want_usage: bool
):
  """Relays SSE events; ends with an error event if the engine breaks off.

  A stream cut short is never passed off as whole: without the engine's
  `[DONE]` the caller gets an error event saying "may have run".
  """
  used: int | None = None
  done = False
  try:
    async for line in reply.aiter_lines():
      if not line.startswith("data:"):
        continue
      data = line[5:].strip()
      if data == "[DONE]":
        done = True
        break
      chunk = json.loads(data)
      if chunk.get("usage"):
        used = int(chunk["usage"]["total_tokens"])
        if not chunk.get("choices") and not want_usage:
          continue
      call.mark_first_token()
      yield f"data: {data}\n\n"
  except (httpx.HTTPError, ValueError) as exc:
    logger.debug("engine stream broke: %r", exc)
  finally:
    row.in_flight -= 1
    await reply.aclose()
    if done and used is not None:
      call.settle(used, "completed")
    else:
      call.settle(None, "may_have_run")
  if done:
    yield "data: [DONE]\n\n"
  else:
    broken = verdict.unknown(f"engine {row.name} broke off the stream")
    yield f"data: {json.dumps(verdict.to_body(broken))}\n\n"


async def _book(
    router: Router, request: requests.Request
) -> responses.Response:
  entry = _entry(router, request)
  if entry is None:
    return _answer(verdict.refuse("unknown API key", 0, 401))
  idem_key = request.headers.get("idempotency-key", "")
  if not idem_key:
    return _answer(verdict.refuse("bookings need an Idempotency-Key", 0, 400))
  body = await request.json()
  res = await router.reserve(entry.name, 1)
  if res is None:
    return _answer(
        verdict.refuse("budget exhausted", router.config.retry_after_s)
    )
  call = _Call(router, entry, res)
  try:
    claim = await idempotency.claim(
        router.kv, entry.name, idem_key, router.config.name
    )
  except errors.KvUnavailableError:
    call.settle(0, "not_run")
    return _answer(
        verdict.refuse(
            "cannot record the call", router.config.retry_after_s, 503
        )
    )
  if not claim.ours:
    call.settle(0, "replayed")
    if claim.state is idempotency.State.DONE:
      return responses.JSONResponse(
          claim.answer, headers={"x-mustardfall-replayed": "1"}
      )
    return _answer(verdict.unknown("an earlier try may have run", 409))
  avoid: set[str] = set()
  for _ in range(_ATTEMPTS):
    row = router.endpoints.choose(
        "service", "", router.config.datacentre, frozenset(avoid)
    )
    if row is None:
      break
    avoid.add(row.name)
    try:
      reply = await router.http.post(
          row.url + "/v1/bookings",
          json=body,
          headers={"idempotency-key": idem_key},
      )
    except (httpx.ConnectError, httpx.ConnectTimeout):
      continue
    except httpx.HTTPError as exc:
      call.settle(1, "may_have_run")
      return _answer(verdict.unknown(f"service {row.name}: {exc!r}"))
    answer = reply.json()
    await idempotency.finish(
        router.kv,
        entry.name,
        idem_key,
        router.config.name,
        idempotency.State.DONE,
        answer,
    )
    call.settle(1, "completed")
    return responses.JSONResponse(answer, status_code=reply.status_code)
  await idempotency.finish(
      router.kv,
      entry.name,
      idem_key,
      router.config.name,
      idempotency.State.NOT_RUN,
  )
  call.settle(0, "not_run")
  return _answer(
      verdict.refuse(
          "no service can take this call", router.config.retry_after_s, 503
      )
  )


def create_app(router: Router) -> applications.Starlette:
  """Returns the router's ASGI application."""

  async def chat(request):
    return await _chat(router, request)

  async def book(request):
    return await _book(router, request)

  async def stats(_):
    return responses.JSONResponse(
        {
            "counts": dict(router.counts),
            "kv_calls": router.kv.calls,
            "catalogue_revision": router.catalogue.current.revision,
            "allotments": len(router.allotments.rows),
        }
    )

  async def metrics_(_):
    return responses.Response(
        router.instruments.snapshot(), media_type="application/json"
    )

  async def health(_):
    ready = router.catalogue.current.revision > 0 and not router.stopping
    return responses.JSONResponse(
        {"ready": ready}, status_code=200 if ready else 503
    )

  return applications.Starlette(
      routes=[
          routing.Route("/v1/chat/completions", chat, methods=["POST"]),
          routing.Route("/v1/bookings", book, methods=["POST"]),
          routing.Route("/admin/stats", stats, methods=["GET"]),
          routing.Route("/admin/metrics", metrics_, methods=["GET"]),
          routing.Route("/healthz", health, methods=["GET"]),
      ]
  )
