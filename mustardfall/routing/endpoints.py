"""The table of the endpoints that a router knows, and the choice among them.

Its rows are updated from a list of hosts, read by `hostlist` or by a platform's
adapter. The choice uses the router's own count of requests in flight, since the
load that endpoints report lags behind.
"""

from collections.abc import Callable, Iterable
import dataclasses
import logging
from typing import Literal, NotRequired, TypedDict

from mustardfall import settings
from mustardfall.routing import engine_memory
from mustardfall.routing import server_speed

logger = logging.getLogger(__name__)

_LIMIT_INCREASE = 1.0
"""Requests added to a limit after as many timely answers as the limit
allows."""
_LIMIT_DECREASE = 0.8
"""Factor applied to a limit after a late first token."""
_MIN_LIMIT = 1.0
_MIN_EXPECTED_S = 0.05
"""Expected times are raised to this; in shorter ones, batch steps and network
latency outweigh the endpoint's speed."""
_MAX_RATIO = 6.0
"""Limits how much slower or faster than expected one answer counts."""
_SLOWNESS_WEIGHT = 0.15
"""Weight of the newest answer in the moving average. An engine answers a router
about once a second, so the average covers about six seconds."""
_SLOWNESS_DECAY = 0.02
"""Part of the deviation from 1 that is removed each tick: a slow endpoint gets
no requests and so no measurements, and must be tried again within half a
minute."""
_CACHE_LIFETIME_S = 15.0
"""How long an unused prefix is assumed to stay in an engine's cache. At 20,000
new tokens a second, a cache of 384,000 tokens is overwritten in 19 s."""
_FAILURE_MEMORY_S = 0.5
"""Time after which one failure no longer counts."""
_ENDED_RETRY_S = 5.0
"""How long an endpoint that has ended is not tried again if it stays listed."""
_LOAD_DECAY = 0.5
"""Factor applied to a reported load each tick: engines complete most of their
requests within a second."""


State = Literal["live", "leaving", "unusable"]
"""`unusable`: the endpoint's entry in the list is invalid."""


class EndpointEntry(TypedDict):
  """An endpoint's entry in a list of hosts."""

  name: str
  url: str
  datacentre: str
  kind: str
  models: NotRequired[list[str]]
  state: NotRequired[State]
  """Defaults to `live`."""
  started_ms: NotRequired[int | None]
  """When its process started, Unix ms, if the list says so."""
  slots: NotRequired[int]
  """Requests that it runs at a time; left out if the list does not say."""
  version: NotRequired[str]
  """The version of its software; left out if the list does not say."""
  cold_ms: NotRequired[float]
  """How much longer it says to be cold, ms; left out if it is warm."""


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
  """Most requests that this router has in flight there; see `adapt_limit`."""
  in_flight: int = 0
  running: float = 0.0
  """Requests running there, of all routers, as last reported; decays."""
  waiting: float = 0.0
  """Requests queued there, of all routers, as last reported; decays."""
  stated_load: float = 0.0
  """Requests running and queued there, as last stated in an answer."""
  load_stated_at: float = -float("inf")
  """When it stated that, monotonic seconds."""
  prefill_s: float = 0.0
  """Seconds of prefill pending there for this router's requests."""
  others_in_flight: int = 0
  """Requests that other routers report to have in flight there."""
  others_prefill_s: float = 0.0
  """Seconds of prefill that other routers report as pending there."""
  runs: engine_memory.Book = dataclasses.field(
      default_factory=engine_memory.Book
  )
  """This router's runs there whose need of memory is known."""
  usage: engine_memory.Usage = engine_memory.EMPTY
  """What the runs of all routers hold of its memory, see
  `loads.Loads.update_usage`."""
  prefixes: dict[str, float] = dataclasses.field(default_factory=dict)
  """Prompt prefixes recently sent to it, and when, monotonic seconds."""
  cold_cache: bool = False
  """Whether it was listed or restarted after this router's first list. Its
  cache then holds only prefixes that were sent since."""
  slowness: float = 1.0
  """Moving average of the time to first token, relative to the expected one."""
  speed: server_speed.Speed = server_speed.UNKNOWN_SPEED
  """How fast it works, learned over a longer time than `slowness`."""
  speed_estimate: server_speed.Estimate = server_speed.UNMEASURED
  """The measured times from which its speed is estimated."""
  failures: float = 0.0
  """Recent failures; decreases by one each `_FAILURE_MEMORY_S`."""
  limit_decreased_at: float = -float("inf")
  """When the limit was last decreased, monotonic seconds."""
  awaiting_first_token: dict[int, float] = dataclasses.field(
      default_factory=dict
  )
  """When each request that has no first token yet was sent, by its id."""
  started_ms: int | None = None
  """When its process started, Unix ms, if the list says so."""
  cold_until: float = -float("inf")
  """Until when it bears only a low rate of requests, monotonic seconds."""
  slots: int = 0
  """Requests that it runs at a time; 0: it is not known."""
  listed_at: float = -float("inf")
  """When it was first listed, monotonic seconds; to the tick."""
  ended_at: float = -float("inf")
  """When another router confirmed that it refuses connections, monotonic
  seconds."""
  leaving_since: float = -float("inf")
  """If it leaves: when it was last listed as live, monotonic seconds."""
  is_limited: bool = False
  """Whether it bears only a low rate of requests of all routers together."""
  version: str = ""
  """The version of its software; empty if the list does not say."""
  reported_cold_ms: float = 0.0
  """How much longer it was cold according to the last list, ms."""

  @property
  def life(self) -> str:
    """The id of the endpoint's life: of this run of its process."""
    if self.started_ms is None:
      return self.name
    return f"{self.name}:{self.started_ms}"

  def has_ended(self, now: float) -> bool:
    """Whether it has ended, as far as known, and is not to be tried again."""
    return now - self.ended_at < _ENDED_RETRY_S

  @property
  def free_capacity(self) -> float:
    """Requests that this router may still send there."""
    return self.limit - self.in_flight


