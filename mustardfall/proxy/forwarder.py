"""Serves one caller's request: admits, bills, sends it on and relays.

What may be told to a caller follows from what is known of its sends:
before the first, or when each was refused by its endpoint, the request
has not run and never will; after any other it may have run.
"""

from collections.abc import AsyncIterator, Iterator
import contextlib
import dataclasses
import logging
import math
import random

import anyio
from anyio import abc

from mustardfall import accounts as accounts_lib
from mustardfall import errors
from mustardfall import metrics
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.proxy import exchange as exchange_lib
from mustardfall.proxy import front
from mustardfall.proxy import links as links_lib
from mustardfall.proxy import messages
from mustardfall.proxy import refusals
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import placement
from mustardfall.routing import retries
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_OK = 200
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
_TOKENS_BACK_S = 1.5
"""Parts are given back after 1.5 s, most streams end sooner."""
_RETURN_SHARE = 0.33
"""Part of its time that a caller is kept away; what is left is enough for
the longest answers, and callers heed no more than a third."""
_MARGIN_S = 0.03
"""Kept of a request's time for the way back and the router's own work."""


@dataclasses.dataclass
class _Job:
  """A request on its way, and what is known of its sends."""

  request: messages.Request
  body: bytes
  responder: front.Responder
  route: configuration.Route
  service: configuration.Service
  team: configuration.Team | None
  arrived: float
  deadline: float
  """When the router answers at the latest, monotonic seconds."""
  joiner: streams.Joiner
  reservation: allotment.Reservation | None = None
  sends: int = 0
  connects: int = 0
  may_have_run: bool = False
  reserved_after_s: float = 0.0
  """How long it waited for tokens."""
  billed: int = 0
  tried: set[str] = dataclasses.field(default_factory=set)
  endpoint: str = ""
  first_at: float | None = None
  """When the first event or the answer came."""
  failure: tuple[messages.Answer, bytes] | None = None
  """An endpoint's own failure, passed on if no other try does better."""

  @property
  def events_per_answer(self) -> int:
    """Most tokens in one event."""
    engine = self.service.engine
    return engine.tokens_per_event if engine else 1


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
  ) -> None:
    self._config = config
    self._clock = clock
    self._dialect = dialect
    self._directory = directory
    self._accounts = accounts
    self._links = links
    self._tasks = tasks
    self._instruments = instruments
    self._retries: dict[str, retries.RetryBudget] = {}
    self._random = random.Random()

  async def handle(
      self,
      request: messages.Request,
      body: bytes,
      responder: front.Responder,
  ) -> None:
    """Answers one request; cancelled when its caller leaves."""
    try:
      job = self._admit(request, body, responder)
    except refusals.RefusalError as refusal:
      await self._refuse(request, responder, refusal)
      return
    try:
      await self._serve(job)
    except refusals.RefusalError as refusal:
      await self._refuse(request, responder, refusal, job)
    except anyio.get_cancelled_exc_class():
      self._record(job, "caller_left", 0)
      raise
    finally:
      self._bill(job)

  # Admission.

  def _admit(
      self,
      request: messages.Request,
      body: bytes,
      responder: front.Responder,
  ) -> _Job:
    arrived = self._clock.monotonic()
    config = self._directory.configuration
    if config is None:
      raise refusals.unknown_configuration()
    route = config.match(request.authority, request.path)
    if route is None:
      raise refusals.no_route(config.version)
    team = None
    if not route.public:
      team = config.team_of(request.api_key)
      if team is None:
        raise refusals.unknown_key(config.version)
    service = config.services[self._pick(route)]
    self._retry_budget(service.name).deposit()
    time_s = route.timeout.total_seconds()
    if request.patience_s is not None:
      time_s = min(time_s, request.patience_s)
    return _Job(
        request=request,
        body=body,
        responder=responder,
        route=route,
        service=service,
        team=team,
        arrived=arrived,
        deadline=arrived + time_s,
        joiner=streams.Joiner(request.last_event),
    )

  def _pick(self, route: configuration.Route) -> str:
    if len(route.split) == 1:
      return route.split[0].service
    weights = [share.weight for share in route.split]
    return self._random.choices(route.split, weights)[0].service

  def _retry_budget(self, service: str) -> retries.RetryBudget:
    budget = self._retries.get(service)
    if budget is None:
      config = self._config.proxy
      budget = retries.RetryBudget(config.retry_ratio, config.retry_burst)
      self._retries[service] = budget
    return budget

  # Serving.

  async def _serve(self, job: _Job) -> None:
    left_s = job.deadline - self._clock.monotonic() - _MARGIN_S
    with anyio.move_on_after(max(0.0, left_s)) as scope:
      await self._reserve(job)
      await self._try_endpoints(job)
    if scope.cancelled_caught:
      if job.may_have_run:
        raise refusals.timed_out()
      raise refusals.too_late(self._retry_after(0.5))

  async def _reserve(self, job: _Job) -> None:
    """Sets the most that the request can use aside from its budget."""
    usage = job.request.usage
    if usage is None or job.team is None or job.team.prepaid is None:
      return
    budget = job.team.name
    began = self._clock.monotonic()
    job.reservation = await self._reserve_soon(budget, usage.most)
    job.reserved_after_s = self._clock.monotonic() - began
    if job.reservation is not None:
      return
    known = self._accounts.balance(budget)
    if self._accounts.pool.is_exhausted(budget, usage.most):
      raise refusals.exhausted(known)
    raise refusals.no_tokens(known, self._tokens_back_s(job))

  def _tokens_back_s(self, job: _Job) -> float:
    """Returns when it may be worth to ask for tokens again.

    Reservations and parts come back within a second or so. While the store
    is away nothing comes but what others hold, and outages last seconds: a
    caller that returns at once is only refused again, so it is asked back
    as late as still leaves it the time for its answer.
    """
    if not self._accounts.store_away:
      return self._retry_after(_TOKENS_BACK_S)
    left_s = job.deadline - self._clock.monotonic()
    return self._retry_after(max(_TOKENS_BACK_S, left_s * _RETURN_SHARE))

  async def _reserve_soon(
      self, budget: str, tokens: int
  ) -> allotment.Reservation | None:
    """Reserves, or gives up after a moment.

    What it may lead to (a grant asked of the store) goes on by itself: a
    caller must not wait out a store that does not answer.
    """
    waiting = _Waiting()

    async def _reserve() -> None:
      found = await self._accounts.pool.reserve(budget, tokens, budget)
      if waiting.over and found is not None:
        self._accounts.pool.settle(found, 0)
      waiting.found = found
      waiting.done.set()

    self._tasks.start_soon(_reserve)
    try:
      with anyio.move_on_after(self._config.proxy.reserve_s):
        await waiting.done.wait()
      return waiting.found
    finally:
      waiting.over = not waiting.done.is_set()

  async def _try_endpoints(self, job: _Job) -> None:
    while True:
      place = self._choose(job)
      if place is None:
        await self._give_up(job)
        return
      try:
        await self._try(job, place)
        return
      except _Again as exc:
        self._log_try(job, place.row, str(exc))
      if not self._may_try_again(job):
        await self._give_up(job)
        return

  def _choose(self, job: _Job) -> placement.Place | None:
    rows = self._directory.endpoints.fitting(job.service.name, "")
    fresh = [row for row in rows if row.name not in job.tried]
    return placement.choose(
        fresh or rows, _prompt(job.request), self._config.datacentre
    )

  def _may_try_again(self, job: _Job) -> bool:
    if job.responder.started and not job.route.resumable:
      return False
    if job.may_have_run and not job.route.repeatable:
      return False
    if job.sends >= job.route.max_attempts:
      return False
    if job.connects >= _MOST_CONNECTS:
      return False
    return job.sends == 0 or self._retry_budget(job.service.name).withdraw()

  async def _give_up(self, job: _Job) -> None:
    """Gives the final answer when no further try may be made."""
    if job.failure is not None and not job.responder.started:
      await self._answer(job, *job.failure)
    elif job.may_have_run:
      raise refusals.failed()
    else:
      raise refusals.no_endpoint(self._retry_after(0.25))

  async def _try(self, job: _Job, place: placement.Place) -> None:
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
      raise _Again(str(exc)) from exc
    exchange = exchange_lib.Exchange(
        self._links,
        link,
        job.request.method,
        job.request.target,
        self._dialect.encode_request(job.request, self._send_of(job, row)),
        job.body,
    )
    row.in_flight += 1
    reading = _Reading(row, place.reading_s)
    ran_before, job.may_have_run = job.may_have_run, True
    job.sends += 1
    try:
      await self._relay(job, row, exchange, ran_before, reading)
    except errors.BrokenAnswerError as exc:
      row.failures += 1
      raise _Again(str(exc)) from exc
    finally:
      row.in_flight -= 1
      reading.end()
      await exchange.close()

  def _send_of(self, job: _Job, row: endpoints.Row) -> messages.Send:
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
      job: _Job,
      row: endpoints.Row,
      exchange: exchange_lib.Exchange,
      ran_before: bool,
      reading: "_Reading",
  ) -> None:
    with self._impatience(job, self._head_s(job)):
      answer = await exchange.start(self._dialect.decode_answer, job.request.id)
    reading.end()
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
      raise errors.BrokenAnswerError("not the endpoint's own answer")
    if answer.events and answer.status == _OK:
      await self._relay_events(job, exchange, answer)
    else:
      await self._relay_whole(job, row, exchange, answer)

  async def _relay_whole(
      self,
      job: _Job,
      row: endpoints.Row,
      exchange: exchange_lib.Exchange,
      answer: messages.Answer,
  ) -> None:
    body = await exchange.read_body(_MOST_BODY_BYTES)
    if answer.status >= _SERVER_ERROR:
      row.failures += 1
      job.failure = (answer, body)
      raise _Again(f"status {answer.status}")
    if job.responder.started:
      raise errors.BrokenAnswerError(f"status {answer.status} for the rest")
    await self._answer(job, answer, body)

  async def _answer(
      self, job: _Job, answer: messages.Answer, body: bytes
  ) -> None:
    job.first_at = self._clock.monotonic()
    await job.responder.answer(answer.status, list(answer.headers), body)
    self._record(job, "answered", answer.status)

  async def _relay_events(
      self,
      job: _Job,
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
      raise errors.BrokenAnswerError(str(exc)) from exc
    if splitter.rest:
      raise errors.BrokenAnswerError("ended within an event")
    await self._pass_on(job, answer, b"")
    await job.responder.end()
    self._record(job, "answered", answer.status)

  async def _pieces(
      self, job: _Job, exchange: exchange_lib.Exchange
  ) -> AsyncIterator[bytes]:
    """Yields a stream's bytes; a stream that stalls is broken."""
    pieces = aiter(exchange.body())
    while True:
      with self._impatience(job, _STALL_S):
        data = await anext(pieces, None)
      if data is None:
        return
      yield data

  def _head_s(self, job: _Job) -> float:
    objective_s = job.route.objective.total_seconds()
    if job.route.kind is configuration.Kind.STREAM:
      return objective_s * _LATE_STREAM
    return objective_s * _LATE_ANSWER

  @contextlib.contextmanager
  def _impatience(self, job: _Job, limit_s: float) -> Iterator[None]:
    """Ends a wait on an endpoint when another may be tried instead.

    Without another try the wait goes on to the deadline: silence alone is
    no reason to fail a request.
    """
    another = job.route.repeatable and job.sends < job.route.max_attempts
    with anyio.move_on_after(limit_s if another else math.inf) as scope:
      yield
    if scope.cancelled_caught:
      raise errors.BrokenAnswerError(f"silent for {limit_s:.2f} s")

  async def _pass_on(
      self, job: _Job, answer: messages.Answer, data: bytes
  ) -> None:
    if not job.responder.started:
      job.first_at = self._clock.monotonic()
      await job.responder.start(answer.status, list(answer.headers))
    if data:
      await job.responder.write(data)

  # What remains.

  def _bill(self, job: _Job) -> None:
    """Settles the reservation with what the request used."""
    usage = job.request.usage
    if job.reservation is None or usage is None:
      return
    used = 0
    if job.may_have_run:
      output = job.joiner.passed * job.events_per_answer
      used = usage.prompt_tokens + min(usage.most_output_tokens, output)
    self._accounts.pool.settle(job.reservation, used)
    job.billed = used
    self._instruments.tokens.record(used, self._attributes(job))

  def _retry_after(self, most_s: float) -> float:
    """Returns when to come back: spread, so that not all come at once."""
    return round(most_s * (0.5 + 0.5 * self._random.random()), 3)

  async def _refuse(
      self,
      request: messages.Request,
      responder: front.Responder,
      refusal: refusals.RefusalError,
      job: _Job | None = None,
  ) -> None:
    logger.info(
        "request refused",
        extra={
            "request": request.id,
            "status": refusal.status,
            "reason": refusal.reason,
            "team": job.team.name if job and job.team else "",
            "most_tokens": request.usage.most if request.usage else 0,
            "facts": refusal.facts,
            "sends": job.sends if job else 0,
            "endpoint": job.endpoint if job else "",
        },
    )
    attributes = self._attributes(job) if job else {}
    self._instruments.outcomes.add(1, {**attributes, "outcome": refusal.reason})
    if responder.started:
      return  # cut off: what was passed on must not look complete
    headers = self._dialect.encode_refusal(request.id, refusal.retry_after_s)
    body = refusal.reason.encode()
    await responder.answer(refusal.status, headers, body)

  def _log_try(self, job: _Job, row: endpoints.Row, why: str) -> None:
    logger.info(
        "try failed",
        extra={
            "request": job.request.id,
            "endpoint": row.name,
            "address": row.url,
            "try": job.sends,
            "why": why,
            "may_have_run": job.may_have_run,
            "last_event": job.joiner.last,
        },
    )

  def _record(self, job: _Job, outcome: str, status: int) -> None:
    now = self._clock.monotonic()
    first_s = None if job.first_at is None else job.first_at - job.arrived
    logger.info(
        "request ended",
        extra={
            "request": job.request.id,
            "route": job.route.name,
            "team": job.team.name if job.team else "",
            "outcome": outcome,
            "status": status,
            "endpoint": job.endpoint,
            "sends": job.sends,
            "first_ms": None if first_s is None else round(first_s * 1000),
            "total_ms": round((now - job.arrived) * 1000),
            "reserve_ms": round(job.reserved_after_s * 1000),
            "most_tokens": job.request.usage.most if job.request.usage else 0,
            "events": job.joiner.passed,
        },
    )
    attributes = self._attributes(job)
    self._instruments.outcomes.add(1, {**attributes, "outcome": outcome})
    self._instruments.duration.record(now - job.arrived, attributes)
    if first_s is not None:
      self._instruments.ttft.record(first_s, attributes)

  def _attributes(self, job: _Job) -> dict[str, str]:
    """Returns what histograms are kept by: the tenant and its class."""
    return {
        "customer": job.team.name if job.team else "",
        "class": f"{job.route.kind.name.lower()}-{job.route.priority}",
    }


class _Reading:
  """A prompt that an endpoint has still to read; ends once.

  Args:
    row: the endpoint.
    seconds: how long the reading should take.
  """

  def __init__(self, row: endpoints.Row, seconds: float) -> None:
    self._row = row
    self._seconds = seconds
    row.reading_s += seconds

  def end(self) -> None:
    """Takes it off: the first token has come, or the request has gone."""
    self._row.reading_s -= self._seconds
    self._seconds = 0.0


class _Waiting:
  """A reservation that is being made, and whether anybody still waits."""

  def __init__(self) -> None:
    self.done = anyio.Event()
    self.found: allotment.Reservation | None = None
    self.over = False


def _prompt(request: messages.Request) -> placement.Prompt:
  """Returns the prefix that the request shares with others.

  The last part is the request's own, so the one before it names the
  longest prefix that others may have brought into a cache.
  """
  if len(request.parts) < 2:  # noqa: PLR2004
    return placement.NO_PROMPT
  *shared, own = request.parts
  return placement.Prompt(
      shared[-1].id, sum(part.tokens for part in shared), own.tokens
  )
