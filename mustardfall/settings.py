"""Settings for each process role, loaded from YAML and checked on load.

Each role has one model; the whole object is passed to the constructor
of that role's application object. An unknown or badly typed key stops
the process at start with an error that names the key.
"""

import pathlib
from typing import TypeVar

import pydantic
import yaml

from mustardfall import errors


class _Base(pydantic.BaseModel):
  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Listen(_Base):
  """Where a daemon accepts connections."""

  host: str = "127.0.0.1"
  port: int = pydantic.Field(ge=0, le=65535)


class Allotment(_Base):
  """How a router sizes the tokens it takes from a budget at once."""

  min_tokens: int = pydantic.Field(default=2_000, ge=1)
  """Smallest grant asked of the KV, tokens."""
  horizon_s: float = pydantic.Field(default=5.0, gt=0)
  """A grant covers this many seconds of the budget's draw here."""
  headroom_share: float = pydantic.Field(default=0.25, gt=0, le=1)
  """A grant takes at most this share of the budget's headroom."""
  term_s: float = pydantic.Field(default=10.0, gt=0)
  """Unused tokens go back to the budget after this many seconds."""


class Router(_Base):
  """The entry-host daemon: admits, bills and routes requests."""

  name: str
  datacentre: str
  listen: Listen
  kv_url: str
  hosts_url: str
  tick_s: float = pydantic.Field(default=0.5, gt=0)
  """Seconds between runs of the systems over the tables."""
  drain_s: float = pydantic.Field(default=30.0, ge=0)
  """Seconds that requests in flight may take after SIGTERM."""
  kv_timeout_s: float = pydantic.Field(default=2.0, gt=0)
  default_max_tokens: int = pydantic.Field(default=256, ge=1)
  retry_after_s: float = pydantic.Field(default=2.0, gt=0)
  allotment: Allotment = Allotment()
  log_level: str = "INFO"


class KvStandin(_Base):
  """The stand-in for the platform's key-value service."""

  listen: Listen
  log_level: str = "INFO"


class HostEntry(_Base):
  """One endpoint as the host list shows it."""

  name: str
  url: str
  datacentre: str
  kind: str = pydantic.Field(pattern="^(engine|service)$")
  models: list[str] = []
  state: str = pydantic.Field(default="live", pattern="^(live|leaving)$")


class HostsStandin(_Base):
  """The stand-in for the platform's host list."""

  listen: Listen
  lag_s: float = pydantic.Field(default=1.0, ge=0)
  """Seconds before a change shows in the list."""
  hosts: list[HostEntry] = []
  log_level: str = "INFO"


class EngineStandin(_Base):
  """The stand-in for an OpenAI-compatible model engine."""

  name: str
  datacentre: str
  listen: Listen
  models: list[str] = ["appraisal", "assistant"]
  tokens_per_s: float = pydantic.Field(default=400.0, gt=0)
  first_token_s: float = pydantic.Field(default=0.02, ge=0)
  load_lag_s: float = pydantic.Field(default=1.0, ge=0)
  log_level: str = "INFO"


class ServiceStandin(_Base):
  """The stand-in for a plain, non-idempotent service (bookings)."""

  name: str
  datacentre: str
  listen: Listen
  latency_s: float = pydantic.Field(default=0.01, ge=0)
  log_level: str = "INFO"


_Model = TypeVar("_Model", bound=pydantic.BaseModel)


def load(path: str | pathlib.Path, model: type[_Model]) -> _Model:
  """Reads a YAML settings file and checks it against `model`.

  Args:
    path: the YAML file.
    model: the settings class of the role.

  Returns:
    The checked settings object.

  Raises:
    errors.SettingsError: the file is unreadable, not YAML, or a key is
      unknown, missing or of the wrong type; the message names the key.
  """
  try:
    text = pathlib.Path(path).read_text(encoding="utf-8")
    data = yaml.safe_load(text) or {}
  except (OSError, yaml.YAMLError) as exc:
    raise errors.SettingsError(f"{path}: {exc}") from exc
  return parse(data, model, source=str(path))


def parse(data: object, model: type[_Model], source: str = "<data>") -> _Model:
  """Checks already-loaded settings; see `load` for errors."""
  try:
    return model.model_validate(data)
  except pydantic.ValidationError as exc:
    problems = "; ".join(
        f"{'.'.join(str(p) for p in err['loc']) or '<top>'}: {err['msg']}"
        for err in exc.errors()
    )
    raise errors.SettingsError(f"{source}: {problems}") from exc


def dump(settings: pydantic.BaseModel) -> str:
  """Returns `settings` as YAML text that `load` reads back."""
  return yaml.safe_dump(settings.model_dump(mode="json"), sort_keys=False)
