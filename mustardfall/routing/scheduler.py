"""Who gets the next free place at an endpoint, and who is shed.

Urgent requests go first; while both classes wait, one freed place in a
few is the deferrable ones', so that they still arrive. A request that
would wait longer than its class allows is refused at once, with the time
to come back, rather than kept until it is late.
"""

import collections
import dataclasses
import math
from typing import NamedTuple

import anyio

from mustardfall import settings
from mustardfall.catalogue import model as model_lib
from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib

_RATE_WEIGHT = 0.2
"""Weight of the newest tick in the average of places freed a second."""
_RATE_FLOOR = 0.05
"""Places a second assumed at the least, to divide by."""
_DEFERRABLE_SHARE = 0.75
"""Part of an endpoint's limit that deferrable requests may fill.

Engines do not preempt: an urgent request behind a full house of long
deferrable ones would wait for one of them to end.
"""
_RETRY_AFTER_MIN_S = 0.5


class Shed(NamedTuple):
  """A request that gets no place, and when it may come back (seconds)."""

  reason: str
  retry_after_s: float


class SlotRequest(NamedTuple):
  """What a request needs a place for."""

  kind: str
  """"engine" or "service"."""
  model: str
  klass: model_lib.Klass


@dataclasses.dataclass(eq=False)
class _Waiter:
  want: SlotRequest
  avoid: frozenset[str]
  ready: anyio.Event
  row: endpoints.Row | None = None


class _Line:
  """Requests waiting for one kind of endpoint and model, by class."""

  def __init__(self) -> None:
    self.waiting: dict[model_lib.Klass, collections.deque[_Waiter]] = {
        klass: collections.deque() for klass in model_lib.Klass
    }
    self.urgent_run = 0
    """Places given to urgent requests in a row while others waited."""
    self.freed = 0
    self.rate: float | None = None
    """Places freed a second (moving average); None: not yet known."""

  def __len__(self) -> int:
    return sum(len(q) for q in self.waiting.values())


class Scheduler:
  """Hands out places at endpoints.

  Args:
    config: the router's settings, whole.
    table: the endpoints.
    clock: the time source.
  """

  def __init__(
      self,
      config: settings.Router,
      table: endpoints.Table,
      clock: clock_lib.Clock,
  ) -> None:
    self._config = config.scheduler
    self._datacentre = config.datacentre
    self._table = table
    self._clock = clock
    self._lines: dict[tuple[str, str], _Line] = {}
    self.counts: collections.Counter[str] = collections.Counter()

  def _wait_bound(self, klass: model_lib.Klass) -> float:
    if klass is model_lib.Klass.URGENT:
      return self._config.urgent_wait_s
    return self._config.deferrable_wait_s

  async def acquire(
      self, want: SlotRequest, avoid: frozenset[str] = frozenset()
  ) -> endpoints.Row | Shed:
    """Returns an endpoint with a place taken there, or a refusal.

    Whoever gets a row must `release` it.
    """
    if not self._table.eligible(want.kind, want.model, avoid):
      return Shed("no endpoint can take this request now", 1.0)
    line = self._lines.setdefault((want.kind, want.model), _Line())
    waiter = _Waiter(want, avoid, anyio.Event())
    if not len(line) and self._place(waiter):
      return waiter.row
    bound = self._wait_bound(want.klass)
    expected = self._expected_wait(line, want.klass)
    if expected > bound:
      self.counts[f"shed_{want.klass.value}"] += 1
      return Shed("all endpoints are busy", self._retry_after(expected))
    queue = line.waiting[self._queue(want.klass)]
    queue.append(waiter)
    self._dispatch(line)
    try:
      with anyio.move_on_after(bound):
        await waiter.ready.wait()
    except BaseException:  # the caller left while it waited
      self._withdraw(queue, waiter)
      if waiter.row is not None:
        self.release(waiter.row, want)
      raise
    if waiter.row is not None:
      return waiter.row
    self._withdraw(queue, waiter)
    self.counts[f"shed_{want.klass.value}"] += 1
    expected = self._expected_wait(line, want.klass)
    return Shed("all endpoints stayed busy", self._retry_after(expected))

  def _withdraw(
      self, queue: collections.deque[_Waiter], waiter: _Waiter
  ) -> None:
    if waiter in queue:
      queue.remove(waiter)

  def _queue(self, klass: model_lib.Klass) -> model_lib.Klass:
    """Returns the class whose queue `klass` joins: the baseline has one."""
    return model_lib.Klass.URGENT if self._fifo else klass

  def _expected_wait(self, line: _Line, klass: model_lib.Klass) -> float:
    """Returns seconds until a newcomer would get its place."""
    ahead = len(line.waiting[model_lib.Klass.URGENT])
    if klass is not model_lib.Klass.URGENT or self._fifo:
      ahead = len(line)
    if not ahead or line.rate is None:
      return 0.0
    return ahead / max(line.rate, _RATE_FLOOR)

  def _retry_after(self, expected: float) -> float:
    return max(_RETRY_AFTER_MIN_S, math.ceil(expected))

  @property
  def _fifo(self) -> bool:
    return self._config.policy == "fifo"

  def _place(self, waiter: _Waiter, its_turn: bool = False) -> bool:
    """Takes a place for `waiter`, if one is free for its class.

    A deferrable request whose turn it is may take the last place:
    urgent ones that never stop coming refill the places at once, and it
    would never see an endpoint less than three quarters full.
    """
    urgent = waiter.want.klass is model_lib.Klass.URGENT
    whole = urgent or its_turn or self._fifo
    row = self._table.choose(
        waiter.want.kind,
        waiter.want.model,
        self._datacentre,
        waiter.avoid,
        1.0 if whole else _DEFERRABLE_SHARE,
    )
    if row is None:
      return False
    row.in_flight += 1
    waiter.row = row
    waiter.ready.set()
    return True

  def _dispatch(self, line: _Line) -> None:
    """Gives free places to those who wait, in the order of the policy."""
    urgent, deferrable = model_lib.Klass.URGENT, model_lib.Klass.DEFERRABLE
    while len(line):
      its_turn = line.urgent_run >= self._config.deferrable_every - 1
      order = (deferrable, urgent) if its_turn else (urgent, deferrable)
      for klass in order:
        queue = line.waiting[klass]
        if queue and self._place(queue[0], its_turn):
          queue.popleft()
          self._note_turn(line, klass)
          break
      else:
        return

  def _note_turn(self, line: _Line, klass: model_lib.Klass) -> None:
    others = line.waiting[model_lib.Klass.DEFERRABLE]
    if klass is model_lib.Klass.URGENT and others:
      line.urgent_run += 1
    else:
      line.urgent_run = 0

  def release(self, row: endpoints.Row, want: SlotRequest) -> None:
    """Gives a place back."""
    row.in_flight -= 1
    line = self._lines.get((want.kind, want.model))
    if line is not None:
      line.freed += 1
      self._dispatch(line)

  def dispatch(self) -> None:
    """Hands out places that came free in other ways than by `release`."""
    for line in self._lines.values():
      self._dispatch(line)

  def tick(self, elapsed_s: float) -> None:
    """Updates the rates, and hands out places of limits that grew."""
    for line in self._lines.values():
      if line.freed or len(line):
        rate = line.freed / max(elapsed_s, 1e-3)
        old = rate if line.rate is None else line.rate
        line.rate = old + _RATE_WEIGHT * (rate - old)
      line.freed = 0
    self.dispatch()
