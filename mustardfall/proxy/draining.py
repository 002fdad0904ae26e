"""Which requests a router that stops still serves.

A request belongs to the process from the moment its head has been read until
its response is complete. `decide` is a pure function; `Drain` applies it to the
stop of one process.
"""

import enum
import math
from typing import NamedTuple

from mustardfall.util import clock as clock_lib

RETRY_AFTER_S = 0.1
"""Retry-After of requests that a stopping router refuses, in seconds. The load
balancer sends new connections to other routers by then."""


class Stage(enum.Enum):
  """How far a request has come."""

  READING = "reading"
  """Its head has been read, and its body is arriving."""
  READ = "read"
  """It has been read and is not at an endpoint."""
  SENT = "sent"
  """It has been sent to an endpoint."""


class Action(enum.Enum):
  """What becomes of a request."""

  SERVE = "serve"
  """It is read, and sent to an endpoint."""
  REFUSE = "refuse"
  """It is refused and never runs."""
  WAIT = "wait"
  """Its response is waited for."""
  GIVE_UP = "give up"
  """Its response is not waited for any longer."""


class Schedule(NamedTuple):
  """The times of a stop, in seconds after its signal."""

  notice_s: float
  """Until then the load balancer may still send new connections."""
  end_s: float
  """Until then responses are waited for."""


class Stop(NamedTuple):
  """What is known of a stop when a request is looked at."""

  elapsed_s: float
  """Seconds since the signal."""
  schedule: Schedule
  is_closed: bool
  """Whether the last request has ended, so that budgets are returned."""


class Need(NamedTuple):
  """The time that a request takes, in seconds from now."""

  longest_s: float
  """Until its deadline, at which it is answered in any case."""
  usual_s: float
  """The latency objective of its route."""


class RequestState(NamedTuple):
  """What is known of a request."""

  stage: Stage
  head_read_s: float
  """When its head was read, in seconds after the signal; negative before it."""
  need: Need


def decide(stop: Stop | None, request: RequestState) -> Action:
  """Returns what becomes of a request.

  A request that surely ends before responses are no longer waited for is
  served. One that may last longer is served only if the load balancer could not
  know of the stop when it came, and its usual time is left.

  Args:
    stop: None if the process does not stop.
    request: the request.
  """
  left_s = math.inf
  if stop is not None:
    left_s = stop.schedule.end_s - stop.elapsed_s
  if request.stage is Stage.SENT:
    return Action.WAIT if left_s > 0 else Action.GIVE_UP
  if stop is None:
    return Action.SERVE
  if stop.is_closed or left_s <= 0:
    return Action.REFUSE
  if request.need.longest_s <= left_s:
    return Action.SERVE
  came_in_time = request.head_read_s <= stop.schedule.notice_s
  if came_in_time and request.need.usual_s <= left_s:
    return Action.SERVE
  return Action.REFUSE


class Drain:
  """The stop of one process; not begun at first.

  Args:
    clock: the time source.
  """

  def __init__(self, clock: clock_lib.Clock) -> None:
    self._clock = clock
    self._schedule: Schedule | None = None
    self._began_at = 0.0
    self._is_closed = False

  def start(self, schedule: Schedule) -> None:
    """Begins the stop."""
    self._schedule = schedule
    self._began_at = self._clock.monotonic()

  def close(self) -> None:
    """Has all further requests refused."""
    self._is_closed = True

  @property
  def elapsed_s(self) -> float:
    """Seconds since the stop began; 0 if it has not."""
    if self._schedule is None:
      return 0.0
    return self._clock.monotonic() - self._began_at

  @property
  def left_s(self) -> float:
    """Seconds for which responses are still waited for, 0 at least."""
    if self._schedule is None:
      return math.inf
    return max(0.0, self._schedule.end_s - self.elapsed_s)

  def decide(self, stage: Stage, head_read_at: float, need: Need) -> Action:
    """Returns what becomes of a request now.

    Args:
      stage: how far it has come.
      head_read_at: when its head was read, monotonic seconds.
      need: the time that it takes.
    """
    stop = None
    if self._schedule is not None:
      stop = Stop(self.elapsed_s, self._schedule, self._is_closed)
    state = RequestState(stage, head_read_at - self._began_at, need)
    return decide(stop, state)
