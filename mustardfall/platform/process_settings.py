"""The platform's settings file of a process, decoded into `settings`.

What the router cannot do without must make sense, or the file is refused.
Anything else that makes no sense is logged and has its default.
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

_RETRY_SAFETY = 0.75
"""Part of the allowed retry ratio that is used: the platform counts in
sliding windows, and a burst may straddle two."""

_Amount = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]


class _Part(pydantic.BaseModel):
  model_config = pydantic.ConfigDict(extra="ignore", strict=True)


class _Listen(_Part):
  """Addresses, each `HOST:PORT`."""

  front: str
  ready: str
  control: str
  """Where other routers call."""


class _Store(_Part):
  address: str


class _Whole(_Part):
  """What a router cannot do without."""

  node: str
  zone: str
  listen: _Listen
  platform: _Store


class _Lesser(_Part):
  """What has a default."""

  region: str = "default"
  bootstrap: bool = False
  port_range: Annotated[list[_Port], pydantic.Field(min_length=1)] = [0]


class _Bounds(_Part):
  retry_ratio: _Amount = 0.2
  retry_slack: _Amount = 0.0
  grace_s: Annotated[float, pydantic.Field(gt=0, le=3600)] = 8.0


class _Limits(_Part):
  memory_mb: Annotated[int, pydantic.Field(ge=0)] = 0
  max_fds: Annotated[int, pydantic.Field(ge=0)] = 0


_Model = TypeVar("_Model", bound=_Part)


class ProcessSettings(NamedTuple):
  """What the platform tells one process."""

  router: settings.Router
  store_address: str
  ready: settings.Listen
  grace_s: float
  """Seconds between SIGTERM and SIGKILL."""


def _listen(address: str) -> dict[str, Any]:
  host, _, port = address.rpartition(":")
  return {"host": host, "port": int(port)}


def _merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
  merged = dict(base)
  for key, value in over.items():
    both = isinstance(value, dict) and isinstance(merged.get(key), dict)
    merged[key] = _merge(merged[key], value) if both else value
  return merged


def load(path: str, own: str | None) -> ProcessSettings:
  """Reads the platform's file and the router's own settings.

  Args:
    path: the platform's JSON file.
    own: a YAML file with any keys of `settings.Router`, or None.

  Raises:
    errors.SettingsError: a file is unreadable or a key is wrong.
  """
  try:
    text = pathlib.Path(path).read_text(encoding="utf-8")
    given = json.loads(text)
    tuned = {}
    if own is not None:
      tuned = yaml.safe_load(pathlib.Path(own).read_text(encoding="utf-8"))
  except (OSError, ValueError, RecursionError, yaml.YAMLError) as exc:
    raise errors.SettingsError(f"{path}: {exc!r}") from exc
  if not isinstance(tuned or {}, dict):
    raise errors.SettingsError(f"{own}: not a table")
  return decode(given, tuned or {})


def _decode_lesser(model: type[_Model], given: Any, name: str) -> _Model:
  """Decodes what has defaults; what makes no sense is left out and logged."""
  if given is not None and not isinstance(given, dict):
    logger.warning("settings field unreadable", extra={"field": name})
  fields = given if isinstance(given, dict) else {}
  fields = {key: value for key, value in fields.items() if value is not None}
  try:
    return model.model_validate(fields)
  except pydantic.ValidationError as exc:
    wrong = {str(error["loc"][0]) for error in exc.errors()}
  logger.warning(
      "settings field unreadable",
      extra={"field": name, "parts": sorted(wrong)},
  )
  kept = {key: value for key, value in fields.items() if key not in wrong}
  return model.model_validate(kept)


def decode(given: Any, tuned: dict[str, Any]) -> ProcessSettings:
  """Decodes the platform's fields; `tuned` goes over what follows from them.

  Raises:
    errors.SettingsError: they do not say who the router is, where it listens
      or where the store is, or a key of `tuned` is wrong.
  """
  try:
    whole = _Whole.model_validate(given)
    listen = settings.parse(_listen(whole.listen.front), settings.Listen)
    control = settings.parse(_listen(whole.listen.control), settings.Listen)
    ready = settings.parse(_listen(whole.listen.ready), settings.Listen)
  except ValueError as exc:
    raise errors.SettingsError(f"platform's settings: {exc}") from exc
  lesser = _decode_lesser(_Lesser, given, "")
  bounds = _decode_lesser(_Bounds, given.get("bounds"), "bounds")
  limits = _decode_lesser(_Limits, given.get("limits"), "limits")
  store = whole.platform.address
  derived = {
      "name": whole.node,
      "datacentre": whole.zone,
      "region": lesser.region,
      "listen": listen.model_dump(),
      "peer_listen": control.model_dump(),
      "first_start": lesser.bootstrap,
      "load_port": lesser.port_range[0],
      "kv_url": f"http://{store}",
      "hosts_url": f"http://{store}",
      "limits": {"memory_mb": limits.memory_mb, "files": limits.max_fds},
      "proxy": {
          "retry_ratio": bounds.retry_ratio * _RETRY_SAFETY,
          "retry_burst": bounds.retry_slack
          * _RETRY_SAFETY
          / members_lib.CLOSE_FLEET,
      },
  }
  return ProcessSettings(
      router=settings.parse(_merge(derived, tuned), settings.Router),
      store_address=store,
      ready=ready,
      grace_s=bounds.grace_s,
  )
