"""Reads the host list over HTTP, for the table of endpoints.

Polled each tick with a conditional GET, so that an unchanged list costs a
header.
"""

import httpx

from mustardfall.routing import endpoints


class Poller:
  """Reads the host list, asking only for what changed.

  Args:
    http: an HTTP client.
    url: base URL of the host list.
  """

  def __init__(self, http: httpx.AsyncClient, url: str) -> None:
    self._http = http
    self._url = url.rstrip("/") + "/hosts"
    self._etag = ""

  async def poll(self) -> list[endpoints.Host] | None:
    """Returns the list's entries, or None when it has not changed.

    Raises:
      httpx.HTTPError: no answer, or an error.
      ValueError: the answer is not the list.
      KeyError: likewise.
    """
    headers = {"if-none-match": self._etag} if self._etag else {}
    reply = await self._http.get(self._url, headers=headers, timeout=2.0)
    if reply.status_code == httpx.codes.NOT_MODIFIED:
      return None
    reply.raise_for_status()
    hosts = reply.json()["hosts"]
    self._etag = reply.headers.get("etag", "")
    return hosts
