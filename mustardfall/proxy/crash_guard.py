"""Detects requests that crash endpoints, and refuses them while quarantined."""

import logging

from mustardfall.membership import verdicts as verdicts_lib
from mustardfall.proxy import endpoint_paths as endpoint_paths_lib
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import endpoints
from mustardfall.routing import quarantine

logger = logging.getLogger(__name__)

_MAX_LOGGED_PARTS = 8
"""Parts of a prompt that are named in a log line."""


class CrashGuard:
  """Detects crashes of endpoints and refuses requests that are quarantined.

  Args:
    table: the quarantined requests.
    verdicts: reports crashes and successes to the other routers.
    paths: connects to endpoints.
  """

  def __init__(
      self,
      table: quarantine.Table,
      verdicts: verdicts_lib.Verdicts,
      paths: endpoint_paths_lib.EndpointPaths,
  ) -> None:
    self._table = table
    self._verdicts = verdicts
    self._paths = paths

  def refuse_quarantined(
      self, context: request_context_lib.RequestContext
  ) -> None:
    """Refuses a quarantined request.

    Raises:
      refusals.RefusalError: the request must not be sent to any endpoint now.
    """
    left_s = self._table.remaining_s(context.fingerprint)
    if not left_s:
      return
    if context.may_have_run:
      raise refusals.response_lost()
    raise refusals.quarantined(left_s)

  def record_success(self, context: request_context_lib.RequestContext) -> None:
    """Records that an endpoint completed a request."""
    self._verdicts.note_success(context.fingerprint)

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
    if not await self._paths.has_ended(row, context.request.id):
      return
    team = context.team.name if context.team else ""
    logger.info(
        "endpoint ended under a request",
        extra={
            "request": context.request.id,
            "fingerprint": context.fingerprint,
            "parts": [
                quarantine.part_key(team, part.id)
                for part in context.request.parts[:-1][:_MAX_LOGGED_PARTS]
            ],
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
        quarantine.CrashReport(context.fingerprint, team, row.life, ran_s)
    )
