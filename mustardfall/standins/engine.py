"""An OpenAI-compatible model engine stand-in.

`POST /v1/chat/completions` answers in the OpenAI shape, streamed as
server-sent events or whole. The answer's first word echoes the first
word of the last user message, so a caller can tell its answer from
another's; the length is `max_tokens`, or fewer when the message says
`words=N`. Priorities follow the vLLM convention: lower runs first.
Load is reported at `GET /load` with a lag. `GET /v1/models` lists what
is loaded; `POST /orders` takes `{"order": "load"|"unload", "model"}` with
a `fencing-token` header, and refuses older ones with 409 if it honours
them. `POST /standin/faults`
takes `fail_next` (requests refused with 503 before any work),
`fail_after_run` (requests run to the end, then answered 500),
`drop_after` (the next stream is cut after that many tokens),
`cross_next` (the next streams carry an event of another answer) and
`stall_s` (a wait before the answer's first byte).
"""

import heapq
import itertools
import json
import re
import time
import uuid

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mustardfall import settings
from mustardfall.routing import orders
from mustardfall.util import serving

_WORDS = re.compile(r"words=(\d+)")


def count_prompt(messages: list[dict]) -> int:
  """Returns the prompt's size in tokens, one token per word."""
  return sum(len(str(m.get("content", "")).split()) for m in messages)


class _Slots:
  """Decodes at most `limit` requests at once; others wait by priority."""

  def __init__(self, limit: int) -> None:
    self._limit = limit
    self.running = 0
    self._waiting: list[tuple[int, int, anyio.Event]] = []
    self._seq = itertools.count()

  @property
  def waiting(self) -> int:
    return len(self._waiting)

  async def acquire(self, priority: int) -> None:
    if self.running < self._limit and not self._waiting:
      self.running += 1
      return
    ready = anyio.Event()
    heapq.heappush(self._waiting, (priority, next(self._seq), ready))
    await ready.wait()

  def release(self) -> None:
    if self._waiting:
      _, _, ready = heapq.heappop(self._waiting)
      ready.set()
    else:
      self.running -= 1


