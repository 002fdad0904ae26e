"""The documents in the platform's store: configuration and server list."""

import datetime
import json
from typing import Any

from mustardfall.kv import protocol
from mustardfall.routing import configuration

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"

_KINDS = {
    "safe": configuration.Kind.IDEMPOTENT,
    "unsafe": configuration.Kind.ONCE,
    "streaming": configuration.Kind.STREAM,
}


def _ms(value: float) -> datetime.timedelta:
  return datetime.timedelta(milliseconds=value)


def decode_configuration(raw: bytes) -> configuration.Configuration:
  """Decodes `op/config`.

  Raises:
    KeyError, TypeError, ValueError: it is not a configuration.
  """
  data = json.loads(raw)
  return configuration.Configuration(
      version=int(data["version"]),
      routes=[_route(route) for route in data["routes"]],
      services=[_service(service) for service in data["services"]],
      teams=[_team(team) for team in data.get("tenants") or []],
      limits=_limits(data.get("limits") or {}),
  )


def _route(data: dict[str, Any]) -> configuration.Route:
  split = [share for share in data.get("split") or [] if share["weight"] > 0]
  split = split or [{"service": data["service"], "weight": 1}]
  return configuration.Route(
      name=data["name"],
      authority=data["host"].lower(),
      prefix=data["prefix"],
      kind=_KINDS[data["kind"]],
      timeout=_ms(data["timeout_ms"]),
      objective=_ms(data.get("slo_ms") or data["timeout_ms"]),
      priority=int(data.get("priority") or 0),
      split=tuple(
          configuration.Share(share["service"], float(share["weight"]))
          for share in split
      ),
      max_attempts=int(data.get("max_attempts") or 1),
      public=bool(data.get("public")),
      resumable=bool(data.get("resumable")),
  )


def _service(data: dict[str, Any]) -> configuration.Service:
  engine = data.get("engine")
  return configuration.Service(
      name=data["name"],
      max_connections=int(data.get("max_conns") or 0),
      engine=_engine(engine) if engine else None,
  )


def _engine(data: dict[str, Any]) -> configuration.Engine:
  """`stride` is the most tokens that one event of a stream holds."""
  return configuration.Engine(
      slots=int(data.get("slots") or 0),
      memory_tokens=int(data.get("kv_capacity") or 0),
      tokens_per_event=int(data.get("stride") or 1),
  )


def _team(data: dict[str, Any]) -> configuration.Team:
  return configuration.Team(
      name=data["name"],
      api_keys=tuple(data.get("api_keys") or ()),
      priority=data.get("priority"),
      prepaid=data.get("prepaid"),
  )


def _limits(data: dict[str, Any]) -> configuration.Limits:
  default = configuration.DEFAULT_LIMITS
  header_ms = data.get("header_timeout_ms")
  idle_ms = data.get("idle_timeout_ms")
  return configuration.Limits(
      header_bytes=data.get("max_header_bytes") or default.header_bytes,
      body_bytes=data.get("max_body_bytes") or default.body_bytes,
      header_timeout=_ms(header_ms) if header_ms else default.header_timeout,
      idle_timeout=_ms(idle_ms) if idle_ms else default.idle_timeout,
  )


def decode_endpoint(record: protocol.Record) -> dict[str, Any]:
  """Decodes one entry of the server list as `endpoints.Table` takes it.

  `service` there is what the table calls a kind; an entry's key ends in
  the server's id, which appears nowhere else.
  """
  data = json.loads(record.value)
  return {
      "name": record.key.removeprefix(SERVERS_PREFIX),
      "url": data["address"],
      "datacentre": data["zone"],
      "kind": data["service"],
      "models": [],
      "state": "live" if data["state"] == "ready" else "leaving",
  }
