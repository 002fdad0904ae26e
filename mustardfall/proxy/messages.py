"""Requests and responses, independent of a deployment's header names.

Only a deployment's `Dialect` knows the names of its headers; these types hold
their meaning.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from mustardfall.routing import rate_limits
from mustardfall.routing import statements

Header = tuple[bytes, bytes]
"""A header's lower-case name and its value."""


def content_length(headers: Iterable[Header]) -> int:
  """Returns the Content-Length in `headers`; 0 if there is none."""
  for name, value in headers:
    if name == b"content-length":
      return int(value)
  return 0


class PromptPart(NamedTuple):
  """A part of a prompt; requests that share the part use the same id."""

  id: str
  tokens: int


class Usage(NamedTuple):
  """Tokens that a generation may take from its budget."""

  prompt_tokens: int
  max_output_tokens: int

  @property
  def max_tokens(self) -> int:
    """The most tokens that the request can use."""
    return self.prompt_tokens + self.max_output_tokens


class Request(NamedTuple):
  """A caller's request without its body."""

  id: str
  method: bytes
  target: bytes
  """Path and query as the caller sent them."""
  authority: str
  path: str
  api_key: str
  caller_timeout_s: float | None
  """Seconds that the caller waits for a response; None if it did not say."""
  usage: Usage | None
  """None if the request is not a generation."""
  parts: tuple[PromptPart, ...]
  last_event: int | None
  """Id of the last event that the caller has; None if it resumes no stream."""
  headers: tuple[Header, ...]
  """Headers that are forwarded to the endpoint unchanged."""
  resumes: str = ""
  """Id of the request that brought the first event of the stream that the
  caller resumes; empty if it named none."""
  model: str = ""
  """The requested model; empty if the request is not a generation."""
  output_hint: float | None = None
  """The caller's estimate of the output tokens; None if there is none or it is
  no number."""


class ForwardingInfo(NamedTuple):
  """What the router adds to a request that it forwards to an endpoint."""

  endpoint: str
  """The endpoint's id; another server at its address must refuse it."""
  team: str
  time_left_s: float
  priority: int
  last_event: int | None


class Load(NamedTuple):
  """The load that an endpoint reports."""

  running: int
  waiting: int
  slots: int
  moment: float | None = None
  """How long work takes on its machine at this moment, 100 meaning as usual; None
  if it does not say."""


class ResponseHead(NamedTuple):
  """Status and headers of an endpoint's response."""

  status: int
  request_id: str
  signed: bool
  """Whether it bears the signature that endpoints add to their responses."""
  not_run: bool
  """Whether the endpoint reports that it did not run the request."""
  misdirected: bool
  """Whether a server other than the intended one responded."""
  has_content_encoding: bool
  """Whether the body is encoded; the deployment's endpoints never do that."""
  is_event_stream: bool
  """Whether the body is a stream of server-sent events."""
  load: Load | None
  rate_limit: rate_limits.NamedRate | None
  """None if the endpoint names no limit."""
  brittle: rate_limits.NamedRate | None
  """One more than the requests that the endpoint can turn away in a second; None
  if it does not say that it is brittle."""
  idle_timeout_s: float | None
  """Seconds for which the endpoint keeps an idle connection, if it says so."""
  closes_connection: bool
  """Whether the endpoint closes the connection after this response."""
  headers: tuple[Header, ...]
  """Headers that are passed on to the caller unchanged."""
  leaving: bool = False
  """Whether the endpoint says that it leaves."""
  rest: statements.NamedRest | None = None
  """How long the endpoint wants no requests of this router; None if it turned
  none away or does not say so."""


class Dialect(Protocol):
  """Translates between a deployment's headers and the types above."""

  def decode_request(
      self, method: bytes, target: bytes, headers: list[Header]
  ) -> Request:
    """Decodes the head of a caller's request.

    Raises:
      errors.RejectedRequestError: a header is missing or invalid.
    """

  def encode_request(
      self, request: Request, send: ForwardingInfo
  ) -> list[Header]:
    """Returns the headers to send to an endpoint."""

  def decode_response(self, status: int, headers: list[Header]) -> ResponseHead:
    """Decodes the head of an endpoint's response."""

  def encode_refusal(
      self, request_id: str, retry_after_s: float | None
  ) -> list[Header]:
    """Returns the headers of an error response that the router itself sends."""
