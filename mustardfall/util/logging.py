"""JSON-lines logging set-up shared by every daemon.

Counters go to metrics; a log line is written only for a change of state.
"""

import logging
import sys

from pythonjsonlogger import json as jsonlogger


def setup(role: str, level: str = "INFO") -> None:
  """Sends the root logger's records to stderr as JSON lines.

  Args:
    role: the daemon's role, added to every line as `role`.
    level: a standard logging level name.
  """
  handler = logging.StreamHandler(sys.stderr)
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
