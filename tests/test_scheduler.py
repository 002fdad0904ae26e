"""The scheduler: urgent first, deferrable not starved, excess load shed."""

import time

import anyio
from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall import settings
from mustardfall.catalogue import model
from mustardfall.routing import endpoints
from mustardfall.routing import retries
from mustardfall.routing import scheduler
from mustardfall.util import clock as clock_lib
from tests import configs

_URGENT = scheduler.SlotRequest("engine", "m", model.Klass.URGENT)
_DEFERRABLE = scheduler.SlotRequest("engine", "m", model.Klass.DEFERRABLE)


def _make(limit=4.0, state="live", **config):
  router = configs.router(
      scheduler=settings.Scheduler(initial_limit=limit, **config)
  )
  table = endpoints.Table(router.scheduler)
  host = {"name": "e", "url": "u", "datacentre": "dc", "kind": "engine"}
  table.update([host | {"models": ["m"], "state": state}])
  clock = clock_lib.FakeClock()
  return scheduler.Scheduler(router, table, clock), table


class SchedulerTest(testtools.TestCase):

  def _slot_order(self, sched, slot_requests):
    """Queues requests at a full endpoint; returns classes in order of slots."""
    order = []

    async def _acquire(slot_request):
      row = await sched.acquire(slot_request)
      if isinstance(row, scheduler.NoSlot):
        return
      order.append(slot_request.klass)
      sched.release(row, slot_request)

    async def go():
      held = [await sched.acquire(_URGENT) for _ in range(4)]
      async with anyio.create_task_group() as tg:
        for slot_request in slot_requests:
          tg.start_soon(_acquire, slot_request)
        await anyio.sleep(0.02)
        for row in held:
          sched.release(row, _URGENT)

    anyio.run(go)
    return order

  def test_urgent_overtakes_earlier_deferrable(self):
    sched, _ = _make()
    order = self._slot_order(sched, [_DEFERRABLE] * 3 + [_URGENT] * 3)
    self.assertEqual([model.Klass.URGENT] * 3, order[:3])
    self.assertEqual(6, len(order))

  def test_deferrable_gets_one_slot_in_four_under_urgent_load(self):
    # Under a steady load of urgent requests, deferrable ones must not starve.
    sched, _ = _make()
    order = self._slot_order(sched, [_URGENT] * 12 + [_DEFERRABLE] * 2)
    self.assertIn(model.Klass.DEFERRABLE, order[:5])

  def test_fifo_baseline_serves_in_order_of_arrival(self):
    sched, _ = _make(policy="fifo")
    order = self._slot_order(sched, [_DEFERRABLE] * 2 + [_URGENT])
    self.assertEqual(model.Klass.DEFERRABLE, order[0])

  def test_request_that_would_wait_too_long_is_refused_at_once(self):
    # All slots are taken and the queue is long. A new request that would not
    # get a slot in time is refused at once, with the time to retry after.
    sched, _ = _make(deferrable_wait_s=5.0)

    async def go():
      for _ in range(3):
        await sched.acquire(_DEFERRABLE)
      async with anyio.create_task_group() as tg:
        for _ in range(30):
          tg.start_soon(sched.acquire, _DEFERRABLE)
        await anyio.sleep(0.02)
        row = sched._table.rows["e"]
        row.in_flight += 2
        sched.release(row, _DEFERRABLE)
        sched.tick(1.0)  # about one slot is freed in five seconds
        started = time.monotonic()
        got = await sched.acquire(_DEFERRABLE)
        took = time.monotonic() - started
        tg.cancel_scope.cancel()
      return got, took

    got, took = anyio.run(go)
    self.assertIsInstance(got, scheduler.NoSlot)
    self.assertLess(took, 0.5)
    self.assertGreater(got.retry_after_s, 5.0)

  def test_leaving_endpoint_gets_no_requests(self):
    sched, _ = _make(state="leaving")
    got = anyio.run(sched.acquire, _URGENT)
    self.assertIsInstance(got, scheduler.NoSlot)

  @given(st.lists(st.floats(0, 2), max_size=60))
  def test_limit_stays_within_its_bounds(self, times):
    sched, table = _make()
    row = table.rows["e"]
    for now, first_token_s in enumerate(times):
      row.in_flight = int(row.limit)
      table.adapt_limit(row, first_token_s, float(now))
      self.assertTrue(1.0 <= row.limit <= 64.0)

  def test_limit_decreases_fast_and_increases_slowly(self):
    _, table = _make(limit=10.0)
    row = table.rows["e"]
    table.adapt_limit(row, 2.0, 1.0)
    self.assertEqual(8.0, row.limit)
    row.in_flight = 8
    table.adapt_limit(row, 0.1, 2.0)
    self.assertAlmostEqual(8.125, row.limit)


class RetryBudgetTest(testtools.TestCase):

  @given(st.lists(st.booleans(), max_size=300))
  def test_retries_stay_a_fifth_of_requests(self, steps):
    budget = retries.RetryBudget()
    requests = retried = 0
    for is_request in steps:
      if is_request:
        budget.deposit()
        requests += 1
      else:
        retried += budget.withdraw()
    self.assertLessEqual(retried, 20 + requests * 0.2 + 1e-6)
