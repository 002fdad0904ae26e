"""The router's own final answers, and what each of them promises."""

from typing import Any

from mustardfall.budget import known


class RefusalError(Exception):
  """Ends a request with an answer of the router's own.

  408, 421, 429 and 503 promise that the request has not run and never
  will; they may be raised only while that is certain.

  Args:
    status: the HTTP status.
    reason: for the caller and the log.
    retry_after_s: when to come back; None: don't.
    facts: what the decision was taken on, for the log.
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
"""A starting router knows its configuration within about this time."""


def no_configuration() -> RefusalError:
  """No configuration has been read yet."""
  return RefusalError(503, "no configuration yet", _STARTUP_RETRY_S)


def stale_configuration(
    version: int, age_s: float, retry_after_s: float
) -> RefusalError:
  """It is not in the configuration known here, which may not be the newest."""
  facts = {"version": version, "age_s": round(age_s, 3)}
  reason = "configuration may be out of date"
  return RefusalError(503, reason, retry_after_s, facts)


def no_route(version: int) -> RefusalError:
  """No route matches."""
  return RefusalError(404, "no such route", facts={"version": version})


def unknown_key(version: int) -> RefusalError:
  """No team holds the API key."""
  return RefusalError(401, "unknown API key", facts={"version": version})


def budget_exhausted(where: known.Whereabouts | None) -> RefusalError:
  """The budget cannot cover the request, whatever comes back to it."""
  facts = where._asdict() if where else None
  return RefusalError(402, "budget used up", facts=facts)


def tokens_unavailable(
    where: known.Whereabouts | None, retry_after_s: float
) -> RefusalError:
  """The budget's tokens are held elsewhere, or out of reach."""
  facts = where._asdict() if where else None
  return RefusalError(429, "budget cannot cover it now", retry_after_s, facts)


def quarantined(retry_after_s: float) -> RefusalError:
  """It ended the endpoints that ran it; this time it was not sent to any."""
  return RefusalError(503, "request is quarantined", retry_after_s)


def no_endpoint(retry_after_s: float) -> RefusalError:
  """No endpoint would take it."""
  return RefusalError(503, "no endpoint free", retry_after_s)


def not_sent_in_time(retry_after_s: float) -> RefusalError:
  """Its time was over before it was sent anywhere."""
  return RefusalError(503, "not sent in time", retry_after_s)


def timed_out() -> RefusalError:
  """Its time was over while an endpoint was at work on it."""
  return RefusalError(504, "no answer in time")


def response_lost() -> RefusalError:
  """It may have run, and there is no whole answer."""
  return RefusalError(502, "answer lost")
