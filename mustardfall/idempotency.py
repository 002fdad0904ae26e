"""At-most-once records for non-idempotent calls, kept in the KV.

Before a non-idempotent call (a booking, a label, a payment) is sent,
the router creates `idem/<entry>/<key>` with state `started`; only the
router that created it may send the call. The outcome is written after.
A retry, on any router and after any router's death, finds the record:
it gets the stored outcome, or "may have run" while the outcome is not
known. The call is never sent twice.
"""

import enum
import json
from typing import Any, NamedTuple

from mustardfall import errors
from mustardfall.kv import client as kv_client

PREFIX = "idem/"


class State(enum.StrEnum):
  """Where a recorded call stands."""

  STARTED = "started"
  DONE = "done"
  NOT_RUN = "not_run"


class Claim(NamedTuple):
  """The result of claiming a key: ours to run, or what is recorded."""

  ours: bool
  state: State | None
  answer: dict[str, Any] | None
  mod_revision: int


def key(entry: str, idem_key: str) -> str:
  """Returns the KV key of a call's record."""
  return f"{PREFIX}{entry}/{idem_key}"


def _value(state: State, router: str, answer: Any = None) -> bytes:
  return json.dumps(
      {"state": state, "router": router, "answer": answer}
  ).encode()


async def claim(
    kv: kv_client.Client, entry: str, idem_key: str, router: str
) -> Claim:
  """Creates the record as `started`, or returns the one found.

  A record left `not_run` (the call was never sent) is claimed again.

  Raises:
    errors.KvUnavailableError: the KV cannot be reached; the call must not
      be sent (not run).
  """
  k = key(entry, idem_key)
  mine = _value(State.STARTED, router)
  for _ in range(4):
    try:
      result = await kv.txn(
          [kv_client.Compare(k, "VERSION", 0)],
          [kv_client.put_op(k, mine)],
          [kv_client.range_op(k)],
      )
    except errors.KvUnknownError:
      record = await kv.get(k)
      if record is not None and record.value == mine and record.version == 1:
        return Claim(True, State.STARTED, None, record.mod_revision)
      continue
    if result.succeeded:
      return Claim(True, State.STARTED, None, result.revision)
    found = json.loads(result.records[0].value)
    state = State(found["state"])
    if state is State.NOT_RUN:
      try:
        retaken = await kv.txn(
            [kv_client.Compare(k, "MOD", result.records[0].mod_revision)],
            [kv_client.put_op(k, mine)],
        )
      except errors.KvUnknownError:
        continue
      if retaken.succeeded:
        return Claim(True, State.STARTED, None, retaken.revision)
      continue
    return Claim(
        False, state, found.get("answer"), result.records[0].mod_revision
    )
  raise errors.KvUnavailableError(f"claim {k}")


async def finish(
    kv: kv_client.Client,
    entry: str,
    idem_key: str,
    router: str,
    state: State,
    answer: Any = None,
) -> None:
  """Records the outcome of a call this router claimed.

  A failure here leaves `started`: retries are told "may have run",
  which is true, and the call is still never repeated.
  """
  try:
    await kv.put(key(entry, idem_key), _value(state, router, answer))
  except (errors.KvUnavailableError, errors.KvUnknownError):
    pass
