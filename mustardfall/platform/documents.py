"""The documents in the platform's store: configuration and server list.

Others write there too. Each entry of the server list and each part of the
configuration is checked by itself, so that one that makes no sense is passed
over and the rest is known.
"""

from collections.abc import Callable, Iterable, Mapping
import datetime
import logging
from typing import Annotated, Any, Literal, NamedTuple, TypeVar

import pydantic

from mustardfall.kv import protocol
from mustardfall.routing import configuration
from mustardfall.routing import endpoints

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"

_ADDRESS = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
_HEADER_TOKEN = r"^[\x21-\x7e]+$"
"""What can be sent in a header as it is."""
_MOST_PORT = 65_535
_KINDS = {
    "safe": configuration.Kind.IDEMPOTENT,
    "unsafe": configuration.Kind.ONCE,
    "streaming": configuration.Kind.STREAM,
}
_STATES: dict[str, endpoints.State] = {"ready": "live", "draining": "leaving"}

_Number = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_Count = Annotated[int, pydantic.Field(ge=0)]
_Decoded = TypeVar("_Decoded")


class _Part(pydantic.BaseModel):
  """A JSON object whose known fields must be of their own types."""

  model_config = pydantic.ConfigDict(extra="ignore", strict=True)


class _Server(_Part):
  """An entry of the server list; its id stands in its key only."""

  service: str
  address: str = pydantic.Field(pattern=_ADDRESS)
  zone: str
  version: str
  slots: _Count
  state: Literal["ready", "draining"]
  cold_left_ms: _Number
  seq: _Count
  born: _Count | None = None
  """Unix ms of the server's start: it may start again under its id."""

  @pydantic.field_validator("address")
  @classmethod
  def _check_port(cls, address: str) -> str:
    if int(address.rpartition(":")[2]) > _MOST_PORT:
      raise ValueError("no such port")
    return address


class _Split(_Part):
  service: str
  weight: _Number


class _Route(_Part):
  name: str
  host: str
  prefix: str = pydantic.Field(pattern=r"^/(.*/)?$")
  kind: Literal["safe", "unsafe", "streaming"]
  timeout_ms: _Number
  slo_ms: _Number | None = None
  priority: int | None = None
  service: str | None = None
  split: list[_Split] | None = None
  max_attempts: _Count | None = None
  public: bool | None = None
  resumable: bool | None = None


class _Engine(_Part):
  slots: _Count | None = None
  kv_capacity: _Count | None = None
  stride: _Count | None = None
  """Most tokens that one event of a stream holds."""


class _Service(_Part):
  name: str
  max_conns: _Count | None = None
  engine: _Engine | None = None


class _Team(_Part):
  name: str
  api_keys: list[str] | None = None
  priority: int | None = None
  prepaid: _Count | None = None


class _Limits(_Part):
  max_header_bytes: _Count | None = None
  max_body_bytes: _Count | None = None
  header_timeout_ms: _Number | None = None
  idle_timeout_ms: _Number | None = None


class _Document(_Part):
  """The configuration, its parts not looked at yet."""

  version: int
  routes: list[Any]
  services: list[Any]
  tenants: list[Any] | None = None
  limits: Any = None


def _ms(value: float) -> datetime.timedelta:
  return datetime.timedelta(milliseconds=value)


class ConfigurationDecoder:
  """Decodes successive versions of `op/config`.

  Parts that a version shares with the one before are not decoded again: the
  configuration may hold thousands, of which a version changes a few.
  """

  def __init__(self) -> None:
    self._decoded: dict[str, dict[str, _Known]] = {}
    """What became of each named part of the last version, by kind."""

  def decode(self, document: Mapping[str, Any]) -> configuration.Configuration:
    """Returns the configuration that a JSON object holds.

    Raises:
      ValueError: it is not a configuration.
    """
    whole = _Document.model_validate(document)
    limits = self._decode_parts("limits", [whole.limits or {}], _limits)
    return configuration.Configuration(
        version=whole.version,
        routes=self._decode_parts("route", whole.routes, _route),
        services=self._decode_parts("service", whole.services, _service),
        teams=self._decode_parts("team", whole.tenants or [], _team),
        limits=limits[0] if limits else configuration.DEFAULT_LIMITS,
    )

  def _decode_parts(
      self, kind: str, parts: list[Any], decode: Callable[[Any], _Decoded]
  ) -> list[_Decoded]:
    """Returns the parts that make sense; logs the others."""
    known = self._decoded.get(kind, {})
    self._decoded[kind] = now = {}
    found = []
    for number, part in enumerate(parts):
      name = _name(part)
      before = known.get(name)
      if before is not None and before.part is part:
        decoded = before.decoded
      else:
        try:
          decoded = decode(part)
        except ValueError as exc:
          _log_unreadable(kind, number, exc)
          continue
      found.append(decoded)
      now[name] = _Known(part, decoded)
    return found


