"""The batch writer when the KV is away, and when it ends."""

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


class EndTest(testtools.TestCase):

  def test_waiting_under_a_shield_ends_with_the_writer(self):
    # A router stops while a grant is asked of the KV. The grant is waited
    # for under a shield, so that its tokens are not lost; when the writer
    # ends first, the wait must end too, or the process never exits.
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


class AwayTest(testtools.TestCase):

  def test_request_does_not_wait_out_the_writers_pause(self):
    # The KV does not take a batch and the writer pauses. A request that
    # needs tokens in that pause must hear "no" now: queued, it would wait
    # for seconds and then be refused all the same.
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
  """A KV that applies each call halfway through its 4 ms."""

  def __init__(self) -> None:
    self.calls = 0
    self._records: dict[str, protocol.Record] = {}
    self._revision = 1

  async def _arrive(self) -> None:
    self.calls += 1
    await anyio.sleep(0.002)

  async def get_many(self, keys):
    await self._arrive()
    found = {k: self._records[k] for k in keys if k in self._records}
    await anyio.sleep(0.002)
    return found

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
        found = [record for record in records if record is not None]
        return protocol.TxnResult(False, 0, found)
    self._revision += 1
    for put in success:
      self._records[put.key] = protocol.Record(
          put.key, put.value, self._revision, 0
      )
    return protocol.TxnResult(True, self._revision, [])


class ContentionTest(testtools.TestCase):
  """All routers write the same few budgets, as after all lost power."""

  _ROUTERS = 68
  _BUDGETS = 24
  _EACH = 4
  """Budgets that a router changes at once."""
  _CALL_S = 0.6
  """How long other routers wait for what is written here."""

  def _write_all(self):
    """Returns what became of each change, and the seconds that it took."""
    store, found = _BusyStore(), []

    async def _submit(writer, key, change):
      began = anyio.current_time()
      try:
        await writer.submit(key, change)
        outcome = "written"
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        outcome = repr(exc)
      found.append((outcome, anyio.current_time() - began))

    async def _day():
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

    virtual.run(_day)
    return store, found

  def test_many_that_write_the_same_budgets_all_get_through(self):
    """Guards against grants of the dead that are reviewed seconds later."""
    store, found = self._write_all()
    failed = [outcome for outcome, _ in found if outcome != "written"]
    self.assertEqual([], failed)
    slowest = max(took_s for _, took_s in found)
    self.assertTrue(slowest <= self._CALL_S, slowest)
