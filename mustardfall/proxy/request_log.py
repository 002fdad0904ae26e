"""Writes a log line and the metrics for each decision on a request."""

import collections
import logging

from mustardfall import metrics
from mustardfall.proxy import host_load as host_load_lib
from mustardfall.proxy import messages
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)


class RequestLog:
  """Logs and counts the outcome of requests and of attempts.

  Args:
    clock: the time source.
    instruments: counters and histograms.
    host_load: how busy this router's host is.
  """

  def __init__(
      self,
      clock: clock_lib.Clock,
      instruments: metrics.Instruments,
      host_load: host_load_lib.HostLoad,
  ) -> None:
    self._clock = clock
    self._host_load = host_load
    self._instruments = instruments
    self._sends: collections.Counter[str] = collections.Counter()
    instruments.observe_totals(
        "mustardfall.sends",
        "",
        "requests sent to endpoints with a rate limit",
        self._sends,
    )

  def log_permitted_send(
      self, context: request_context_lib.RequestContext, row: endpoints.Row
  ) -> None:
    """Records that a request is sent to a limited endpoint with a permit."""
    use = context.permit_use
    if use is None:
      return
    self._sends["limited"] += 1
    logger.info(
        "request sent to a limited endpoint",
        extra={
            "request": context.request.id,
            "endpoint": row.life,
            "address": row.url,
            "try": context.attempts_sent,
            "per_s": use.limit.per_s,
            "slots": use.limit.slots,
            "lease": use.permit.lease,
            "heard_s": _rounded(use.heard_s),
            "named_s": _rounded(use.named_s),
            "issuer": use.permit.issuer,
            "share": _rounded(use.permit.share),
            "waited_s": _rounded(use.permit.wait_s),
        },
    )

  def log_resumed_send(
      self, context: request_context_lib.RequestContext, row: endpoints.Row
  ) -> None:
    """Records that an endpoint is asked for the rest of a stream."""
    if context.sequencer.last_event_id is None:
      return
    self._sends["resumed"] += 1
    logger.info(
        "stream goes on",
        extra={
            "request": context.request.id,
            "resumes": context.request.resumes,
            "last_event": context.sequencer.last_event_id,
            "endpoint": row.life,
            "version": row.version,
            "events_of": context.event_versions,
            "try": context.attempts_sent,
        },
    )

  def log_failed_attempt(
      self,
      context: request_context_lib.RequestContext,
      row: endpoints.Row,
      why: str,
  ) -> None:
    """Logs an attempt that failed and may be retried."""
    logger.info(
        "try failed",
        extra={
            "request": context.request.id,
            "endpoint": row.name,
            "version": row.version,
            "address": row.url,
            "try": context.attempts_sent,
            "why": why,
            "may_have_run": context.may_have_run,
            "last_event": context.sequencer.last_event_id,
        },
    )

  def log_refusal(
      self,
      request: messages.Request,
      refusal: refusals.RefusalError,
      context: request_context_lib.RequestContext | None,
  ) -> None:
    """Records a refusal; `context` is None if the request was not admitted."""
    logger.info(
        "request refused",
        extra={
            "request": request.id,
            "status": refusal.status,
            "reason": refusal.reason,
            "team": context.team.name if context and context.team else "",
            "most_tokens": request.usage.max_tokens if request.usage else 0,
            "facts": refusal.facts,
            "sends": context.attempts_sent if context else 0,
            "billed": context.used_tokens if context else 0,
            "endpoint": context.endpoint if context else "",
            "resumes": request.resumes,
            "last_event": request.last_event,
            **self._host_load.describe(),
        },
    )
    attributes = metric_attributes(context) if context else {}
    self._instruments.outcomes.add(1, {**attributes, "outcome": refusal.reason})

  def log_end(
      self,
      context: request_context_lib.RequestContext,
      outcome: str,
      status: int,
  ) -> None:
    """Records a request that got a response, or whose caller disconnected."""
    now = self._clock.monotonic()
    first_s = (
        None
        if context.first_output_at is None
        else context.first_output_at - context.arrived_at
    )
    logger.info(
        "request ended",
        extra={
            "request": context.request.id,
            "route": context.route.name,
            "team": context.team.name if context.team else "",
            "outcome": outcome,
            "status": status,
            "endpoint": context.endpoint,
            "expected_ms": None
            if context.expected_s is None
            else round(context.expected_s * 1000),
            "memory": context.memory,
            "versions": context.event_versions,
            "resumes": context.request.resumes,
            "resumed_at": context.request.last_event,
            "sends": context.attempts_sent,
            "first_ms": None if first_s is None else round(first_s * 1000),
            "total_ms": round((now - context.arrived_at) * 1000),
            "reserve_ms": round(context.reserve_wait_s * 1000),
            "most_tokens": context.request.usage.max_tokens
            if context.request.usage
            else 0,
            "events": context.sequencer.forwarded_events,
            "billed": context.used_tokens,
            **self._host_load.describe(),
        },
    )
    attributes = metric_attributes(context)
    self._instruments.outcomes.add(1, {**attributes, "outcome": outcome})
    self._instruments.duration.record(now - context.arrived_at, attributes)
    if first_s is not None:
      self._instruments.ttft.record(first_s, attributes)


def _rounded(seconds: float | None) -> float | None:
  return None if seconds is None else round(seconds, 3)


def metric_attributes(
    context: request_context_lib.RequestContext,
) -> dict[str, str]:
  """Returns the metric attributes of a request: its team and its class."""
  return {
      "customer": context.team.name if context.team else "",
      "class": f"{context.route.kind.name.lower()}-{context.route.priority}",
  }
