"""Reads what endpoints say of themselves in answers."""

import logging

from mustardfall import errors
from mustardfall import metrics
from mustardfall.membership import gossip as gossip_lib
from mustardfall.membership import members as members_lib
from mustardfall.proxy import endpoint_limiter as endpoint_limiter_lib
from mustardfall.proxy import messages
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.proxy import tunnel_server as tunnel_server_lib
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
    members: the routers that are up.
    tunnel_server: the tunnels of other routers to endpoints.
    instruments: exports counters.
  """

  def __init__(
      self,
      table: statements_lib.Table,
      gossip: gossip_lib.Gossip,
      limiter: endpoint_limiter_lib.EndpointLimiter,
      directory: directory_lib.Directory,
      members: members_lib.Members,
      tunnel_server: tunnel_server_lib.TunnelServer,
      instruments: metrics.Instruments,
  ) -> None:
    self._table = table
    self._gossip = gossip
    self._limiter = limiter
    self._directory = directory
    self._members = members
    self._tunnel_server = tunnel_server
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
        self._note_leaving(speaker, context, head)
    if head.rest is not None:
      self._note_rest(row, context, head)
    elif not head.not_run and not head.misdirected:
      self._table.note_accepted(row, sent_at)

  def _note_leaving(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      head: messages.ResponseHead,
  ) -> None:
    is_news = self._table.note_leaving(
        row, context.request.id, head.status, self._directory.list_age_s
    )
    if is_news:
      self._gossip.publish(row.life)
      self._tunnel_server.stop_reuse(row.url)

  def _note_rest(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      head: messages.ResponseHead,
  ) -> None:
    """Records a rest, also at the router through which the request was sent.

    The endpoint knows only that one.
    """
    is_longer = self._table.note_rest(
        row, context.request.id, head.status, head.rest
    )
    if not is_longer:
      return
    self._tunnel_server.stop_reuse(row.url)
    exit_router = self._members.find(context.via) if context.via else None
    if exit_router is not None:
      self._gossip.send_fact(self._table.rest_fact(row), exit_router)

  def note_withheld(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      exc: errors.EndpointWithheldError,
  ) -> None:
    """Records that another router sends nothing to an endpoint, and why."""
    self._table.note_told(row, exc.is_leaving, exc.rest_s)
    extra = {"request": context.request.id, "endpoint": row.life}
    logger.info("tunnel withheld", extra={**extra, "why": str(exc)})

  def note_sent(
      self, row: endpoints.Row, context: request_context_lib.RequestContext
  ) -> None:
    """Records that a request is sent to an endpoint."""
    if self._table.find(row) is None:
      return
    self._table.note_sent(row)
    self._log("request sent to an endpoint that leaves or rested", row, context)

  def log_withheld(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      withheld: statements_lib.Withheld,
  ) -> None:
    """Records that a request is not sent to the endpoint chosen for it."""
    self._table.counts[f"withheld {withheld.reason}"] += 1
    self._log("request withheld from endpoint", row, context, withheld.reason)

  def _log(
      self,
      message: str,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      why: str = "",
  ) -> None:
    logger.info(
        message,
        extra={
            "request": context.request.id,
            "endpoint": row.life,
            "address": row.url,
            "try": context.attempts_sent,
            "last_event": context.sequencer.last_event_id,
            "via": context.via,
            "why": why,
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
