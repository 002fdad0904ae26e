"""At-most-once records for calls with an Idempotency-Key, in the KV.

Before such a call (a booking, a label, a payment) is sent, the router writes a
claim to `idem/<entry>/<key>`; only the attempt whose claim is in the record may
send the call. The outcome is recorded afterwards. A retry, on any router and
also after a router has crashed, finds the record and gets the stored outcome,
or "may have run" while the outcome is unknown. The call is never sent twice
while its record is kept.

Each claim has an id of its own. If a claim named only the router, two attempts
on the same router, one of them after a lost reply, could both consider the
record their own and both send the call.
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
"""Maximum time that the response is delayed until the outcome is recorded."""


class State(enum.StrEnum):
  """The state of a recorded call."""

  STARTED = "started"
  """Claimed; it may or may not have been sent."""
  DONE = "done"
  """It ran; its answer is stored."""
  RAN = "ran"
  """It ran; its answer, from a model, is not stored."""
  NOT_RUN = "not_run"
  """It did not run; the key may be claimed again."""


class Record(TypedDict):
  """The record of a call, as stored in the KV."""

  state: str
  claim: str
  status: int
  answer: Any
  fingerprint: NotRequired[str]
  """Fingerprint of the request that claimed the key; a request with another
  fingerprint must not get its answer."""


class Claim(NamedTuple):
  """Claims a call with claim id `claim`, unless the call may have run."""

  claim: str
  fingerprint: str = ""


class Finish(NamedTuple):
  """Records the outcome of the call claimed with claim id `claim`."""

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
  is_own_claim = record is not None and record["claim"] == change.claim
  if not is_own_claim or record["state"] != State.STARTED:
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
  """Returns a hash by which different request bodies are told apart."""
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
    claim_id: unique to this attempt.
    fingerprint_: the request's `fingerprint`.

  Returns:
    None if this attempt may send the call; otherwise the record of the
    attempt that claimed it before.

  Raises:
    errors.KvUnavailableError: the claim is not known to be recorded; the call
      must not be sent and has not run.
  """
  record_key = key(entry, idem_key)
  try:
    record = await writer.submit(record_key, Claim(claim_id, fingerprint_))
  except errors.KvUnknownError as exc:
    # The claim may be recorded, and retries would get "may have run" for
    # a call that is never sent. So it is withdrawn once the KV answers again.
    writer.post(record_key, Finish(claim_id, State.NOT_RUN))
    raise errors.KvUnavailableError(str(exc)) from exc
  return None if record["claim"] == claim_id else record


async def finish(
    writer: writer_lib.Writer, entry: str, idem_key: str, outcome: Finish
) -> None:
  """Records a call's outcome, waiting briefly until the KV has stored it.

  The wait lets a retry by the caller, on any router, find the outcome. If the
  KV is slow, the caller is answered nevertheless and the record stays `started`
  for longer: retries get "may have run", which is true, and the call is
  still not repeated.
  """
  record_key = key(entry, idem_key)
  with anyio.move_on_after(_FINISH_WAIT_S):
    try:
      await writer.submit(record_key, outcome)
      return
    except (errors.KvUnavailableError, errors.KvUnknownError):
      pass
  writer.post(record_key, outcome)
