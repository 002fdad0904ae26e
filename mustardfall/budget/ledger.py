"""The budget ledger in the KV, changed only by compare-and-swap.

Each budget is one key, `budget/<name>`, holding a `Ledger`::

    {"limit": 500000, "spent": 120000,
     "grants": {"router-1:17": 4000}, "ops": ["topup:ab12", ...]}

The invariant, kept by every write, is `spent + sum(grants) <= limit`.
A router spends only from grants it holds, so what engines generate for
a budget never exceeds its limit, whatever fails. A grant that is never
settled (its router died) stays counted: it strands tokens but cannot
overspend. Writes are idempotent: each names itself (a grant id or an op
id) inside the value, so after a lost reply the writer re-reads and sees
whether its write took effect.
"""

from collections.abc import Callable
import json
from typing import TypedDict

from mustardfall import errors
from mustardfall.kv import client as kv_client

PREFIX = "budget/"
_OPS_KEPT = 64
"""Recent op ids kept per budget, to answer a retried top-up."""
_ATTEMPTS = 8
"""Compare-and-swap attempts before a write is given up as unavailable."""


class Ledger(TypedDict):
  """A budget's state in the KV; token counts throughout."""

  limit: int
  spent: int
  grants: dict[str, int]
  ops: list[str]


def key(name: str) -> str:
  """Returns the KV key of budget `name`."""
  return PREFIX + name


def headroom(ledger: Ledger) -> int:
  """Returns tokens neither spent nor granted."""
  return ledger["limit"] - ledger["spent"] - sum(ledger["grants"].values())


def decode(raw: bytes) -> Ledger:
  """Parses a ledger value."""
  return json.loads(raw)


def _encode(ledger: Ledger) -> bytes:
  return json.dumps(ledger, sort_keys=True).encode()


async def read(kv: kv_client.Client, name: str) -> Ledger | None:
  """Returns budget `name`'s ledger, or None when there is none."""
  record = await kv.get(key(name))
  return decode(record.value) if record else None


async def create(kv: kv_client.Client, name: str, tokens: int) -> bool:
  """Creates budget `name` with `tokens` unless it exists; returns whether."""
  ledger = Ledger(limit=tokens, spent=0, grants={}, ops=[])
  for _ in range(_ATTEMPTS):
    try:
      result = await kv.txn(
          [kv_client.Compare(key(name), "VERSION", 0)],
          [kv_client.put_op(key(name), _encode(ledger))],
      )
      return result.succeeded
    except errors.KvUnknownError:
      continue  # re-run: the compare fails if our create landed
  raise errors.KvUnavailableError(f"create {name}")


Change = Callable[[Ledger], Ledger | None]
"""Returns the new ledger, or None when nothing is to be written."""


async def _update(kv: kv_client.Client, name: str, change: Change) -> Ledger:
  """Applies `change` by compare-and-swap until it holds.

  Every `change` names its write inside the value (a grant id, an op
  id) and returns None when it finds that name already there. So after a
  lost reply the re-read shows whether the write took effect, and the
  change is never applied twice.

  Returns:
    The ledger after the change (or as found, when it was a no-op).

  Raises:
    errors.KvUnavailableError: the KV did not answer, or the CAS lost
      `_ATTEMPTS` races in a row.
  """
  for _ in range(_ATTEMPTS):
    record = await kv.get(key(name))
    if record is None:
      raise errors.KvUnavailableError(f"no budget {name}")
    current = decode(record.value)
    new = change(current)
    if new is None:
      return current
    try:
      result = await kv.txn(
          [kv_client.Compare(key(name), "MOD", record.mod_revision)],
          [kv_client.put_op(key(name), _encode(new))],
      )
    except errors.KvUnknownError:
      continue
    if result.succeeded:
      return new
  raise errors.KvUnavailableError(f"budget {name}: too many conflicts")


async def grant(
    kv: kv_client.Client,
    name: str,
    gid: str,
    least: int,
    want: int,
    share: float,
) -> int:
  """Takes a grant of between `least` and `want` tokens for a router.

  The grant is at most `share` of the headroom (but never below `least`,
  when that much is free), so that one router cannot take a budget that
  others draw on too.

  Returns:
    Tokens granted: 0 when fewer than `least` are free.
  """

  def _change(ledger: Ledger) -> Ledger | None:
    free = headroom(ledger)
    size = min(want, max(least, int(free * share)), free)
    if size < least or gid in ledger["grants"]:
      return None
    grants = dict(ledger["grants"], **{gid: size})
    return Ledger(
        limit=ledger["limit"],
        spent=ledger["spent"],
        grants=grants,
        ops=ledger["ops"],
    )

  after = await _update(kv, name, _change)
  return after["grants"].get(gid, 0)


async def settle(kv: kv_client.Client, name: str, gid: str, used: int) -> None:
  """Ends grant `gid`: its `used` tokens are spent, the rest returned.

  Settling a grant already settled is a no-op, so a lost reply is safe.
  """

  def _change(ledger: Ledger) -> Ledger | None:
    if gid not in ledger["grants"]:
      return None
    held = ledger["grants"][gid]
    grants = {g: n for g, n in ledger["grants"].items() if g != gid}
    return Ledger(
        limit=ledger["limit"],
        spent=ledger["spent"] + min(used, held),
        grants=grants,
        ops=ledger["ops"],
    )

  await _update(kv, name, _change)


async def top_up(
    kv: kv_client.Client, name: str, tokens: int, op: str
) -> Ledger:
  """Adds `tokens` to budget `name` once, whatever replies are lost.

  Args:
    kv: the KV client.
    name: the budget.
    tokens: tokens bought.
    op: a unique id for this top-up; a retry with the same id is a no-op.

  Returns:
    The ledger after the top-up.
  """

  def _change(ledger: Ledger) -> Ledger | None:
    if op in ledger["ops"]:
      return None
    return Ledger(
        limit=ledger["limit"] + tokens,
        spent=ledger["spent"],
        grants=ledger["grants"],
        ops=(ledger["ops"] + [op])[-_OPS_KEPT:],
    )

  return await _update(kv, name, _change)
