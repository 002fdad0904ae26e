"""An admitted request: token reservation, idempotency record and billing.

`Call` is a context manager around everything a handler does for a
request after admission. However the handler ends (a response, an error
or a disconnected caller), the reservation is settled exactly once and
the endpoint's slot is released.
"""

from collections.abc import Iterator
import contextlib
import enum
import random
from typing import Any

import httpx

from mustardfall import errors
from mustardfall import idempotency
from mustardfall import router as router_lib
from mustardfall import verdict
from mustardfall.budget import allotment
from mustardfall.catalogue import table
from mustardfall.routing import endpoints
from mustardfall.routing import scheduler
from mustardfall.routing import statements
from mustardfall.util import retry_after

_MAX_LOGGED_CHARS = 40
"""Length to which a value is shortened for the log."""


class CallResult(enum.StrEnum):
  """How a call ended; the value is the `outcome` label of the metrics."""

  COMPLETED = "completed"
  NOT_RUN = "not_run"
  MAY_HAVE_RUN = "may_have_run"
  REFUSED = "refused"
  SHED = "shed"
  REPLAYED = "replayed"


def metric_attributes(entry: table.CallerEntry) -> dict[str, str]:
  """Returns the metric attributes of an entry: customer and class."""
  return {"customer": entry.customer, "class": entry.klass.value}


def count_result(
    router: router_lib.Router, entry: table.CallerEntry, result: CallResult
) -> None:
  """Counts one finished request by its result."""
  router.instruments.outcomes.add(
      1, {**metric_attributes(entry), "outcome": result.value}
  )
  router.counts[result.value] += 1


async def admit(
    router: router_lib.Router, entry: table.CallerEntry, tokens: int
) -> "Call | verdict.Verdict":
  """Reserves `tokens` for a request.

  Returns:
    The admitted call, or a verdict if the budget cannot cover the tokens.
  """
  router.retries.deposit()
  reservation = await router.pool.reserve(entry.name, tokens, entry.customer)
  if reservation is None:
    count_result(router, entry, CallResult.REFUSED)
    # A router that gets its tokens from the budget's owner may not have read
    # the ledger yet. The limit is looked up so that a request larger than the
    # whole budget gets a final 402 instead of being retried for ever.
    known = await router.accounts.fetch_balance(entry.name)
    if known is not None and tokens > known.limit:
      return verdict.not_run(
          f"needs {tokens} tokens, the whole budget has {known.limit}",
          None,
          402,
      )
    return verdict.not_run(
        "budget cannot cover this request now", router.config.retry_after_s
    )
  return Call(router, entry, reservation)


