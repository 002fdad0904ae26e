"""Serves one caller's request: admits, bills, sends it on and relays.

What may be told to a caller follows from what is known of its sends:
before the first, or when each was refused by its endpoint, the request
has not run and never will; after any other it may have run.
"""

from collections.abc import AsyncIterator, Iterator
import contextlib
import math

import anyio
from anyio import abc

from mustardfall import accounts as accounts_lib
from mustardfall import errors
from mustardfall import metrics
from mustardfall import settings
from mustardfall.membership import members as members_lib
from mustardfall.proxy import admission as admission_lib
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import crash_guard as crash_guard_lib
from mustardfall.proxy import endpoint_selector as endpoint_selector_lib
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import http_server
from mustardfall.proxy import messages
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.proxy import request_log as request_log_lib
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import placement
from mustardfall.routing import retries
from mustardfall.util import clock as clock_lib

_OK = 200
_FIRST_NON_SUCCESS = 300
"""Statuses from here on are no success."""
_SERVER_ERROR = 500
_MAX_BODY_BYTES = 8_388_608
"""Answers that are not streams are read whole before they are passed on,
so that a broken one is never begun; longer ones are refused."""
_CONNECT_S = 0.3
"""A connection within a region takes 2 ms; one that meets a full queue is
tried again by the kernel after a second, which is too late."""
_MAX_FAILED_CONNECTS = 4
"""Endpoints tried when connections fail: none of these ran anything."""
_RESPONSE_TIMEOUT_FACTOR = 1.2
"""Times its objective that an answer may take before another endpoint is
tried: what comes later is worth less, and the route's timeout (some three
objectives) leaves time for one more."""
_FIRST_EVENT_TIMEOUT_FACTOR = 2.0
"""The same for a stream's first event. Longer: the prompt would be read
again, and callers stay for four objectives."""
_STREAM_STALL_S = 1.0
"""A pause in a stream after which it is resumed elsewhere. Engines pause
for tens of ms, callers leave after two seconds or more."""
_DEADLINE_MARGIN_S = 0.03
"""Kept of a request's time for the way back and the router's own work."""


class _RetryableError(Exception):  # noqa: N818  a step of the loop, not a failure
  """The try failed and another may be made."""