class Table:
  """Endpoints by name.

  Args:
    config: settings of the concurrency limits.
    cold: whether endpoints of the first list have empty caches, too.
    is_withheld: whether requests are withheld from an endpoint that is listed as
      live, since it has said that it leaves or wants rest.
  """

  def __init__(
      self,
      config: settings.Scheduler,
      cold: bool = False,
      is_withheld: Callable[[Row], bool] = lambda row: False,
  ) -> None:
    self._config = config
    self._is_withheld = is_withheld
    self.rows: dict[str, Row] = {}
    self.evacuated: frozenset[str] = frozenset()
    """Data centres whose endpoints are sent no requests."""
    self._new_rows_are_cold = cold
    self._versions: dict[str, dict[str, float]] = {}
    """When each software version was last listed, by kind and version."""
    self._versions_since: float | None = None
    """When the first list was applied, monotonic seconds."""
    self._ticked_at = 0.0
    """Time of the last tick, monotonic seconds; 0 before the first one."""
    self._has_ticked = False

  def update(self, hosts: list[EndpointEntry]) -> bool:
    """Applies a complete host list; returns whether any row changed."""
    changed = False
    for host in hosts:
      row = self.rows.get(host["name"])
      if row is None or _has_restarted(row, host):
        self.rows[host["name"]] = self._new_row(host)
        _log("endpoint listed", self.rows[host["name"]])
        changed = True
      else:
        changed |= _apply_host(row, host)
    for name in self.rows.keys() - {host["name"] for host in hosts}:
      _log("endpoint gone", self.rows.pop(name))
      changed = True
    self._new_rows_are_cold = self._new_rows_are_cold or bool(hosts)
    return changed

  def evacuate(self, evacuated: frozenset[str]) -> bool:
    """Sets the evacuated data centres; returns whether they changed.

    Their endpoints are not eligible until the data centre is taken back;
    requests in flight there continue.
    """
    before = self.evacuated
    if evacuated == before:
      return False
    self.evacuated = evacuated
    extra = {
        "evacuated": sorted(evacuated - before),
        "taken_back": sorted(before - evacuated),
    }
    logger.info("data centres evacuated", extra=extra)
    listed = {row.datacentre for row in self.rows.values()}
    if evacuated - listed:
      extra = {"datacentres": sorted(evacuated - listed)}
      logger.error("evacuated data centre has no endpoints", extra=extra)
    return True

  def _new_row(self, host: EndpointEntry) -> Row:
    return Row(
        slots=host.get("slots", 0),
        listed_at=self._ticked_at,
        name=host["name"],
        url=host["url"],
        datacentre=host["datacentre"],
        kind=host["kind"],
        models=list(host.get("models", [])),
        state=host.get("state", "live"),
        limit=self._config.initial_limit,
        cold_cache=self._new_rows_are_cold,
        started_ms=host.get("started_ms"),
        version=host.get("version", ""),
    )

  def update_cold(self, hosts: Iterable[EndpointEntry], now: float) -> None:
    """Records which endpoints are cold according to a list.

    A list may be applied again later, so that a time counts from when it was
    first seen.
    """
    for host in hosts:
      cold_ms = host.get("cold_ms", 0.0)
      row = self.rows.get(host["name"])
      if row is None or cold_ms == row.reported_cold_ms:
        continue
      row.reported_cold_ms = cold_ms
      _extend_cold(row, cold_ms / 1000, now)

  def mark_cold(
      self, datacentre: str, kind: str, cold_s: float, now: float
  ) -> None:
    """Treats a data centre's endpoints of one kind as cold for `cold_s`."""
    for row in self.rows.values():
      if row.datacentre == datacentre and row.kind == kind:
        _extend_cold(row, cold_s, now)

  def find_life(self, life: str) -> Row | None:
    """Returns the row with this `life`, or None if it is not listed."""
    row = self.rows.get(life) or self.rows.get(life.rpartition(":")[0])
    return row if row is not None and row.life == life else None

  def has_kind(self, kind: str) -> bool:
    """Whether an endpoint of a kind is listed."""
    return any(row.kind == kind for row in self.rows.values())

  def find_address(self, address: str) -> Row | None:
    """Returns the row with this address, or None if none is listed."""
    rows = (row for row in self.rows.values() if row.url == address)
    return next(rows, None)

  def eligible(
      self, kind: str, model: str, avoid: frozenset[str] = frozenset()
  ) -> list[Row]:
    """Returns the endpoints that may be sent a request now; see `live`."""
    rows = self.live(kind, model, avoid)
    return [row for row in rows if not self._is_withheld(row)]

  def live(
      self, kind: str, model: str, avoid: frozenset[str] = frozenset()
  ) -> list[Row]:
    """Returns the endpoints that can serve a request and are listed as live.

    Endpoints of an evacuated data centre are left out.

    Args:
      kind: "engine" or "service".
      model: the requested model (engines only).
      avoid: endpoints already tried for this request.
    """
    return [
        r
        for r in self.rows.values()
        if r.kind == kind
        and r.state == "live"
        and r.datacentre not in self.evacuated
        and r.name not in avoid
        and (kind != "engine" or model in r.models)
    ]

  def of_version(self, kind: str, version: str) -> list[Row]:
    """Returns the endpoints of a kind with a software version, in any state.

    Endpoints of an evacuated data centre are left out.
    """
    return [
        row
        for row in self.rows.values()
        if row.kind == kind
        and row.version == version
        and row.datacentre not in self.evacuated
    ]

  def note_versions(self, now: float) -> None:
    """Records which software versions are listed."""
    if self._versions_since is None:
      self._versions_since = now
    for row in self.rows.values():
      if row.state != "unusable":
        self._versions.setdefault(row.kind, {})[row.version] = now

  def sole_version(self, kind: str, for_s: float, now: float) -> str | None:
    """Returns the only version that a kind had for some time.

    Returns None if there were several or none, or if it is not known since the
    lists do not go back so far.
    """
    since = self._versions_since
    if since is None or now - since < for_s:
      return None
    seen = [
        version
        for version, at in self._versions.get(kind, {}).items()
        if now - at <= for_s
    ]
    return seen[0] if len(seen) == 1 else None

  def note_leaving(self, live_at: float) -> None:
    """Records since when endpoints leave that were not known to leave before.

    Args:
      live_at: when the list before the current one was the list, monotonic
        seconds.
    """
    for row in self.rows.values():
      if row.state != "leaving":
        row.leaving_since = -float("inf")
      elif row.leaving_since == -float("inf"):
        row.leaving_since = live_at

  def choose(
      self,
      kind: str,
      model: str,
      datacentre: str,
      avoid: frozenset[str],
      share: float = 1.0,
  ) -> Row | None:
    """Returns the least busy endpoint below its limit, or None.

    Args:
      kind: see `eligible`.
      model: see `eligible`.
      datacentre: the router's own; its endpoints win ties.
      avoid: see `eligible`.
      share: the part of each limit that is available to this request.
    """
    free = [
        r
        for r in self.eligible(kind, model, avoid)
        if r.in_flight < max(_MIN_LIMIT, r.limit * share)
    ]
    if not free:
      return None
    return min(
        free,
        key=lambda r: (
            (r.in_flight + 1) / r.limit + r.failures,
            r.datacentre != datacentre,
        ),
    )

  def adapt_limit(self, row: Row, first_token_s: float, now: float) -> None:
    """Adjusts a row's limit to the time that a first token took.

    Additive increase and multiplicative decrease make the routers that share
    an engine converge to equal limits without exchanging messages. The limit
    is decreased at most once per target time, since the requests in flight
    were sent under the previous limit.
    """
    if first_token_s <= self._config.target_s:
      if row.free_capacity <= 1:
        grown = row.limit + _LIMIT_INCREASE / row.limit
        row.limit = min(self._config.max_limit, grown)
    elif now - row.limit_decreased_at >= self._config.target_s:
      row.limit = max(_MIN_LIMIT, row.limit * _LIMIT_DECREASE)
      row.limit_decreased_at = now

  def note_prefix(self, life: str, prefix: str, now: float) -> None:
    """Records that a prompt with `prefix` was sent to an endpoint."""
    row = self.find_life(life)
    if row is not None and prefix:
      row.prefixes.pop(prefix, None)
      row.prefixes[prefix] = now

  def update_slowness(
      self, row: Row, expected_s: float, first_token_s: float
  ) -> None:
    """Updates an endpoint's slowness with one measured time to first token.

    Some endpoints are a third slower than others, and a faulty one may be
    several times slower while its health checks pass.
    """
    ratio = first_token_s / max(expected_s, _MIN_EXPECTED_S)
    ratio = min(max(ratio, 1 / _MAX_RATIO), _MAX_RATIO)
    row.slowness += _SLOWNESS_WEIGHT * (ratio - row.slowness)

  def measure_speed(
      self, row: Row, measured: server_speed.Measurement, now: float
  ) -> None:
    """Updates what is known of an endpoint's speed with one answer."""
    row.speed_estimate = server_speed.add(row.speed_estimate, measured, now)
    row.speed = server_speed.speed_of(row.speed_estimate, now)

  def tick(self, now: float) -> None:
    """Ages what is known of the endpoints; call once per tick.

    The limit of an endpoint whose first token is overdue is decreased now and
    not when the token arrives, before many more requests are sent there.
    """
    elapsed_s = now - self._ticked_at if self._has_ticked else 0.0
    self._ticked_at, self._has_ticked = now, True
    for row in self.rows.values():
      row.failures = max(0.0, row.failures - elapsed_s / _FAILURE_MEMORY_S)
      row.running *= _LOAD_DECAY
      row.waiting *= _LOAD_DECAY
      row.slowness += _SLOWNESS_DECAY * (1.0 - row.slowness)
      row.speed = server_speed.speed_of(row.speed_estimate, now)
      while row.prefixes:
        oldest = next(iter(row.prefixes))
        if now - row.prefixes[oldest] < _CACHE_LIFETIME_S:
          break
        del row.prefixes[oldest]
      if row.awaiting_first_token:
        waited = now - min(row.awaiting_first_token.values())
        if waited > self._config.target_s:
          self.adapt_limit(row, waited, now)


