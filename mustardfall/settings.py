"""Settings of each process role, loaded from YAML and validated on load.

Each role has one model, which is passed as a whole to the constructor of the
role's application object. An unknown or invalid key stops the process at its
start, with an error that names the key.
"""

import pathlib
from typing import TypeVar

import pydantic
import yaml

from mustardfall import errors


class _SettingsModel(pydantic.BaseModel):
  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Listen(_SettingsModel):
  """Address on which a daemon accepts connections."""

  host: str = "127.0.0.1"
  port: int = pydantic.Field(ge=0, le=65535)


class Allotment(_SettingsModel):
  """Sizes of the grants and parts that a router takes from a budget."""

  min_tokens: int = pydantic.Field(default=2_000, ge=1)
  """Minimum size of a grant that is requested, tokens."""
  horizon_s: float = pydantic.Field(default=5.0, gt=0)
  """A grant covers this router's draw on the budget for this many seconds."""
  headroom_share: float = pydantic.Field(default=0.25, gt=0, le=1)
  """A grant takes at most this share of the budget's headroom."""
  part_share: float = pydantic.Field(default=0.5, gt=0, le=1)
  """A part takes at most this share of the owner's free tokens."""
  term_s: float = pydantic.Field(default=10.0, gt=0)
  """Time after which unused tokens of a grant are returned to the budget."""
  rate_s: float = pydantic.Field(default=3.0, gt=0)
  """Time over which the draw on a budget is averaged. It has to be averaged
  since a single request may take up to a tenth of a small budget."""
  share_held: float = pydantic.Field(default=0.5, ge=0, le=1)
  """Share of a budget's remaining tokens that its holders together aim to hold
  as a minimum, in equal parts."""
  requests_held: float = pydantic.Field(default=2.0, ge=0)
  """A holder aims to hold the tokens of this many average requests, in addition
  to the draw of `horizon_s`."""
  reports: bool = False
  """Whether the use of grants is reported to the ledger while they are held, so
  that fewer tokens are written off when a router dies."""
  slack_s: float = pydantic.Field(default=2.0, gt=0)
  """A ceiling permits this many seconds of draw beyond the tokens in use when
  it was issued."""
  request_tokens: int = pydantic.Field(default=8_000, ge=1)
  """Assumed tokens of a request until this router has served one of the same
  budget."""
  requests_slack: float = pydantic.Field(default=1.0, ge=0)
  """In addition to `slack_s`, a ceiling permits the tokens of this many average
  requests."""
  slack_left: float = pydantic.Field(default=0.15, gt=0, le=1)
  """Limits how far the ceilings of all holders together exceed the tokens in
  use when they were issued: to about `slack_left` * remaining tokens *
  (remaining tokens / limit). In a simulation of 30 days, 0.10 to 0.20 led to
  5.4 to 5.8 % of requests refused although the budget could cover them, 0.30 to
  6.9 %."""
  report_s: float = pydantic.Field(default=1.0, gt=0)
  """Time between two reports of use, each of which renews the ceilings of all
  budgets. A report costs a write to the KV."""
  ceiling_grace_s: float = pydantic.Field(default=2.0, ge=0)
  """Time after its issue or renewal for which a ceiling does not grow."""
  ceiling_rate: float = pydantic.Field(default=1.5, ge=0)
  """After `ceiling_grace_s` the ceiling of an unused budget grows by this multiple
  of the holder's average draw per second. The multiple falls towards 1 as the
  budget is used."""
  outage_s: float = pydantic.Field(default=30.0, ge=0)
  """A ceiling grows for this long; after that a holder that cannot report draws
  no more."""
  outage_share: float = pydantic.Field(default=0.3, gt=0, le=1)
  """Holders that cannot report draw together at most this share of a budget's
  remaining tokens. This is what a budget loses with a host that never comes
  back."""
  low_mark: float = pydantic.Field(default=0.25, ge=0, lt=1)
  """A budget is refilled in the background when its unused tokens on this
  router fall below this share of the size that a grant or part should have."""
  part_horizon_s: float = pydantic.Field(default=1.0, ge=0)
  """A part requested from an owner covers this many seconds of draw; 0: only
  the requests that wait for it."""
  part_term_s: float = pydantic.Field(default=1.0, gt=0)
  """Time after which unused tokens of a part are returned to the owner."""
  settle_s: float = pydantic.Field(default=0.5, gt=0)
  """Time between two rounds in which ended parts are returned to owners."""
  refusal_ttl_s: float = pydantic.Field(default=0.2, gt=0)
  """Time for which a refusal is cached."""
  owned: bool = True
  """Whether tokens are drawn through the budget's owner; false is the baseline
  of benchmarks."""
  recall_s: float = pydantic.Field(default=0.3, gt=0)
  """Minimum time between two recalls of a budget's idle tokens."""
  relayed: bool = False
  """Whether tokens are requested from any router that reaches the store when
  this router, the budget's owner and its deputies do not reach it."""


