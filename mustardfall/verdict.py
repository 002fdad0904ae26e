"""Error responses that state whether a failed request may have run.

Every error carries one of three outcomes, from which the caller knows
whether a retry could run the request twice.
"""

import enum
from typing import NamedTuple, TypedDict


class Outcome(enum.StrEnum):
  """Whether the request ran."""

  NOT_RUN = "not_run"
  """No endpoint ran it; a retry cannot run it twice."""
  RAN = "ran"
  """An endpoint completed it."""
  MAY_HAVE_RUN = "may_have_run"
  """An endpoint may have received it; whether it ran is unknown."""


class Verdict(NamedTuple):
  """An error for the caller: outcome, HTTP status, reason, Retry-After."""

  outcome: Outcome
  status: int
  reason: str
  retry_after_s: float | None = None


class VerdictBody(TypedDict):
  """The OpenAI error object, with `verdict` and `retry_after_s` added."""

  message: str
  type: str
  verdict: str
  retry_after_s: float | None


def not_run(
    reason: str, retry_after_s: float | None, status: int = 429
) -> Verdict:
  """Returns a not-run verdict; `retry_after_s` None means do not retry."""
  return Verdict(Outcome.NOT_RUN, status, reason, retry_after_s)


def may_have_run(reason: str, status: int = 502) -> Verdict:
  """Returns a may-have-run verdict."""
  return Verdict(Outcome.MAY_HAVE_RUN, status, reason, None)


def ran(reason: str, status: int = 409) -> Verdict:
  """Returns a ran verdict: an earlier request completed the work."""
  return Verdict(Outcome.RAN, status, reason, None)


def to_body(verdict: Verdict) -> dict[str, VerdictBody]:
  """Returns the JSON body for `verdict`, as `{"error": {...}}`."""
  return {
      "error": VerdictBody(
          message=verdict.reason,
          type=verdict.outcome.value,
          verdict=verdict.outcome.value,
          retry_after_s=verdict.retry_after_s,
      )
  }


def to_headers(verdict: Verdict) -> dict[str, str]:
  """Returns the HTTP headers for `verdict` (Retry-After, whole seconds)."""
  headers = {"x-mustardfall-verdict": verdict.outcome.value}
  if verdict.retry_after_s is not None:
    headers["retry-after"] = str(max(1, round(verdict.retry_after_s)))
  return headers
