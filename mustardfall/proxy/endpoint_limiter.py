"""Limits this router's requests to endpoints that bear only a low rate."""

import anyio

from mustardfall.membership import gossip as gossip_lib
from mustardfall.membership import permits as permits_lib
from mustardfall.proxy import messages
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import endpoints
from mustardfall.routing import issuing
from mustardfall.routing import limited_endpoints
from mustardfall.routing import rate_limits as rate_limits_lib
from mustardfall.util import clock as clock_lib

_WAIT_SHARE = 0.5
"""Part of a request's latency objective that it may wait for a permit. Under
overload all waits reach this, so more of it would make all answers late."""


class EndpointLimiter:
  """Decides when this router may send a request to a limited endpoint.

  Args:
    rate_limits: the limits that endpoints have named.
    gossip: sends changes of these limits to the other routers.
    brittle: the kinds of endpoints that say that they are brittle.
    brittle_gossip: sends changes of these to the other routers.
    limits: all limited endpoints.
    permits: issues permits, or asks other routers for them.
    clock: the time source.
  """

  def __init__(
      self,
      rate_limits: rate_limits_lib.Table,
      gossip: gossip_lib.Gossip,
      brittle: rate_limits_lib.Table,
      brittle_gossip: gossip_lib.Gossip,
      limits: limited_endpoints.LimitedEndpoints,
      permits: permits_lib.Permits,
      clock: clock_lib.Clock,
  ) -> None:
    self._rate_limits = rate_limits
    self._gossip = gossip
    self._brittle = brittle
    self._brittle_gossip = brittle_gossip
    self._limits = limits
    self._permits = permits
    self._clock = clock
    self._refused_until: dict[str, float] = {}
    """Until when no permit for an endpoint's life is to be expected."""

  def note_answer(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      sent_at: float,
      head: messages.ResponseHead,
  ) -> None:
    """Records what limit an endpoint named, or that it names none any more.

    Only the endpoint's own answers show that it names none: a refusal may be
    another server's, or may have been sent before the endpoint knew its limit.
    """
    if head.misdirected:
      return
    self._note_brittle(row, context.request.id, sent_at, head)
    if head.rate_limit is None and not head.signed:
      return
    is_news = self._rate_limits.note_answer(
        row.life, context.request.id, sent_at, head.rate_limit
    )
    if is_news:
      self._gossip.publish(row.life)

  def _note_brittle(
      self,
      row: endpoints.Row,
      request: str,
      sent_at: float,
      head: messages.ResponseHead,
  ) -> None:
    if head.brittle is None and not head.signed:
      return
    if self._brittle.note_answer(row.kind, request, sent_at, head.brittle):
      self._brittle_gossip.publish(row.kind)

  def end(self, context: request_context_lib.RequestContext) -> None:
    """Ends the use of a request's permit."""
    use, context.permit_use = context.permit_use, None
    if use is not None and use.permit.lease:
      self._permits.end(use.endpoint, use.permit)

  def is_limited(self, row: endpoints.Row) -> bool:
    """Whether requests to an endpoint need permits."""
    return self._limits.find(row) is not None

  def filter_permitted(
      self, rows: list[endpoints.Row], max_wait_s: float = 0.0
  ) -> list[endpoints.Row]:
    """Returns the endpoints that may take a request within `max_wait_s`."""
    return [row for row in rows if self._wait_s(row) <= max_wait_s]

  def _wait_s(self, row: endpoints.Row) -> float:
    """Returns the seconds until a permit for an endpoint may be had."""
    until = self._refused_until.get(row.life)
    if until is None or self._limits.find(row) is None:
      return 0.0
    return max(0.0, until - self._clock.monotonic())

  async def acquire(
      self,
      row: endpoints.Row,
      context: request_context_lib.RequestContext,
      max_wait_s: float = 0.0,
  ) -> bool:
    """Takes a permit to send a request to an endpoint, and waits for its time.

    Args:
      row: the endpoint.
      context: the request; its permit is recorded there.
      max_wait_s: the longest wait.

    Returns:
      Whether the request may be sent now.
    """
    context.permit_use = None
    limit = self._limits.find(row)
    if limit is None:
      return True
    if self._wait_s(row) > max_wait_s:
      return False
    permit = await self._permits.acquire(limit, max_wait_s)
    if permit.wait_s is None:
      until = self._clock.monotonic() + permit.retry_s
      self._refused_until[row.life] = until
      return False
    self._refused_until.pop(row.life, None)
    if permit.wait_s:
      await anyio.sleep(permit.wait_s)
    context.permit_use = self._describe(limit, permit)
    return True

  def _describe(
      self, limit: limited_endpoints.LimitedEndpoint, permit: permits_lib.Permit
  ) -> request_context_lib.PermitUse:
    named = self._rate_limits.find(limit.endpoint)
    if limit.slots:
      row = self._limits.find_row(limit.endpoint)
      named = self._brittle.find(row.kind) if row is not None else named
    if named is None:
      return request_context_lib.PermitUse(limit, permit, None, None)
    now = self._clock.monotonic()
    return request_context_lib.PermitUse(
        limit, permit, now - named.since, now - named.named_at
    )

  async def wait_for_any(
      self,
      rows: list[endpoints.Row],
      context: request_context_lib.RequestContext,
  ) -> endpoints.Row | None:
    """Waits for the endpoint that will take another request first.

    Args:
      rows: endpoints that are all limited and have no permit now.
      context: the request; if there is none in time, the time until there may
        be one is recorded there.

    Returns:
      The endpoint to send the request to; None if the wait would be too long.
    """
    max_wait_s = max_wait_of(context)
    row = min(rows, key=self._wait_s, default=None)
    if row is None:
      return None
    if await self.acquire(row, context, max_wait_s):
      return row
    context.permit_retry_s = min(self._wait_s(row) for row in rows)
    return None

  def prune(self) -> None:
    """Forgets ended limits, and refusals after which permits may be had."""
    self._rate_limits.prune()
    self._brittle.prune()
    now = self._clock.monotonic()
    for life, until in list(self._refused_until.items()):
      if until <= now:
        del self._refused_until[life]


def max_wait_of(context: request_context_lib.RequestContext) -> float:
  """Returns the longest time that a request may wait for a permit, seconds."""
  objective_s = context.route.objective.total_seconds()
  return min(objective_s * _WAIT_SHARE, issuing.MAX_PROMISE_S)
