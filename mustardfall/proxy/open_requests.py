"""The requests of a server from their heads to the ends of their responses."""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import logging

import anyio

from mustardfall import errors
from mustardfall.proxy import draining
from mustardfall.proxy import messages
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_POLL_INTERVAL_S = 0.02
_FINAL_RESPONSE_S = 0.25
"""How long the responses to requests that were given up may take."""
_FIRST_REQUEST_S = 0.1
"""How long the first request of a connection is waited for once no further
connections are accepted."""

EstimateNeed = Callable[[messages.Request], draining.Need]
"""Returns the time that a request takes, by its head."""


@dataclasses.dataclass(eq=False)
class OpenRequest:
  """A request whose head has been read."""

  request: messages.Request
  head_read_at: float
  """Monotonic seconds."""
  reading: anyio.CancelScope | None = None
  """Ends the reading of its body; None: the body is not being read."""


class OpenRequests:
  """The open requests of one server, and its connections that end.

  Args:
    drain: the stop of the process.
    clock: the time source.
    estimate_need: estimates the time that a request takes.
    count_new: returns the number of connections that have brought no request.
  """

  def __init__(
      self,
      drain: draining.Drain,
      clock: clock_lib.Clock,
      estimate_need: EstimateNeed,
      count_new: Callable[[], int],
  ) -> None:
    self._drain = drain
    self._clock = clock
    self._estimate_need = estimate_need
    self._count_new = count_new
    self._open: set[OpenRequest] = set()
    self._closing_count = 0
    """Connections that are being shut down after their last response."""

  def __len__(self) -> int:
    return len(self._open)

  def open(self, request: messages.Request) -> OpenRequest:
    """Adds a request whose head has been read."""
    open_request = OpenRequest(request, self._clock.monotonic())
    self._open.add(open_request)
    return open_request

  def close(self, open_request: OpenRequest) -> None:
    """Removes a request whose response is complete or was given up."""
    self._open.discard(open_request)

  def check(self, open_request: OpenRequest) -> None:
    """Checks that a request is still served, before its body is read.

    Raises:
      errors.OverloadedError: the process stops, and the request never runs.
    """
    if self._is_too_late(open_request):
      raise self._refusal(open_request)

  @contextlib.contextmanager
  def reading(self, open_request: OpenRequest) -> Iterator[None]:
    """Ends the reading of a body once the request can no longer be served.

    Raises:
      errors.OverloadedError: the process stops, and the request never runs.
    """
    with anyio.CancelScope() as scope:
      open_request.reading = scope
      try:
        yield
      finally:
        open_request.reading = None
    if scope.cancelled_caught:
      raise self._refusal(open_request)

  def _refusal(self, open_request: OpenRequest) -> errors.OverloadedError:
    need = self._estimate_need(open_request.request)
    extra = {
        "request": open_request.request.id,
        "left_s": round(self._drain.left_s, 3),
        **need._asdict(),
    }
    logger.info("request refused by a stopping router", extra=extra)
    return errors.OverloadedError("router stops", draining.RETRY_AFTER_S)

  @contextlib.contextmanager
  def closing(self) -> Iterator[None]:
    """Counts a connection that is shut down after its last response."""
    self._closing_count += 1
    try:
      yield
    finally:
      self._closing_count -= 1

  def _is_too_late(self, open_request: OpenRequest) -> bool:
    action = self._drain.decide(
        draining.Stage.READING,
        open_request.head_read_at,
        self._estimate_need(open_request.request),
    )
    return action is draining.Action.REFUSE

  def _refuse_late(self) -> None:
    for open_request in self._open:
      if open_request.reading is not None and self._is_too_late(open_request):
        open_request.reading.cancel()

  async def wait(self, on_poll: Callable[[], None]) -> bool:
    """Waits for the open requests while the drain lasts.

    Requests that are not read completely in time are refused meanwhile.

    Args:
      on_poll: called periodically.

    Returns:
      Whether all of them ended.
    """
    while self._open and self._drain.left_s:
      on_poll()
      self._refuse_late()
      await anyio.sleep(min(_POLL_INTERVAL_S, self._drain.left_s))
    return not self._open

  async def wait_for_final_responses(self) -> None:
    """Waits for the responses to requests that were given up."""
    with anyio.move_on_after(_FINAL_RESPONSE_S):
      while self._open:
        self._refuse_late()
        await anyio.sleep(_POLL_INTERVAL_S)

  async def wait_until_answered(self) -> None:
    """Waits for all responses, also to first requests of connections."""
    first_request_until = anyio.current_time() + _FIRST_REQUEST_S
    while self._open or self._closing_count or self._count_new():
      is_answered = not (self._open or self._closing_count)
      if is_answered and anyio.current_time() >= first_request_until:
        return
      await anyio.sleep(_POLL_INTERVAL_S)
