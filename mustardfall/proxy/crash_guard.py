"""Detects requests that crash endpoints, and refuses them while quarantined."""

import logging

from mustardfall import errors
from mustardfall.membership import verdicts as verdicts_lib
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import endpoints
from mustardfall.routing import quarantine
from mustardfall.util import sockets

logger = logging.getLogger(__name__)

_CONNECT_S = 0.1
"""Timeout of the connection that probes an endpoint whose response broke off. A
port on which nothing listens refuses a connection within a few ms."""


class CrashGuard:
  """Detects crashes of endpoints and refuses requests that are quarantined.

  Args:
    table: the quarantined requests.
    verdicts: reports crashes and successes to the other routers.
    connection_pool: connections to endpoints.
  """

  def __init__(
      self,
      table: quarantine.Table,
      verdicts: verdicts_lib.Verdicts,
      connection_pool: connection_pool_lib.ConnectionPool,
  ) -> None:
    self._table = table
    self._verdicts = verdicts
    self._connection_pool = connection_pool

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
    crashed only if it refuses a new connection.
    """
    try:
      connection = await self._connection_pool.acquire(
          row.url, _CONNECT_S, force_new=True
      )
    except errors.EndpointUnreachableError as exc:
      if not sockets.is_refused(exc):
        return
    else:
      await self._connection_pool.release(connection, None)
      return
    team = context.team.name if context.team else ""
    logger.info(
        "endpoint ended under a request",
        extra={
            "request": context.request.id,
            "fingerprint": context.fingerprint,
            "endpoint": row.life,
            "address": row.url,
            "ran_s": round(ran_s, 3),
        },
    )
    self._verdicts.note_end(
        quarantine.CrashReport(context.fingerprint, team, row.life, ran_s)
    )
