"""A request on its way through the router."""

import dataclasses

from mustardfall.budget import allotment
from mustardfall.proxy import http_server
from mustardfall.proxy import messages
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import endpoints
from mustardfall.routing import placement


@dataclasses.dataclass
class RequestContext:
  """A request on its way, and what is known of its sends."""

  request: messages.Request
  body: bytes
  responder: http_server.Responder
  route: configuration.Route
  service: configuration.Service
  team: configuration.Team | None
  arrived_at: float
  deadline: float
  """When the router answers at the latest, monotonic seconds."""
  sequencer: streams.EventSequencer
  fingerprint: str
  """What it has in common with others like it, see `routing.quarantine`."""
  reservation: allotment.Reservation | None = None
  sends: int = 0
  failed_connects: int = 0
  may_have_run: bool = False
  delivered_whole: bool = False
  """Whether a success was answered in one piece."""
  reserve_wait_s: float = 0.0
  """How long it waited for tokens."""
  tried_endpoints: set[str] = dataclasses.field(default_factory=set)
  endpoint: str = ""
  first_output_at: float | None = None
  """When the first event or the answer came."""
  error_response: tuple[messages.ResponseHead, bytes] | None = None
  """An endpoint's own failure, passed on if no other try does better."""

  @property
  def used_tokens(self) -> int:
    """Tokens of its budget that the request has used.

    A request whose answer was lost before anything of it was passed on may
    have run, but its team got nothing: its tokens stay with the budget.
    """
    usage = self.request.usage
    delivered = bool(self.sequencer.forwarded_events) or self.delivered_whole
    if usage is None or not delivered:
      return 0
    output = self.sequencer.forwarded_events * self.tokens_per_event
    return usage.prompt_tokens + min(usage.max_output_tokens, output)

  @property
  def tokens_per_event(self) -> int:
    """Most tokens in one event."""
    engine = self.service.engine
    return engine.tokens_per_event if engine else 1


class PendingPrefill:
  """A prompt that an endpoint has still to read; ends once.

  Args:
    row: the endpoint.
    seconds: how long the reading should take.
  """

  def __init__(self, row: endpoints.Row, seconds: float) -> None:
    self._row = row
    self._seconds = seconds
    row.reading_s += seconds

  def end(self) -> None:
    """Takes it off: the first token has come, or the request has gone."""
    self._row.reading_s -= self._seconds
    self._seconds = 0.0


def prompt_for_placement(request: messages.Request) -> placement.Prompt:
  """Returns the prefix that the request shares with others.

  The last part is the request's own, so the one before it names the
  longest prefix that others may have brought into a cache.
  """
  if len(request.parts) < 2:  # noqa: PLR2004
    return placement.NO_PROMPT
  *shared, own = request.parts
  return placement.Prompt(
      shared[-1].id, sum(part.tokens for part in shared), own.tokens
  )