def create_app(config: settings.EngineStandin) -> applications.Starlette:
  """Returns the ASGI application of the engine."""
  slots = _Slots(config.slots)
  faults = {
      "fail_next": 0,
      "fail_after_run": 0,
      "drop_after": 0,
      "cross_next": 0,
      "stall_s": 0.0,
  }
  stats = {"requests": 0, "tokens": 0, "orders": 0, "stale_orders": 0}
  loaded = set(config.models)
  fence = 0
  load = {"running": 0, "waiting": 0, "at": 0.0}

  def _report_load() -> dict:
    now = time.monotonic()
    if now - load["at"] >= config.load_lag_s:
      load.update(running=slots.running, waiting=slots.waiting, at=now)
    return {"running": load["running"], "waiting": load["waiting"]}

  async def _complete(request: requests.Request) -> responses.Response:
    body = await request.json()
    if faults["fail_next"] > 0:
      faults["fail_next"] -= 1
      return responses.JSONResponse({"error": "injected"}, status_code=503)
    messages = body.get("messages") or []
    last = str(messages[-1].get("content", "")) if messages else ""
    nonce = (last.split() or ["-"])[0]
    limit = int(
        body.get("max_tokens") or body.get("max_completion_tokens") or 16
    )
    asked = _WORDS.search(last)
    length = min(limit, int(asked.group(1))) if asked else limit
    prompt = count_prompt(messages)
    words = [nonce] + [f"w{i}" for i in range(1, length)]
    drop = faults["drop_after"]
    faults["drop_after"] = 0
    crossed = faults["cross_next"] > 0
    faults["cross_next"] = max(0, faults["cross_next"] - 1)
    await anyio.sleep(faults["stall_s"])
    cid = f"chatcmpl-{uuid.uuid4().hex[:12]}"
    priority = int(body.get("priority") or 0)
    stats["requests"] += 1
    usage = {
        "prompt_tokens": prompt,
        "completion_tokens": len(words),
        "total_tokens": prompt + len(words),
    }

    def _chunk(
        delta: dict, finish: str | None = None, answer: str = cid
    ) -> str:
      data = {
          "id": answer,
          "object": "chat.completion.chunk",
          "created": int(time.time()),
          "model": body.get("model", ""),
          "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
      }
      return f"data: {json.dumps(data)}\n\n"

    async def _generate():
      await slots.acquire(priority)
      try:
        await anyio.sleep(config.first_token_s)
        for i, word in enumerate(words):
          if drop and i >= drop:
            return
          if i:
            await anyio.sleep(1.0 / config.tokens_per_s)
          stats["tokens"] += 1
          yield word
      finally:
        slots.release()

    if faults["fail_after_run"] > 0:
      faults["fail_after_run"] -= 1
      _ = [w async for w in _generate()]
      return responses.JSONResponse({"error": "injected"}, status_code=500)
    if body.get("stream"):

      async def _events():
        yield _chunk({"role": "assistant", "content": ""})
        sent = 0
        async for word in _generate():
          yield _chunk({"content": word if sent == 0 else " " + word})
          sent += 1
          if crossed and sent == 1:
            yield _chunk({"content": " stray"}, answer="chatcmpl-other")
        if sent < len(words):
          return  # dropped: the stream ends without a finish or [DONE]
        yield _chunk({}, "stop" if length < limit else "length")
        if (body.get("stream_options") or {}).get("include_usage"):
          tail = {
              "id": cid,
              "object": "chat.completion.chunk",
              "created": int(time.time()),
              "model": body.get("model", ""),
              "choices": [],
              "usage": usage,
          }
          yield f"data: {json.dumps(tail)}\n\n"
        yield "data: [DONE]\n\n"

      return responses.StreamingResponse(
          _events(), media_type="text/event-stream"
      )
    text = " ".join([w async for w in _generate()])
    return responses.JSONResponse(
        {
            "id": cid,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": body.get("model", ""),
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop" if length < limit else "length",
                }
            ],
            "usage": usage,
        }
    )

  async def _models(_: requests.Request) -> responses.Response:
    models = [{"id": m, "object": "model"} for m in sorted(loaded)]
    return responses.JSONResponse({"object": "list", "data": models})

  async def _orders(request: requests.Request) -> responses.Response:
    nonlocal fence
    token = int(request.headers.get(orders.FENCING_HEADER, 0))
    if token < fence:
      stats["stale_orders"] += 1
      if config.honours_fencing:
        return responses.JSONResponse({"error": "stale"}, status_code=409)
    fence = max(fence, token)
    stats["orders"] += 1
    body = await request.json()
    if body["order"] == "load":
      loaded.add(body["model"])
    else:
      loaded.discard(body["model"])
    return responses.JSONResponse({"ok": True})

  async def _load(_: requests.Request) -> responses.Response:
    return responses.JSONResponse(_report_load())

  async def _faults(request: requests.Request) -> responses.Response:
    faults.update(await request.json())
    return responses.JSONResponse({"ok": True})

  async def _stats(_: requests.Request) -> responses.Response:
    return responses.JSONResponse(stats)

  async def _health(_: requests.Request) -> responses.Response:
    return responses.JSONResponse({"ok": True})

  return applications.Starlette(
      routes=[
          routing.Route("/v1/chat/completions", _complete, methods=["POST"]),
          routing.Route("/v1/models", _models, methods=["GET"]),
          routing.Route("/orders", _orders, methods=["POST"]),
          routing.Route("/load", _load, methods=["GET"]),
          routing.Route("/standin/faults", _faults, methods=["POST"]),
          routing.Route("/standin/stats", _stats, methods=["GET"]),
          routing.Route("/healthz", _health, methods=["GET"]),
      ]
  )


async def run(config: settings.EngineStandin) -> None:
  """Serves the engine until SIGTERM."""
  await serving.serve(
      create_app(config), config.listen.host, config.listen.port, 30
  )
