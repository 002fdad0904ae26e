"""The connections of a port that wait to be accepted.

A load balancer may open more connections at one process than it can serve. Those
that it closes without having read a request are opened again at other processes,
while those that wait here time out.
"""

import logging
import socket
from typing import NamedTuple

import anyio
from anyio import abc

from mustardfall.util import sockets

logger = logging.getLogger(__name__)

_MAX_STANDING_S = 0.15
"""How long connections may have been waiting without a break."""
_MIN_ACCEPTED_CONNECTIONS = 8
"""Connections that must have been accepted in that time. After a pause of the
process, some wait although it keeps up with them."""
_MAX_CLOSED_CONNECTIONS = 512
"""Connections closed at once: the length of the queue."""


class Backlog(NamedTuple):
  """What is known of the connections that wait."""

  standing_s: float
  """Seconds since none was waiting."""
  accepted: int
  """Connections accepted since then."""


def is_overloaded(backlog: Backlog) -> bool:
  """Whether more connections are opened than the process serves."""
  is_standing = backlog.standing_s > _MAX_STANDING_S
  return is_standing and backlog.accepted >= _MIN_ACCEPTED_CONNECTIONS


class AcceptQueue:
  """Closes connections that wait at a port while the process is overloaded.

  Args:
    purpose: what the port is for; logged.
    listener: the open port.
  """

  def __init__(self, purpose: str, listener: abc.SocketListener) -> None:
    self._purpose = purpose
    self._socket: socket.socket = listener.extra(abc.SocketAttribute.raw_socket)
    self._empty_at = anyio.current_time()
    self._is_empty = True
    self._accepted = 0

  def shed(self) -> None:
    """Closes all connections that wait if there are too many; call often."""
    self._is_empty = not sockets.is_ready(self._socket)
    standing_s = anyio.current_time() - self._empty_at
    backlog = Backlog(standing_s, self._accepted)
    if self._is_empty or not is_overloaded(backlog):
      return
    extra = {
        "serves": self._purpose,
        "closed": self._close_waiting(),
        "standing_s": round(standing_s, 3),
        "accepted": self._accepted,
    }
    logger.info("waiting connections closed", extra=extra)
    self._is_empty = True
    self._restart()

  def note_accepted(self) -> None:
    """Records that a connection was accepted."""
    if self._is_empty:
      self._restart()
    self._accepted += 1

  def _restart(self) -> None:
    self._empty_at, self._accepted = anyio.current_time(), 0

  def _close_waiting(self) -> int:
    """Closes the connections that wait, unread; returns their number."""
    for number in range(_MAX_CLOSED_CONNECTIONS):
      try:
        connection, _ = self._socket.accept()
      except OSError:  # none is waiting any more, or no descriptor is free
        return number
      connection.close()
    return _MAX_CLOSED_CONNECTIONS
