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
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import front
from mustardfall.proxy import guard as guard_lib
from mustardfall.proxy import job as job_lib
from mustardfall.proxy import links as links_lib
from mustardfall.proxy import messages
from mustardfall.proxy import placer as placer_lib
from mustardfall.proxy import records as records_lib
from mustardfall.proxy import refusals
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import placement
from mustardfall.routing import retries
from mustardfall.util import clock as clock_lib

_OK = 200
_FAILURES = 300
"""Statuses from here on are no success."""
_SERVER_ERROR = 500
_MOST_BODY_BYTES = 8_388_608
"""Answers that are not streams are read whole before they are passed on,
so that a broken one is never begun; longer ones are refused."""
_CONNECT_S = 0.3
"""A connection within a region takes 2 ms; one that meets a full queue is
tried again by the kernel after a second, which is too late."""
_MOST_CONNECTS = 4
"""Endpoints tried when connections fail: none of these ran anything."""
_LATE_ANSWER = 1.2
"""Times its objective that an answer may take before another endpoint is
tried: what comes later is worth less, and the route's timeout (some three
objectives) leaves time for one more."""
_LATE_STREAM = 2.0
"""The same for a stream's first event. Longer: the prompt would be read
again, and callers stay for four objectives."""
_STALL_S = 1.0
"""A pause in a stream after which it is resumed elsewhere. Engines pause
for tens of ms, callers leave after two seconds or more."""
_MARGIN_S = 0.03
"""Kept of a request's time for the way back and the router's own work."""


