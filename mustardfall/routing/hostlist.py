"""Polls the host list over HTTP, for the table of endpoints.

Each tick sends a conditional GET, so that an unchanged list costs only the
response's headers.
"""

import httpx

from mustardfall.routing import endpoints


class Poller:
  """Polls the host list.

  Args:
    http: an HTTP client.
    url: base URL of the host list.
  """

  def __init__(self, http: httpx.AsyncClient, url: str) -> None:
    self._http = http
    self._url = url.rstrip("/") + "/hosts"
    self._etag = ""

  async def poll(self) -> list[endpoints.EndpointEntry] | None:
    """Returns the entries of the list, or None if it has not changed.

    Raises:
      httpx.HTTPError: the request failed or was answered with an error status.
      ValueError: the response is not JSON.
      KeyError: the response has no "hosts".
    """
    headers = {"if-none-match": self._etag} if self._etag else {}
    reply = await self._http.get(self._url, headers=headers, timeout=2.0)
    if reply.status_code == httpx.codes.NOT_MODIFIED:
      return None
    reply.raise_for_status()
    hosts = reply.json()["hosts"]
    self._etag = reply.headers.get("etag", "")
    return hosts
