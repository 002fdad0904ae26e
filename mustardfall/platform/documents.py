"""Decodes the configuration and the server list of the platform's store.

Other programs write these documents as well. Each entry of the server list and
each part of the configuration (a route, service or team, or the limits) is
validated separately, so that an invalid one does not hide the others.
"""

from collections.abc import Callable, Iterable, Mapping
import datetime
import ipaddress
import logging
from typing import Annotated, Any, Literal, NamedTuple, TypeVar

import pydantic

from mustardfall.kv import protocol
from mustardfall.routing import configuration
from mustardfall.routing import endpoints

logger = logging.getLogger(__name__)

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = OPERATOR_PREFIX + "config"
EVACUATIONS_PREFIX = OPERATOR_PREFIX + "evacuate/"
"""Prefix of the keys that name evacuated zones. Also the field in which the
followed configuration document lists these zones; it holds a slash, so that it
differs from all fields of the configuration."""
SERVERS_PREFIX = "servers/"

_ADDRESS_PATTERN = r"^([0-9]{1,3}\.){3}[0-9]{1,3}:[0-9]{1,5}$"
_HEADER_VALUE_PATTERN = r"^[\x21-\x7e]+$"
"""Visible ASCII characters, which a header value holds without encoding."""
_MAX_PORT = 65_535
_MAX_COLD_S = 600.0
"""Longest time for which an endpoint may be cold."""
_MAX_COLD_RATE = 1e6
"""Highest rate of a cold endpoint, requests per second."""
_ROUTE_KINDS = {
    "safe": configuration.Kind.IDEMPOTENT,
    "unsafe": configuration.Kind.ONCE,
    "streaming": configuration.Kind.STREAM,
}
_ENDPOINT_STATES: dict[str, endpoints.State] = {
    "ready": "live",
    "draining": "leaving",
}

_NonNegativeFloat = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_NonNegativeInt = Annotated[int, pydantic.Field(ge=0)]
_Decoded = TypeVar("_Decoded")


class _JsonModel(pydantic.BaseModel):
  """A JSON object: unknown fields are ignored, known ones not converted."""

  model_config = pydantic.ConfigDict(extra="ignore", strict=True)


class _ServerEntry(_JsonModel):
  """An entry of the server list; the server's id is in the key only."""

  service: str
  address: str = pydantic.Field(pattern=_ADDRESS_PATTERN)
  zone: str
  version: str
  slots: _NonNegativeInt
  state: Literal["ready", "draining"]
  cold_left_ms: Annotated[float, pydantic.Field(allow_inf_nan=False)]
  seq: _NonNegativeInt
  born: _NonNegativeInt | None = None
  """Start of the server process, Unix milliseconds. A restarted server keeps
  its id, so that this alone tells it from the process before."""

  @pydantic.field_validator("address")
  @classmethod
  def _check_address(cls, address: str) -> str:
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) <= _MAX_PORT:
      raise ValueError(f"port is not between 1 and {_MAX_PORT}")
    return address


class _SplitWeight(_JsonModel):
  service: str
  weight: _NonNegativeFloat


class _RoutePart(_JsonModel):
  name: str
  host: str
  prefix: str = pydantic.Field(pattern=r"^/(.*/)?$")
  kind: Literal["safe", "unsafe", "streaming"]
  timeout_ms: _NonNegativeFloat
  slo_ms: _NonNegativeFloat | None = None
  priority: int | None = None
  service: str | None = None
  split: list[_SplitWeight] | None = None
  max_attempts: _NonNegativeInt | None = None
  public: bool | None = None
  resumable: bool | None = None


class _EnginePart(_JsonModel):
  slots: _NonNegativeInt | None = None
  kv_capacity: _NonNegativeInt | None = None
  stride: _NonNegativeInt | None = None
  """Maximum number of tokens in one event of a stream."""


class _ServicePart(_JsonModel):
  name: str
  max_conns: _NonNegativeInt | None = None
  engine: _EnginePart | None = None
  cold_start_s: Any = None
  cold_per_s: Any = None


class _TenantPart(_JsonModel):
  name: str
  api_keys: list[str] | None = None
  priority: int | None = None
  prepaid: _NonNegativeInt | None = None


class _LimitsPart(_JsonModel):
  max_header_bytes: _NonNegativeInt | None = None
  max_body_bytes: _NonNegativeInt | None = None
  header_timeout_ms: _NonNegativeFloat | None = None
  idle_timeout_ms: _NonNegativeFloat | None = None


class _ConfigurationDocument(_JsonModel):
  """The whole configuration, before its parts are validated."""

  version: int
  routes: list[Any]
  services: list[Any]
  tenants: list[Any] | None = None
  limits: Any = None