class Writer(_SettingsModel):
  """Batching of changes into transactions of the KV."""

  interval_s: float = pydantic.Field(default=0.02, ge=0)
  """Minimum time between two transactions."""
  linger_s: float = pydantic.Field(default=0.5, ge=0)
  """Maximum delay of changes that no caller waits for, so that they share a
  transaction with others."""
  max_keys: int = pydantic.Field(default=48, ge=1, le=128)
  """Maximum number of keys in a transaction (etcd allows 128 operations)."""


class Membership(_SettingsModel):
  """Registration of routers and calls between them."""

  ttl_s: int = pydantic.Field(default=24, ge=2)
  """TTL of a router's lease, which is renewed after a third of it."""
  grace_s: float = pydantic.Field(default=10.0, ge=0)
  """Time after which an absent router counts as gone."""
  owners: int = pydantic.Field(default=0, ge=0)
  """Number of routers per region that own budgets; 0: all of them."""
  watch_idle_s: float = pydantic.Field(default=6.0, gt=0)
  """Time without a message after which a watch is reopened."""
  clock_quorum: int = pydantic.Field(default=0, ge=0)
  """Number of routers, including this one, whose wall clocks must agree before
  they are used to determine how long a host was without power; 0: they are
  never used."""
  peer_timeout_s: float = pydantic.Field(default=0.4, gt=0)
  """Timeout of a call to another router."""


class Scheduler(_SettingsModel):
  """Queueing of requests for endpoints, and load shedding."""

  policy: str = pydantic.Field(default="class", pattern="^(class|fifo)$")
  """`class` serves urgent requests first; `fifo` is the baseline of
  benchmarks."""
  initial_limit: float = pydantic.Field(default=2.0, ge=1)
  """Initial limit of the requests in flight per endpoint and router."""
  max_limit: float = pydantic.Field(default=64.0, ge=1)
  target_s: float = pydantic.Field(default=0.4, gt=0)
  """Target for the time to first token of urgent requests; the limit is
  adjusted to meet it."""
  urgent_wait_s: float = pydantic.Field(default=0.6, ge=0)
  """Maximum time that an urgent request waits for an endpoint."""
  deferrable_wait_s: float = pydantic.Field(default=15.0, ge=0)
  """Maximum time that a deferrable request waits for an endpoint."""
  deferrable_every: int = pydantic.Field(default=4, ge=1)
  """While requests of both classes wait, one of this many freed slots goes to
  a deferrable one."""


