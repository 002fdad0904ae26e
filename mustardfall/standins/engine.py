"""Stand-in for an OpenAI-compatible model engine.

`POST /v1/chat/completions` returns an OpenAI chat completion, as
server-sent events or in one piece. Its first word is the first word of the
last message, so that a caller can verify that the response is its own. Its
length is `max_tokens`, or less if the message contains `words=N`. As in
vLLM, requests with a lower priority value run first.

`GET /load` reports the load with a lag, `GET /v1/models` the loaded models.
`POST /orders` takes `{"order": "load"|"unload", "model"}` with a
`fencing-token` header; if `honours_fencing` is set, a token lower than an
earlier one is rejected with 409. `POST /standin/faults` takes:

- `fail_next`: number of next requests to reject with 503 without running
  them.
- `retry_after`: value of the `Retry-After` header of these; empty: none.
- `fail_after_run`: number of next requests to run and then answer with 500.
- `drop_after`: the next completion ends after that many tokens; a stream
  ends without `[DONE]`.
- `cross_next`: number of next completions to which, if they are streamed, an
  event of another response is added.
- `stall_s`: delay before the first byte of each response.
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

_WORDS_PATTERN = re.compile(r"words=(\d+)")


def count_prompt_tokens(messages: list[dict]) -> int:
  """Returns the number of prompt tokens; each word counts as one."""
  return sum(len(str(m.get("content", "")).split()) for m in messages)


class _Slots:
  """Runs at most `limit` requests at once; others queue by priority."""

  def __init__(self, limit: int) -> None:
    self._limit = limit
    self.running = 0
    self._waiting: list[tuple[int, int, anyio.Event]] = []
    self._arrivals = itertools.count()

  @property
  def waiting(self) -> int:
    return len(self._waiting)

  async def acquire(self, priority: int) -> None:
    if self.running < self._limit and not self._waiting:
      self.running += 1
      return
    ready = anyio.Event()
    heapq.heappush(self._waiting, (priority, next(self._arrivals), ready))
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
      "retry_after": "",
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
      retry_after = faults["retry_after"]
      headers = {"retry-after": retry_after} if retry_after else None
      return responses.JSONResponse({"error": "injected"}, 503, headers)
    messages = body.get("messages") or []
    last_message = str(messages[-1].get("content", "")) if messages else ""
    echoed_word = (last_message.split() or ["-"])[0]
    limit = int(
        body.get("max_tokens") or body.get("max_completion_tokens") or 16
    )
    length_match = _WORDS_PATTERN.search(last_message)
    length = min(limit, int(length_match.group(1))) if length_match else limit
    prompt_tokens = count_prompt_tokens(messages)
    words = [echoed_word] + [f"w{i}" for i in range(1, length)]
    drop_after = faults["drop_after"]
    faults["drop_after"] = 0
    add_foreign_event = faults["cross_next"] > 0
    faults["cross_next"] = max(0, faults["cross_next"] - 1)
    await anyio.sleep(faults["stall_s"])
    completion_id = f"chatcmpl-{uuid.uuid4().hex[:12]}"
    priority = int(body.get("priority") or 0)
    stats["requests"] += 1
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(words),
        "total_tokens": prompt_tokens + len(words),
    }

    def _chunk(
        delta: dict, finish: str | None = None, answer: str = completion_id
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
          if drop_after and i >= drop_after:
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
          if add_foreign_event and sent == 1:
            yield _chunk({"content": " stray"}, answer="chatcmpl-other")
        if sent < len(words):
          return  # drop_after: ends without a finish reason and [DONE]
        yield _chunk({}, "stop" if length < limit else "length")
        if (body.get("stream_options") or {}).get("include_usage"):
          usage_chunk = {
              "id": completion_id,
              "object": "chat.completion.chunk",
              "created": int(time.time()),
              "model": body.get("model", ""),
              "choices": [],
              "usage": usage,
          }
          yield f"data: {json.dumps(usage_chunk)}\n\n"
        yield "data: [DONE]\n\n"

      return responses.StreamingResponse(
          _events(), media_type="text/event-stream"
      )
    text = " ".join([w async for w in _generate()])
    return responses.JSONResponse(
        {
            "id": completion_id,
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
