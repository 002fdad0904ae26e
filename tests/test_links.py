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

  acquires_during_close = True

  async def discard(self, connection):
    self.discarded.append(connection)
    await anyio.lowlevel.checkpoint()
    if self.acquires_during_close:
      self._pop(_ADDRESS)


class CloseIdleTest(testtools.TestCase):

  def _close(self, idle_until, acquires_during_close=True):
    clock = clock_lib.FakeClock(0.0)
    connection_pool = _ConnectionPool(clock)
    connection_pool.acquires_during_close = acquires_during_close
    connection_pool.discarded = []
    connections = [
        connection_pool_lib.Connection(_ADDRESS, None, idle_until=until)
        for until in idle_until
    ]
    connection_pool._idle[_ADDRESS] = collections.deque(connections)
    clock.advance(datetime.timedelta(seconds=5))
    anyio.run(connection_pool.close_expired)
    return connection_pool, connections

  def test_request_may_acquire_a_connection_while_another_is_closed(self):
    # After a host was frozen, many connections are due at once. While one is
    # closed, a request acquires another one. The loop that closes them, which
    # runs all of the router's periodic tasks, used to fail on the missing one.
    connection_pool, (first, second, third) = self._close([1.0, 2.0, 3.0])
    self.assertEqual([first, second, third], connection_pool.discarded)
    self.assertNotIn(_ADDRESS, connection_pool._idle)

  def test_connection_that_is_not_kept(self):
    """Guards against a pool at its limit that looks for idle ones for ever."""
    connection_pool = _ConnectionPool(clock_lib.FakeClock(0.0), max_open=1)
    connection_pool.discarded = []
    connection = connection_pool_lib.Connection(_ADDRESS, None)
    connection_pool.open_counts[_ADDRESS] = 2
    anyio.run(connection_pool.release, connection, 1.0)
    self.assertEqual([connection], connection_pool.discarded)
    self.assertEqual({}, connection_pool._idle)
    anyio.run(connection_pool._evict_idle)

  def test_unexpired_connections_are_kept(self):
    connection_pool, (expired, unexpired) = self._close(
        [1.0, 9.0], acquires_during_close=False
    )
    self.assertEqual([expired], connection_pool.discarded)
    self.assertEqual([unexpired], list(connection_pool._idle[_ADDRESS]))
