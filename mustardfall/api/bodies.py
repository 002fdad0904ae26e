"""Responses of engines and services, within limits of time and size.

A faulty endpoint may send bytes without end, a few at a time.
"""

import anyio
import httpx

HEAD_TIMEOUT_S = 60.0
"""Time within which the head of a response has to be whole."""
_BODY_TIMEOUT_S = 10.0
"""The same for the body, counted from the head. Both are sent at once."""
MAX_BYTES = 8_388_608
"""Largest body of a response that is no event stream."""


class UnreadableResponseError(httpx.HTTPError):
  """The response does not end, or is too large; the request may have run."""


async def send(
    http: httpx.AsyncClient, request: httpx.Request
) -> httpx.Response:
  """Sends a request; returns the response, whose body is not read yet.

  Raises:
    httpx.HTTPError: there is no response.
  """
  with anyio.move_on_after(HEAD_TIMEOUT_S):
    return await http.send(request, stream=True)
  raise UnreadableResponseError(f"no response in {HEAD_TIMEOUT_S} s")


async def read(reply: httpx.Response) -> bytes:
  """Returns the body of a response, and closes it.

  Raises:
    httpx.HTTPError: the body is not whole, or does not end.
  """
  body = bytearray()
  try:
    with anyio.move_on_after(_BODY_TIMEOUT_S):
      async for data in reply.aiter_bytes():
        body += data
        if len(body) > MAX_BYTES:
          raise UnreadableResponseError(f"body over {MAX_BYTES} bytes")
      return bytes(body)
    raise UnreadableResponseError(f"body not whole in {_BODY_TIMEOUT_S} s")
  finally:
    with anyio.CancelScope(shield=True):
      await reply.aclose()