class _Again(Exception):  # noqa: N818  a step of the loop, not a failure
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
      links: links_lib.Links,
      tasks: abc.TaskGroup,
      instruments: metrics.Instruments,
      placer: placer_lib.Placer,
      guard: guard_lib.Guard,
  ) -> None:
    self._config = config
    self._clock = clock
    self._dialect = dialect
    self._directory = directory
    self._links = links
    self._placer = placer
    self._guard = guard
    self._admission = admission_lib.Admission(
        config, clock, directory, accounts, tasks, instruments
    )
    members = accounts.members
    self._fleet = retries.FleetSize(clock, lambda: len(members.lives))
    self._records = records_lib.Records(clock, instruments)
    self._retries: dict[str, retries.RetryBudget] = {}

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: front.Responder,
  ) -> None:
    """Answers one request; cancelled when its caller leaves."""
    try:
      job = self._admission.admit(request, body, responder)
      self._retry_budget(job.service.name).deposit()
    except refusals.RefusalError as refusal:
      await self._refuse(request, responder, refusal)
      return
    try:
      self._guard.check(job)
      await self._serve(job)
    except refusals.RefusalError as refusal:
      await self._refuse(request, responder, refusal, job)
    except anyio.get_cancelled_exc_class():
      self._records.note_end(job, "caller_left", 0)
      raise
    finally:
      self._admission.bill(job)

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

  async def _serve(self, job: job_lib.Job) -> None:
    left_s = job.deadline - self._clock.monotonic() - _MARGIN_S
    with anyio.move_on_after(max(0.0, left_s)) as scope:
      await self._admission.reserve(job)
      await self._try_endpoints(job)
    if scope.cancelled_caught:
      if job.may_have_run:
        raise refusals.timed_out()
      raise refusals.too_late(self._admission.retry_after(0.5))

  async def _try_endpoints(self, job: job_lib.Job) -> None:
    while True:
      place = await self._placer.choose(job)
      self._guard.check(job)
      if place is None:
        await self._give_up(job)
        return
      try:
        await self._try(job, place)
        return
      except _Again as exc:
        self._records.note_try(job, place.row, str(exc))
      if not self._may_try_again(job):
        await self._give_up(job)
        return

  def _may_try_again(self, job: job_lib.Job) -> bool:
    if job.responder.started and not job.route.resumable:
      return False
    if job.may_have_run and not job.route.repeatable:
      return False
    if job.sends >= job.route.max_attempts:
      return False
    if job.connects >= _MOST_CONNECTS:
      return False
    return job.sends == 0 or self._retry_budget(job.service.name).withdraw()

  async def _give_up(self, job: job_lib.Job) -> None:
    """Gives the final answer when no further try may be made."""
    if job.failure is not None and not job.responder.started:
      await self._answer(job, *job.failure)
    elif job.may_have_run:
      raise refusals.failed()
    else:
      raise refusals.no_endpoint(self._admission.retry_after(0.25))

  async def _try(self, job: job_lib.Job, place: placement.Place) -> None:
    """Sends the request to one endpoint and relays its answer.

    Raises:
      _Again: it failed, and the caller has not been answered.
      refusals.RefusalError: it failed for good.
    """
    row = place.row
    job.tried.add(row.name)
    job.endpoint = row.name
    try:
      link = await self._links.acquire(row.url, _CONNECT_S, fresh=job.sends > 0)
    except errors.EndpointUnreachableError as exc:
      job.connects += 1
      row.failures += 2
      self._placer.note_unreachable(row)
      raise _Again(str(exc)) from exc
    exchange = exchange_lib.Exchange(
        self._links,
        link,
        job.request.method,
        job.request.target,
        self._dialect.encode_request(job.request, self._send_of(job, row)),
        job.body,
    )
    visit = self._placer.begin(job, place)
    ran_before, job.may_have_run = job.may_have_run, True
    job.sends += 1
    sent_at = self._clock.monotonic()
    failed = False
    try:
      await self._relay(job, place, exchange, ran_before, visit)
    except errors.BadResponseError as exc:
      failed = True
      row.failures += 1
      if not isinstance(exc, errors.ResponseTimeoutError):
        ran_s = self._clock.monotonic() - sent_at
        await self._guard.note_broken(job, row, ran_s)
      raise _Again(str(exc)) from exc
    except _Again:
      failed = True
      raise
    finally:
      visit.end(failed)
      await exchange.close()

  def _send_of(self, job: job_lib.Job, row: endpoints.Row) -> messages.Send:
    team = job.team
    priority = job.route.priority
    if team is not None and team.priority is not None:
      priority = team.priority
    return messages.Send(
        endpoint=row.name,
        team=team.name if team else "",
        time_left_s=job.deadline - self._clock.monotonic(),
        priority=priority,
        last_event=job.joiner.last,
    )

  async def _relay(
      self,
      job: job_lib.Job,
      place: placement.Place,
      exchange: exchange_lib.Exchange,
      ran_before: bool,
      visit: placer_lib.Visit,
  ) -> None:
    row = place.row
    sent_at = self._clock.monotonic()
    try:
      with self._impatience(job, self._head_s(job)):
        answer = await exchange.start(
            self._dialect.decode_answer, job.request.id
        )
    except errors.BadResponseError:
      # It may have failed at once, which says nothing of its speed.
      waited_s = self._clock.monotonic() - sent_at
      if waited_s > place.answer_s:
        visit.note_first(waited_s)
      raise
    visit.note_first(self._clock.monotonic() - sent_at)
    visit.end_reading()
    if answer.load is not None:
      row.running = answer.load.running
      row.waiting = answer.load.waiting
    if answer.not_run or answer.misdirected:
      job.may_have_run = ran_before
      if answer.misdirected:
        self._directory.drop(row.name)
      else:
        row.failures += 1
      await exchange.read_body(_MOST_BODY_BYTES)
      raise _Again(f"not run: {answer.status}")
    if answer.encoded or not answer.signed or not answer.request_id:
      raise errors.BadResponseError("not the endpoint's own answer")
    if answer.events and answer.status == _OK:
      await self._relay_events(job, exchange, answer)
    else:
      await self._relay_whole(job, row, exchange, answer)

  async def _relay_whole(
      self,
      job: job_lib.Job,
      row: endpoints.Row,
      exchange: exchange_lib.Exchange,
      answer: messages.Answer,
  ) -> None:
    body = await exchange.read_body(_MOST_BODY_BYTES, job.responder)
    self._guard.note_answered(job)
    if answer.status >= _SERVER_ERROR:
      row.failures += 1
      job.failure = (answer, body)
      raise _Again(f"status {answer.status}")
    if job.responder.started:
      raise errors.BadResponseError(f"status {answer.status} for the rest")
    await self._answer(job, answer, body)

  async def _answer(
      self, job: job_lib.Job, answer: messages.Answer, body: bytes
  ) -> None:
    job.first_at = self._clock.monotonic()
    job.answered_whole = answer.status < _FAILURES
    await job.responder.answer(answer.status, list(answer.headers), body)
    self._records.note_end(job, "answered", answer.status)

  async def _relay_events(
      self,
      job: job_lib.Job,
      exchange: exchange_lib.Exchange,
      answer: messages.Answer,
  ) -> None:
    splitter = streams.Splitter()
    try:
      async for data in self._pieces(job, exchange):
        events = splitter.feed(data)
        wanted = [e.raw for e in events if job.joiner.take(e)]
        if wanted:
          await self._pass_on(job, answer, b"".join(wanted))
    except ValueError as exc:
      raise errors.BadResponseError(str(exc)) from exc
    if splitter.rest:
      raise errors.BadResponseError("ended within an event")
    self._guard.note_answered(job)
    await self._pass_on(job, answer, b"")
    await job.responder.end()
    self._records.note_end(job, "answered", answer.status)

  async def _pieces(
      self, job: job_lib.Job, exchange: exchange_lib.Exchange
  ) -> AsyncIterator[bytes]:
    """Yields a stream's bytes; a stream that stalls is broken."""
    pieces = aiter(exchange.body())
    while True:
      with self._impatience(job, _STALL_S):
        data = await anext(pieces, None)
      if data is None:
        return
      yield data

  def _head_s(self, job: job_lib.Job) -> float:
    objective_s = job.route.objective.total_seconds()
    if job.route.kind is configuration.Kind.STREAM:
      return objective_s * _LATE_STREAM
    return objective_s * _LATE_ANSWER

  @contextlib.contextmanager
  def _impatience(self, job: job_lib.Job, limit_s: float) -> Iterator[None]:
    """Ends a wait on an endpoint when another may be tried instead.

    Without another try the wait goes on to the deadline: silence alone is
    no reason to fail a request.
    """
    another = job.route.repeatable and job.sends < job.route.max_attempts
    with anyio.move_on_after(limit_s if another else math.inf) as scope:
      yield
    if scope.cancelled_caught:
      raise errors.ResponseTimeoutError(f"silent for {limit_s:.2f} s")

  async def _pass_on(
      self, job: job_lib.Job, answer: messages.Answer, data: bytes
  ) -> None:
    if not job.responder.started:
      job.first_at = self._clock.monotonic()
      await job.responder.start(answer.status, list(answer.headers))
    if data:
      await job.responder.write(data)

  async def _refuse(
      self,
      request: messages.Request,
      responder: front.Responder,
      refusal: refusals.RefusalError,
      job: job_lib.Job | None = None,
  ) -> None:
    self._records.note_refusal(request, refusal, job)
    if responder.started:
      return  # cut off: what was passed on must not look complete
    headers = self._dialect.encode_refusal(request.id, refusal.retry_after_s)
    body = refusal.reason.encode()
    await responder.answer(refusal.status, headers, body)
