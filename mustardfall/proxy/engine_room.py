"""What a request needs of an engine's memory, and logs of engines without room."""

import collections
import logging
import math

from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import engine_memory
from mustardfall.routing import placement as placement_lib

logger = logging.getLogger(__name__)

_FULL_SHARE = 0.95
"""Share of the memory that runs hold at their ends from which an engine is
reported as full: hardly any further prompt fits."""
_ROOM_SHARE = 0.85
"""The same, below which it has room again; lower, so that an engine that stays
nearly full gives two lines and not hundreds."""
_LOG_INTERVAL_S = 1.0
"""Minimum time between two lines about one engine."""
_MAX_ENGINES = 500
"""Engines whose state is kept, more than the largest fleet has."""


def need_of(
    context: request_context_lib.RequestContext,
) -> engine_memory.Need | None:
  """Returns what a request needs of an engine; None if that is not counted.

  The prompt's size is the larger one of the stated usage and the sum of its parts,
  so that no statement gains room. An output that would not fit beside the prompt
  is counted as far as it fits, as it may end before.
  """
  engine, usage = context.service.engine, context.request.usage
  if engine is None or engine.memory_tokens <= 0 or usage is None:
    return None
  prompt = request_context_lib.prompt_for_placement(context.request)
  shared_tokens = max(0, prompt.shared_tokens)
  own_tokens = max(0, prompt.own_tokens, usage.prompt_tokens - shared_tokens)
  output_tokens = engine_memory.expected_output(
      context.request.output_hint, usage.max_output_tokens
  )
  room = engine.memory_tokens - shared_tokens - own_tokens
  if room >= 0:
    output_tokens = min(output_tokens, room)
  priority = context.route.priority
  if context.team is not None and context.team.priority is not None:
    priority = context.team.priority
  run = engine_memory.make_run(
      prompt.prefix, shared_tokens, own_tokens, output_tokens, priority
  )
  return engine_memory.Need(run, engine.memory_tokens, engine.slots)


def facts_of(placement: placement_lib.Placement) -> dict | None:
  """Returns what was known of the chosen engine's memory, for the log."""
  need = placement.need
  if need is None:
    return None
  usage = engine_memory.fold(placement.usage)
  return {
      "held": round(sum(one.held_tokens for one in usage.ranks)),
      "coming": round(sum(one.coming_tokens for one in usage.ranks)),
      "runs": usage.runs,
      "of": need.memory_tokens,
      "needs": need.run.tokens,
      "rank": need.run.rank,
      "wait_ms": None
      if math.isinf(placement.memory_wait_s)
      else round(placement.memory_wait_s * 1000),
      "age_ms": round(usage.age_s * 1000),
  }


class RoomLog:
  """Logs when an engine becomes full and when it has room again.

  Args:
    placements: counts the choices of an endpoint by kind.
  """

  def __init__(self, placements: collections.Counter[str]) -> None:
    self._placements = placements
    self._full: dict[str, bool] = {}
    """Whether each engine was full when it was last logged, by its life."""
    self._logged_at: dict[str, float] = {}

  def note_choice(self, placement: placement_lib.Placement) -> None:
    """Counts a choice where memory was short.

    Args:
      placement: the choice.
    """
    if math.isinf(placement.memory_wait_s):
      self._placements["memory_never"] += 1
    elif placement.memory_wait_s > 0.0:
      self._placements["memory_short"] += 1

  def note_usage(
      self,
      endpoint: str,
      usage: engine_memory.Usage,
      need: engine_memory.Need,
      now: float,
  ) -> None:
    """Logs an engine that has become full or has room again.

    Args:
      endpoint: the engine's life (one run of its process).
      usage: what the runs there hold.
      need: names the engine's memory.
      now: the current time, monotonic seconds.
    """
    was_full = self._full.get(endpoint, False)
    share = usage.tokens / need.memory_tokens
    is_full = share >= (_ROOM_SHARE if was_full else _FULL_SHARE)
    if is_full == was_full:
      return
    if now - self._logged_at.get(endpoint, -math.inf) < _LOG_INTERVAL_S:
      return
    if len(self._logged_at) >= _MAX_ENGINES:
      self._logged_at.clear()
      self._full.clear()
    self._logged_at[endpoint], self._full[endpoint] = now, is_full
    extra = {
        "endpoint": endpoint,
        "tokens": round(usage.tokens),
        "of": need.memory_tokens,
        "runs": {str(one.rank): one.runs for one in usage.ranks},
        "slots": need.slots,
        "age_ms": round(usage.age_s * 1000),
    }
    logger.info("engine full" if is_full else "engine has room", extra=extra)
