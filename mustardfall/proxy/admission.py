"""Admission control: routes, API keys, and the reservation of tokens."""

import random

from anyio import abc

from mustardfall import accounts as accounts_lib
from mustardfall import metrics
from mustardfall import settings
from mustardfall.budget import reserving
from mustardfall.budget import retry_hint
from mustardfall.proxy import http_server
from mustardfall.proxy import messages
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.proxy import request_log
from mustardfall.proxy import streams
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import quarantine
from mustardfall.util import clock as clock_lib

_MAX_UNCONFIRMED_S = 2.0
"""Age of the last confirmation above which an unknown route or API key is
refused with 503 and Retry-After instead of 404 or 401: it may have been added
to a newer configuration that this router has not read."""


class Admission:
  """Decides whether a request may run, and bills it once.

  Args:
    config: all of the router's settings.
    clock: the time source.
    directory: provides the configuration.
    accounts: provides the budgets.
    tasks: runs work that outlives a request.
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
    self._reserver = reserving.Reserver(
        accounts.pool, tasks, config.proxy.reserve_s
    )
    self._instruments = instruments
    self._random = random.Random()

  def admit(
      self,
      request: messages.Request,
      body: bytes,
      responder: http_server.Responder,
  ) -> request_context_lib.RequestContext:
    """Returns the context of an admitted request.

    Raises:
      refusals.RefusalError: there is no configuration, no route matches or no
        team holds the API key.
    """
    arrived_at = self._clock.monotonic()
    config = self._directory.configuration
    if config is None:
      raise refusals.no_configuration()
    route = config.match(request.authority, request.path)
    if route is None:
      self._require_current_configuration(config.version, request.api_key)
      raise refusals.no_route(config.version, self._directory.unconfirmed_s)
    team = None
    if not route.public:
      team = config.team_of(request.api_key)
      if team is None:
        self._require_current_configuration(config.version, request.api_key)
        raise refusals.unknown_key(
            config.version, self._directory.unconfirmed_s, request.api_key
        )
    service = config.services[self._choose_service(route)]
    team_name = team.name if team else ""
    timeout_s = route.timeout.total_seconds()
    if request.caller_timeout_s is not None:
      timeout_s = min(timeout_s, request.caller_timeout_s)
    return request_context_lib.RequestContext(
        request=request,
        body=body,
        responder=responder,
        route=route,
        service=service,
        team=team,
        arrived_at=arrived_at,
        deadline=arrived_at + timeout_s,
        sequencer=streams.EventSequencer(request.last_event),
        fingerprint=quarantine.fingerprint(
            team_name,
            request.method,
            request.target,
            body,
            [request.model, *(part.id for part in request.parts)],
        ),
        parts=quarantine.part_keys(
            team_name, [part.id for part in request.parts]
        ),
    )

  def _require_current_configuration(self, version: int, api_key: str) -> None:
    """Refuses with Retry-After if the configuration may be out of date."""
    age_s = self._directory.unconfirmed_s
    if age_s > _MAX_UNCONFIRMED_S:
      retry_after_s = self.jittered_retry_after(_MAX_UNCONFIRMED_S)
      raise refusals.stale_configuration(version, age_s, retry_after_s, api_key)

  def _choose_service(self, route: configuration.Route) -> str:
    if len(route.split) == 1:
      return route.split[0].service
    weights = [share.weight for share in route.split]
    return self._random.choices(route.split, weights)[0].service

  async def reserve(self, context: request_context_lib.RequestContext) -> None:
    """Reserves the most tokens that the request can use from its budget.

    Requests that are no generation, or whose team has no prepaid budget,
    reserve nothing.

    Raises:
      refusals.RefusalError: the budget cannot cover the request.
    """
    usage = context.request.usage
    if usage is None or context.team is None or context.team.prepaid is None:
      return
    budget = context.team.name
    started_at = self._clock.monotonic()
    context.reservation = await self._reserver.reserve(budget, usage.max_tokens)
    context.reserve_wait_s = self._clock.monotonic() - started_at
    if context.reservation is not None:
      return
    budget_view = self._accounts.pool.budget_view
    facts = budget_view.describe(budget)
    facts["store_reachable"] = not self._accounts.store_unreachable
    if budget_view.is_exhausted(budget, usage.max_tokens):
      raise refusals.budget_exhausted(facts)
    raise refusals.tokens_unavailable(
        facts, self._tokens_retry_after_s(context)
    )

  def _tokens_retry_after_s(
      self, context: request_context_lib.RequestContext
  ) -> float:
    """Returns the seconds after which tokens may be available again."""
    remaining_s = context.deadline - self._clock.monotonic()
    return self.jittered_retry_after(
        retry_hint.max_retry_s(self._accounts.store_unreachable, remaining_s)
    )

  def bill(self, context: request_context_lib.RequestContext) -> None:
    """Settles the reservation with the tokens that the request used."""
    if context.reservation is None:
      return
    self._accounts.pool.settle(context.reservation, context.used_tokens)
    self._instruments.tokens.record(
        context.used_tokens, request_log.metric_attributes(context)
    )

  def jittered_retry_after(self, max_retry_s: float) -> float:
    """Returns a random Retry-After between half of `most_s` and `most_s`.

    The jitter keeps callers that were refused together from retrying together.
    """
    return round(max_retry_s * (0.5 + 0.5 * self._random.random()), 3)