class Call:
  """An admitted request.

  Args:
    router: the router.
    entry: the catalogue entry of the caller.
    reservation: the tokens reserved for the request.
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
    self._first_token_recorded = False
    self._settled = False
    self._transferred = False
    self._slot_request: scheduler.SlotRequest | None = None
    self.endpoint: endpoints.Row | None = None
    self._idem_key = ""
    self._claim = ""
    """Id of this call's claim on the caller's Idempotency-Key; empty: none."""

  @contextlib.contextmanager
  def close_unless_transferred(self) -> Iterator[None]:
    """Closes the call when the block ends, unless `transfer` was called."""
    try:
      yield
    finally:
      if not self._transferred:
        self.__exit__(None, None, None)

  def transfer(self) -> "Call":
    """Returns the call to a new owner, which must close it using `with`."""
    self._transferred = True
    return self

  def __enter__(self) -> "Call":
    return self

  def __exit__(self, *_) -> None:
    # The call is still unsettled if the caller disconnected or the handler
    # raised. If it holds a slot, the endpoint may have received the request,
    # so the whole reservation is billed; otherwise it was never sent.
    if self.endpoint is None:
      self.settle(0, CallResult.NOT_RUN)
    else:
      self.settle(None, CallResult.MAY_HAVE_RUN)
    self.release()

  async def acquire_slot(
      self, kind: str, model_name: str, excluded: frozenset[str]
  ) -> scheduler.NoSlot | None:
    """Acquires a slot at an endpoint; returns the rejection, or None."""
    slot_request = scheduler.SlotRequest(kind, model_name, self.entry.klass)
    acquired = await self.router.scheduler.acquire(slot_request, excluded)
    if isinstance(acquired, scheduler.NoSlot):
      return self._until_rest_ends(slot_request, acquired)
    self._slot_request, self.endpoint = slot_request, acquired
    self.router.statements.note_sent(acquired)
    self._sent = self.router.clock.monotonic()
    return None

  def _until_rest_ends(
      self, slot_request: scheduler.SlotRequest, refusal: scheduler.NoSlot
  ) -> scheduler.NoSlot:
    """Returns the refusal with the end of the first rest if all rest."""
    router = self.router
    rows = router.endpoints.live(slot_request.kind, slot_request.model)
    reasons = [router.statements.reason_against(row) for row in rows]
    if not reasons or None in reasons:
      return refusal
    retry_after_s = statements.retry_after_s(
        reasons, refusal.retry_after_s, random.random()
    )
    return refusal._replace(retry_after_s=round(retry_after_s, 3))

  def note_turned_away(self, reply: httpx.Response, key: str) -> None:
    """Records that the endpoint ran nothing, and any rest it asks for.

    Args:
      reply: the response of the endpoint.
      key: the caller's Idempotency-Key, for the log; may be empty.
    """
    self.endpoint.failures += 1
    values = [
        value
        for name, value in reply.headers.raw
        if name.lower() == b"retry-after"
    ]
    if not values:
      return
    date = reply.headers.get("date", "").encode("latin-1", "replace")
    text = b", ".join(values).decode("latin-1")[:_MAX_LOGGED_CHARS]
    rest = statements.NamedRest(retry_after.parse(values, date), text)
    self.router.statements.note_rest(
        self.endpoint, key, reply.status_code, rest
    )

  def note_accepted(self) -> None:
    """Records that the endpoint answered and did not turn the call away."""
    self.router.statements.note_accepted(self.endpoint, self._sent)

  def expect_first_token(self) -> None:
    """Registers a pending first token, for the concurrency limits."""
    self.endpoint.awaiting_first_token[id(self)] = self._sent

  def release(self) -> None:
    """Releases the slot, if one is held."""
    if self.endpoint is not None:
      endpoint, self.endpoint = self.endpoint, None
      endpoint.awaiting_first_token.pop(id(self), None)
      self.router.scheduler.release(endpoint, self._slot_request)

  def record_first_token(self, update_limit: bool = True) -> None:
    """Records the time to first token in metrics and concurrency limits.

    Args:
      update_limit: whether the time adjusts the endpoint's concurrency
        limit. Not so for a response that was not streamed: its time depends
        mostly on its length, not on the endpoint's load.
    """
    if self._first_token_recorded:
      return
    self._first_token_recorded = True
    now = self.router.clock.monotonic()
    self.router.instruments.ttft.record(
        now - self._started, metric_attributes(self.entry)
    )
    if update_limit and self.endpoint is not None:
      self.endpoint.awaiting_first_token.pop(id(self), None)
      self.router.endpoints.adapt_limit(self.endpoint, now - self._sent, now)

  def settle(self, used: int | None, result: CallResult) -> int:
    """Bills `used` tokens (None: the whole reservation), only once.

    Returns:
      The tokens billed; 0 if the call was settled before.
    """
    if self._settled:
      return 0
    self._settled = True
    tokens = self.reservation.tokens if used is None else used
    settled = self.router.pool.settle(self.reservation, tokens)
    labels = metric_attributes(self.entry)
    self.router.counts["billed_tokens"] += settled.billed
    self.router.instruments.tokens.record(settled.billed, labels)
    if settled.overrun:
      self.router.counts["overrun_tokens"] += settled.overrun
      self.router.instruments.overrun.add(settled.overrun, labels)
    count_result(self.router, self.entry, result)
    return settled.billed

  async def claim_key(
      self, idem_key: str, body: dict[str, Any]
  ) -> idempotency.Record | verdict.Verdict | None:
    """Claims the caller's Idempotency-Key for a call with `body`.

    Returns:
      None if the key is claimed and the call may be sent. Otherwise the
      call is settled, and the result is the record of an earlier request
      with the key, or a rejection.
    """
    claim = self.router.new_claim_id()
    body_fingerprint = idempotency.fingerprint(body)
    try:
      previous = await idempotency.claim(
          self.router.writer, self.entry.name, idem_key, claim, body_fingerprint
      )
    except errors.KvUnavailableError:
      self.settle(0, CallResult.NOT_RUN)
      retry_after_s = self.router.config.retry_after_s
      return verdict.not_run(
          "cannot record the call",
          retry_after_s,
          503,
      )
    if previous is None:
      self._idem_key, self._claim = idem_key, claim
      return None
    self.settle(0, CallResult.REPLAYED)
    if previous.get("fingerprint", body_fingerprint) != body_fingerprint:
      return verdict.not_run(
          "this Idempotency-Key was used for another request", None, 422
      )
    return previous

  async def record(
      self, state: idempotency.State, status: int = 0, body: object = None
  ) -> None:
    """Stores the outcome of a call that claimed an Idempotency-Key."""
    if self._claim:
      outcome = idempotency.Finish(self._claim, state, status, body)
      await idempotency.finish(
          self.router.writer, self.entry.name, self._idem_key, outcome
      )
