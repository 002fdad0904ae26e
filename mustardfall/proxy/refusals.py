"""Error responses that the router itself sends, and what each guarantees."""

from collections.abc import Mapping
from typing import Any

from mustardfall.routing import configuration


class RefusalError(Exception):
  """Ends a request with an error response from the router itself.

  Statuses 408, 421, 429 and 503 guarantee that the request has not run and
  never will; they may be raised only while that is certain.

  Args:
    status: the HTTP status.
    reason: sent to the caller in the body, and logged.
    retry_after_s: the value of Retry-After; None to send no such header.
    facts: the data on which the decision was based, for the log.
  """

  def __init__(
      self,
      status: int,
      reason: str,
      retry_after_s: float | None = None,
      facts: Any = None,
  ) -> None:
    super().__init__(reason)
    self.status = status
    self.reason = reason
    self.retry_after_s = retry_after_s
    self.facts = facts


_STARTUP_RETRY_S = 0.5
"""A starting router reads its configuration within about this time."""


def no_configuration() -> RefusalError:
  """No configuration has been read yet."""
  return RefusalError(503, "no configuration yet", _STARTUP_RETRY_S)


def stale_configuration(
    version: int, age_s: float, retry_after_s: float, api_key: str
) -> RefusalError:
  """The route or key is unknown here, but the configuration may be stale."""
  facts = {
      "version": version,
      "age_s": round(age_s, 3),
      "key": configuration.key_digest(api_key),
  }
  reason = "configuration may be out of date"
  return RefusalError(503, reason, retry_after_s, facts)


def no_route(version: int, age_s: float) -> RefusalError:
  """No route matches."""
  facts = {"version": version, "age_s": round(age_s, 3)}
  return RefusalError(404, "no such route", facts=facts)


def unknown_key(version: int, age_s: float, api_key: str) -> RefusalError:
  """No team holds the API key; its digest is logged."""
  facts = {
      "version": version,
      "age_s": round(age_s, 3),
      "key": configuration.key_digest(api_key),
  }
  return RefusalError(401, "unknown API key", facts=facts)


def budget_exhausted(facts: Mapping[str, Any]) -> RefusalError:
  """The budget cannot cover the request, whatever tokens are returned."""
  return RefusalError(402, "budget used up", facts=facts)


def tokens_unavailable(
    facts: Mapping[str, Any], retry_after_s: float
) -> RefusalError:
  """The tokens are held by other routers, or the store is unreachable."""
  return RefusalError(429, "budget cannot cover it now", retry_after_s, facts)


def quarantined(retry_after_s: float, facts: Mapping[str, Any]) -> RefusalError:
  """The request, or a part of its prompt, crashed endpoints that ran it."""
  return RefusalError(503, "request is quarantined", retry_after_s, facts)


def no_endpoint(retry_after_s: float, facts: Mapping[str, Any]) -> RefusalError:
  """No endpoint accepted the request."""
  return RefusalError(503, "no endpoint free", retry_after_s, facts)


def unknown_stream(
    retry_after_s: float, facts: Mapping[str, Any]
) -> RefusalError:
  """No router knows which software version began the stream to be resumed."""
  return RefusalError(503, "stream is unknown", retry_after_s, facts)


def version_gone(
    retry_after_s: float, facts: Mapping[str, Any]
) -> RefusalError:
  """No endpoint of the software version that began the stream is listed."""
  reason = "no endpoint of the stream's version"
  return RefusalError(503, reason, retry_after_s, facts)


def endpoints_unreached(
    retry_after_s: float, facts: Mapping[str, Any]
) -> RefusalError:
  """This router is cut off from all endpoints, and so are others it asked."""
  return RefusalError(503, "no endpoint reached", retry_after_s, facts)


def endpoints_withheld(
    retry_after_s: float, facts: Mapping[str, Any]
) -> RefusalError:
  """All endpoints have said that they leave, or want rest."""
  return RefusalError(503, "all endpoints leave or rest", retry_after_s, facts)


def endpoints_limited(
    retry_after_s: float, permit_retry_s: float
) -> RefusalError:
  """All endpoints bear only a low rate, which is used up."""
  reason = "all endpoints are limited"
  facts = {"permit_retry_s": round(permit_retry_s, 3)}
  return RefusalError(503, reason, retry_after_s, facts)


def overloaded(retry_after_s: float, facts: Mapping[str, Any]) -> RefusalError:
  """All endpoints have standing queues; the request would wait for long."""
  return RefusalError(503, "all endpoints are busy", retry_after_s, facts)


def shed(retry_after_s: float, facts: Mapping[str, Any]) -> RefusalError:
  """Capacity is short; rejecting this request costs callers least."""
  return RefusalError(503, "capacity is short", retry_after_s, facts)


def not_sent_in_time(retry_after_s: float) -> RefusalError:
  """The deadline passed before the request was sent to an endpoint."""
  return RefusalError(503, "not sent in time", retry_after_s)


def stopping(retry_after_s: float, left_s: float) -> RefusalError:
  """The router stops before the request would surely end."""
  facts = {"left_s": round(left_s, 3)}
  return RefusalError(503, "router stops", retry_after_s, facts)


def timed_out() -> RefusalError:
  """The deadline passed while an endpoint was processing the request."""
  return RefusalError(504, "no answer in time")


def response_lost() -> RefusalError:
  """The request may have run, and no complete response was received."""
  return RefusalError(502, "answer lost")