class Forwarder:
  """Serves callers' requests.

  Args:
    config: the router's settings, whole.
    clock: the time source.
    dialect: knows the deployment's headers.
    directory: the configuration and the endpoints.
    accounts: the budgets.
    links: connections to endpoints.
    tasks: where work that outlives a request runs.
    instruments: counters and histograms.
    placer: chooses endpoints.
    guard: keeps requests that end endpoints from them.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      dialect: messages.Dialect,
      directory: directory_lib.Directory,
      accounts: accounts_lib.Accounts,
      connection_pool: connection_pool_lib.ConnectionPool,
      tasks: abc.TaskGroup,
      instruments: metrics.Instruments,
      endpoint_selector: endpoint_selector_lib.EndpointSelector,
      crash_guard: crash_guard_lib.CrashGuard,
  ) -> None:
    self._config = config
    self._clock = clock
    self._dialect = dialect
    self._directory = directory
    self._connection_pool = connection_pool
    self._endpoint_selector = endpoint_selector
    self._crash_guard = crash_guard
    self._admission = admission_lib.Admission(
        config, clock, directory, accounts, tasks, instruments
    )
    members = accounts.members
    self._fleet = retries.FleetSize(clock, lambda: len(members.lives))
    self._request_log = request_log_lib.RequestLog(clock, instruments)
    self._retries: dict[str, retries.RetryBudget] = {}

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: http_server.Responder,
  ) -> None:
    """Answers one request; cancelled when its caller leaves."""
    try:
      context = self._admission.admit(request, body, responder)
      self._retry_budget(context.service.name).deposit()
    except refusals.RefusalError as refusal:
      await self._refuse(request, responder, refusal)
      return
    try:
      self._crash_guard.refuse_quarantined(context)
      await self._serve(context)
    except refusals.RefusalError as refusal:
      await self._refuse(request, responder, refusal, context)
    except anyio.get_cancelled_exc_class():
      self._request_log.log_end(context, "caller_left", 0)
      raise
    finally:
      self._admission.bill(context)

  def _retry_budget(self, service: str) -> retries.RetryBudget:
    budget = self._retries.get(service)
    if budget is None:
      config = self._config.proxy
      budget = retries.RetryBudget(config.retry_ratio, self._retry_burst)
      self._retries[service] = budget
    return budget

  def _retry_burst(self) -> float:
    """Returns the second sends that this router may save up for a service."""
    return retries.part_of_burst(
        self._config.proxy.retry_burst,
        members_lib.CLOSE_FLEET,
        self._fleet.most(),
    )

  # Serving.

  async def _serve(self, context: request_context_lib.RequestContext) -> None:
    remaining_s = (
        context.deadline - self._clock.monotonic() - _DEADLINE_MARGIN_S
    )
    with anyio.move_on_after(max(0.0, remaining_s)) as scope:
      await self._admission.reserve(context)
      await self._run_attempts(context)
    if scope.cancelled_caught:
      if context.may_have_run:
        raise refusals.timed_out()
      raise refusals.not_sent_in_time(self._admission.jittered_retry_after(0.5))

  async def _run_attempts(
      self, context: request_context_lib.RequestContext
  ) -> None:
    while True:
      place = await self._endpoint_selector.select(context)
      self._crash_guard.refuse_quarantined(context)
      if place is None:
        await self._finish_unserved(context)
        return
      try:
        await self._attempt(context, place)
        return
      except _RetryableError as exc:
        self._request_log.log_failed_attempt(context, place.row, str(exc))
      if not self._may_retry(context):
        await self._finish_unserved(context)
        return

  def _may_retry(self, context: request_context_lib.RequestContext) -> bool:
    if context.responder.started and not context.route.resumable:
      return False
    if context.may_have_run and not context.route.repeatable:
      return False
    if context.sends >= context.route.max_attempts:
      return False
    if context.failed_connects >= _MAX_FAILED_CONNECTS:
      return False
    return (
        context.sends == 0
        or self._retry_budget(context.service.name).withdraw()
    )

  async def _finish_unserved(
      self, context: request_context_lib.RequestContext
  ) -> None:
    """Gives the final answer when no further try may be made."""
    if context.error_response is not None and not context.responder.started:
      await self._respond(context, *context.error_response)
    elif context.may_have_run:
      raise refusals.response_lost()
    else:
      raise refusals.no_endpoint(self._admission.jittered_retry_after(0.25))

  async def _attempt(
      self, context: request_context_lib.RequestContext, place: placement.Place
  ) -> None:
    """Sends the request to one endpoint and relays its answer.

    Raises:
      _Again: it failed, and the caller has not been answered.
      refusals.RefusalError: it failed for good.
    """
    row = place.row
    context.tried_endpoints.add(row.name)
    context.endpoint = row.name
    try:
      connection = await self._connection_pool.acquire(
          row.url, _CONNECT_S, force_new=context.sends > 0
      )
    except errors.EndpointUnreachableError as exc:
      context.failed_connects += 1
      row.failures += 2
      self._endpoint_selector.record_unreachable(row)
      raise _RetryableError(str(exc)) from exc
    exchange = exchange_lib.Exchange(
        self._connection_pool,
        connection,
        context.request.method,
        context.request.target,
        self._dialect.encode_request(
            context.request, self._forwarding_info(context, row)
        ),
        context.body,
    )
    attempt = self._endpoint_selector.start_attempt(context, place)
    may_have_run_before, context.may_have_run = context.may_have_run, True
    context.sends += 1
    sent_at = self._clock.monotonic()
    failed = False
    try:
      await self._relay(context, place, exchange, may_have_run_before, attempt)
    except errors.BrokenAnswerError as exc:
      failed = True
      row.failures += 1
      if not isinstance(exc, errors.SilentEndpointError):
        ran_s = self._clock.monotonic() - sent_at
        await self._crash_guard.check_for_crash(context, row, ran_s)
      raise _RetryableError(str(exc)) from exc
    except _RetryableError:
      failed = True
      raise
    finally:
      attempt.end(failed)
      await exchange.close()

  def _forwarding_info(
      self, context: request_context_lib.RequestContext, row: endpoints.Row
  ) -> messages.ForwardingInfo:
    team = context.team
    priority = context.route.priority
    if team is not None and team.priority is not None:
      priority = team.priority
    return messages.ForwardingInfo(
        endpoint=row.name,
        team=team.name if team else "",
        time_left_s=context.deadline - self._clock.monotonic(),
        priority=priority,
        last_event=context.sequencer.last_event_id,
    )

  async def _relay(
      self,
      context: request_context_lib.RequestContext,
      place: placement.Place,
      exchange: exchange_lib.Exchange,
      may_have_run_before: bool,
      attempt: endpoint_selector_lib.EndpointAttempt,
  ) -> None:
    row = place.row
    sent_at = self._clock.monotonic()
    try:
      with self._attempt_timeout(context, self._head_timeout_s(context)):
        head = await exchange.start(
            self._dialect.decode_response, context.request.id
        )
    except errors.BrokenAnswerError:
      # It may have failed at once, which says nothing of its speed.
      waited_s = self._clock.monotonic() - sent_at
      if waited_s > place.answer_s:
        attempt.record_response_time(waited_s)
      raise
    attempt.record_response_time(self._clock.monotonic() - sent_at)
    attempt.end_prefill()
    if head.load is not None:
      row.running = head.load.running
      row.waiting = head.load.waiting
    if head.not_run or head.misdirected:
      context.may_have_run = may_have_run_before
      if head.misdirected:
        self._directory.drop(row.name)
      else:
        row.failures += 1
      await exchange.read_body(_MAX_BODY_BYTES)
      raise _RetryableError(f"not run: {head.status}")
    if head.has_content_encoding or not head.signed or not head.request_id:
      raise errors.BrokenAnswerError("not the endpoint's own answer")
    if head.is_event_stream and head.status == _OK:
      await self._relay_events(context, exchange, head)
    else:
      await self._relay_body(context, row, exchange, head)

  async def _relay_body(
      self,
      context: request_context_lib.RequestContext,
      row: endpoints.Row,
      exchange: exchange_lib.Exchange,
      head: messages.ResponseHead,
  ) -> None:
    body = await exchange.read_body(_MAX_BODY_BYTES, context.responder)
    self._crash_guard.record_success(context)
    if head.status >= _SERVER_ERROR:
      row.failures += 1
      context.error_response = (head, body)
      raise _RetryableError(f"status {head.status}")
    if context.responder.started:
      raise errors.BrokenAnswerError(f"status {head.status} for the rest")
    await self._respond(context, head, body)

  async def _respond(
      self,
      context: request_context_lib.RequestContext,
      head: messages.ResponseHead,
      body: bytes,
  ) -> None:
    context.first_output_at = self._clock.monotonic()
    context.delivered_whole = head.status < _FIRST_NON_SUCCESS
    await context.responder.respond(head.status, list(head.headers), body)
    self._request_log.log_end(context, "answered", head.status)

  async def _relay_events(
      self,
      context: request_context_lib.RequestContext,
      exchange: exchange_lib.Exchange,
      head: messages.ResponseHead,
  ) -> None:
    parser = streams.EventParser()
    try:
      async for data in self._stream_chunks(context, exchange):
        events = parser.feed(data)
        accepted = [e.raw for e in events if context.sequencer.accept(e)]
        if accepted:
          await self._write(context, head, b"".join(accepted))
    except ValueError as exc:
      raise errors.BrokenAnswerError(str(exc)) from exc
    if parser.incomplete:
      raise errors.BrokenAnswerError("ended within an event")
    self._crash_guard.record_success(context)
    await self._write(context, head, b"")
    await context.responder.end()
    self._request_log.log_end(context, "answered", head.status)

  async def _stream_chunks(
      self,
      context: request_context_lib.RequestContext,
      exchange: exchange_lib.Exchange,
  ) -> AsyncIterator[bytes]:
    """Yields a stream's bytes; a stream that stalls is broken."""
    chunks = aiter(exchange.body())
    while True:
      with self._attempt_timeout(context, _STREAM_STALL_S):
        data = await anext(chunks, None)
      if data is None:
        return
      yield data

  def _head_timeout_s(
      self, context: request_context_lib.RequestContext
  ) -> float:
    objective_s = context.route.objective.total_seconds()
    if context.route.kind is configuration.Kind.STREAM:
      return objective_s * _FIRST_EVENT_TIMEOUT_FACTOR
    return objective_s * _RESPONSE_TIMEOUT_FACTOR

  @contextlib.contextmanager
  def _attempt_timeout(
      self, context: request_context_lib.RequestContext, limit_s: float
  ) -> Iterator[None]:
    """Ends a wait on an endpoint when another may be tried instead.

    Without another try the wait goes on to the deadline: silence alone is
    no reason to fail a request.
    """
    another = (
        context.route.repeatable and context.sends < context.route.max_attempts
    )
    with anyio.move_on_after(limit_s if another else math.inf) as scope:
      yield
    if scope.cancelled_caught:
      raise errors.SilentEndpointError(f"silent for {limit_s:.2f} s")

  async def _write(
      self,
      context: request_context_lib.RequestContext,
      head: messages.ResponseHead,
      data: bytes,
  ) -> None:
    if not context.responder.started:
      context.first_output_at = self._clock.monotonic()
      await context.responder.start(head.status, list(head.headers))
    if data:
      await context.responder.write(data)

  async def _refuse(
      self,
      request: messages.Request,
      responder: http_server.Responder,
      refusal: refusals.RefusalError,
      context: request_context_lib.RequestContext | None = None,
  ) -> None:
    self._request_log.log_refusal(request, refusal, context)
    if responder.started:
      return  # cut off: what was passed on must not look complete
    headers = self._dialect.encode_refusal(request.id, refusal.retry_after_s)
    body = refusal.reason.encode()
    await responder.respond(refusal.status, headers, body)
