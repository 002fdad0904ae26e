"""`POST /v1/bookings`: non-idempotent calls to a plain service.

The call is recorded in the KV under the caller's Idempotency-Key before
it is sent, so that it is sent at most once whatever retries come.
"""

import httpx
from starlette import requests
from starlette import responses

from mustardfall import idempotency
from mustardfall import router as router_lib
from mustardfall import verdict
from mustardfall.api import bodies
from mustardfall.api import calls
from mustardfall.api import replies

_MAX_ATTEMPTS = 3
"""Most services tried for one call, as long as none may have run it."""
_TOKENS_PER_BOOKING = 1
"""Tokens billed for one booking."""
_BODY_HEADERS = (b"content-encoding", b"content-length", b"transfer-encoding")
"""Headers that describe the body as it was sent, and not as it was decoded."""
_NOT_RUN_STATUSES = frozenset({429, 503})
"""Statuses by which a service reports that it did not run the call."""


async def handle(
    router: router_lib.Router, request: requests.Request
) -> responses.Response:
  """Handles one booking request."""
  entry = replies.find_entry(router, request)
  if entry is None:
    return replies.to_response(replies.UNKNOWN_API_KEY)
  idem_key = request.headers.get(replies.IDEMPOTENCY_HEADER, "")
  if not idem_key:
    return replies.to_response(
        verdict.not_run("bookings need an Idempotency-Key", None, 400)
    )
  body = await replies.read_json_object(request)
  if body is None:
    return replies.to_response(replies.INVALID_JSON)
  call = await calls.admit(router, entry, _TOKENS_PER_BOOKING)
  if isinstance(call, verdict.Verdict):
    return replies.to_response(call)
  with call:
    return await _book(call, idem_key, body)


async def _book(
    call: calls.Call, idem_key: str, body: dict
) -> responses.Response:
  """Claims the idempotency key, sends the call and records its outcome."""
  previous = await call.claim_key(idem_key, body)
  if isinstance(previous, verdict.Verdict):
    return replies.to_response(previous)
  if previous is not None:
    return _replay(previous)
  sent = await _send(call, idem_key, body)
  if isinstance(sent, verdict.Verdict):
    if sent.outcome is verdict.Outcome.NOT_RUN:
      call.settle(0, calls.CallResult.NOT_RUN)
      await call.record(idempotency.State.NOT_RUN)
    else:
      call.settle(_TOKENS_PER_BOOKING, calls.CallResult.MAY_HAVE_RUN)
    return replies.to_response(sent)
  call.record_first_token()
  call.settle(_TOKENS_PER_BOOKING, calls.CallResult.COMPLETED)
  response_body = sent.json()
  await call.record(idempotency.State.DONE, sent.status_code, response_body)
  return responses.JSONResponse(response_body, status_code=sent.status_code)


def _replay(record: idempotency.Record) -> responses.Response:
  """Returns the response for a call that an earlier request made."""
  if record["state"] == idempotency.State.DONE:
    return responses.JSONResponse(
        record["answer"],
        status_code=record["status"],
        headers={replies.REPLAYED_HEADER: "1"},
    )
  return replies.to_response(
      verdict.may_have_run("an earlier try may have run", 409)
  )


async def _post(
    http: httpx.AsyncClient, url: str, idem_key: str, body: dict
) -> httpx.Response:
  """Sends the call to one service; returns the response with its body.

  Raises:
    httpx.HTTPError: there is no response, or its body is not whole.
    ValueError: the response is a success and not JSON.
  """
  request = http.build_request(
      "POST",
      url + "/v1/bookings",
      json=body,
      headers={
          replies.IDEMPOTENCY_HEADER: idem_key,
          "accept-encoding": "identity",
      },
  )
  opened = await bodies.send(http, request)
  content = await bodies.read(opened)
  headers = [
      (name, value)
      for name, value in opened.headers.raw
      if name.lower() not in _BODY_HEADERS
  ]
  reply = httpx.Response(opened.status_code, headers=headers, content=content)
  if reply.is_success:
    reply.json()
  return reply


async def _send(
    call: calls.Call, idem_key: str, body: dict
) -> httpx.Response | verdict.Verdict:
  """Sends the call, and retries at other services while it has not run."""
  router = call.router
  excluded: set[str] = set()
  for attempt in range(_MAX_ATTEMPTS):
    if attempt and not router.retries.withdraw():
      break
    shed = await call.acquire_slot("service", "", frozenset(excluded))
    if shed is not None:
      return verdict.not_run(shed.reason, shed.retry_after_s, 503)
    endpoint = call.endpoint
    excluded.add(endpoint.name)
    try:
      reply = await _post(router.http, endpoint.url, idem_key, body)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
      endpoint.failures += 2
      call.release()
      continue
    except (httpx.HTTPError, ValueError) as exc:
      return verdict.may_have_run(f"service {endpoint.name}: {exc!r}")
    if reply.is_success:
      call.note_accepted()
      return reply
    if reply.is_client_error and reply.status_code != 429:
      return verdict.not_run(
          f"the service refused it: {reply.status_code}",
          None,
          reply.status_code,
      )
    if reply.status_code not in _NOT_RUN_STATUSES:
      # The service may have failed after it made the booking.
      return verdict.may_have_run(
          f"service {endpoint.name}: {reply.status_code}"
      )
    call.note_turned_away(reply, idem_key)
    call.release()
  return verdict.not_run(
      "no service can take this call", router.config.retry_after_s, 503
  )
