"""Detects requests that crash endpoints, and refuses them while quarantined."""

import logging

from mustardfall.membership import trials as trials_lib
from mustardfall.membership import verdicts as verdicts_lib
from mustardfall.proxy import endpoint_paths as endpoint_paths_lib
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import endpoints
from mustardfall.routing import quarantine
from mustardfall.routing import statements as statements_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MAX_LOGGED_PARTS = 8
"""Parts of a prompt that are named in a log line."""


class CrashGuard:
  """Detects crashes of endpoints and refuses requests that are quarantined.

  Args:
    table: the quarantined requests.
    verdicts: reports crashes and successes to the other routers.
    trials: admits requests with open units.
    paths: connects to endpoints.
    statements: which endpoints have said that they leave.
    clock: the time source.
  """

  def __init__(
      self,
      table: quarantine.Table,
      verdicts: verdicts_lib.Verdicts,
      trials: trials_lib.Trials,
      paths: endpoint_paths_lib.EndpointPaths,
      statements: statements_lib.Table,
      clock: clock_lib.Clock,
  ) -> None:
    self._table = table
    self._verdicts = verdicts
    self._trials = trials
    self._paths = paths
    self._statements = statements
    self._clock = clock

  def refuse_quarantined(
      self, context: request_context_lib.RequestContext
  ) -> None:
    """Refuses a quarantined request.

    Raises:
      refusals.RefusalError: the request must not be sent to any endpoint now.
    """
    left_s, unit = max(
        (self._table.remaining_s(unit), unit) for unit in context.units
    )
    if not left_s:
      return
    if context.may_have_run:
      raise refusals.response_lost()
    facts = {"unit": unit, "crashes": self._table.crash_count(unit)}
    raise refusals.quarantined(left_s, facts)

  async def admit(self, context: request_context_lib.RequestContext) -> None:
    """Waits until a request may be sent to an endpoint.

    Raises:
      refusals.RefusalError: it must not be sent to any now.
    """
    context.endpoint_crashed = False
    context.trial = await self._trials.begin(context.request.id, context.units)
    self.refuse_quarantined(context)

  def end_attempt(self, context: request_context_lib.RequestContext) -> None:
    """Ends the trial that an attempt was, if it was one."""
    trial, context.trial = context.trial, None
    if trial is None:
      return
    if context.endpoint_crashed and not context.crashed_writing:
      self._trials.abandon(trial)
    else:
      self._trials.end(trial, "endpoint is up")

  def is_blame_open(self, context: request_context_lib.RequestContext) -> bool:
    """Whether a part of the prompt may have crashed the last endpoint."""
    if not context.endpoint_crashed or context.crashed_writing:
      return False
    return any(map(self._table.is_suspected, context.parts))

  def _was_writing(self, context: request_context_lib.RequestContext) -> bool:
    """Whether the endpoint had been writing the answer for a while."""
    began_at = context.attempt_began_at
    if began_at is None:
      return False
    return self._clock.monotonic() - began_at >= quarantine.WRITING_S

  async def record_success(
      self,
      context: request_context_lib.RequestContext,
      row: endpoints.Row,
      exchange: exchange_lib.Exchange,
  ) -> None:
    """Records that an endpoint completed a request.

    An answer that ends with its connection may end so because the endpoint
    crashed. It speaks for a suspected unit only if the endpoint is up.
    """
    if exchange.ends_with_connection and any(
        map(self._table.crash_count, context.units)
    ):
      ran_s = self._clock.monotonic() - context.arrived_at
      await self.check_for_crash(context, row, ran_s)
      if context.endpoint_crashed:
        return
    age_s = self._clock.monotonic() - context.attempt_sent_at
    self._verdicts.note_success(*context.units, age_s=age_s)

  async def check_for_crash(
      self,
      context: request_context_lib.RequestContext,
      row: endpoints.Row,
      ran_s: float,
  ) -> None:
    """Reports a crash if the endpoint that broke off a response has ended.

    Connections also break while the endpoint keeps running: it has too many of
    them, packets are lost, or a response is lost. The endpoint counts as
    crashed only if it refuses a new connection, also one of another router.
    """
    was_writing = self._was_writing(context)
    if not await self._paths.has_ended(row, context.request.id):
      return
    if row.state != "live" or self._statements.is_leaving(row):
      extra = {"request": context.request.id, "endpoint": row.life}
      logger.info("endpoint that leaves has ended", extra=extra)
      return
    context.endpoint_crashed, context.crashed_writing = True, was_writing
    suspects = self._table.rank_suspects(context.parts)
    team = context.team.name if context.team else ""
    logger.info(
        "endpoint ended under a request",
        extra={
            "request": context.request.id,
            "fingerprint": context.fingerprint,
            "parts": suspects.parts[:_MAX_LOGGED_PARTS],
            "unproven": suspects.unproven_count,
            "team": team,
            "route": context.route.name,
            "events": context.attempt_events,
            "try": context.attempts_sent,
            "endpoint": row.life,
            "address": row.url,
            "ran_s": round(ran_s, 3),
        },
    )
    self._verdicts.note_end(
        quarantine.CrashReport(
            context.fingerprint,
            team,
            row.life,
            ran_s,
            was_writing=was_writing,
        ),
        suspects,
    )
