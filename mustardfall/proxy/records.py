"""One log line, and the metrics, for each decision on a request."""

import logging

from mustardfall import metrics
from mustardfall.proxy import job as job_lib
from mustardfall.proxy import messages
from mustardfall.proxy import refusals
from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)


class Records:
  """Writes down what becomes of requests.

  Args:
    clock: the time source.
    instruments: counters and histograms.
  """

  def __init__(
      self, clock: clock_lib.Clock, instruments: metrics.Instruments
  ) -> None:
    self._clock = clock
    self._instruments = instruments

  def note_try(self, job: job_lib.Job, row: endpoints.Row, why: str) -> None:
    """Notes a send that came to nothing."""
    logger.info(
        "try failed",
        extra={
            "request": job.request.id,
            "endpoint": row.name,
            "address": row.url,
            "try": job.sends,
            "why": why,
            "may_have_run": job.may_have_run,
            "last_event": job.joiner.last,
        },
    )

  def note_refusal(
      self,
      request: messages.Request,
      refusal: refusals.RefusalError,
      job: job_lib.Job | None,
  ) -> None:
    """Notes an answer of the router's own; no job: it was not admitted."""
    logger.info(
        "request refused",
        extra={
            "request": request.id,
            "status": refusal.status,
            "reason": refusal.reason,
            "team": job.team.name if job and job.team else "",
            "most_tokens": request.usage.most if request.usage else 0,
            "facts": refusal.facts,
            "sends": job.sends if job else 0,
            "billed": job.used if job else 0,
            "endpoint": job.endpoint if job else "",
        },
    )
    marks = attributes(job) if job else {}
    self._instruments.outcomes.add(1, {**marks, "outcome": refusal.reason})

  def note_end(self, job: job_lib.Job, outcome: str, status: int) -> None:
    """Notes how a request ended that an endpoint answered or its caller left."""
    now = self._clock.monotonic()
    first_s = None if job.first_at is None else job.first_at - job.arrived
    logger.info(
        "request ended",
        extra={
            "request": job.request.id,
            "route": job.route.name,
            "team": job.team.name if job.team else "",
            "outcome": outcome,
            "status": status,
            "endpoint": job.endpoint,
            "sends": job.sends,
            "first_ms": None if first_s is None else round(first_s * 1000),
            "total_ms": round((now - job.arrived) * 1000),
            "reserve_ms": round(job.reserved_after_s * 1000),
            "most_tokens": job.request.usage.most if job.request.usage else 0,
            "events": job.joiner.passed,
            "billed": job.used,
        },
    )
    marks = attributes(job)
    self._instruments.outcomes.add(1, {**marks, "outcome": outcome})
    self._instruments.duration.record(now - job.arrived, marks)
    if first_s is not None:
      self._instruments.ttft.record(first_s, marks)


def attributes(job: job_lib.Job) -> dict[str, str]:
  """Returns what histograms are kept by: the tenant and its class."""
  return {
      "customer": job.team.name if job.team else "",
      "class": f"{job.route.kind.name.lower()}-{job.route.priority}",
  }
