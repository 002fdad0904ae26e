"""Logging as JSON lines, set up in the same way by every daemon.

The daemons log each decision that affects a request or changes their view of
the system. `BoundedHandler` never blocks: if nobody reads the output, lines are
dropped and counted, and requests are not delayed.
"""

import logging
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger import json as jsonlogger

_MAX_LINES_PER_S = 400
"""Maximum number of lines per second, ten times the highest request rate of a
host. Further lines are dropped and counted, so that a burst of log lines does
not take processor time from requests."""


class BoundedHandler(logging.Handler):
  """Writes lines to a pipe or file without blocking, at a limited rate.

  Args:
    stream: the output; its descriptor must be non-blocking.
    max_lines_per_s: maximum number of lines per second.
  """

  def __init__(
      self, stream: TextIO, max_lines_per_s: int = _MAX_LINES_PER_S
  ) -> None:
    super().__init__()
    self._fd = stream.fileno()
    self._max_lines_per_s = max_lines_per_s
    self._current_second = 0
    self._lines_this_second = 0
    self.dropped = 0
    """Number of lines dropped since the last line that was written."""

  def emit(self, record: logging.LogRecord) -> None:
    """Writes the record as a line, or counts it as dropped."""
    second = int(time.monotonic())
    if second != self._current_second:
      self._current_second, self._lines_this_second = second, 0
    if self._lines_this_second >= self._max_lines_per_s:
      self.dropped += 1
      return
    self._lines_this_second += 1
    if self.dropped:
      record.dropped = self.dropped
    try:
      line = self.format(record) + "\n"
      os.write(self._fd, line.encode())
      self.dropped = 0
    except BlockingIOError:
      self.dropped += 1
    except Exception:  # noqa: BLE001  no error in logging may reach the caller
      self.handleError(record)


def setup(role: str, level: str = "INFO", stream: TextIO | None = None) -> None:
  """Makes the root logger write JSON lines to `stream`.

  Args:
    role: the daemon's role, the field `role` of every line.
    level: name of a standard logging level.
    stream: written without blocking; None: standard error, which may block.
  """
  handler: logging.Handler
  if stream is None:
    handler = logging.StreamHandler(sys.stderr)
  else:
    os.set_blocking(stream.fileno(), False)
    handler = BoundedHandler(stream)
  handler.setFormatter(
      jsonlogger.JsonFormatter(
          "%(asctime)s %(levelname)s %(name)s %(message)s",
          static_fields={"role": role},
      )
  )
  root = logging.getLogger()
  root.handlers[:] = [handler]
  root.setLevel(level)
  logging.getLogger("hypercorn.access").setLevel(logging.WARNING)
  logging.getLogger("httpx").setLevel(logging.WARNING)
