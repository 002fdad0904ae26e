"""The batch writer when the KV is away, and when it ends."""

import anyio
import testtools

from mustardfall import errors
from mustardfall import settings
from mustardfall.budget import ledger
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
