"""JSON-lines logging set-up shared by every daemon.

A line is written for each decision that touches a request or changes what
the process believes. Writing never blocks: a reader that stops reading
costs lines, which are counted, and not the requests behind them.
"""

import logging
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger import json as jsonlogger

_LINES_PER_S = 400
"""Most lines a second: ten times a host's requests on its heaviest days.
Past it lines are dropped and counted, so that a log storm does not take
the processor time that requests need."""


class BoundedHandler(logging.Handler):
  """Writes lines to a pipe or file without ever waiting for it.

  Args:
    stream: where the lines go.
    lines_per_s: most lines a second.
  """

  def __init__(self, stream: TextIO, lines_per_s: int = _LINES_PER_S) -> None:
    super().__init__()
    self._fd = stream.fileno()
    self._lines_per_s = lines_per_s
    self._second = 0
    self._lines = 0
    self.dropped = 0
    """Lines not written since the last one that was."""

  def emit(self, record: logging.LogRecord) -> None:
    """Writes the record's line, or counts it as dropped."""
    second = int(time.monotonic())
    if second != self._second:
      self._second, self._lines = second, 0
    if self._lines >= self._lines_per_s:
      self.dropped += 1
      return
    self._lines += 1
    if self.dropped:
      record.dropped = self.dropped
    try:
      line = self.format(record) + "\n"
      os.write(self._fd, line.encode())
      self.dropped = 0
    except BlockingIOError:
      self.dropped += 1
    except Exception:  # noqa: BLE001  as logging does: a fault is no reason
      self.handleError(record)


def setup(role: str, level: str = "INFO", stream: TextIO | None = None) -> None:
  """Sends the root logger's records to `stream` as JSON lines.

  Args:
    role: the daemon's role, added to every line as `role`.
    level: a standard logging level name.
    stream: standard error when None.
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
