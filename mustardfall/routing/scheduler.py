"""Assigns free slots at endpoints to requests, and sheds excess requests.

Urgent requests go first. While both classes wait, one in a few freed slots goes
to a deferrable request, so that these are not starved. A request that is
expected to wait longer than its class allows is refused at once, with a time to
retry after, rather than queued until it is too late.
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
"""Weight of the newest tick in the moving average of slots freed per second."""
_MIN_RATE = 0.05
"""Lower bound on the slots freed per second, which is divided by."""
_DEFERRABLE_SHARE = 0.75
"""Part of an endpoint's limit that deferrable requests may use.

Engines do not preempt: if long deferrable requests used all slots, an urgent
one would have to wait for one of them to end."""
_MIN_RETRY_AFTER_S = 0.5


class NoSlot(NamedTuple):
  """No slot could be assigned: the reason, and the seconds to retry after."""

  reason: str
  retry_after_s: float


class SlotRequest(NamedTuple):
  """What a request needs a slot for."""

  kind: str
  """"engine" or "service"."""
  model: str
  klass: model_lib.Klass


@dataclasses.dataclass(eq=False)
class _Waiter:
  """A queued request; `row` is set when it gets a slot."""

  slot_request: SlotRequest
  avoid: frozenset[str]
  ready: anyio.Event
  row: endpoints.Row | None = None


class _Queues:
  """The queues of requests for one kind of endpoint and model, by class."""

  def __init__(self) -> None:
    self.waiting: dict[model_lib.Klass, collections.deque[_Waiter]] = {
        klass: collections.deque() for klass in model_lib.Klass
    }
    self.consecutive_urgent = 0
    """Slots given to urgent requests in a row while deferrable ones waited."""
    self.freed = 0
    """Slots freed since the last tick."""
    self.rate: float | None = None
    """Slots freed per second (moving average); None: not yet known."""

  def __len__(self) -> int:
    return sum(len(q) for q in self.waiting.values())


class Scheduler:
  """Assigns slots at endpoints.

  Args:
    config: the router's complete settings.
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
    self._queues: dict[tuple[str, str], _Queues] = {}
    self.counts: collections.Counter[str] = collections.Counter()

  def _wait_bound(self, klass: model_lib.Klass) -> float:
    """Returns the most seconds that a request of a class may wait."""
    if klass is model_lib.Klass.URGENT:
      return self._config.urgent_wait_s
    return self._config.deferrable_wait_s

  async def acquire(
      self, slot_request: SlotRequest, avoid: frozenset[str] = frozenset()
  ) -> endpoints.Row | NoSlot:
    """Waits for a slot; returns its endpoint, or a refusal.

    The caller must `release` the slot.

    Args:
      slot_request: what the slot is for.
      avoid: names of endpoints that the request was already sent to.
    """
    if not self._table.eligible(slot_request.kind, slot_request.model, avoid):
      return NoSlot("no endpoint can take this request now", 1.0)
    queues = self._queues.setdefault(
        (slot_request.kind, slot_request.model), _Queues()
    )
    waiter = _Waiter(slot_request, avoid, anyio.Event())
    if not len(queues) and self._assign_slot(waiter):
      return waiter.row
    bound = self._wait_bound(slot_request.klass)
    expected = self._expected_wait(queues, slot_request.klass)
    if expected > bound:
      self.counts[f"shed_{slot_request.klass.value}"] += 1
      return NoSlot("all endpoints are busy", self._retry_after(expected))
    queue = queues.waiting[self._queue_class(slot_request.klass)]
    queue.append(waiter)
    self._dispatch(queues)
    try:
      with anyio.move_on_after(bound):
        await waiter.ready.wait()
    except BaseException:  # cancelled: the caller disconnected while it waited
      self._withdraw(queue, waiter)
      if waiter.row is not None:
        self.release(waiter.row, slot_request)
      raise
    if waiter.row is not None:
      return waiter.row
    self._withdraw(queue, waiter)
    self.counts[f"shed_{slot_request.klass.value}"] += 1
    expected = self._expected_wait(queues, slot_request.klass)
    return NoSlot("all endpoints stayed busy", self._retry_after(expected))

  def _withdraw(
      self, queue: collections.deque[_Waiter], waiter: _Waiter
  ) -> None:
    if waiter in queue:
      queue.remove(waiter)

  def _queue_class(self, klass: model_lib.Klass) -> model_lib.Klass:
    """Returns the class whose queue `klass` joins: "fifo" uses a single one."""
    return model_lib.Klass.URGENT if self._fifo else klass

  def _expected_wait(self, queues: _Queues, klass: model_lib.Klass) -> float:
    """Returns the seconds that a new request is expected to wait."""
    ahead = len(queues.waiting[model_lib.Klass.URGENT])
    if klass is not model_lib.Klass.URGENT or self._fifo:
      ahead = len(queues)
    if not ahead or queues.rate is None:
      return 0.0
    return ahead / max(queues.rate, _MIN_RATE)

  def _retry_after(self, expected: float) -> float:
    return max(_MIN_RETRY_AFTER_S, math.ceil(expected))

  @property
  def _fifo(self) -> bool:
    return self._config.policy == "fifo"

  def _assign_slot(
      self, waiter: _Waiter, deferrable_turn: bool = False
  ) -> bool:
    """Gives `waiter` a slot if one is free for its class.

    A deferrable request whose turn it is may take the last slot: under a steady
    load of urgent requests, freed slots are refilled at once, and an endpoint's
    use would never fall below the deferrable share of three quarters.
    """
    urgent = waiter.slot_request.klass is model_lib.Klass.URGENT
    full_share = urgent or deferrable_turn or self._fifo
    row = self._table.choose(
        waiter.slot_request.kind,
        waiter.slot_request.model,
        self._datacentre,
        waiter.avoid,
        1.0 if full_share else _DEFERRABLE_SHARE,
    )
    if row is None:
      return False
    row.in_flight += 1
    waiter.row = row
    waiter.ready.set()
    return True

  def _dispatch(self, queues: _Queues) -> None:
    """Assigns free slots to waiting requests in the order of the policy."""
    urgent, deferrable = model_lib.Klass.URGENT, model_lib.Klass.DEFERRABLE
    while len(queues):
      deferrable_turn = (
          queues.consecutive_urgent >= self._config.deferrable_every - 1
      )
      order = (deferrable, urgent) if deferrable_turn else (urgent, deferrable)
      for klass in order:
        queue = queues.waiting[klass]
        if queue and self._assign_slot(queue[0], deferrable_turn):
          queue.popleft()
          self._count_turn(queues, klass)
          break
      else:
        return

  def _count_turn(self, queues: _Queues, klass: model_lib.Klass) -> None:
    others = queues.waiting[model_lib.Klass.DEFERRABLE]
    if klass is model_lib.Klass.URGENT and others:
      queues.consecutive_urgent += 1
    else:
      queues.consecutive_urgent = 0

  def release(self, row: endpoints.Row, slot_request: SlotRequest) -> None:
    """Frees a slot and assigns it to a waiting request, if any."""
    row.in_flight -= 1
    queues = self._queues.get((slot_request.kind, slot_request.model))
    if queues is not None:
      queues.freed += 1
      self._dispatch(queues)

  def dispatch(self) -> None:
    """Assigns slots that became free in other ways than by `release`."""
    for queues in self._queues.values():
      self._dispatch(queues)

  def tick(self, elapsed_s: float) -> None:
    """Updates the rates, and assigns slots that raised limits have added."""
    for queues in self._queues.values():
      if queues.freed or len(queues):
        rate = queues.freed / max(elapsed_s, 1e-3)
        old = rate if queues.rate is None else queues.rate
        queues.rate = old + _RATE_WEIGHT * (rate - old)
      queues.freed = 0
    self.dispatch()
