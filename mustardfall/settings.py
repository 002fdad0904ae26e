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
  """Smallest grant asked for, tokens."""
  horizon_s: float = pydantic.Field(default=5.0, gt=0)
  """A grant covers this many seconds of the budget's draw here."""
  headroom_share: float = pydantic.Field(default=0.25, gt=0, le=1)
  """A grant takes at most this share of the budget's headroom."""
  part_share: float = pydantic.Field(default=0.5, gt=0, le=1)
  """A part takes at most this share of what the owner has free."""
  term_s: float = pydantic.Field(default=10.0, gt=0)
  """Unused tokens go back to the budget after this many seconds."""
  rate_s: float = pydantic.Field(default=3.0, gt=0)
  """A budget's draw is averaged over so many seconds. Requests are lumps of
  up to a tenth of a small budget."""
  share_held: float = pydantic.Field(default=0.5, ge=0, le=1)
  """All holders together hold this part of what is left of a budget."""
  requests_held: float = pydantic.Field(default=2.0, ge=0)
  """Beside the horizon's draw a holder wants so many requests' tokens."""
  reports: bool = False
  """Report what grants have used while they are held."""
  slack_s: float = pydantic.Field(default=2.0, gt=0)
  """A report allows for this many seconds of the budget's draw."""
  request_tokens: int = pydantic.Field(default=8_000, ge=1)
  """What a request is taken to need until one of its budget was seen here."""
  requests_slack: float = pydantic.Field(default=1.0, ge=0)
  """Beside that, for so many requests' tokens."""
  slack_left: float = pydantic.Field(default=0.15, gt=0, le=1)
  """All holders' reports allow for at most this share of what is left, times
  the part of the budget that is left. On 30 modelled days 0.10 to 0.20 refused
  5.4 to 5.8 % of requests falsely, 0.30 refused 6.9 %."""
  report_s: float = pydantic.Field(default=1.0, gt=0)
  """Time between two reports of use, with which all promises are renewed.
  Each costs a write."""
  ceiling_grace_s: float = pydantic.Field(default=2.0, ge=0)
  """What a report allows for must do for so long, seconds."""
  ceiling_rate: float = pydantic.Field(default=1.5, ge=0)
  """After that a holder may draw so many times its usual rate."""
  low_mark: float = pydantic.Field(default=0.25, ge=0, lt=1)
  """Refilled in the background when less than this share is free."""
  part_horizon_s: float = pydantic.Field(default=1.0, ge=0)
  """A part asked of an owner covers this many seconds of the draw; 0: just
  what the requests at hand need."""
  part_term_s: float = pydantic.Field(default=1.0, gt=0)
  """Unused tokens of a part go back to the owner after this."""
  settle_s: float = pydantic.Field(default=0.5, gt=0)
  """Time between two rounds in which ended parts go back to owners."""
  refusal_ttl_s: float = pydantic.Field(default=0.2, gt=0)
  """A refusal is repeated from memory for this long."""
  owned: bool = True
  """Draw through the budget's owner; false is the bench's baseline."""
  recall_s: float = pydantic.Field(default=0.3, gt=0)
  """Least time between two recalls of one budget's idle tokens."""


class Writer(_Base):
  """How changes are batched into transactions on the KV."""

  interval_s: float = pydantic.Field(default=0.02, ge=0)
  """Least time between two transactions."""
  linger_s: float = pydantic.Field(default=0.5, ge=0)
  """How long changes that nobody waits for may wait for company."""
  max_keys: int = pydantic.Field(default=48, ge=1, le=128)
  """Most keys in one transaction (etcd allows 128 operations)."""


class Membership(_Base):
  """How routers know of each other."""

  ttl_s: int = pydantic.Field(default=24, ge=2)
  """Term of a router's lease; it renews after a third of it."""
  grace_s: float = pydantic.Field(default=10.0, ge=0)
  """An absent router counts as gone after this long."""
  owners: int = pydantic.Field(default=0, ge=0)
  """How many routers of a region own budgets; 0: all of them."""
  watch_idle_s: float = pydantic.Field(default=6.0, gt=0)
  """A watch without a word for this long is opened again."""
  clock_quorum: int = pydantic.Field(default=0, ge=0)
  """Routers whose wall clocks must agree, this one counted, before one is
  trusted to tell how long a host was without power; 0: none is trusted."""
  peer_timeout_s: float = pydantic.Field(default=0.4, gt=0)
  """A call to another router is given up after this."""


