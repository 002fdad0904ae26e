"""Decodes the settings file that the platform gives to each process.

A file in which a required field is missing or invalid is rejected. An invalid
optional field is logged and gets its default.
"""

import json
import logging
import pathlib
from typing import Annotated, Any, NamedTuple, TypeVar

import pydantic
import yaml

from mustardfall import errors
from mustardfall import settings
from mustardfall.membership import members as members_lib

logger = logging.getLogger(__name__)

SETTINGS_VARIABLE = "MUSTARDFALL_SETTINGS"
"""Environment variable with the path of the platform's settings file."""

_RETRY_SHARE = 0.75
"""Fraction of the allowed retries that is used: the platform counts them in
sliding windows, and a burst may span two of them."""

_NonNegativeFloat = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]


class _JsonModel(pydantic.BaseModel):
  model_config = pydantic.ConfigDict(extra="ignore", strict=True)


class _Listen(_JsonModel):
  """Addresses, each `HOST:PORT`."""

  front: str
  ready: str
  control: str
  """For calls of other routers."""


class _Platform(_JsonModel):
  address: str


class _Required(_JsonModel):
  """Fields that a router requires."""

  node: str
  zone: str
  listen: _Listen
  platform: _Platform


class _Optional(_JsonModel):
  """Fields with a default."""

  region: str = "default"
  bootstrap: bool = False
  port_range: Annotated[list[_Port], pydantic.Field(min_length=1)] = [0]


class _Bounds(_JsonModel):
  """Retry limits and the grace period between SIGTERM and SIGKILL."""

  retry_ratio: _NonNegativeFloat = 0.2
  retry_slack: _NonNegativeFloat = 0.0
  grace_s: Annotated[float, pydantic.Field(gt=0, le=3600)] = 8.0
  drain_ms: _NonNegativeFloat = 0.0


class _Limits(_JsonModel):
  memory_mb: Annotated[int, pydantic.Field(ge=0)] = 0
  max_fds: Annotated[int, pydantic.Field(ge=0)] = 0
  link_mbps: _NonNegativeFloat = 0.0


_Model = TypeVar("_Model", bound=_JsonModel)


_DRAIN_MARGIN_S = 0.5
"""Time before the end of a server's drain from which it gets no requests: for
the way there, and for waiting until it takes them."""


class ProcessSettings(NamedTuple):
  """Settings of one process, decoded from the platform's file."""

  router: settings.Router
  store_address: str
  ready: settings.Listen
  grace_s: float
  """Seconds between SIGTERM and SIGKILL."""


def _split_address(address: str) -> dict[str, Any]:
  host, _, port = address.rpartition(":")
  return {"host": host, "port": int(port)}


def _merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
  merged = dict(base)
  for key, value in overrides.items():
    nested = isinstance(value, dict) and isinstance(merged.get(key), dict)
    merged[key] = _merge(merged[key], value) if nested else value
  return merged


def load(path: str, own_path: str | None) -> ProcessSettings:
  """Reads the platform's file and the router's own settings.

  Args:
    path: the platform's JSON file.
    own_path: a YAML file with any keys of `settings.Router`, or None. They
      override what follows from the platform's file.

  Raises:
    errors.SettingsError: a file is unreadable, a required field of the
      platform's file is missing or invalid, or a key of the YAML file is
      invalid.
  """
  try:
    text = pathlib.Path(path).read_text(encoding="utf-8")
    platform_fields = json.loads(text)
    own_settings = {}
    if own_path is not None:
      own_settings = yaml.safe_load(
          pathlib.Path(own_path).read_text(encoding="utf-8")
      )
  except (OSError, ValueError, RecursionError, yaml.YAMLError) as exc:
    raise errors.SettingsError(f"{path}: {exc!r}") from exc
  if not isinstance(own_settings or {}, dict):
    raise errors.SettingsError(f"{own_path}: not a YAML mapping")
  return decode(platform_fields, own_settings or {})


def _decode_optional(model: type[_Model], raw: Any, name: str) -> _Model:
  """Decodes fields with defaults; logs the invalid ones and leaves them out."""
  if raw is not None and not isinstance(raw, dict):
    logger.warning("settings field unreadable", extra={"field": name})
  fields = raw if isinstance(raw, dict) else {}
  fields = {key: value for key, value in fields.items() if value is not None}
  try:
    return model.model_validate(fields)
  except pydantic.ValidationError as exc:
    invalid = {str(error["loc"][0]) for error in exc.errors()}
  logger.warning(
      "settings field unreadable",
      extra={"field": name, "parts": sorted(invalid)},
  )
  valid = {key: value for key, value in fields.items() if key not in invalid}
  return model.model_validate(valid)


def decode(
    platform_fields: Any, own_settings: dict[str, Any]
) -> ProcessSettings:
  """Derives the settings of a process from the platform's fields.

  Args:
    platform_fields: the content of the platform's file.
    own_settings: keys of `settings.Router` that override the derived ones.

  Raises:
    errors.SettingsError: a required field is missing or invalid, or a key of
      `own_settings` is invalid.
  """
  try:
    required = _Required.model_validate(platform_fields)
    listen = settings.parse(
        _split_address(required.listen.front), settings.Listen
    )
    control = settings.parse(
        _split_address(required.listen.control), settings.Listen
    )
    ready = settings.parse(
        _split_address(required.listen.ready), settings.Listen
    )
  except ValueError as exc:
    raise errors.SettingsError(
        f"platform's settings file: required field is invalid: {exc}"
    ) from exc
  optional = _decode_optional(_Optional, platform_fields, "")
  bounds = _decode_optional(_Bounds, platform_fields.get("bounds"), "bounds")
  limits = _decode_optional(_Limits, platform_fields.get("limits"), "limits")
  store = required.platform.address
  derived = {
      "name": required.node,
      "datacentre": required.zone,
      "region": optional.region,
      "listen": listen.model_dump(),
      "peer_listen": control.model_dump(),
      "first_start": optional.bootstrap,
      "load_port": optional.port_range[0],
      "tunnel_port": optional.port_range[0],
      "last_spare_port": optional.port_range[-1],
      "kv_url": f"http://{store}",
      "hosts_url": f"http://{store}",
      "limits": {
          "memory_mb": limits.memory_mb,
          "files": limits.max_fds,
          "link_mbps": limits.link_mbps,
      },
      "proxy": {
          "retry_ratio": bounds.retry_ratio * _RETRY_SHARE,
          "retry_burst": bounds.retry_slack
          * _RETRY_SHARE
          / members_lib.MAX_SMALL_FLEET,
          "leaving_use_s": max(0.0, bounds.drain_ms / 1000 - _DRAIN_MARGIN_S),
      },
  }
  return ProcessSettings(
      router=settings.parse(_merge(derived, own_settings), settings.Router),
      store_address=store,
      ready=ready,
      grace_s=bounds.grace_s,
  )
