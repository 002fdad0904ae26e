"""Serves requests: admits and forwards them, and relays the responses.

The error response follows from the attempts that were made: if there was none,
or each endpoint reported that it did not run the request, the request has not
run and never will. After any other attempt it may have run.
"""

from collections.abc import AsyncIterator, Iterator
import contextlib
import logging
import random

import anyio
from anyio import abc

from mustardfall import accounts as accounts_lib
from mustardfall import errors
from mustardfall import metrics
from mustardfall import settings
from mustardfall.membership import members as members_lib
from mustardfall.proxy import admission as admission_lib
from mustardfall.proxy import attempt_timers as attempt_timers_lib
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import crash_guard as crash_guard_lib
from mustardfall.proxy import draining
from mustardfall.proxy import endpoint_limiter as endpoint_limiter_lib
from mustardfall.proxy import endpoint_paths as endpoint_paths_lib
from mustardfall.proxy import endpoint_selector as endpoint_selector_lib
from mustardfall.proxy import endpoint_statements as endpoint_statements_lib
from mustardfall.proxy import engine_room
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import host_load as host_load_lib
from mustardfall.proxy import http_server
from mustardfall.proxy import messages
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.proxy import request_log as request_log_lib
from mustardfall.proxy import resumption as resumption_lib
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import placement as placement_lib
from mustardfall.routing import reach as reach_lib
from mustardfall.routing import retries
from mustardfall.routing import statements as statements_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_OK = 200
_FIRST_NON_SUCCESS = 300
"""Statuses from 300 on are not successful."""
_SERVER_ERROR = 500
_MAX_BODY_BYTES = 8_388_608
"""Largest response that is no event stream. It is read completely before it is
passed on, so that no response is begun that then breaks off."""
_UNCOUNTED_EVENT_BYTES = 4_096
"""Bytes of an incomplete event that are part of a request's own memory."""
_MAX_FAILED_CONNECTS = 4
"""Most failed connections per request. They do not count as attempts, since the
endpoints did not run anything."""
_RESPONSE_TIMEOUT_FACTOR = 1.2
"""Multiple of the route's latency objective after which another endpoint is
tried. A later response is worth less, and the route's timeout (about three
times the objective) leaves time for one more attempt."""
_FIRST_EVENT_TIMEOUT_FACTOR = 2.0
"""The same for the head of a streaming route's response. It is longer because
another endpoint has to process the prompt again, and callers wait for four
times the objective."""
_STREAM_STALL_S = 1.0
"""Time without an event after which a stream is resumed at another endpoint.
Engines pause for tens of ms; callers disconnect after two seconds or more."""
_BODY_TIMEOUT_S = 1.0
"""Least time for the body of a response after its head, before another endpoint
is tried. Endpoints send both at once."""
_MIN_RETRY_S = 0.25
"""Shortest Retry-After, before jitter, of requests that found no endpoint."""
_REPLACEMENT_RETRY_S = 1.0
"""Longest Retry-After where all endpoints leave. Those that replace them take a
second or two to start and to be listed."""
_MAX_LOGGED_ENDPOINTS = 8
_LIMITED_RETRY_FACTOR = 1.5
"""Factor on the time until a limited endpoint takes another request. With the
jitter, Retry-After is 0.75 to 1.5 times that."""
_DEADLINE_MARGIN_S = 0.03
"""Subtracted from a request's deadline for the router's own work and for
sending the response to the caller."""


class _RetryableError(Exception):
  """The attempt failed, and another may be made."""


