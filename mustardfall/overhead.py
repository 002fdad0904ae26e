"""Counts a router's control traffic (calls, datagrams) and processor time."""

import collections
from collections.abc import Callable
import logging
import time

import anyio

from mustardfall import metrics

logger = logging.getLogger(__name__)

_LOG_INTERVAL_S = 10.0
"""Interval between two log lines: long enough to keep the log small, short
enough to date a burst of control traffic."""
_KIND_SEGMENTS = 3
"""Segments of a path that name the kind of call; ids come after them."""


class Overhead:
  """Counts calls and datagrams by kind, and logs them with processor time.

  Args:
    instruments: exports the totals as metrics.
    processor_s: returns the processor time used so far, seconds.
  """

  def __init__(
      self,
      instruments: metrics.Instruments,
      processor_s: Callable[[], float] = time.process_time,
  ) -> None:
    self._processor_s = processor_s
    self.counts: collections.Counter[str] = collections.Counter()
    """Number of calls and datagrams so far, by kind."""
    self.sizes: collections.Counter[str] = collections.Counter()
    """Bytes of their payloads so far, by kind."""
    instruments.observe_totals(
        "mustardfall.control",
        "",
        "calls and datagrams beside requests",
        self.counts,
    )
    instruments.observe_totals(
        "mustardfall.control_bytes",
        "By",
        "contents of those calls and datagrams",
        self.sizes,
    )

  def record(self, kind: str, size: int) -> None:
    """Counts a call or datagram of `size` bytes, both directions together."""
    self.counts[kind] += 1
    self.sizes[kind] += size

  async def run(self) -> None:
    """Logs the counts since the previous line, until cancelled."""
    used_s = 0.0
    counts, sizes = self.counts.copy(), self.sizes.copy()
    while True:
      await anyio.sleep(_LOG_INTERVAL_S)
      previous_s, used_s = used_s, self._processor_s()
      logger.info(
          "overhead",
          extra={
              "seconds": _LOG_INTERVAL_S,
              "processor_s": round(used_s - previous_s, 3),
              "counts": dict(self.counts - counts),
              "bytes": dict(self.sizes - sizes),
          },
      )
      counts, sizes = self.counts.copy(), self.sizes.copy()


def call_kind(target: str) -> str:
  """Returns the kind of a call to `target`: its path without ids."""
  path = target.partition("?")[0]
  return "/".join(path.split("/")[:_KIND_SEGMENTS])