def _extend_cold(row: Row, cold_s: float, now: float) -> None:
  if cold_s > 0 and now >= row.cold_until:
    extra = {"endpoint": row.life, "address": row.url, "for_s": cold_s}
    logger.info("endpoint cold", extra=extra)
  row.cold_until = max(row.cold_until, now + cold_s)


def _has_restarted(row: Row, host: EndpointEntry) -> bool:
  """Whether the endpoint in `row` has restarted according to `host`.

  Its caches and queue are empty then, and what was measured before the restart
  no longer applies.
  """
  started_ms = host.get("started_ms")
  known = row.started_ms is not None and started_ms is not None
  has_new_version = host.get("version", row.version) != row.version
  return has_new_version or (known and row.started_ms != started_ms)


def _apply_host(row: Row, host: EndpointEntry) -> bool:
  """Updates a row from its entry; returns whether state or address changed."""
  state = host.get("state", "live")
  if state == "unusable":
    changed = row.state != state
    row.state = state
  else:
    changed = (row.state, row.url) != (state, host["url"])
    row.state, row.url = state, host["url"]
    row.datacentre, row.kind = host["datacentre"], host["kind"]
    if host.get("started_ms") is not None:
      row.started_ms = host["started_ms"]
  if changed:
    _log("endpoint state", row)
  return changed


def _log(event: str, row: Row) -> None:
  extra = {
      "endpoint": row.life,
      "state": row.state,
      "address": row.url,
      "kind": row.kind,
      "version": row.version,
  }
  logger.info(event, extra=extra)