class Forwarder:
  """Serves callers' requests.

  Args:
    config: all of the router's settings.
    clock: the time source.
    dialect: decodes and encodes the deployment's headers.
    directory: provides the configuration and the endpoints.
    accounts: provides the budgets.
    connection_pool: connections to endpoints.
    tasks: runs work that outlives a request.
    instruments: counters and histograms.
    endpoint_selector: chooses the endpoint of each attempt.
    crash_guard: refuses requests that crash endpoints.
    endpoint_limiter: issues the permits that requests to some endpoints need.
    endpoint_statements: learns what endpoints say of themselves.
    paths: connects to endpoints.
    reach: the endpoints that this router reaches directly.
    resumption: keeps streams at the version that began them.
    host_load: how busy this router's host is, for the log.
    drain: the stop of the process.
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
      endpoint_limiter: endpoint_limiter_lib.EndpointLimiter,
      endpoint_statements: endpoint_statements_lib.EndpointStatements,
      paths: endpoint_paths_lib.EndpointPaths,
      reach: reach_lib.Reach,
      resumption: resumption_lib.Resumption,
      host_load: host_load_lib.HostLoad,
      drain: draining.Drain,
  ) -> None:
    self._config = config
    self._clock = clock
    self._dialect = dialect
    self._directory = directory
    self._connection_pool = connection_pool
    self._endpoint_selector = endpoint_selector
    self._crash_guard = crash_guard
    self._endpoint_limiter = endpoint_limiter
    self._statements = endpoint_statements
    self._paths = paths
    self._reach = reach
    self._resumption = resumption
    self._drain = drain
    self._admission = admission_lib.Admission(
        config, clock, directory, accounts, tasks, instruments
    )
    members = accounts.members
    self._fleet_size = retries.FleetSize(clock, lambda: len(members.lives))
    self._request_log = request_log_lib.RequestLog(
        clock, instruments, host_load
    )
    self._attempt_timers = attempt_timers_lib.AttemptTimers(clock)
    self._random = random.Random()
    self._retry_budgets: dict[str, retries.RetryBudget] = {}
    self._contexts: set[request_context_lib.RequestContext] = set()
    """The requests that are being served."""

  async def run(self) -> None:
    """Ends waits for slow endpoints until cancelled."""
    await self._attempt_timers.run()

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: http_server.Responder,
  ) -> None:
    """Responds to one request; cancelled when its caller disconnects."""
    try:
      context = self._admission.admit(request, body, responder)
      self._refuse_if_too_late(context)
      await self._resumption.bind(context, self._admission.jittered_retry_after)
      self._retry_budget(context.service.name).deposit()
    except refusals.RefusalError as refusal:
      await self._refuse(request, responder, refusal)
      return
    self._contexts.add(context)
    try:
      self._crash_guard.refuse_quarantined(context)
      await self._serve(context)
    except refusals.RefusalError as refusal:
      await self._refuse(request, responder, refusal, context)
    except anyio.get_cancelled_exc_class():
      self._request_log.log_end(context, "caller_left", 0)
      raise
    finally:
      self._contexts.remove(context)
      self._admission.bill(context)

  def estimate_need(self, request: messages.Request) -> draining.Need:
    """Returns the time that a request takes; none if it has no route."""
    config = self._directory.configuration
    route = config and config.match(request.authority, request.path)
    if route is None:
      return draining.Need(0.0, 0.0)
    longest_s = route.timeout.total_seconds()
    if request.caller_timeout_s is not None:
      longest_s = min(longest_s, request.caller_timeout_s)
    return draining.Need(longest_s, route.objective.total_seconds())

  def _refuse_if_too_late(
      self, context: request_context_lib.RequestContext
  ) -> None:
    """Refuses a request that may not end before the router stops.

    Raises:
      refusals.RefusalError: it is refused, and not at an endpoint.
    """
    if self._is_too_late(context):
      retry_after_s = self._admission.jittered_retry_after(
          draining.RETRY_AFTER_S
      )
      raise refusals.stopping(retry_after_s, self._drain.left_s)

  def _is_too_late(self, context: request_context_lib.RequestContext) -> bool:
    need = draining.Need(
        context.deadline - self._clock.monotonic(),
        context.route.objective.total_seconds(),
    )
    head_read_at = context.responder.head_read_at
    action = self._drain.decide(draining.Stage.READ, head_read_at, need)
    return action is draining.Action.REFUSE

  def give_up(self) -> None:
    """Ends the requests that are served, with their final responses.

    Complete responses that callers are still taking are left as they are.
    """
    for context in self._contexts:
      context.expire()
    logger.info("requests given up", extra={"count": len(self._contexts)})

  def _retry_budget(self, service: str) -> retries.RetryBudget:
    budget = self._retry_budgets.get(service)
    if budget is None:
      config = self._config.proxy
      budget = retries.RetryBudget(config.retry_ratio, self._retry_burst)
      self._retry_budgets[service] = budget
    return budget

  def _retry_burst(self) -> float:
    """Returns the most retries that this router may accumulate per service."""
    return retries.burst_per_router(
        self._config.proxy.retry_burst,
        members_lib.MAX_SMALL_FLEET,
        self._fleet_size.peak(),
    )

  async def _serve(self, context: request_context_lib.RequestContext) -> None:
    remaining_s = (
        context.deadline - self._clock.monotonic() - _DEADLINE_MARGIN_S
    )
    with anyio.move_on_after(max(0.0, remaining_s)) as scope:
      context.deadline_scope = scope
      await self._admission.reserve(context)
      await self._run_attempts(context)
      if context.response is not None:
        # The endpoint is free for others while the caller takes the response.
        await self._respond(context, *context.response)
    if scope.cancelled_caught:
      if context.may_have_run:
        raise refusals.timed_out()
      raise refusals.not_sent_in_time(self._admission.jittered_retry_after(0.5))

  async def _run_attempts(
      self, context: request_context_lib.RequestContext
  ) -> None:
    while True:
      try:
        await self._crash_guard.admit(context)
        placement = await self._endpoint_selector.select(context)
        self._crash_guard.refuse_quarantined(context)
        is_too_late = context.attempts_sent and self._is_too_late(context)
        if placement is None or is_too_late:
          await self._finish_unserved(context)
          return
        self._refuse_if_too_late(context)
        await self._attempt(context, placement)
        return
      except _RetryableError as exc:
        self._request_log.log_failed_attempt(context, placement.row, str(exc))
      finally:
        self._endpoint_limiter.end(context)
        self._crash_guard.end_attempt(context)
      if not self._may_retry(context):
        await self._finish_unserved(context)
        return

  def _may_retry(self, context: request_context_lib.RequestContext) -> bool:
    if context.responder.started and not context.route.resumable:
      return False
    if context.may_have_run and not context.route.repeatable:
      return False
    if context.attempts_sent >= context.route.max_attempts:
      return False
    if context.is_cut_off or context.failed_connects >= _MAX_FAILED_CONNECTS:
      return False
    if self._crash_guard.is_blame_open(context) or self._is_too_late(context):
      return False
    if not self._endpoint_selector.has_candidate(context):
      return False
    if context.attempts_sent == 0 or context.has_retry:
      context.has_retry = False
      return True
    return self._retry_budget(context.service.name).withdraw()

  async def _finish_unserved(
      self, context: request_context_lib.RequestContext
  ) -> None:
    """Sends the final response when no further attempt may be made.

    Raises:
      refusals.RefusalError: no endpoint sent an error response to pass on.
    """
    if context.error_response is not None and not context.responder.started:
      await self._respond(context, *context.error_response)
    elif context.may_have_run:
      raise refusals.response_lost()
    elif not self._endpoint_selector.has_candidate(context) and (
        withheld := self._endpoint_selector.withheld(context)
    ):
      raise self._withheld_refusal(withheld)
    elif context.permit_retry_s is not None:
      raise refusals.endpoints_limited(
          self._admission.jittered_retry_after(
              max(_MIN_RETRY_S, context.permit_retry_s * _LIMITED_RETRY_FACTOR)
          ),
          context.permit_retry_s,
      )
    else:
      retry_after_s = self._admission.jittered_retry_after(_MIN_RETRY_S)
      facts = {
          "failed_connects": context.failed_connects,
          **self._reach.describe(context.service.name),
      }
      if context.is_cut_off:
        raise refusals.endpoints_unreached(retry_after_s, facts)
      raise refusals.no_endpoint(retry_after_s, facts)

  def _withheld_refusal(
      self, withheld: dict[str, statements_lib.Withheld]
  ) -> refusals.RefusalError:
    """Returns the refusal where all endpoints leave or rest."""
    retry_after_s = statements_lib.retry_after_s(
        withheld.values(), _REPLACEMENT_RETRY_S, self._random.random()
    )
    facts = {
        "count": len(withheld),
        "endpoints": {
            life: [reason.reason, reason.left_s]
            for life, reason in list(withheld.items())[:_MAX_LOGGED_ENDPOINTS]
        },
    }
    return refusals.endpoints_withheld(round(retry_after_s, 3), facts)

  async def _attempt(
      self,
      context: request_context_lib.RequestContext,
      placement: placement_lib.Placement,
  ) -> None:
    """Sends the request to one endpoint and relays its response.

    Raises:
      _RetryableError: the attempt failed, and the response is not complete.
      refusals.RefusalError: the request failed and must not be retried.
    """
    row = placement.row
    context.tried_endpoints.add(row.name)
    context.endpoint = row.name
    context.expected_s = placement.answer_s
    context.memory = engine_room.facts_of(placement)
    context.version = row.version
    connection = await self._connect(context, row)
    context.via = connection.via
    await self._check_statement(context, row, connection)
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
    attempt = self._endpoint_selector.start_attempt(context, placement)
    may_have_run_before, context.may_have_run = context.may_have_run, True
    context.attempts_sent += 1
    context.attempt_events, context.attempt_began_at = 0, None
    sent_at = context.attempt_sent_at = self._clock.monotonic()
    self._request_log.log_permitted_send(context, row)
    self._request_log.log_resumed_send(context, row)
    self._statements.note_sent(row, context)
    self._resumption.note_sent(context, row)
    failed = False
    context.direct_row = None if context.via else row
    if context.direct_row is not None:
      self._paths.note_sent(row)
    try:
      await self._relay(
          context, placement, exchange, may_have_run_before, attempt
      )
    except errors.InvalidResponseError as exc:
      failed = True
      row.failures += 1
      if not isinstance(exc, errors.ResponseTimeoutError):
        ran_s = self._clock.monotonic() - sent_at
        await self._crash_guard.check_for_crash(context, row, ran_s)
      raise _RetryableError(str(exc)) from exc
    except _RetryableError:
      failed = True
      raise
    finally:
      attempt.end(failed)
      if context.direct_row is not None:
        self._reach.note_ended(row)
      await exchange.close()

  async def _connect(
      self, context: request_context_lib.RequestContext, row: endpoints.Row
  ) -> connection_pool_lib.Connection:
    """Returns a connection to an endpoint for the next attempt.

    Raises:
      _RetryableError: none could be opened.
    """
    try:
      return await self._paths.acquire(
          row, context.request.id, force_new=context.attempts_sent > 0
      )
    except errors.EndpointWithheldError as exc:
      context.failed_connects += 1
      self._statements.note_withheld(row, context, exc)
      raise _RetryableError(str(exc)) from exc
    except errors.EndpointUnreachableError as exc:
      context.is_cut_off = isinstance(exc, errors.NoExitError)
      if not await self._is_confirmed_end(context, row, exc):
        context.failed_connects += 1
      row.failures += 2
      if not self._reach.is_detoured(row):
        self._endpoint_selector.record_unreachable(row)
      raise _RetryableError(str(exc)) from exc

  async def _check_statement(
      self,
      context: request_context_lib.RequestContext,
      row: endpoints.Row,
      connection: connection_pool_lib.Connection,
  ) -> None:
    """Checks that the endpoint has made no statement since it was chosen.

    The request may have waited for a permit or the connection meanwhile. A retry
    that is not sent stays available for another endpoint.

    Raises:
      _RetryableError: the request must not be sent to it now.
    """
    withheld = self._endpoint_selector.reason_against(context, row)
    if withheld is None:
      return
    self._statements.log_withheld(row, context, withheld)
    await self._connection_pool.discard(connection)
    context.has_retry = context.attempts_sent > 0
    raise _RetryableError(f"withheld: {withheld.reason}")

  async def _is_confirmed_end(
      self,
      context: request_context_lib.RequestContext,
      row: endpoints.Row,
      exc: errors.EndpointUnreachableError,
  ) -> bool:
    """Whether another router confirms that an endpoint has ended.

    It is not tried again then, so that such connections need no limit.
    """
    if not exc.is_refused or context.is_cut_off:
      return False
    await self._paths.has_ended(row, context.request.id)
    return row.has_ended(self._clock.monotonic())

  def _forwarding_info(
      self, context: request_context_lib.RequestContext, row: endpoints.Row
  ) -> messages.ForwardingInfo:
    team = context.team
    return messages.ForwardingInfo(
        endpoint=row.name,
        team=team.name if team else "",
        time_left_s=context.deadline - self._clock.monotonic(),
        priority=context.priority,
        last_event=context.sequencer.last_event_id,
    )

  async def _relay(
      self,
      context: request_context_lib.RequestContext,
      placement: placement_lib.Placement,
      exchange: exchange_lib.Exchange,
      may_have_run_before: bool,
      attempt: endpoint_selector_lib.EndpointAttempt,
  ) -> None:
    row = placement.row
    sent_at = self._clock.monotonic()
    try:
      with self._attempt_timeout(context, self._head_timeout_s(context)):
        head = await exchange.start(
            self._dialect.decode_response, context.request.id
        )
    except errors.InvalidResponseError:
      # An early failure says nothing about the endpoint's speed.
      waited_s = self._clock.monotonic() - sent_at
      if waited_s > placement.answer_s:
        attempt.record_response_time(waited_s)
      raise
    took_s = self._clock.monotonic() - sent_at
    attempt.record_response_time(
        took_s,
        head.load.moment if head.load is not None else None,
        has_run=not (head.not_run or head.misdirected),
    )
    attempt.end_prefill()
    self._note_heard(context)
    self._statements.note_answer(row, context, sent_at, head)
    if head.load is not None:
      row.running = head.load.running
      row.waiting = head.load.waiting
      row.slots = head.load.slots
      row.stated_load = head.load.running + head.load.waiting
      row.load_stated_at = self._clock.monotonic()
    if head.not_run or head.misdirected:
      context.may_have_run = may_have_run_before
      if head.misdirected:
        self._directory.drop(row.name)
      else:
        row.failures += 1
      await exchange.drain()
      raise _RetryableError(f"not run: {head.status}")
    if head.status < _SERVER_ERROR:
      attempt.note_run(took_s)
    if head.has_content_encoding or not head.signed or not head.request_id:
      raise errors.InvalidResponseError("not the endpoint's own answer")
    if head.is_event_stream and head.status == _OK:
      await self._relay_events(context, row, exchange, head)
    else:
      await self._relay_body(context, row, exchange, head)

  async def _relay_body(
      self,
      context: request_context_lib.RequestContext,
      row: endpoints.Row,
      exchange: exchange_lib.Exchange,
      head: messages.ResponseHead,
  ) -> None:
    limit_s = max(_BODY_TIMEOUT_S, self._head_timeout_s(context))
    with self._attempt_timeout(context, limit_s):
      body = await exchange.read_body(_MAX_BODY_BYTES, context.responder)
    await self._crash_guard.record_success(context, row, exchange)
    if head.status >= _SERVER_ERROR:
      row.failures += 1
      context.error_response = (head, body)
      raise _RetryableError(f"status {head.status}")
    if context.responder.started:
      raise errors.InvalidResponseError(
          f"status {head.status} instead of the rest of the stream"
      )
    context.response = (head, body)

  async def _respond(
      self,
      context: request_context_lib.RequestContext,
      head: messages.ResponseHead,
      body: bytes,
  ) -> None:
    context.first_output_at = self._clock.monotonic()
    context.body_delivered = head.status < _FIRST_NON_SUCCESS
    context.end_deadline()
    await context.responder.respond(head.status, list(head.headers), body)
    self._request_log.log_end(context, "answered", head.status)

  async def _relay_events(
      self,
      context: request_context_lib.RequestContext,
      row: endpoints.Row,
      exchange: exchange_lib.Exchange,
      head: messages.ResponseHead,
  ) -> None:
    parser = streams.EventParser()
    held = _UNCOUNTED_EVENT_BYTES
    context.progress_at = self._clock.monotonic()
    try:
      async for data in self._stream_chunks(context, exchange):
        events = parser.feed(data)
        held = self._hold_event(context, parser, held)
        if events and not context.attempt_events:
          context.attempt_began_at = self._clock.monotonic()
        context.attempt_events += len(events)
        accepted = [e for e in events if context.sequencer.accept(e)]
        if accepted:
          await self._resumption.begin(context)
          context.note_events()
          raw = b"".join(event.raw for event in accepted)
          await self._write(context, head, raw)
        if not all(event.is_comment for event in accepted):
          # Only now: the caller may have read slowly.
          context.progress_at = self._clock.monotonic()
    except ValueError as exc:
      raise errors.InvalidResponseError(str(exc)) from exc
    if parser.incomplete:
      raise errors.InvalidResponseError("stream ended within an event")
    if exchange.ends_with_connection and not context.attempt_events:
      raise errors.InvalidResponseError("stream ended before an event")
    await self._crash_guard.record_success(context, row, exchange)
    await self._write(context, head, b"")
    await context.responder.end()
    self._request_log.log_end(context, "answered", head.status)

  def _hold_event(
      self,
      context: request_context_lib.RequestContext,
      parser: streams.EventParser,
      held: int,
  ) -> int:
    """Allocates an incomplete event; returns the bytes allocated so far.

    Raises:
      errors.InvalidResponseError: there is no memory for it.
    """
    size = parser.held_bytes
    if size <= held:
      return held
    if not context.responder.hold_encoded(size - held):
      raise errors.InvalidResponseError(
          f"no memory for an event after {size} bytes"
      )
    return size

  async def _stream_chunks(
      self,
      context: request_context_lib.RequestContext,
      exchange: exchange_lib.Exchange,
  ) -> AsyncIterator[bytes]:
    """Yields the bytes of a stream; raises if it brings no events for a while."""
    chunks = aiter(exchange.body())
    while True:
      due_at = context.progress_at + _STREAM_STALL_S
      left_s = max(0.0, due_at - self._clock.monotonic())
      with self._attempt_timeout(context, left_s):
        data = await anext(chunks, None)
      if data is None:
        return
      self._note_heard(context)
      yield data

  def _note_heard(self, context: request_context_lib.RequestContext) -> None:
    if context.direct_row is not None:
      self._reach.note_heard(context.direct_row)

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
    """Limits a wait for an endpoint if another attempt may follow.

    Otherwise the wait lasts until the request's deadline: a slow endpoint alone
    is no reason to fail the request.
    """
    if (
        not context.route.repeatable
        or context.attempts_sent >= context.route.max_attempts
    ):
      yield
      return
    with self._attempt_timers.limit(
        limit_s, lambda: self._claim_retry(context)
    ) as scope:
      yield
    if scope.cancelled_caught:
      raise errors.ResponseTimeoutError(f"silent for {limit_s:.2f} s")

  def _claim_retry(self, context: request_context_lib.RequestContext) -> bool:
    """Withdraws a retry for a request whose endpoint is slow, if one is left.

    Returns:
      Whether the request may be sent to another endpoint.
    """
    if not self._endpoint_selector.has_alternative(context):
      return False
    context.has_retry = self._retry_budget(context.service.name).withdraw()
    return context.has_retry

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
      # The caller's connection is then closed early, so that the response does
      # not look complete.
      return
    headers = self._dialect.encode_refusal(request.id, refusal.retry_after_s)
    body = refusal.reason.encode()
    await responder.respond(refusal.status, headers, body)
