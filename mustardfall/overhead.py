"""What a router spends beside its requests: calls, datagrams, processor time."""

import collections
from collections.abc import Callable
import logging
import time

import anyio

from mustardfall import metrics

logger = logging.getLogger(__name__)

_REPORT_S = 10.0
"""Between two log lines: few enough to stay, close enough to date a storm."""
_PATH_PARTS = 3
"""Parts of a path that name a call; ids come after them."""


class Overhead:
  """Counts calls and datagrams by kind, and logs them with processor time.

  Args:
    instruments: serves the totals.
    processor_s: returns the processor time used so far, seconds.
  """

  def __init__(
      self,
      instruments: metrics.Instruments,
      processor_s: Callable[[], float] = time.process_time,
  ) -> None:
    self._processor_s = processor_s
    self.counts: collections.Counter[str] = collections.Counter()
    """Calls and datagrams so far, by kind."""
    self.sizes: collections.Counter[str] = collections.Counter()
    """Bytes of their contents so far, by kind."""
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

  def note(self, kind: str, size: int) -> None:
    """Notes a call or datagram of `size` bytes, both ways together."""
    self.counts[kind] += 1
    self.sizes[kind] += size

  async def run(self) -> None:
    """Logs what was spent since the last line, until cancelled."""
    used_s = 0.0
    counts, sizes = self.counts.copy(), self.sizes.copy()
    while True:
      await anyio.sleep(_REPORT_S)
      before_s, used_s = used_s, self._processor_s()
      logger.info(
          "overhead",
          extra={
              "seconds": _REPORT_S,
              "processor_s": round(used_s - before_s, 3),
              "counts": dict(self.counts - counts),
              "bytes": dict(self.sizes - sizes),
          },
      )
      counts, sizes = self.counts.copy(), self.sizes.copy()


def name_call(target: str) -> str:
  """Returns the kind of a call to `target`: its path without ids."""
  path = target.partition("?")[0]
  return "/".join(path.split("/")[:_PATH_PARTS])
