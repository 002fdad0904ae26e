"""The table of endpoints a router knows, and the choice among them.

Rows come from a list of hosts, whoever reads it: `hostlist` or an adapter.
A router's own count of requests in flight is used, since reported load lags.
"""

import dataclasses
import logging
from typing import Literal, NotRequired, TypedDict

from mustardfall import settings

logger = logging.getLogger(__name__)

_GROWTH = 1.0
"""Requests by which a limit grows per limit's worth of quick answers."""
_SHRINK = 0.8
"""Factor by which a limit shrinks after a slow first token."""
_MIN_LIMIT = 1.0
_LEAST_EXPECTED_S = 0.05
"""Shorter expectations are all noise: a step of a batch, the way there."""
_MOST_SLOWNESS = 6.0
"""Most that one answer counts as slower or faster than expected."""
_SLOWNESS_WEIGHT = 0.15
"""Weight of the newest answer; an engine answers a router about once a
second, so six of them make up what is believed."""
_SLOWNESS_DECAY = 0.02
"""What is forgotten of it each tick: an endpoint that was slow and is passed
over must be tried again within half a minute."""
_CACHED_S = 15.0
"""How long an unused prefix is taken to stay in an engine's cache. With 20,000
new tokens a second, 384,000 tokens of memory are written over in 19 s."""
_STALE = 0.5
"""What is left of a reported load after a tick: engines turn over most of
their requests in a second."""


State = Literal["live", "leaving", "unusable"]
"""`unusable`: its entry in the list makes no sense."""


class Host(TypedDict):
  """An endpoint as a list of hosts shows it."""

  name: str
  url: str
  datacentre: str
  kind: str
  models: NotRequired[list[str]]
  state: NotRequired[State]
  """Live when left out."""
  started_ms: NotRequired[int | None]
  """Unix ms at which it started, where the list tells."""


@dataclasses.dataclass
class Row:
  """One endpoint as this router sees it."""

  name: str
  url: str
  datacentre: str
  kind: str
  models: list[str]
  state: State
  limit: float
  """Requests this router keeps in flight there at most; steered."""
  in_flight: int = 0
  running: float = 0.0
  """Requests at work there, of all routers, as it last said; decays."""
  waiting: float = 0.0
  """Requests that waited there, as it last said; decays."""
  prefill_s: float = 0.0
  """Seconds of prompts it has still to read for this router."""
  others_in_flight: int = 0
  """Requests that other routers have in flight there, as they tell."""
  others_reading_s: float = 0.0
  """Seconds of prompts it has still to read for other routers."""
  prefixes: dict[str, float] = dataclasses.field(default_factory=dict)
  """Prompt prefixes that it was sent lately, and when, monotonic seconds."""
  cold_cache: bool = False
  """Whether it came after this router had its first list: its cache is empty
  but for what it was sent since."""
  slowness: float = 1.0
  """Its time to a first token against what was expected, lately."""
  failures: int = 0
  """Failures lately; decays each tick."""
  shrunk_at: float = -float("inf")
  awaiting_first_token: dict[int, float] = dataclasses.field(
      default_factory=dict
  )
  """When each request without a first token yet was sent, by its id."""
  started_ms: int | None = None
  """When its process started, Unix ms, if the list tells."""

  @property
  def life(self) -> str:
    """Names this start of it: it may start again under its name."""
    if self.started_ms is None:
      return self.name
    return f"{self.name}:{self.started_ms}"

  @property
  def room(self) -> float:
    """Requests it may still be given."""
    return self.limit - self.in_flight