class Proxy(_SettingsModel):
  """Forwarding of callers' requests to endpoints."""

  reserve_s: float = pydantic.Field(default=0.35, gt=0)
  """Maximum time that a request waits for tokens of its budget."""
  retry_ratio: float = pydantic.Field(default=0.15, ge=0)
  """Retries per request and service, averaged over time."""
  retry_burst: float = pydantic.Field(default=4.0, ge=0)
  """Maximum number of unused retries that accumulate per service, in a fleet of
  up to 12 routers. All routers of a larger fleet together accumulate no more
  than 12 routers do."""
  leaving_use_s: float = pydantic.Field(default=0.0, ge=0)
  """How long streams are resumed at an endpoint that leaves, counted from when it
  was last listed as live; 0: not at all."""
  max_rest_s: float = pydantic.Field(default=3600.0, ge=0)
  """Longest rest that an endpoint is granted which turns a request away with a
  `Retry-After`, seconds; 0: none. A longer one is asked for again after it."""
  sheds_saturated: bool = False
  """Whether connections of callers are closed, new ones unread, while this
  router's processor or link is saturated and other routers are up."""
  relieves_link: bool = False
  """Whether the router reports that it is not ready, and closes connections of
  callers, while its host's link is full and other routers are up."""
  learned_speeds: bool = False
  """Whether endpoints are chosen by the speed that was learned of each, and more
  of them are compared for long prompts."""
  engine_memory: bool = False
  """Whether endpoints are chosen by the room that the runs there leave in their
  memory, where the configuration says how much they have."""
  load_shedding: str = pydantic.Field(
      default="objective", pattern="^(objective|cost)$"
  )
  """Which requests are rejected where capacity is short: `objective`, generations
  that would be late; `cost`, those whose rejection costs callers least."""
  metrics_port: int = pydantic.Field(default=0, ge=0, le=65535)
  """TCP port that serves the metrics in the Prometheus format; 0: none."""


class Limits(_SettingsModel):
  """Resource limits of the process; 0: no limit but the host's."""

  memory_mb: int = pydantic.Field(default=0, ge=0)
  """Memory above which the host kills the process, MB; 0: half of the host's
  memory."""
  files: int = pydantic.Field(default=0, ge=0)
  """Maximum number of open file descriptors."""
  link_mbps: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)
  """Rate of the host's network link in each direction, Mbit/s."""


class Connections(_SettingsModel):
  """What is held for the peer of a connection that a router has accepted."""

  pipelined_bytes: int = pydantic.Field(default=65_536, ge=1)
  """Bytes of further requests from which no more is read of a connection until
  its request has been served."""
  pipelined_share: float = pydantic.Field(default=0.25, gt=0, le=1)
  """Share of the memory for callers that requests sent ahead may take."""
  body_timeout_s: float = pydantic.Field(default=60.0, gt=0)
  """Longest time that the body of a request may take altogether."""
  send_timeout_s: float = pydantic.Field(default=30.0, gt=0)
  """Time after which a connection is closed if its peer has taken no part of a
  response that waits to be sent."""
  stall_s: float = pydantic.Field(default=2.0, gt=0)
  """The same while memory or connections are short, and while the router
  stops."""
  tunnel_idle_s: float = pydantic.Field(default=300.0, gt=0)
  """Time after which a tunnel is closed through which nothing passes."""
  receive_buffer_bytes: int = pydantic.Field(default=16_384, ge=4_096)
  """Size of the receive buffer of accepted connections, and of those to
  endpoints; the system doubles it."""
  send_buffer_bytes: int = pydantic.Field(default=16_384, ge=4_096)
  """Size of the send buffer of accepted connections; the system doubles it."""


class Records(_SettingsModel):
  """Retention of the outcomes of calls with an Idempotency-Key."""

  keep_s: int = pydantic.Field(default=86_400, ge=60)
  """Retention time; a later retry is handled as a new call."""


