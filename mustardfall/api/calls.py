"""One admitted request: its tokens, its record and its bill.

`Call` is a context manager around everything a handler does for a
request after admission. However the handler ends (an answer, an error,
the caller gone), the reservation is settled exactly once and the place
at the endpoint is given back.
"""

from collections.abc import Iterator
import contextlib
import enum
from typing import Any

from mustardfall import errors
from mustardfall import idempotency
from mustardfall import router as router_lib
from mustardfall import verdict
from mustardfall.budget import allotment
from mustardfall.catalogue import table
from mustardfall.routing import endpoints
from mustardfall.routing import scheduler


class End(enum.StrEnum):
  """How a call ended, as counted in the metrics."""

  COMPLETED = "completed"
  NOT_RUN = "not_run"
  MAY_HAVE_RUN = "may_have_run"
  REFUSED = "refused"
  SHED = "shed"
  REPLAYED = "replayed"


def attributes(entry: table.CallerEntry) -> dict[str, str]:
  """Returns the metric attributes of an entry: tenant and class."""
  return {"customer": entry.customer, "class": entry.klass.value}


def count(
    router: router_lib.Router, entry: table.CallerEntry, end: End
) -> None:
  """Counts one request's end."""
  router.instruments.outcomes.add(
      1, {**attributes(entry), "outcome": end.value}
  )
  router.counts[end.value] += 1


async def admit(
    router: router_lib.Router, entry: table.CallerEntry, tokens: int
) -> "Call | verdict.Verdict":
  """Admits a request that may use `tokens`, or refuses it at once."""
  router.retries.deposit()
  reservation = await router.pool.reserve(entry.name, tokens, entry.customer)
  if reservation is None:
    count(router, entry, End.REFUSED)
    # A router that draws through the budget's owner may never have seen the
    # ledger; told to come back, a hopeless request would do so for ever.
    known = await router.accounts.fetch_balance(entry.name)
    if known is not None and tokens > known.limit:
      # Come back, and it would be refused for ever.
      return verdict.refuse(
          f"needs {tokens} tokens, the whole budget has {known.limit}",
          None,
          402,
      )
    return verdict.refuse(
        "budget cannot cover this request now", router.config.retry_after_s
    )
  return Call(router, entry, reservation)


class Call:
  """An admitted request.

  Args:
    router: the router.
    entry: the caller's entry.
    reservation: the tokens set aside for it.
  """

  def __init__(
      self,
      router: router_lib.Router,
      entry: table.CallerEntry,
      reservation: allotment.Reservation,
  ) -> None:
    self.router = router
    self.entry = entry
    self.reservation = reservation
    self._started = router.clock.monotonic()
    self._sent = self._started
    self._answered = False
    self._settled = False
    self._handed_over = False
    self._want: scheduler.SlotRequest | None = None
    self.row: endpoints.Row | None = None
    self._idem_key = ""
    self._claim = ""
    """This try's claim on the caller's Idempotency-Key, if any."""

  @contextlib.contextmanager
  def unless_handed_over(self) -> Iterator[None]:
    """Ends the call with the block, unless `hand_over` was called in it."""
    try:
      yield
    finally:
      if not self._handed_over:
        self.__exit__(None, None, None)

  def hand_over(self) -> "Call":
    """Leaves the end of the call to whoever enters it next."""
    self._handed_over = True
    return self

  def __enter__(self) -> "Call":
    return self

  def __exit__(self, *_) -> None:
    # Reached with the call unsettled when the caller left or a handler
    # broke. With a place taken, the endpoint may have the request, so it
    # is billed in full; without one it never ran.
    if self.row is None:
      self.settle(0, End.NOT_RUN)
    else:
      self.settle(None, End.MAY_HAVE_RUN)
    self.release()

  async def take_place(
      self, kind: str, model_name: str, avoid: frozenset[str]
  ) -> scheduler.NoSlot | None:
    """Takes a place at an endpoint; returns the refusal, or None."""
    want = scheduler.SlotRequest(kind, model_name, self.entry.klass)
    got = await self.router.scheduler.acquire(want, avoid)
    if isinstance(got, scheduler.NoSlot):
      return got
    self._want, self.row = want, got
    self._sent = self.router.clock.monotonic()
    return None

  def await_first_token(self) -> None:
    """Notes that a stream's first token is due, for the limits."""
    self.row.awaiting_first_token[id(self)] = self._sent

  def release(self) -> None:
    """Gives the place back, if one is held."""
    if self.row is not None:
      row, self.row = self.row, None
      row.awaiting_first_token.pop(id(self), None)
      self.router.scheduler.release(row, self._want)

  def note_first_token(self, adapt_limit: bool = True) -> None:
    """Notes the time to first token, for the metrics and the limits.

    Args:
      adapt_limit: whether the time says how busy the endpoint is; a whole
        answer's time mostly says how long the answer was.
    """
    if self._answered:
      return
    self._answered = True
    now = self.router.clock.monotonic()
    self.router.instruments.ttft.record(
        now - self._started, attributes(self.entry)
    )
    if adapt_limit and self.row is not None:
      self.row.awaiting_first_token.pop(id(self), None)
      self.router.endpoints.adapt_limit(self.row, now - self._sent, now)

  def settle(self, used: int | None, end: End) -> int:
    """Bills `used` tokens (the whole reservation when None), once.

    Returns:
      The tokens billed; 0 when the call was settled before.
    """
    if self._settled:
      return 0
    self._settled = True
    tokens = self.reservation.tokens if used is None else used
    settled = self.router.pool.settle(self.reservation, tokens)
    marks = attributes(self.entry)
    self.router.counts["billed_tokens"] += settled.billed
    self.router.instruments.tokens.record(settled.billed, marks)
    if settled.overrun:
      self.router.counts["overrun_tokens"] += settled.overrun
      self.router.instruments.overrun.add(settled.overrun, marks)
    count(self.router, self.entry, end)
    return settled.billed

  async def claim_key(
      self, idem_key: str, body: dict[str, Any]
  ) -> idempotency.Record | verdict.Verdict | None:
    """Claims the caller's Idempotency-Key for a call with `body`.

    Returns:
      None when the call is this one's to send. Else the call is settled,
      and the record of an earlier try or a refusal says why.
    """
    claim = self.router.new_claim()
    print_ = idempotency.fingerprint(body)
    try:
      earlier = await idempotency.claim(
          self.router.writer, self.entry.name, idem_key, claim, print_
      )
    except errors.KvUnavailableError:
      self.settle(0, End.NOT_RUN)
      retry_after_s = self.router.config.retry_after_s
      return verdict.refuse("cannot record the call", retry_after_s, 503)
    if earlier is None:
      self._idem_key, self._claim = idem_key, claim
      return None
    self.settle(0, End.REPLAYED)
    if earlier.get("fingerprint", print_) != print_:
      return verdict.refuse(
          "this Idempotency-Key was used for another request", None, 422
      )
    return earlier

  async def record(
      self, state: idempotency.State, status: int = 0, body: object = None
  ) -> None:
    """Records the outcome, if the call came with an Idempotency-Key."""
    if self._claim:
      outcome = idempotency.Finish(self._claim, state, status, body)
      await idempotency.finish(
          self.router.writer, self.entry.name, self._idem_key, outcome
      )
