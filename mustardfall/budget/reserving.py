"""Reserves tokens for a caller that waits for a limited time."""

import logging

import anyio
from anyio import abc

from mustardfall.budget import allotment
from mustardfall.budget import pool as pool_lib

logger = logging.getLogger(__name__)


class Reserver:
  """Reserves tokens within a time limit.

  Work that a reservation starts, such as a grant request to the store,
  continues in the background after the limit: a caller must not wait for a
  store that does not answer.

  Args:
    pool: the budgets.
    tasks: the task group for work that outlives a request.
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
    """Returns a reservation, or None if there was none in time."""
    pending = _PendingReservation()

    async def _reserve() -> None:
      try:
        pending.found = await self._pool.reserve(budget, tokens, budget)
      except Exception:  # noqa: BLE001  other requests must continue
        # An error here would cancel the task group and with it the router. The
        # request goes without tokens.
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
      # A caller cancelled at the moment when its tokens arrive has not taken
      # them; without this they would stay reserved forever.
      pending.abandoned = True
      self._return(pending.take())

  def _return(self, reservation: allotment.Reservation | None) -> None:
    if reservation is not None:
      self._pool.settle(reservation, 0)


class _PendingReservation:
  """A reservation in progress, and whether its caller still waits."""

  def __init__(self) -> None:
    self.done = anyio.Event()
    self.found: allotment.Reservation | None = None
    self.abandoned = False

  def take(self) -> allotment.Reservation | None:
    """Returns the reservation to the first call only."""
    found, self.found = self.found, None
    return found
