"""What the handlers share: whose call it is, and verdicts as answers."""

import json
from typing import Any

from starlette import requests
from starlette import responses

from mustardfall import router as router_lib
from mustardfall import verdict
from mustardfall.catalogue import table

BILLED_HEADER = "x-mustardfall-billed"
"""Tokens billed for a whole answer."""
REPLAYED_HEADER = "x-mustardfall-replayed"
"""Set on an answer kept from an earlier try."""
IDEMPOTENCY_HEADER = "idempotency-key"
UNKNOWN_KEY = verdict.refuse("unknown API key", None, 401)
NOT_JSON = verdict.refuse("the body is not a JSON object", None, 400)


def answer(v: verdict.Verdict) -> responses.JSONResponse:
  """Returns the HTTP answer for a verdict."""
  return responses.JSONResponse(
      verdict.to_body(v), status_code=v.status, headers=verdict.to_headers(v)
  )


def find_entry(
    router: router_lib.Router, request: requests.Request
) -> table.CallerEntry | None:
  """Returns the catalogue entry of the caller's API key, or None."""
  auth = request.headers.get("authorization", "")
  return router.catalogue.current.find(auth.removeprefix("Bearer ").strip())


async def read_object(request: requests.Request) -> dict[str, Any] | None:
  """Returns the body's JSON object, or None when it is none."""
  try:
    body = json.loads(await request.body(), parse_constant=_refuse_constant)
  except ValueError:
    return None
  return body if isinstance(body, dict) else None


def _refuse_constant(name: str) -> None:
  """Refuses NaN and infinities: they are not JSON, and cannot be sent on."""
  raise ValueError(f"{name} is not JSON")
