"""The table of endpoints a router knows, and the choice among them.

Rows come from the platform's host list, polled each tick; a router's
own count of requests in flight is added, since reported load lags.
"""

import dataclasses
import logging

import httpx

logger = logging.getLogger(__name__)


@dataclasses.dataclass
class Row:
  """One endpoint as this router sees it."""

  name: str
  url: str
  datacentre: str
  kind: str
  models: list[str]
  state: str
  in_flight: int = 0
  failures: int = 0


class Table:
  """Endpoints by name."""

  def __init__(self) -> None:
    self.rows: dict[str, Row] = {}

  def update(self, hosts: list[dict]) -> None:
    """Takes the host list's entries; keeps local counts of known rows."""
    seen = set()
    for host in hosts:
      seen.add(host["name"])
      row = self.rows.get(host["name"])
      if row is None:
        self.rows[host["name"]] = Row(
            name=host["name"],
            url=host["url"],
            datacentre=host["datacentre"],
            kind=host["kind"],
            models=list(host.get("models", [])),
            state=host.get("state", "live"),
        )
        continue
      if row.state != host.get("state", "live"):
        logger.info(
            "endpoint state",
            extra={"endpoint": row.name, "state": host["state"]},
        )
      row.state = host.get("state", "live")
      row.url = host["url"]
    for name in set(self.rows) - seen:
      del self.rows[name]

  def choose(
      self, kind: str, model: str, datacentre: str, avoid: frozenset[str]
  ) -> Row | None:
    """Returns the least busy live endpoint, own data centre first.

    Args:
      kind: "engine" or "service".
      model: the model wanted (engines only).
      datacentre: the router's own; nearer endpoints win ties.
      avoid: endpoints already tried for this request.
    """
    fit = [
        r
        for r in self.rows.values()
        if r.kind == kind
        and r.state == "live"
        and r.name not in avoid
        and (kind != "engine" or model in r.models)
    ]
    if not fit:
      return None
    return min(
        fit,
        key=lambda r: (
            r.in_flight + 2 * r.failures,
            r.datacentre != datacentre,
        ),
    )


async def fetch(http: httpx.AsyncClient, url: str) -> list[dict]:
  """Returns the host list's entries from `url`."""
  reply = await http.get(url.rstrip("/") + "/hosts", timeout=2.0)
  reply.raise_for_status()
  return reply.json()["hosts"]
