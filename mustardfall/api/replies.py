"""Helpers of the handlers: authentication, JSON bodies, error responses."""

import json
from typing import Any

from starlette import requests
from starlette import responses

from mustardfall import router as router_lib
from mustardfall import verdict
from mustardfall.catalogue import table

BILLED_HEADER = "x-mustardfall-billed"
"""Response header: tokens billed for a response that is not streamed."""
REPLAYED_HEADER = "x-mustardfall-replayed"
"""Response header: set on the stored response of an earlier request."""
IDEMPOTENCY_HEADER = "idempotency-key"
UNKNOWN_API_KEY = verdict.not_run("unknown API key", None, 401)
INVALID_JSON = verdict.not_run("the body is not a JSON object", None, 400)


def to_response(error: verdict.Verdict) -> responses.JSONResponse:
  """Returns the HTTP error response for a verdict."""
  return responses.JSONResponse(
      verdict.to_body(error),
      status_code=error.status,
      headers=verdict.to_headers(error),
  )


def find_entry(
    router: router_lib.Router, request: requests.Request
) -> table.CallerEntry | None:
  """Returns the catalogue entry of the caller's API key; None if unknown."""
  auth = request.headers.get("authorization", "")
  return router.catalogue.current.find(auth.removeprefix("Bearer ").strip())


async def read_json_object(request: requests.Request) -> dict[str, Any] | None:
  """Returns the JSON object in the body; None if it is not one."""
  try:
    body = json.loads(await request.body(), parse_constant=_reject_constant)
  except ValueError:
    return None
  return body if isinstance(body, dict) else None


def _reject_constant(name: str) -> None:
  """Rejects NaN and infinities, which are not JSON and cannot be forwarded."""
  raise ValueError(f"{name} is not a JSON value")