class Scheduler(_Base):
  """How requests wait for endpoints, and when they are shed."""

  policy: str = pydantic.Field(default="class", pattern="^(class|fifo)$")
  """`class` puts urgent work first; `fifo` is the bench's baseline."""
  initial_limit: float = pydantic.Field(default=2.0, ge=1)
  """Requests in flight per endpoint and router, to begin with."""
  max_limit: float = pydantic.Field(default=64.0, ge=1)
  target_s: float = pydantic.Field(default=0.4, gt=0)
  """Urgent time to first token that the limit is steered to."""
  urgent_wait_s: float = pydantic.Field(default=0.6, ge=0)
  """Longest an urgent request waits for an endpoint."""
  deferrable_wait_s: float = pydantic.Field(default=15.0, ge=0)
  """Longest a deferrable request waits for an endpoint."""
  deferrable_every: int = pydantic.Field(default=4, ge=1)
  """While both wait, one in this many freed places is deferrable's."""


class Proxy(_Base):
  """How callers' requests are sent to endpoints."""

  reserve_s: float = pydantic.Field(default=0.35, gt=0)
  """Longest a request waits for tokens of its budget, seconds."""
  retry_ratio: float = pydantic.Field(default=0.15, ge=0)
  """Second sends per request and service, over time."""
  retry_burst: float = pydantic.Field(default=4.0, ge=0)
  """Second sends that may be saved up, per service, in a fleet of up to 12
  routers; the routers of a larger one save up no more together."""
  metrics_port: int = pydantic.Field(default=0, ge=0, le=65535)
  """TCP port that serves the metrics as text; 0: none."""


class Limits(_Base):
  """What the process may use of its host; 0: as much as there is."""

  memory_mb: int = pydantic.Field(default=0, ge=0)
  """Memory past which the host ends the process, MB."""
  files: int = pydantic.Field(default=0, ge=0)
  """Descriptors that the process may open."""


class Records(_Base):
  """How long outcomes of calls with an Idempotency-Key are kept."""

  keep_s: int = pydantic.Field(default=86_400, ge=60)
  """A retry later than this is taken for a new call."""


class Router(_Base):
  """The entry-host daemon: admits, bills and routes requests."""

  name: str = pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")
  datacentre: str
  region: str = "default"
  listen: Listen
  peer_listen: Listen
  """Where other routers reach this one; not for callers."""
  first_start: bool = False
  """Whether the whole deployment starts for the first time: engines have
  nothing in their caches then."""
  load_port: int = pydantic.Field(default=0, ge=0, le=65535)
  """UDP port, the same on all routers, for telling each other what they
  have at the endpoints; 0: they do not."""
  kv_url: str
  hosts_url: str
  tick_s: float = pydantic.Field(default=0.5, gt=0)
  """Seconds between runs of the systems over the tables."""
  drain_s: float = pydantic.Field(default=30.0, ge=0)
  """Seconds that requests in flight may take after SIGTERM."""
  lame_duck_s: float = pydantic.Field(default=1.0, ge=0)
  """After SIGTERM, still serving but not ready, so the balancer leaves."""
  orders_s: float = pydantic.Field(default=1.0, gt=0)
  """Seconds between two looks at what engines have loaded."""
  kv_timeout_s: float = pydantic.Field(default=2.0, gt=0)
  default_max_tokens: int = pydantic.Field(default=256, ge=1)
  retry_after_s: float = pydantic.Field(default=2.0, gt=0)
  allotment: Allotment = Allotment()
  writer: Writer = Writer()
  membership: Membership = Membership()
  scheduler: Scheduler = Scheduler()
  records: Records = Records()
  proxy: Proxy = Proxy()
  limits: Limits = Limits()
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
  slots: int = pydantic.Field(default=16, ge=1)
  """Requests decoded at once; the rest wait in priority order."""
  load_lag_s: float = pydantic.Field(default=1.0, ge=0)
  honours_fencing: bool = True
  """Whether orders with an old fencing token are refused."""
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
