"""The batch writer under contention, without the KV, and when it stops."""

import anyio
import testtools

from mustardfall import errors
from mustardfall import settings
from mustardfall.bench.virtual import loop as virtual
from mustardfall.budget import ledger
from mustardfall.kv import protocol
from mustardfall.kv import writer as writer_lib
from mustardfall.util import clock as clock_lib
from tests import kvfake


def _writer(kv, linger_s: float) -> writer_lib.Writer:
  config = settings.Writer(interval_s=0.0, linger_s=linger_s)
  return writer_lib.Writer(kv, config, clock_lib.SystemClock())


class StopTest(testtools.TestCase):

  def test_shielded_wait_ends_with_the_writer(self):
    # A router stops while it requests a grant from the KV. It waits in a
    # shielded scope, so that the granted tokens are not lost. If the writer
    # stops first, the wait must end too, or the process never exits.
    async def go():
      kv, server = kvfake.make()
      server.change_faults({"down": True})
      writer = _writer(kv, linger_s=5.0)

      async def _ask():
        with anyio.CancelScope(shield=True):
          try:
            await writer.submit("budget/b", ledger.Create(1))
          except errors.KvUnavailableError:
            return

      with anyio.fail_after(2.0):
        async with anyio.create_task_group() as tg:
          tg.start_soon(writer.run)
          tg.start_soon(_ask)
          await anyio.sleep(0.05)
          tg.start_soon(_ask)
          tg.cancel_scope.cancel()

    anyio.run(go)


class UnavailableTest(testtools.TestCase):

  def test_submit_fails_at_once_while_the_writer_pauses(self):
    # The writer pauses after a failed batch. A request that needs tokens
    # during the pause must be refused at once: queued, it would wait for
    # seconds and then most likely be refused as well.
    async def go():
      kv, server = kvfake.make()
      server.change_faults({"down": True})
      writer = _writer(kv, linger_s=5.0)
      async with anyio.create_task_group() as tg:
        tg.start_soon(writer.run)
        writer.post("budget/b", ledger.Create(1))
        await anyio.sleep(0.1)
        with anyio.fail_after(0.5):
          try:
            await writer.submit("budget/b", ledger.Create(1))
            failed = False
          except errors.KvUnavailableError:
            failed = True
        tg.cancel_scope.cancel()
      return failed

    self.assertTrue(anyio.run(go))


class _BusyStore:
  """A KV whose calls take 4 ms and take effect halfway through."""

  def __init__(self) -> None:
    self.calls = 0
    self._records: dict[str, protocol.Record] = {}
    self._revision = 1

  async def _arrive(self) -> None:
    self.calls += 1
    await anyio.sleep(0.002)

  async def get_many(self, keys):
    await self._arrive()
    matching = {k: self._records[k] for k in keys if k in self._records}
    await anyio.sleep(0.002)
    return matching

  async def txn(self, compares, success, failure=None):
    del failure
    await self._arrive()
    result = self._apply(compares, success)
    await anyio.sleep(0.002)
    return result

  def _apply(self, compares, success):
    for compare in compares:
      record = self._records.get(compare.key)
      if (record.mod_revision if record else 0) != compare.expected:
        records = [self._records.get(c.key) for c in compares]
        matching = [record for record in records if record is not None]
        return protocol.TxnResult(False, 0, matching)
    self._revision += 1
    for put in success:
      self._records[put.key] = protocol.Record(
          put.key, put.value, self._revision, 0
      )
    return protocol.TxnResult(True, self._revision, [])


class ContentionTest(testtools.TestCase):
  """All routers write the same few budgets, as after a loss of power."""

  _ROUTERS = 68
  _BUDGETS = 24
  _EACH = 4
  """Budgets that each router changes at once."""
  _TIMEOUT_S = 0.6
  """Timeout of other routers that wait for these writes."""

  def _write_all(self):
    """Returns the store, and each change's outcome and duration in seconds."""
    store, outcomes = _BusyStore(), []

    async def _submit(writer, key, change):
      began = anyio.current_time()
      try:
        await writer.submit(key, change)
        outcome = "written"
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        outcome = repr(exc)
      outcomes.append((outcome, anyio.current_time() - began))

    async def _run():
      async with anyio.create_task_group() as tg:
        async with anyio.create_task_group() as routers:
          for number in range(self._ROUTERS):
            config = settings.Writer(interval_s=0.02, linger_s=0.3)
            writer = writer_lib.Writer(store, config, virtual.Clock())
            tg.start_soon(writer.run)
            for n in range(self._EACH):
              key = ledger.key(f"b{(number + 7 * n) % self._BUDGETS}")
              limit = ledger.Limit(1_000_000, 1)
              change = ledger.Grant(f"r{number}:e:{n}", 1, 10, 1, 0, limit)
              routers.start_soon(_submit, writer, key, change)
        tg.cancel_scope.cancel()

    virtual.run(_run)
    return store, outcomes

  def test_many_that_write_the_same_budgets_all_get_through(self):
    """Guards against reviews of dead routers' grants that take seconds."""
    store, outcomes = self._write_all()
    failed = [outcome for outcome, _ in outcomes if outcome != "written"]
    self.assertEqual([], failed)
    slowest = max(took_s for _, took_s in outcomes)
    self.assertTrue(slowest <= self._TIMEOUT_S, slowest)
