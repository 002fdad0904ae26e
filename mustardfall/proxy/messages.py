"""Requests and answers as the data path sees them, whatever their headers.

A deployment's header names are known to its `Dialect` only; these types
say what the headers mean.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

Header = tuple[bytes, bytes]
"""A header's lower-case name and its value."""


def content_length(headers: Iterable[Header]) -> int:
  """Returns the length of the body that headers announce, 0: they do not."""
  for name, value in headers:
    if name == b"content-length":
      return int(value)
  return 0


class PromptPart(NamedTuple):
  """A part of a prompt; requests that share it name the same id."""

  id: str
  tokens: int


class Usage(NamedTuple):
  """What a generation takes of a budget."""

  prompt_tokens: int
  max_output_tokens: int

  @property
  def max_tokens(self) -> int:
    """The most tokens that the request can use."""
    return self.prompt_tokens + self.max_output_tokens


class Request(NamedTuple):
  """A caller's request, its body apart."""

  id: str
  method: bytes
  target: bytes
  """Path and query as the caller sent them."""
  authority: str
  path: str
  api_key: str
  caller_timeout_s: float | None
  """Seconds that the caller waits; None: it did not say."""
  usage: Usage | None
  """None: not a generation."""
  parts: tuple[PromptPart, ...]
  last_event: int | None
  """The last event the caller has, when it resumes a stream."""
  headers: tuple[Header, ...]
  """What goes on to the endpoint as it is."""


class ForwardingInfo(NamedTuple):
  """What the router adds when it sends a request to an endpoint."""

  endpoint: str
  """The endpoint's id: another server at its address must not run it."""
  team: str
  time_left_s: float
  priority: int
  last_event: int | None


class Load(NamedTuple):
  """How busy an endpoint says it is."""

  running: int
  waiting: int
  slots: int


class ResponseHead(NamedTuple):
  """The head of an endpoint's answer."""

  status: int
  request_id: str
  signed: bool
  """Whether it bears the mark that endpoints put on their own answers."""
  not_run: bool
  """Whether the endpoint says that it did not run the request."""
  misdirected: bool
  """Whether another server than the one meant is at the address."""
  has_content_encoding: bool
  """Whether the body is encoded, which no endpoint of ours does."""
  is_event_stream: bool
  """Whether the body is a stream of events."""
  load: Load | None
  idle_timeout_s: float | None
  """Seconds that the endpoint keeps an idle connection, if it says."""
  closes_connection: bool
  """Whether the connection closes after this answer."""
  headers: tuple[Header, ...]
  """What goes on to the caller as it is."""


class Dialect(Protocol):
  """Translates between a deployment's headers and the types above."""

  def decode_request(
      self, method: bytes, target: bytes, headers: list[Header]
  ) -> Request:
    """Returns what a caller sent.

    Raises:
      errors.BadRequestError: a header is missing or makes no sense.
    """

  def encode_request(
      self, request: Request, send: ForwardingInfo
  ) -> list[Header]:
    """Returns the headers to send to an endpoint."""

  def decode_response(self, status: int, headers: list[Header]) -> ResponseHead:
    """Returns the head of an endpoint's answer."""

  def encode_refusal(
      self, request_id: str, retry_after_s: float | None
  ) -> list[Header]:
    """Returns the headers of an answer of the router's own."""
