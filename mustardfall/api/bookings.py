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
from mustardfall.api import calls
from mustardfall.api import replies

_ATTEMPTS = 3
"""Services tried for one call while the failures prove it not run."""
_COST = 1
"""Tokens a booking draws on its budget."""
_NOT_RUN_STATUSES = frozenset({429, 503})
"""Answers by which a service says that it did not take the call."""


async def handle(
    router: router_lib.Router, request: requests.Request
) -> responses.Response:
  """Answers one booking."""
  entry = replies.find_entry(router, request)
  if entry is None:
    return replies.answer(replies.UNKNOWN_KEY)
  idem_key = request.headers.get(replies.IDEMPOTENCY_HEADER, "")
  if not idem_key:
    return replies.answer(
        verdict.refuse("bookings need an Idempotency-Key", None, 400)
    )
  body = await replies.read_object(request)
  if body is None:
    return replies.answer(replies.NOT_JSON)
  call = await calls.admit(router, entry, _COST)
  if isinstance(call, verdict.Verdict):
    return replies.answer(call)
  with call:
    return await _book(call, idem_key, body)


async def _book(
    call: calls.Call, idem_key: str, body: dict
) -> responses.Response:
  """Claims the call, sends it, and records what came of it."""
  earlier = await call.claim_key(idem_key, body)
  if isinstance(earlier, verdict.Verdict):
    return replies.answer(earlier)
  if earlier is not None:
    return _replay(earlier)
  sent = await _send(call, idem_key, body)
  if isinstance(sent, verdict.Verdict):
    if sent.outcome is verdict.Outcome.NOT_RUN:
      call.settle(0, calls.End.NOT_RUN)
      await call.record(idempotency.State.NOT_RUN)
    else:
      call.settle(_COST, calls.End.MAY_HAVE_RUN)
    return replies.answer(sent)
  call.note_first_token()
  call.settle(_COST, calls.End.COMPLETED)
  answer = sent.json()
  await call.record(idempotency.State.DONE, sent.status_code, answer)
  return responses.JSONResponse(answer, status_code=sent.status_code)


def _replay(record: idempotency.Record) -> responses.Response:
  """Returns what an earlier try of the call came to."""
  if record["state"] == idempotency.State.DONE:
    return responses.JSONResponse(
        record["answer"],
        status_code=record["status"],
        headers={replies.REPLAYED_HEADER: "1"},
    )
  return replies.answer(verdict.unknown("an earlier try may have run", 409))


async def _send(
    call: calls.Call, idem_key: str, body: dict
) -> httpx.Response | verdict.Verdict:
  """Sends the call to a service, to another only if it did not run."""
  router = call.router
  avoid: set[str] = set()
  for attempt in range(_ATTEMPTS):
    if attempt and not router.retries.withdraw():
      break
    shed = await call.take_place("service", "", frozenset(avoid))
    if shed is not None:
      return verdict.refuse(shed.reason, shed.retry_after_s, 503)
    row = call.row
    avoid.add(row.name)
    try:
      reply = await router.http.post(
          row.url + "/v1/bookings",
          json=body,
          headers={replies.IDEMPOTENCY_HEADER: idem_key},
      )
      if reply.is_success:
        reply.json()  # a success that cannot be read is no answer
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
      row.failures += 2
      call.release()
      continue
    except (httpx.HTTPError, ValueError) as exc:
      return verdict.unknown(f"service {row.name}: {exc!r}")
    if reply.is_success:
      return reply
    if reply.is_client_error and reply.status_code != 429:
      return verdict.refuse(
          f"the service refused it: {reply.status_code}",
          None,
          reply.status_code,
      )
    if reply.status_code not in _NOT_RUN_STATUSES:
      # It may have failed after it booked.
      return verdict.unknown(f"service {row.name}: {reply.status_code}")
    row.failures += 1
    call.release()
  return verdict.refuse(
      "no service can take this call", router.config.retry_after_s, 503
  )
