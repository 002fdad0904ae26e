"""What a caller is told when a request did not simply succeed.

Every failure a caller sees carries one of three outcomes, so that it
knows whether a retry could make the work happen twice.
"""

import enum
from typing import NamedTuple, TypedDict


class Outcome(enum.StrEnum):
  """Whether the request may have had an effect."""

  NOT_RUN = "not_run"
  """No endpoint received it; a retry cannot double it."""
  RAN = "ran"
  """An endpoint ran it to the end."""
  MAY_HAVE_RUN = "may_have_run"
  """An endpoint may have received it; the effect is unknown."""


class Verdict(NamedTuple):
  """A caller-facing failure: outcome, HTTP status, reason, back-off."""

  outcome: Outcome
  status: int
  reason: str
  retry_after_s: float | None = None


class VerdictBody(TypedDict):
  """The JSON error body, in the OpenAI error shape plus our fields."""

  message: str
  type: str
  verdict: str
  retry_after_s: float | None


def refuse(
    reason: str, retry_after_s: float | None, status: int = 429
) -> Verdict:
  """Returns a not-run verdict with a time to come back (None: don't)."""
  return Verdict(Outcome.NOT_RUN, status, reason, retry_after_s)


def unknown(reason: str, status: int = 502) -> Verdict:
  """Returns a may-have-run verdict."""
  return Verdict(Outcome.MAY_HAVE_RUN, status, reason, None)


def ran(reason: str, status: int = 409) -> Verdict:
  """Returns a ran verdict: done before, and not done again."""
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
