"""At-most-once records for calls with an Idempotency-Key, in the KV.

Before such a call (a booking, a label, a payment) is sent, the router
claims `idem/<entry>/<key>`; only the claim that the record names may
send the call. The outcome is written after. A retry, on any router and
after any router's death, finds the record: it gets the stored outcome,
or "may have run" while the outcome is not known. The call is never sent
twice within the time that records are kept.

A claim carries an id of its own. Naming the router alone would let two
tries at one router, one of them with a lost reply, both find "their"
record and both send the call.
"""

import enum
import hashlib
import json
from typing import Any, NamedTuple, NotRequired, TypedDict

import anyio

from mustardfall import errors
from mustardfall.kv import change as change_lib
from mustardfall.kv import writer as writer_lib

PREFIX = "idem/"
_FINISH_WAIT_S = 0.3
"""How long an answer waits for its outcome to be recorded."""


class State(enum.StrEnum):
  """Where a recorded call stands."""

  STARTED = "started"
  """Claimed; it may or may not have been sent."""
  DONE = "done"
  """It ran; its answer is kept."""
  RAN = "ran"
  """It ran; its answer is not kept (a model's)."""
  NOT_RUN = "not_run"
  """It never ran; the key may be claimed again."""


class Record(TypedDict):
  """A call's record in the KV."""

  state: str
  claim: str
  status: int
  answer: Any
  fingerprint: NotRequired[str]
  """Of the request that claimed the key; another's must not get its answer."""


class Claim(NamedTuple):
  """Claims the call for claim id `claim`, unless it was sent before."""

  claim: str
  fingerprint: str = ""


class Finish(NamedTuple):
  """Records the outcome of the call that `claim` claimed."""

  claim: str
  state: State
  status: int = 0
  answer: Any = None


@change_lib.apply.register
def _(change: Claim, record: Record | None) -> Record | None:
  if record is not None and record["state"] != State.NOT_RUN:
    return None
  return Record(
      state=State.STARTED,
      claim=change.claim,
      status=0,
      answer=None,
      fingerprint=change.fingerprint,
  )


@change_lib.apply.register
def _(change: Finish, record: Record | None) -> Record | None:
  ours = record is not None and record["claim"] == change.claim
  if not ours or record["state"] != State.STARTED:
    return None
  return Record(
      state=change.state,
      claim=change.claim,
      status=change.status,
      answer=change.answer,
      fingerprint=record.get("fingerprint", ""),
  )


def key(entry: str, idem_key: str) -> str:
  """Returns the KV key of a call's record."""
  return f"{PREFIX}{entry}/{idem_key}"


def fingerprint(body: dict[str, Any]) -> str:
  """Returns what tells one request's body from another's."""
  text = json.dumps(body, sort_keys=True, separators=(",", ":"))
  return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


async def claim(
    writer: writer_lib.Writer,
    entry: str,
    idem_key: str,
    claim_id: str,
    fingerprint_: str = "",
) -> Record | None:
  """Claims a call.

  Args:
    writer: the router's batch writer.
    entry: the caller's catalogue entry.
    idem_key: the caller's Idempotency-Key.
    claim_id: unique to this try.
    fingerprint_: the request's `fingerprint`.

  Returns:
    None when the call is this try's to send; else the record of the
    try that had it before.

  Raises:
    errors.KvUnavailableError: not known to be claimed; the call must not
      be sent (not run).
  """
  k = key(entry, idem_key)
  try:
    record = await writer.submit(k, Claim(claim_id, fingerprint_))
  except errors.KvUnknownError as exc:
    # The claim may stand, and would tell retries "may have run" of a
    # call that is never sent. So it is taken back when the KV answers.
    writer.post(k, Finish(claim_id, State.NOT_RUN))
    raise errors.KvUnavailableError(str(exc)) from exc
  return None if record["claim"] == claim_id else record


async def finish(
    writer: writer_lib.Writer, entry: str, idem_key: str, outcome: Finish
) -> None:
  """Records a call's outcome, waiting a moment for the KV to take it.

  The wait lets a caller's retry, on any router, find the outcome. When
  the KV is slow the caller is answered all the same and the record says
  `started` for longer: retries are told "may have run", which is true,
  and the call is still never repeated.
  """
  k = key(entry, idem_key)
  with anyio.move_on_after(_FINISH_WAIT_S):
    try:
      await writer.submit(k, outcome)
      return
    except (errors.KvUnavailableError, errors.KvUnknownError):
      pass
  writer.post(k, outcome)
