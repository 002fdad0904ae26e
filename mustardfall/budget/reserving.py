"""Reserves tokens for a caller that waits for a moment only."""

import logging

import anyio
from anyio import abc

from mustardfall.budget import allotment
from mustardfall.budget import pool as pool_lib

logger = logging.getLogger(__name__)


class Reserver:
  """Reserves soon, or gives up.

  What it may lead to (a grant asked of the store) goes on by itself: a
  caller must not wait out a store that does not answer.

  Args:
    pool: the budgets.
    tasks: where work that outlives a request runs.
    wait_s: how long a caller waits for tokens, seconds.
  """

  def __init__(
      self, pool: pool_lib.Pool, tasks: abc.TaskGroup, wait_s: float
  ) -> None:
    self._pool = pool
    self._tasks = tasks
    self._wait_s = wait_s

  async def reserve(
      self, budget: str, tokens: int
  ) -> allotment.Reservation | None:
    """Returns a reservation, or None when there was none in time."""
    pending = _PendingReservation()

    async def _reserve() -> None:
      try:
        pending.found = await self._pool.reserve(budget, tokens, budget)
      except Exception:  # noqa: BLE001  it runs beside all other requests
        # An error here would end the group of tasks that it runs in, and
        # with it the router. The request goes without tokens.
        logger.exception("reservation failed", extra={"budget": budget})
      pending.done.set()
      if pending.abandoned:
        self._return(pending.take())

    self._tasks.start_soon(_reserve)
    try:
      with anyio.move_on_after(self._wait_s):
        await pending.done.wait()
      return pending.take()
    finally:
      # A caller that leaves in the very moment in which its tokens come
      # has not taken them; kept, they would be set aside for ever.
      pending.abandoned = True
      self._return(pending.take())

  def _return(self, reservation: allotment.Reservation | None) -> None:
    if reservation is not None:
      self._pool.settle(reservation, 0)


class _PendingReservation:
  """A reservation that is being made, and whether anybody still waits."""

  def __init__(self) -> None:
    self.done = anyio.Event()
    self.found: allotment.Reservation | None = None
    self.abandoned = False

  def take(self) -> allotment.Reservation | None:
    """Returns the reservation, to one taker only."""
    found, self.found = self.found, None
    return found
