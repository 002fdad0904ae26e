"""Lets requests whose units may crash endpoints run one at a time.

Of all requests, at all routers, that have an open unit (see `quarantine`) one
holds the unit's permit; the others wait until it is cleared, or quarantined. A
request with several open units needs the permits of all of them.
"""

from collections.abc import Sequence
import logging
from typing import NamedTuple

import anyio

from mustardfall import metrics
from mustardfall.membership import permits as permits_lib
from mustardfall.routing import limited_endpoints
from mustardfall.routing import quarantine
from mustardfall.routing import rate_limits
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MAX_WAIT_S = 1.0
"""Longest time until a permit is asked for again."""
_MAX_PERMIT_WAIT_S = 0.01
_AMBIGUOUS_WAIT_S = 1.0
"""How long a request waits for each further open unit. A trial with one of them
says more, so that requests with fewer go first."""


class Trial(NamedTuple):
  """The permits of a request with open units."""

  permits: dict[str, permits_lib.Permit]
  """By unit."""


class Trials:
  """Admits requests with open units.

  Args:
    table: the standings of units.
    permits: issues one permit at a time for each unit.
    instruments: exports counters.
    clock: the time source.
  """

  def __init__(
      self,
      table: quarantine.Table,
      permits: permits_lib.Permits,
      instruments: metrics.Instruments,
      clock: clock_lib.Clock,
  ) -> None:
    self._table = table
    self._permits = permits
    self._clock = clock
    self.waiting = 0
    """Requests that wait for a trial of another to end."""
    self._counts = {"waited": 0, "begun": 0, "crashed": 0}
    instruments.observe_totals(
        "mustardfall.trials", "", "requests with open units", self._counts
    )

  async def begin(self, request: str, units: Sequence[str]) -> Trial | None:
    """Waits until a request may run.

    Args:
      request: the request's id, for the log.
      units: its units.

    Returns:
      Its permits, which the caller must `end`; None if no unit is open, or one
      is quarantined now.
    """
    open_units = self._table.open_units(units)
    if not open_units:
      return None
    began_at = self._clock.monotonic()
    self._log("request waits for a trial", request, open_units, 0.0)
    trial = None
    self._counts["waited"] += 1
    self.waiting += 1
    try:
      while trial is None and open_units:
        trial, retry_s = await self._try(open_units, began_at)
        if trial is None:
          with anyio.move_on_after(retry_s):
            await self._table.wait_for_change()
          open_units = self._open_units(units)
    finally:
      self.waiting -= 1
    waited_s = self._clock.monotonic() - began_at
    self._counts["begun"] += trial is not None
    event = "trial begins" if trial else "request waits no longer"
    self._log(event, request, list(trial.permits) if trial else [], waited_s)
    return trial

  def _open_units(self, units: Sequence[str]) -> list[str]:
    """Returns the open units; none if one is quarantined."""
    if any(self._table.remaining_s(unit) for unit in units):
      return []
    return self._table.open_units(units)

  async def _try(
      self, units: Sequence[str], began_at: float
  ) -> tuple[Trial | None, float]:
    """Returns the permits of all units, or None and when to ask again."""
    waited_s = self._clock.monotonic() - began_at
    early_s = _AMBIGUOUS_WAIT_S * (len(units) - 1) - waited_s
    if early_s > 0:
      return None, min(early_s, _MAX_WAIT_S)
    trial = Trial({})
    try:
      for unit in units:
        limit = limited_endpoints.LimitedEndpoint(
            unit, "", rate_limits.MAX_PER_S, 1
        )
        permit = await self._permits.acquire(limit, _MAX_PERMIT_WAIT_S)
        if not permit.is_granted:
          return None, min(permit.retry_s, _MAX_WAIT_S)
        trial.permits[unit] = permit
      return trial, 0.0
    finally:
      if len(trial.permits) < len(units):
        self.end(trial, "another unit is being tried")

  def end(self, trial: Trial, outcome: str) -> None:
    """Ends a trial; its units may be tried again."""
    for unit, permit in trial.permits.items():
      self._permits.end(unit, permit)
    if trial.permits:
      logger.info(
          "trial ended",
          extra={"units": list(trial.permits), "outcome": outcome},
      )

  def abandon(self, trial: Trial) -> None:
    """Ends a trial that crashed its endpoint as that began its answer.

    Its permits are not given back but expire, so that all routers learn of the
    crash before the next trial.
    """
    self._counts["crashed"] += 1
    for unit, permit in trial.permits.items():
      self._permits.abandon(unit, permit)
    logger.info(
        "trial ended",
        extra={"units": list(trial.permits), "outcome": "endpoint crashed"},
    )

  def _log(
      self, event: str, request: str, units: Sequence[str], waited_s: float
  ) -> None:
    extra = {
        "request": request,
        "units": units,
        "crashes": [self._table.crash_count(unit) for unit in units],
        "waited_s": round(waited_s, 3),
        "waiting": self.waiting,
    }
    logger.info(event, extra=extra)
