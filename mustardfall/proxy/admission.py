"""Admits requests: route, key, tokens of the budget, and the bill after."""

import random

import anyio
from anyio import abc

from mustardfall import accounts as accounts_lib
from mustardfall import metrics
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.proxy import front
from mustardfall.proxy import job as job_lib
from mustardfall.proxy import messages
from mustardfall.proxy import records
from mustardfall.proxy import refusals
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.util import clock as clock_lib

_TOKENS_BACK_S = 1.5
"""Parts are given back after 1.5 s, most streams end sooner."""
_RETURN_SHARE = 0.33
"""Part of its time that a caller is kept away; what is left is enough for
the longest answers, and callers heed no more than a third."""


class Admission:
  """Decides whether a request may run, and bills it once.

  Args:
    config: the router's settings, whole.
    clock: the time source.
    directory: the configuration.
    accounts: the budgets.
    tasks: where work that outlives a request runs.
    instruments: counters and histograms.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      directory: directory_lib.Directory,
      accounts: accounts_lib.Accounts,
      tasks: abc.TaskGroup,
      instruments: metrics.Instruments,
  ) -> None:
    self._config = config
    self._clock = clock
    self._directory = directory
    self._accounts = accounts
    self._tasks = tasks
    self._instruments = instruments
    self._random = random.Random()

  def admit(
      self,
      request: messages.Request,
      body: bytes,
      responder: front.Responder,
  ) -> job_lib.Job:
    """Returns the request as one to serve; raises `RefusalError`."""
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
    time_s = route.timeout.total_seconds()
    if request.patience_s is not None:
      time_s = min(time_s, request.patience_s)
    return job_lib.Job(
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

  async def reserve(self, job: job_lib.Job) -> None:
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
    if self._accounts.pool.known.is_exhausted(budget, usage.most):
      raise refusals.exhausted(known)
    raise refusals.no_tokens(known, self._tokens_back_s(job))

  def _tokens_back_s(self, job: job_lib.Job) -> float:
    """Returns when it may be worth to ask for tokens again.

    Reservations and parts come back within a second or so. While the store
    is away nothing comes but what others hold, and outages last seconds: a
    caller that returns at once is only refused again, so it is asked back
    as late as still leaves it the time for its answer.
    """
    if not self._accounts.store_away:
      return self.retry_after(_TOKENS_BACK_S)
    left_s = job.deadline - self._clock.monotonic()
    return self.retry_after(max(_TOKENS_BACK_S, left_s * _RETURN_SHARE))

  async def _reserve_soon(
      self, budget: str, tokens: int
  ) -> allotment.Reservation | None:
    """Reserves, or gives up after a moment.

    What it may lead to (a grant asked of the store) goes on by itself: a
    caller must not wait out a store that does not answer.
    """
    waiting = _Waiting()

    async def _reserve() -> None:
      waiting.found = await self._accounts.pool.reserve(budget, tokens, budget)
      waiting.done.set()
      if waiting.over:
        self._return(waiting.take())

    self._tasks.start_soon(_reserve)
    try:
      with anyio.move_on_after(self._config.proxy.reserve_s):
        await waiting.done.wait()
      return waiting.take()
    finally:
      # A caller that leaves in the very moment in which its tokens come
      # has not taken them; kept, they would be set aside for ever.
      waiting.over = True
      self._return(waiting.take())

  def _return(self, reservation: allotment.Reservation | None) -> None:
    if reservation is not None:
      self._accounts.pool.settle(reservation, 0)

  def bill(self, job: job_lib.Job) -> None:
    """Settles the reservation with what the request used."""
    usage = job.request.usage
    if job.reservation is None or usage is None:
      return
    used = 0
    if job.may_have_run:
      output = job.joiner.passed * job.tokens_per_event
      used = usage.prompt_tokens + min(usage.most_output_tokens, output)
    self._accounts.pool.settle(job.reservation, used)
    self._instruments.tokens.record(used, records.attributes(job))

  def retry_after(self, most_s: float) -> float:
    """Returns when to come back: spread, so that not all come at once."""
    return round(most_s * (0.5 + 0.5 * self._random.random()), 3)


class _Waiting:
  """A reservation that is being made, and whether anybody still waits."""

  def __init__(self) -> None:
    self.done = anyio.Event()
    self.found: allotment.Reservation | None = None
    self.over = False

  def take(self) -> allotment.Reservation | None:
    """Returns the reservation, to one taker only."""
    found, self.found = self.found, None
    return found
