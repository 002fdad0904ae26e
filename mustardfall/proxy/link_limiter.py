"""Moves callers to other routers while this host's network link is full."""

import collections
from collections.abc import Callable
import logging
import random

import anyio

from mustardfall import metrics
from mustardfall import settings
from mustardfall.proxy import host_load as host_load_lib
from mustardfall.routing import link_relief
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_INTERVAL_S = 0.2
"""Time between two decisions."""


class LinkLimiter:
  """Answers readiness checks and closes connections for the link's sake.

  Args:
    config: all of the router's settings.
    clock: the time source.
    host_load: measures the use of the link.
    has_others: whether other routers are up.
    instruments: counts what was done.
    rng: draws the connections that are closed.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      host_load: host_load_lib.HostLoad,
      has_others: Callable[[], bool],
      instruments: metrics.Instruments,
      rng: random.Random | None = None,
  ) -> None:
    self._is_enabled = (
        config.proxy.relieves_link and config.limits.link_mbps > 0
    )
    self._clock = clock
    self._host_load = host_load
    self._has_others = has_others
    self._state = link_relief.State()
    self._random = rng or random.Random()
    self._failed_checks = 0
    self._counts: collections.Counter[str] = collections.Counter()
    instruments.observe_totals(
        "mustardfall.link_relief",
        "",
        "readiness checks failed and connections closed as the link was full",
        self._counts,
    )

  def answer_check(self) -> bool:
    """Whether the load balancer may open connections; call for each check."""
    if self._state.phase is link_relief.Phase.OPEN:
      self._failed_checks = 0
      return True
    self._failed_checks += 1
    self._counts["not ready"] += 1
    return False

  def closes_connection(self, drawn_in: int) -> tuple[bool, int]:
    """Draws whether to close a connection after the response that is due.

    Each connection is drawn once in a round, also if it is used often.

    Args:
      drawn_in: the round in which the connection was last drawn.

    Returns:
      Whether to close it, and the round in which it was drawn now.
    """
    state = self._state
    if state.phase is not link_relief.Phase.MOVING or drawn_in == state.rounds:
      return False, drawn_in
    is_closed = self._random.random() < state.closed_share
    self._counts["closed" if is_closed else "kept"] += 1
    return is_closed, state.rounds

  async def run(self) -> None:
    """Decides at intervals until cancelled."""
    if not self._is_enabled:
      await anyio.sleep_forever()
    while True:
      await anyio.sleep(_INTERVAL_S)
      self.update()

  def update(self) -> None:
    """Decides anew from what is measured now."""
    before = self._state
    if before.phase is link_relief.Phase.OPEN:
      self._failed_checks = 0
    if not self._has_others():
      self._state = link_relief.State()
    else:
      sample = link_relief.Sample(
          self._host_load.link_utilisation, self._failed_checks
      )
      now = self._clock.monotonic()
      self._state = link_relief.update(before, sample, now)
    is_new_round = self._state.rounds != before.rounds
    is_closing = is_new_round and self._state.closed_share > 0
    if self._state.phase is not before.phase or is_closing:
      self._log(before)

  def _log(self, before: link_relief.State) -> None:
    extra = {
        "phase": self._state.phase.value,
        "before": before.phase.value,
        "closed_share": round(self._state.closed_share, 3),
        "rounds": self._state.rounds,
        "failed_checks": self._failed_checks,
        "counts": dict(self._counts),
        **self._host_load.describe(),
    }
    logger.info("link relief changed", extra=extra)