class _Known(NamedTuple):
  """A part of a configuration, and what was decoded of it."""

  part: Any
  decoded: Any


def _name(part: Any) -> str:
  """Returns a part's name, empty where it has none."""
  name = part.get("name") if isinstance(part, dict) else None
  return name if isinstance(name, str) else ""


def _log_unreadable(kind: str, number: int, exc: ValueError) -> None:
  logger.error(
      "configuration part unreadable",
      extra={"part": kind, "number": number, "error": _say(exc)},
  )


def _say(exc: ValueError) -> str:
  """Returns an error in a line, without the value that caused it."""
  if not isinstance(exc, pydantic.ValidationError):
    return str(exc)
  return "; ".join(
      f"{'.'.join(map(str, error['loc']))}: {error['msg']}"
      for error in exc.errors(include_input=False, include_url=False)
  )


def _route(raw: Any) -> configuration.Route:
  data = _Route.model_validate(raw)
  split = [share for share in data.split or [] if share.weight > 0]
  if not split and data.service is None:
    raise ValueError("no service")
  split = split or [_Split(service=data.service, weight=1)]
  return configuration.Route(
      name=data.name,
      authority=data.host.lower(),
      prefix=data.prefix,
      kind=_KINDS[data.kind],
      timeout=_ms(data.timeout_ms),
      objective=_ms(data.slo_ms or data.timeout_ms),
      priority=data.priority or 0,
      split=tuple(
          configuration.WeightedService(share.service, share.weight)
          for share in split
      ),
      max_attempts=data.max_attempts or 1,
      public=bool(data.public),
      resumable=bool(data.resumable),
  )


def _service(raw: Any) -> configuration.Service:
  data = _Service.model_validate(raw)
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
  )


def _team(raw: Any) -> configuration.Team:
  data = _Team.model_validate(raw)
  return configuration.Team(
      name=data.name,
      api_keys=tuple(data.api_keys or ()),
      priority=data.priority,
      prepaid=data.prepaid,
  )


def _limits(raw: Any) -> configuration.Limits:
  data = _Limits.model_validate(raw)
  default = configuration.DEFAULT_LIMITS
  header_ms, idle_ms = data.header_timeout_ms, data.idle_timeout_ms
  return configuration.Limits(
      header_bytes=data.max_header_bytes or default.header_bytes,
      body_bytes=data.max_body_bytes or default.body_bytes,
      header_timeout=_ms(header_ms) if header_ms else default.header_timeout,
      idle_timeout=_ms(idle_ms) if idle_ms else default.idle_timeout,
  )


class ServerList:
  """Decodes the server list; logs each entry that makes no sense once."""

  def __init__(self) -> None:
    self._logged: dict[str, int] = {}
    """Revisions of the entries that were unreadable when last read."""

  def decode(self, records: Iterable[protocol.Record]) -> list[endpoints.Host]:
    """Returns the list as `endpoints.Table` takes it.

    An entry that makes no sense may have been written over a server's own.
    It is listed as unusable, so that the server there gets no more work
    and is not waited for as one that is only missing.
    """
    logged, self._logged = self._logged, {}
    hosts = []
    for record in records:
      name = record.key.removeprefix(SERVERS_PREFIX)
      try:
        hosts.append(_host(name, _Server.model_validate_json(record.value)))
      except ValueError as exc:
        hosts.append(_unusable(name))
        self._logged[record.key] = record.mod_revision
        if logged.get(record.key) != record.mod_revision:
          extra = {
              "entry": record.key,
              "revision": record.mod_revision,
              "error": _say(exc),
          }
          logger.error("server entry unreadable", extra=extra)
    return hosts


_NAME = pydantic.TypeAdapter(
    Annotated[str, pydantic.Field(pattern=_HEADER_TOKEN)]
)


def _host(name: str, data: _Server) -> endpoints.Host:
  return endpoints.Host(
      name=_NAME.validate_python(name),
      url=data.address,
      datacentre=data.zone,
      kind=data.service,
      models=[],
      state=_STATES[data.state],
      started_ms=data.born,
  )


def _unusable(name: str) -> endpoints.Host:
  return endpoints.Host(
      name=name, url="", datacentre="", kind="", models=[], state="unusable"
  )
