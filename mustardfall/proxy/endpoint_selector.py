"""Chooses a request's endpoint, and tells others what was sent there."""

import random

from mustardfall import settings
from mustardfall.membership import loadshare as loadshare_lib
from mustardfall.membership import trackers as trackers_lib
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import placement


class EndpointAttempt:
  """A request at an endpoint, from its sending to its end.

  Args:
    job: the request.
    place: where it goes.
    directory: learns the endpoint's speed.
    load_share: tells the routers of a small fleet.
    trackers: tell who tracks the endpoint in a large one.
  """

  def __init__(
      self,
      context: request_context_lib.RequestContext,
      place: placement.Place,
      directory: directory_lib.Directory,
      load_share: loadshare_lib.LoadShare,
      trackers: trackers_lib.Trackers,
  ) -> None:
    self._is_generation = bool(context.request.parts)
    self._place = place
    self._directory = directory
    self._load_share = load_share
    self._trackers = trackers
    self._pending_prefill = request_context_lib.PendingPrefill(
        place.row, place.reading_s
    )
    place.row.in_flight += 1
    prefix = request_context_lib.prompt_for_placement(context.request).prefix
    load_share.note_sent(place.row.life, prefix)
    self._tracked_send: trackers_lib.Sent | None = None
    if trackers.is_used:
      self._tracked_send = trackers.note_sent(
          place.row.life, prefix, place.reading_s
      )

  def record_response_time(self, took_s: float) -> None:
    """Notes how long the head of the answer took, or did not come."""
    if not self._is_generation:
      return
    place = self._place
    self._directory.endpoints.learn(place.row, place.answer_s, took_s)
    if self._tracked_send is not None:
      self._trackers.note_first(self._tracked_send, place.answer_s, took_s)

  def end_prefill(self) -> None:
    """Notes that the prompt has been read."""
    self._pending_prefill.end()
    self._load_share.note()

  def end(self, failed: bool) -> None:
    """Notes that the request has left the endpoint."""
    self._place.row.in_flight -= 1
    self.end_prefill()
    if self._tracked_send is not None:
      self._trackers.note_end(self._tracked_send, failed)


class EndpointSelector:
  """Chooses endpoints.

  Args:
    config: the router's settings, whole.
    directory: the endpoints.
    load_share: tells the routers of a small fleet.
    trackers: ask and tell who tracks an endpoint in a large one.
  """

  def __init__(
      self,
      config: settings.Router,
      directory: directory_lib.Directory,
      load_share: loadshare_lib.LoadShare,
      trackers: trackers_lib.Trackers,
  ) -> None:
    self._datacentre = config.datacentre
    self._directory = directory
    self._load_share = load_share
    self._trackers = trackers
    self._random = random.Random()

  async def select(
      self, context: request_context_lib.RequestContext
  ) -> placement.Place | None:
    """Returns the endpoint that should answer soonest; None without any."""
    rows = self._directory.endpoints.fitting(context.service.name, "")
    fresh = [row for row in rows if row.name not in context.tried_endpoints]
    prompt = request_context_lib.prompt_for_placement(context.request)
    if not self._trackers.is_used:
      return placement.choose(fresh or rows, prompt, self._datacentre)
    return await self._select_tracked(fresh or rows, prompt)

  async def _select_tracked(
      self, rows: list[endpoints.Row], prompt: placement.Prompt
  ) -> placement.Place | None:
    """Asks how a few endpoints stand, and some more where these are busy."""
    place, asked, standings = None, [], {}
    rounds = placement.candidates(rows, prompt, self._datacentre, self._random)
    for found in rounds:
      asked += found
      lives = [one.row.life for one in found]
      if len(rows) > 1:
        standings |= await self._trackers.survey(lives, prompt.prefix)
      place = placement.choose_tracked(
          asked, standings, prompt, self._datacentre
      )
      if place is None or not placement.is_busy(place, prompt):
        break
    return place

  def record_unreachable(self, row: endpoints.Row) -> None:
    """Notes that an endpoint took no connection."""
    if self._trackers.is_used:
      self._trackers.note_end(trackers_lib.Sent(row.life, ""), failed=True)

  def start_attempt(
      self, context: request_context_lib.RequestContext, place: placement.Place
  ) -> EndpointAttempt:
    """Notes that a request is on its way; returns what it is until its end."""
    return EndpointAttempt(
        context, place, self._directory, self._load_share, self._trackers
    )
