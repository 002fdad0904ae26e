"""The state of a request while the router serves it."""

import dataclasses
import math
from typing import NamedTuple

import anyio

from mustardfall.budget import allotment
from mustardfall.membership import permits
from mustardfall.membership import stream_keepers
from mustardfall.membership import trials
from mustardfall.proxy import http_server
from mustardfall.proxy import messages
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import endpoints
from mustardfall.routing import limited_endpoints
from mustardfall.routing import load_shedding
from mustardfall.routing import placement
from mustardfall.routing import stream_records


class PermitUse(NamedTuple):
  """The permit of an attempt, and what was known of its endpoint's limit."""

  limit: limited_endpoints.LimitedEndpoint
  permit: permits.Permit
  heard_s: float | None
  """Seconds since this router first heard of the limit that the endpoint names;
  None if it names none and is only cold."""
  named_s: float | None
  """Seconds since the endpoint last named it, as far as known here."""

  @property
  def endpoint(self) -> str:
    """The endpoint's life."""
    return self.limit.endpoint


@dataclasses.dataclass(eq=False)
class RequestContext:
  """An admitted request and the state of its attempts."""

  request: messages.Request
  body: bytes
  responder: http_server.Responder
  route: configuration.Route
  service: configuration.Service
  team: configuration.Team | None
  arrived_at: float
  deadline: float
  """Latest time of the router's response, in monotonic seconds."""
  sequencer: streams.EventSequencer
  fingerprint: str
  """Identifies repetitions of the same request, see `routing.quarantine`."""
  parts: tuple[str, ...] = ()
  """The keys of the prompt's parts that other requests may share, likewise."""
  response: tuple[messages.ResponseHead, bytes] | None = None
  """The complete response of an endpoint, which is passed on."""
  deadline_scope: anyio.CancelScope | None = None
  """Cancels the work on the request at its deadline."""
  reservation: allotment.Reservation | None = None
  attempts_sent: int = 0
  """Number of attempts, each of which sent the request to an endpoint."""
  attempt_events: int = 0
  """Events that the endpoint of the current attempt has sent."""
  attempt_sent_at: float = -float("inf")
  """When the current attempt was sent, monotonic seconds."""
  attempt_began_at: float | None = None
  """When that endpoint sent the first event, monotonic seconds."""
  progress_at: float = -float("inf")
  """When the current attempt last brought an event that the caller lacks,
  monotonic seconds."""
  endpoint_crashed: bool = False
  """Whether the endpoint of the current attempt crashed while it ran it."""
  crashed_writing: bool = False
  """Whether it had been writing the answer for a while then."""
  trial: trials.Trial | None = None
  """The permits of the current attempt, if it has open units."""
  has_retry: bool = False
  """Whether a retry was withdrawn for the next attempt."""
  failed_connects: int = 0
  is_cut_off: bool = False
  """Whether no router is known that reaches an endpoint for it."""
  may_have_run: bool = False
  body_delivered: bool = False
  """Whether a successful response that is no event stream was passed on."""
  reserve_wait_s: float = 0.0
  """How long the request waited for its reservation of tokens."""
  tried_endpoints: set[str] = dataclasses.field(default_factory=set)
  endpoint: str = ""
  expected_s: float | None = None
  """Time until that endpoint's answer begins, as expected when it was chosen."""
  memory: dict | None = None
  """What was known of that endpoint's memory, see `engine_room.facts_of`."""
  queued_works: float = 0.0
  """The wait expected at that endpoint if it is a plain server, in units of the
  mean time that it works on a request."""
  version: str = ""
  """The software version of that endpoint, as listed."""
  event_versions: list[str] = dataclasses.field(default_factory=list)
  """The versions of the endpoints whose events were passed on, in order."""
  bound_version: str | None = None
  """The software version that began the stream; None: it has not begun."""
  stream_record: stream_records.StreamRecord | None = None
  """The record of the stream that the request resumes."""
  announcement: stream_keepers.Announcement | None = None
  """The record that was last sent to other routers for this request."""
  direct_row: endpoints.Row | None = None
  """The endpoint of the current attempt if its connection is direct."""
  via: str = ""
  """The router through which the current attempt is sent; empty: directly."""
  permit_use: PermitUse | None = None
  """The permit of the current attempt; None if its endpoint is not limited."""
  permit_retry_s: float | None = None
  """Seconds until a permit may be had, if all endpoints are limited and none
  had one in time."""
  first_output_at: float | None = None
  """When the response, or its first event, was passed on; monotonic seconds."""
  error_response: tuple[messages.ResponseHead, bytes] | None = None
  """A 5xx response of an endpoint, passed on if no other attempt succeeds."""

  @property
  def priority(self) -> int:
    """The request's priority, its team's first; 0 is the most urgent."""
    return load_shedding.priority_of(self.route, self.team)

  @property
  def units(self) -> tuple[str, ...]:
    """The keys of what may crash endpoints: the request and its parts."""
    return (self.fingerprint, *self.parts)

  def end_deadline(self) -> None:
    """Lifts the deadline: a caller may take a complete response slowly."""
    if self.deadline_scope is not None:
      self.deadline_scope.deadline = math.inf

  def expire(self) -> None:
    """Ends the work on the request as its deadline does."""
    scope = self.deadline_scope
    if scope is not None and scope.deadline != math.inf:
      scope.deadline = -math.inf

  def note_events(self) -> None:
    """Records that events of the current endpoint are passed on."""
    if self.event_versions[-1:] != [self.version]:
      self.event_versions.append(self.version)

  @property
  def used_tokens(self) -> int:
    """Tokens to bill to the budget.

    A request whose response was lost before any of it was passed on may have
    run, but its team received nothing: it is billed no tokens.
    """
    usage = self.request.usage
    delivered = bool(self.sequencer.forwarded_events) or self.body_delivered
    if usage is None or not delivered:
      return 0
    output = self.sequencer.forwarded_events * self.tokens_per_event
    return usage.prompt_tokens + min(usage.max_output_tokens, output)

  @property
  def tokens_per_event(self) -> int:
    """Most tokens in one event of the response."""
    engine = self.service.engine
    return engine.tokens_per_event if engine else 1


class PendingPrefill:
  """A prompt that an endpoint has yet to process (prefill).

  Its expected duration counts towards the endpoint's load until `end`.

  Args:
    row: the endpoint.
    seconds: the expected duration of the prefill.
  """

  def __init__(self, row: endpoints.Row, seconds: float) -> None:
    self._row = row
    self._seconds = seconds
    row.prefill_s += seconds

  def end(self) -> None:
    """Removes it from the endpoint's load; may be called again.

    Called when the response begins or the request leaves the endpoint.
    """
    self._row.prefill_s -= self._seconds
    self._seconds = 0.0


def prompt_for_placement(request: messages.Request) -> placement.Prompt:
  """Returns the prompt's shared prefix and sizes, for cache-aware placement.

  The last part of a prompt is unique to the request, so the part before it
  identifies the longest prefix that other requests may have cached.
  """
  if len(request.parts) < 2:  # noqa: PLR2004
    return placement.NO_PROMPT
  *shared, own = request.parts
  return placement.Prompt(
      shared[-1].id, sum(part.tokens for part in shared), own.tokens
  )
