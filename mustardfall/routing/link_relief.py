"""Decides how a router moves callers off its host's network link.

A load balancer maps each caller to one router, and maps it to another one while
this one is not ready. Connections that are open stay where they are. A caller
that sends more than a small host's link carries is therefore moved in two steps:
the router reports that it is not ready, so that new connections go elsewhere, and
then closes the part of the open ones that carries the excess. What stays is served
here. Closing more would move all callers to the next host, and back.

Rejecting does not help: the bytes of a rejected request have passed the link, and
its caller sends them again to the same router.
"""

import enum
import math
from typing import NamedTuple

_FULL_UTILISATION = 0.65
"""Part of the link's rate, as bytes of requests and responses, from which the link
counts as full. Headers of packets and other traffic take another third."""
_TARGET_UTILISATION = 0.5
"""Part that the connections which stay may use."""
_ROOM_UTILISATION = 0.35
"""Part below which the link has room for new connections."""
_MIN_HOLD_S = 20.0
"""How long it must have had room. The load balancer then maps the same callers to
this router again, so that the time is doubled whenever the link is soon full."""
_MAX_HOLD_S = 320.0
_SOON_S = 60.0
"""Time after which a link that is full again was not filled by the same callers."""
_MIN_FULL_SHARE = 0.5
"""Least part of the connections to close while the link is full: what it carries
then says little of what its callers send."""
_MAX_FULL_ROUNDS = 6
"""Rounds in a row with a full link after which callers are not moved any more: no
other router takes them."""
_FAILED_CHECKS = 2
"""Failed readiness checks after which a load balancer opens no connections."""
_ROUND_S = 1.0
"""Time between two rounds of closing connections: until then the use of the link
shows what the round before has moved."""


class Phase(enum.Enum):
  """What is done about the link."""

  OPEN = "open"
  """The router takes new connections."""
  LEAVING = "leaving"
  """It reports that it is not ready; the load balancer may not know yet."""
  MOVING = "moving"
  """It gets no new connections, and closes some of the open ones."""


class Sample(NamedTuple):
  """What a router knows when it decides."""

  utilisation: float
  """Bytes of requests and responses a second, relative to the link's rate."""
  failed_checks: int
  """Readiness checks in a row that were answered with not ready."""


class State(NamedTuple):
  """What has been decided."""

  phase: Phase = Phase.OPEN
  room_since: float | None = None
  """Since when the link has had room, monotonic seconds."""
  round_at: float = -math.inf
  """When the last round of closing began, monotonic seconds."""
  hold_s: float = _MIN_HOLD_S
  """How long the link must have room before new connections are taken."""
  opened_at: float = -math.inf
  """When new connections were last taken again, monotonic seconds."""
  full_rounds: int = 0
  """Rounds in a row in which the link was full."""
  rounds: int = 0
  """Rounds so far."""
  is_futile: bool = False
  """Whether no other router took the callers when it last reported not ready."""
  closed_share: float = 0.0
  """Part of the connections in use to close in this round."""


def update(state: State, sample: Sample, now: float) -> State:
  """Returns the state after a measurement.

  Args:
    state: the state before.
    sample: the measurement.
    now: the current time, monotonic seconds.
  """
  if state.phase is Phase.OPEN:
    return _leave_if_full(state, sample, now)
  has_room = sample.utilisation < _ROOM_UTILISATION
  room_since = None
  if has_room:
    room_since = now if state.room_since is None else state.room_since
    if now - room_since >= state.hold_s:
      return State(hold_s=state.hold_s, opened_at=now, rounds=state.rounds)
  state = state._replace(room_since=room_since)
  if sample.failed_checks < _FAILED_CHECKS:
    return state
  state = state._replace(phase=Phase.MOVING)
  if now - state.round_at < _ROUND_S:
    return state
  is_full = sample.utilisation >= _FULL_UTILISATION
  full_rounds = state.full_rounds + 1 if is_full else 0
  if full_rounds > _MAX_FULL_ROUNDS:
    return State(
        Phase.OPEN,
        hold_s=state.hold_s,
        opened_at=now,
        is_futile=True,
        rounds=state.rounds,
    )
  excess = 0.0
  if sample.utilisation > _TARGET_UTILISATION:  # false where it is no number
    excess = 1 - _TARGET_UTILISATION / sample.utilisation
  if is_full:
    excess = max(excess, _MIN_FULL_SHARE)
  return state._replace(
      round_at=now,
      full_rounds=full_rounds,
      rounds=state.rounds + 1,
      closed_share=excess,
  )


def _leave_if_full(state: State, sample: Sample, now: float) -> State:
  """Returns the state of a router that takes new connections."""
  if not sample.utilisation >= _FULL_UTILISATION:
    return state
  open_s = now - state.opened_at
  if state.is_futile and open_s < state.hold_s:
    return state
  hold_s = _MIN_HOLD_S
  if open_s < max(_SOON_S, 2 * state.hold_s):
    hold_s = min(2 * state.hold_s, _MAX_HOLD_S)
  return state._replace(phase=Phase.LEAVING, hold_s=hold_s, is_futile=False)