class Table:
  """Endpoints by name.

  Args:
    config: how their limits are steered.
    cold: whether the caches of those listed first are empty, too.
  """

  def __init__(self, config: settings.Scheduler, cold: bool = False) -> None:
    self._config = config
    self.rows: dict[str, Row] = {}
    self._listed = cold

  def update(self, hosts: list[Host]) -> bool:
    """Takes the host list's entries; returns whether any row changed."""
    changed = False
    for host in hosts:
      row = self.rows.get(host["name"])
      if row is None or _started_again(row, host):
        self.rows[host["name"]] = self._row(host)
        _log("endpoint listed", self.rows[host["name"]])
        changed = True
      else:
        changed |= _take(row, host)
    for name in self.rows.keys() - {host["name"] for host in hosts}:
      _log("endpoint gone", self.rows.pop(name))
      changed = True
    self._listed = self._listed or bool(hosts)
    return changed

  def _row(self, host: Host) -> Row:
    return Row(
        name=host["name"],
        url=host["url"],
        datacentre=host["datacentre"],
        kind=host["kind"],
        models=list(host.get("models", [])),
        state=host.get("state", "live"),
        limit=self._config.initial_limit,
        cold_cache=self._listed,
        started_ms=host.get("started_ms"),
    )

  def find_life(self, life: str) -> Row | None:
    """Returns the row of an endpoint's start, None when it is not listed."""
    row = self.rows.get(life) or self.rows.get(life.rpartition(":")[0])
    return row if row is not None and row.life == life else None

  def eligible(
      self, kind: str, model: str, avoid: frozenset[str] = frozenset()
  ) -> list[Row]:
    """Returns the live endpoints that could take a request.

    Args:
      kind: "engine" or "service".
      model: the model wanted (engines only).
      avoid: endpoints already tried for this request.
    """
    return [
        r
        for r in self.rows.values()
        if r.kind == kind
        and r.state == "live"
        and r.name not in avoid
        and (kind != "engine" or model in r.models)
    ]

  def choose(
      self,
      kind: str,
      model: str,
      datacentre: str,
      avoid: frozenset[str],
      share: float = 1.0,
  ) -> Row | None:
    """Returns the least busy endpoint with room, own data centre first.

    Args:
      kind: see `fitting`.
      model: see `fitting`.
      datacentre: the router's own; nearer endpoints win ties.
      avoid: see `fitting`.
      share: part of each limit that this request may fill.
    """
    fit = [
        r
        for r in self.eligible(kind, model, avoid)
        if r.in_flight < max(_MIN_LIMIT, r.limit * share)
    ]
    if not fit:
      return None
    return min(
        fit,
        key=lambda r: (
            (r.in_flight + 1) / r.limit + r.failures,
            r.datacentre != datacentre,
        ),
    )

  def adapt_limit(self, row: Row, first_token_s: float, now: float) -> None:
    """Moves a row's limit by how soon a first token came.

    Additive increase and multiplicative decrease: routers that share an
    engine settle on a fair part each without talking to each other. One
    decrease per target time, since answers in flight then were sent
    under the old limit.
    """
    if first_token_s <= self._config.target_s:
      if row.room <= 1:
        grown = row.limit + _GROWTH / row.limit
        row.limit = min(self._config.max_limit, grown)
    elif now - row.shrunk_at >= self._config.target_s:
      row.limit = max(_MIN_LIMIT, row.limit * _SHRINK)
      row.shrunk_at = now

  def note_prefix(self, life: str, prefix: str, now: float) -> None:
    """Notes that an endpoint was sent a prompt with `prefix`."""
    row = self.find_life(life)
    if row is not None and prefix:
      row.prefixes.pop(prefix, None)
      row.prefixes[prefix] = now

  def update_slowness(
      self, row: Row, expected_s: float, first_token_s: float
  ) -> None:
    """Learns how an endpoint's time compares with what was expected.

    Some are a third slower than others, and one in trouble is several
    times slower while its health is good.
    """
    ratio = first_token_s / max(expected_s, _LEAST_EXPECTED_S)
    ratio = min(max(ratio, 1 / _MOST_SLOWNESS), _MOST_SLOWNESS)
    row.slowness += _SLOWNESS_WEIGHT * (ratio - row.slowness)

  def tick(self, now: float) -> None:
    """Forgets failures, one a tick, and notes overdue first tokens.

    A first token that is overdue says now what it would say on arrival,
    when many more requests would have been sent after it.
    """
    for row in self.rows.values():
      row.failures = max(0, row.failures - 1)
      row.running *= _STALE
      row.waiting *= _STALE
      row.slowness += _SLOWNESS_DECAY * (1.0 - row.slowness)
      while row.prefixes:
        oldest = next(iter(row.prefixes))
        if now - row.prefixes[oldest] < _CACHED_S:
          break
        del row.prefixes[oldest]
      if row.awaiting_first_token:
        waited = now - min(row.awaiting_first_token.values())
        if waited > self._config.target_s:
          self.adapt_limit(row, waited, now)


def _started_again(row: Row, host: Host) -> bool:
  """Whether `host` is a later start of the endpoint in `row`.

  It has nothing in its caches and at work then, and answers as quickly as
  any: all that was learnt is of the start before.
  """
  started_ms = host.get("started_ms")
  known = row.started_ms is not None and started_ms is not None
  return known and row.started_ms != started_ms


def _take(row: Row, host: Host) -> bool:
  """Takes a host's entry into its row; returns whether that changed it."""
  state = host.get("state", "live")
  if state == "unusable":
    changed = row.state != state
    row.state = state
  else:
    changed = (row.state, row.url) != (state, host["url"])
    row.state, row.url = state, host["url"]
    row.datacentre, row.kind = host["datacentre"], host["kind"]
    row.started_ms = host.get("started_ms", row.started_ms)
  if changed:
    _log("endpoint state", row)
  return changed


def _log(event: str, row: Row) -> None:
  extra = {"endpoint": row.life, "state": row.state, "address": row.url}
  logger.info(event, extra=extra)