def _milliseconds(value: float) -> datetime.timedelta:
  return datetime.timedelta(milliseconds=value)


class ConfigurationDecoder:
  """Decodes successive versions of `op/config`.

  A part that is the same object as in the previous version is not decoded
  again: a configuration may hold thousands, of which a version changes a few.
  """

  def __init__(self) -> None:
    self._decoded: dict[str, dict[str, _DecodedPart]] = {}
    """Decoded parts of the previous version, by kind and name."""

  def decode(self, document: Mapping[str, Any]) -> configuration.Configuration:
    """Decodes a configuration document; invalid parts are left out.

    Raises:
      ValueError: a required field of the document is missing or of another
        type.
    """
    validated = _ConfigurationDocument.model_validate(document)
    limits = self._decode_parts(
        "limits", [validated.limits or {}], _decode_limits
    )
    return configuration.Configuration(
        version=validated.version,
        routes=self._decode_parts("route", validated.routes, _decode_route),
        services=self._decode_parts(
            "service", validated.services, _decode_service
        ),
        teams=self._decode_parts("team", validated.tenants or [], _decode_team),
        limits=limits[0] if limits else configuration.DEFAULT_LIMITS,
    )

  def _decode_parts(
      self, kind: str, parts: list[Any], decode: Callable[[Any], _Decoded]
  ) -> list[_Decoded]:
    """Decodes the valid parts; logs the invalid ones."""
    previous = self._decoded.get(kind, {})
    self._decoded[kind] = current = {}
    results = []
    for number, part in enumerate(parts):
      name = _part_name(part)
      cached = previous.get(name)
      if cached is not None and cached.part is part:
        decoded = cached.decoded
      else:
        try:
          decoded = decode(part)
        except ValueError as exc:
          _log_unreadable(kind, number, exc)
          continue
      results.append(decoded)
      current[name] = _DecodedPart(part, decoded)
    return results


class _DecodedPart(NamedTuple):
  """A part of a configuration document and the object decoded from it."""

  part: Any
  decoded: Any


def _part_name(part: Any) -> str:
  """Returns the name of a part; empty if it has none."""
  name = part.get("name") if isinstance(part, dict) else None
  return name if isinstance(name, str) else ""


def _log_unreadable(kind: str, number: int, exc: ValueError) -> None:
  logger.error(
      "configuration part unreadable",
      extra={"part": kind, "number": number, "error": _format_error(exc)},
  )


def _format_error(exc: ValueError) -> str:
  """Formats an error on one line, without the value that caused it."""
  if not isinstance(exc, pydantic.ValidationError):
    return str(exc)
  return "; ".join(
      f"{'.'.join(map(str, error['loc']))}: {error['msg']}"
      for error in exc.errors(include_input=False, include_url=False)
  )


def _decode_route(raw: Any) -> configuration.Route:
  data = _RoutePart.model_validate(raw)
  split = [target for target in data.split or [] if target.weight > 0]
  if not split and data.service is None:
    raise ValueError("neither a service nor a split with a weight above 0")
  split = split or [_SplitWeight(service=data.service, weight=1)]
  return configuration.Route(
      name=data.name,
      authority=data.host.lower(),
      prefix=data.prefix,
      kind=_ROUTE_KINDS[data.kind],
      timeout=_milliseconds(data.timeout_ms),
      objective=_milliseconds(data.slo_ms or data.timeout_ms),
      priority=data.priority or 0,
      split=tuple(
          configuration.WeightedService(target.service, target.weight)
          for target in split
      ),
      max_attempts=data.max_attempts or 1,
      public=bool(data.public),
      resumable=bool(data.resumable),
  )


def _decode_service(raw: Any) -> configuration.Service:
  data = _ServicePart.model_validate(raw)
  engine = data.engine
  return configuration.Service(
      name=data.name,
      max_connections=data.max_conns or 0,
      engine=engine
      and configuration.Engine(
          slots=engine.slots or 0,
          memory_tokens=engine.kv_capacity or 0,
          tokens_per_event=engine.stride or 1,
      ),
      cold_start=datetime.timedelta(
          seconds=_decode_cold_start(data, "cold_start_s", _MAX_COLD_S)
      ),
      cold_rate=_decode_cold_start(data, "cold_per_s", _MAX_COLD_RATE),
  )


def _decode_cold_start(
    data: _ServicePart, field: str, max_value: float
) -> float:
  """Returns a field of a service's cold start; logs an invalid one, returns 0.

  The service is used all the same: its routes need it.
  """
  value = getattr(data, field)
  if value is None:
    return 0.0
  if isinstance(value, (int, float)) and 0 <= value <= max_value:
    return float(value)
  logger.error(
      "cold start of a service unreadable",
      extra={"service": data.name, "field": field, "value": repr(value)[:80]},
  )
  return 0.0