class Router(_SettingsModel):
  """Settings of a router, which admits, bills and routes requests."""

  name: str = pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")
  datacentre: str
  region: str = "default"
  listen: Listen
  peer_listen: Listen
  """Address for calls of other routers; callers must not reach it."""
  first_start: bool = False
  """Whether the whole deployment starts for the first time, so that the caches
  of the engines are empty."""
  load_port: int = pydantic.Field(default=0, ge=0, le=65535)
  """UDP port, the same on all routers, on which they exchange the load that
  each puts on the endpoints; 0: they do not."""
  tunnel_port: int = pydantic.Field(default=0, ge=0, le=65535)
  """TCP port, the same on all routers, on which each connects others to endpoints
  that they do not reach; 0: none does."""
  last_spare_port: int = pydantic.Field(default=0, ge=0, le=65535)
  """The last of the ports after `load_port` and `tunnel_port`, one of which is
  used instead if another process holds these; 0: none is."""
  kv_url: str
  hosts_url: str
  tick_s: float = pydantic.Field(default=0.5, gt=0)
  """Time between two passes of the periodic work over the tables of budgets and
  endpoints."""
  drain_s: float = pydantic.Field(default=30.0, ge=0)
  """Maximum time for requests in flight to finish after the lame-duck time."""
  lame_duck_s: float = pydantic.Field(default=1.0, ge=0)
  """Time after SIGTERM in which the router still serves but reports that it is
  not ready, so that the load balancer stops sending requests."""
  orders_s: float = pydantic.Field(default=1.0, gt=0)
  """Time between two checks of the models that engines have loaded."""
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
  connections: Connections = Connections()
  log_level: str = "INFO"


class KvStandin(_SettingsModel):
  """Settings of the stand-in for the platform's key-value service."""

  listen: Listen
  log_level: str = "INFO"


class HostEntry(_SettingsModel):
  """An endpoint in the host list."""

  name: str
  url: str
  datacentre: str
  kind: str = pydantic.Field(pattern="^(engine|service)$")
  models: list[str] = []
  state: str = pydantic.Field(default="live", pattern="^(live|leaving)$")


class HostsStandin(_SettingsModel):
  """Settings of the stand-in for the platform's host list."""

  listen: Listen
  lag_s: float = pydantic.Field(default=1.0, ge=0)
  """Time until a change appears in the list."""
  hosts: list[HostEntry] = []
  log_level: str = "INFO"


class EngineStandin(_SettingsModel):
  """Settings of the stand-in for an OpenAI-compatible model engine."""

  name: str
  datacentre: str
  listen: Listen
  models: list[str] = ["appraisal", "assistant"]
  tokens_per_s: float = pydantic.Field(default=400.0, gt=0)
  first_token_s: float = pydantic.Field(default=0.02, ge=0)
  slots: int = pydantic.Field(default=16, ge=1)
  """Maximum number of requests decoded at once; others wait by priority."""
  load_lag_s: float = pydantic.Field(default=1.0, ge=0)
  honours_fencing: bool = True
  """Whether orders with an outdated fencing token are refused."""
  log_level: str = "INFO"


class ServiceStandin(_SettingsModel):
  """Settings of the stand-in for a plain, non-idempotent service (bookings)."""

  name: str
  datacentre: str
  listen: Listen
  latency_s: float = pydantic.Field(default=0.01, ge=0)
  log_level: str = "INFO"


_Model = TypeVar("_Model", bound=pydantic.BaseModel)


def load(path: str | pathlib.Path, model: type[_Model]) -> _Model:
  """Reads a YAML settings file and validates it against `model`.

  Args:
    path: the YAML file.
    model: the settings class of the role.

  Returns:
    The validated settings object.

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
  """Validates settings that were already loaded; raises like `load`."""
  try:
    return model.model_validate(data)
  except pydantic.ValidationError as exc:
    problems = "; ".join(
        f"{'.'.join(str(p) for p in err['loc']) or '<top>'}: {err['msg']}"
        for err in exc.errors()
    )
    raise errors.SettingsError(f"{source}: {problems}") from exc


def dump(settings: pydantic.BaseModel) -> str:
  """Returns `settings` as YAML that `load` can read."""
  return yaml.safe_dump(settings.model_dump(mode="json"), sort_keys=False)
