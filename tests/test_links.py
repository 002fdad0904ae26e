"""Closing the idle connections of the pool: each is closed once, when due."""

import collections
import datetime

import anyio
import testtools

from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.util import clock as clock_lib

_ADDRESS = "10.0.0.1:80"


class _ConnectionPool(connection_pool_lib.ConnectionPool):
  """A pool in which a request takes another connection while one is closed."""

  takes = True

  async def discard(self, connection):
    self.discarded.append(connection)
    await anyio.lowlevel.checkpoint()
    if self.takes:
      self._pop(_ADDRESS)


class CloseIdleTest(testtools.TestCase):

  def _close(self, idle_until, takes=True):
    clock = clock_lib.FakeClock(0.0)
    connection_pool = _ConnectionPool(clock)
    connection_pool.takes = takes
    connection_pool.discarded = []
    all_ = [
        connection_pool_lib.Connection(_ADDRESS, None, idle_until=until)
        for until in idle_until
    ]
    connection_pool._idle[_ADDRESS] = collections.deque(all_)
    clock.advance(datetime.timedelta(seconds=5))
    anyio.run(connection_pool.close_idle)
    return connection_pool, all_

  def test_request_that_takes_one_while_another_closes_is_no_fault(self):
    # After a host was frozen, many connections are due at once. While one is
    # closed, a request acquires another one. The loop that closes them, which
    # runs all of the router's periodic tasks, used to fail on the missing one.
    connection_pool, (first, second, third) = self._close([1.0, 2.0, 3.0])
    self.assertEqual([first, second, third], connection_pool.discarded)
    self.assertNotIn(_ADDRESS, connection_pool._idle)

  def test_those_whose_time_is_not_over_are_kept(self):
    connection_pool, (due, kept) = self._close([1.0, 9.0], takes=False)
    self.assertEqual([due], connection_pool.discarded)
    self.assertEqual([kept], list(connection_pool._idle[_ADDRESS]))