def _decode_team(raw: Any) -> configuration.Team:
  data = _TenantPart.model_validate(raw)
  return configuration.Team(
      name=data.name,
      api_keys=tuple(data.api_keys or ()),
      priority=data.priority,
      prepaid=data.prepaid,
  )


def _decode_limits(raw: Any) -> configuration.Limits:
  data = _LimitsPart.model_validate(raw)
  default = configuration.DEFAULT_LIMITS
  header_ms, idle_ms = data.header_timeout_ms, data.idle_timeout_ms
  return configuration.Limits(
      header_bytes=data.max_header_bytes or default.header_bytes,
      body_bytes=data.max_body_bytes or default.body_bytes,
      header_timeout=_milliseconds(header_ms)
      if header_ms
      else default.header_timeout,
      idle_timeout=_milliseconds(idle_ms) if idle_ms else default.idle_timeout,
  )


def encode_evacuations(keys: Iterable[str]) -> dict[str, list[str]]:
  """Returns the field of the configuration document for evacuated zones.

  The presence of a zone's key is the request, whatever value it holds.

  Args:
    keys: all keys under `OPERATOR_PREFIX`.

  Returns:
    No field while no zone is evacuated.
  """
  zones = [
      key.removeprefix(EVACUATIONS_PREFIX)
      for key in keys
      if key.startswith(EVACUATIONS_PREFIX)
  ]
  if "" in zones:
    logger.error("evacuation of no zone", extra={"key": EVACUATIONS_PREFIX})
  named = sorted(zone for zone in zones if zone)
  return {EVACUATIONS_PREFIX: named} if named else {}


def decode_evacuations(document: Mapping[str, Any]) -> frozenset[str] | None:
  """Returns the evacuated data centres; None if the field is unreadable."""
  zones = document.get(EVACUATIONS_PREFIX, [])
  if isinstance(zones, list) and all(isinstance(zone, str) for zone in zones):
    return frozenset(zones)
  logger.error("evacuations unreadable", extra={"zones": repr(zones)[:200]})
  return None


class ServerListDecoder:
  """Decodes the server list; logs each revision of an invalid entry once."""

  def __init__(self) -> None:
    self._logged_revisions: dict[str, int] = {}
    """Revision of each entry that was invalid at the last read, by key."""

  def decode(
      self, records: Iterable[protocol.Record]
  ) -> list[endpoints.EndpointEntry]:
    """Decodes the list for `endpoints.Table`.

    An invalid entry may have overwritten the entry of a running server. It is
    listed as unusable, so that this server gets no more requests. Left out, it
    would count as missing, and right after an outage of the store
    `directory.Directory` keeps the missing ones for a while.
    """
    already_logged, self._logged_revisions = self._logged_revisions, {}
    hosts = []
    for record in records:
      name = record.key.removeprefix(SERVERS_PREFIX)
      error = ""
      try:
        data = _ServerEntry.model_validate_json(record.value)
        hosts.append(_build_host(name, data))
        if not 0 <= data.cold_left_ms <= _MAX_COLD_S * 1000:
          error = f"cold_left_ms: {data.cold_left_ms} is ignored"
      except ValueError as exc:
        hosts.append(_build_unusable_host(name))
        error = _format_error(exc)
      if not error:
        continue
      self._logged_revisions[record.key] = record.mod_revision
      if already_logged.get(record.key) != record.mod_revision:
        extra = {
            "entry": record.key,
            "revision": record.mod_revision,
            "error": error,
        }
        logger.error("server entry unreadable", extra=extra)
    return hosts


_SERVER_ID = pydantic.TypeAdapter(
    Annotated[str, pydantic.Field(pattern=_HEADER_VALUE_PATTERN)]
)


def _build_host(name: str, data: _ServerEntry) -> endpoints.EndpointEntry:
  host = endpoints.EndpointEntry(
      name=_SERVER_ID.validate_python(name),
      url=data.address,
      datacentre=data.zone,
      kind=data.service,
      models=[],
      state=_ENDPOINT_STATES[data.state],
      started_ms=data.born,
      slots=data.slots,
      version=data.version,
  )
  if 0 < data.cold_left_ms <= _MAX_COLD_S * 1000:
    host["cold_ms"] = data.cold_left_ms
  return host


def _build_unusable_host(name: str) -> endpoints.EndpointEntry:
  return endpoints.EndpointEntry(
      name=name, url="", datacentre="", kind="", models=[], state="unusable"
  )
