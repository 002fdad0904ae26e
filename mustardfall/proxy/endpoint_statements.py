"""Reads what endpoints say of themselves in answers."""

import logging

from mustardfall import metrics
from mustardfall.membership import gossip as gossip_lib
from mustardfall.proxy import endpoint_limiter as endpoint_limiter_lib
from mustardfall.proxy import messages
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import statements as statements_lib

logger = logging.getLogger(__name__)


class EndpointStatements:
  """Passes what an answer says of its endpoint to the tables that keep it.

  Args:
    table: whether endpoints leave or want rest.
    gossip: sends changes of the table to the other routers.
    limiter: the rates that endpoints bear.
    directory: the list of endpoints.
    instruments: exports counters.
  """

  def __init__(
      self,
      table: statements_lib.Table,
      gossip: gossip_lib.Gossip,
      limiter: endpoint_limiter_lib.EndpointLimiter,
      directory: directory_lib.Directory,
      instruments: metrics.Instruments,
  ) -> None:
    self._table = table
    self._gossip = gossip
    self._limiter = limiter
    self._directory = directory
    instruments.observe_totals(
        "mustardfall.statements",
        "",
        "what endpoints said of themselves, and requests withheld for it",
        table.counts,
    )

  def note_answer(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      sent_at: float,
      head: messages.ResponseHead,
  ) -> None:
    """Records what the head of an answer says of the endpoint.

    Args:
      row: the endpoint.
      context: the request.
      sent_at: when the request was sent, monotonic seconds.
      head: the head of its answer.
    """
    self._limiter.note_answer(row, context, sent_at, head)
    if head.leaving:
      for speaker in self._speakers(row, head):
        self._table.note_leaving(
            speaker,
            context.request.id,
            head.status,
            self._directory.list_age_s,
        )
    if head.rest is not None:
      self._table.note_rest(row, context.request.id, head.status, head.rest)

  def note_sent(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      via: str,
  ) -> None:
    """Records that a request is sent to an endpoint.

    Args:
      row: the endpoint.
      context: the request.
      via: the router through which it is sent; empty if directly.
    """
    if self._table.find(row) is None:
      return
    self._table.note_sent(row)
    logger.info(
        "request sent to an endpoint that leaves or rested",
        extra={
            "request": context.request.id,
            "endpoint": row.life,
            "address": row.url,
            "try": context.attempts_sent,
            "last_event": context.sequencer.last_event_id,
            "via": via,
            **self._table.describe(row),
        },
    )

  def _speakers(
      self, row: endpoints.Row, head: messages.ResponseHead
  ) -> list[endpoints.Row]:
    """Returns the endpoints of which an answer speaks.

    A server that says that it is not the intended one speaks of the endpoint
    that is listed at its address.
    """
    if not head.misdirected:
      return [row]
    rows = self._directory.endpoints.rows.values()
    others = [other for other in rows if other.url == row.url]
    return [row, *(other for other in others if other.name != row.name)]
