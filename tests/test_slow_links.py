"""A large configuration reaches hosts with links of 5 Mbit/s.

The operators add some 1,500 routes at once. From then on, the transfer of each
version takes longer than the timeout for the start of the store's answer.
"""

import base64
import json
from unittest import mock

import anyio
import testtools

from mustardfall import errors
from mustardfall import metrics
from mustardfall import overhead
from mustardfall.bench import fleet
from mustardfall.platform import store as store_lib
from mustardfall.proxy import connection_pool as connection_pool_lib
from mustardfall.proxy import http_client
from mustardfall.util import clock as clock_lib
from tests import platformcase

_ROUTES = 1_520
_LINK_BYTES_PER_S = 625_000
_STEP_S = 0.02
_DEADLINE_S = 3.0
"""Time within which a configuration must be in force."""


def grown_configuration(version: int = 2) -> dict:
  """Returns a configuration after the addition of many routes."""
  document = platformcase.configuration(version=version)
  document["routes"] += [
      platformcase.route(f"r{n}", f"/team{n}/tail{n}/", "safe")
      for n in range(_ROUTES)
  ]
  return document


class _SlowStore:
  """Answers each call with one page, at the rate of a slow link."""

  def __init__(self) -> None:
    item = {
        "key": "op/config",
        "value": base64.b64encode(
            json.dumps(grown_configuration()).encode()
        ).decode(),
        "rev": 7,
    }
    page = {"items": [item], "events": [item], "store_revision": 7}
    self._body = json.dumps(page).encode()
    self.stops_after = len(self._body)

  async def serve(self, port: int) -> None:
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )
    async with listener:
      await listener.serve(self._answer)

  async def _answer(self, stream) -> None:
    async with stream:
      await stream.receive()
      head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self._body)}\r\n\r\n"
      await stream.send(head.encode())
      step = int(_LINK_BYTES_PER_S * _STEP_S)
      try:
        for begin in range(0, self.stops_after, step):
          await anyio.sleep(_STEP_S)
          await stream.send(self._body[begin : begin + step])
        await anyio.sleep_forever()
      except anyio.BrokenResourceError:
        return  # the caller closed the connection


class SlowLinkTest(testtools.TestCase):

  def _read(self, read, stops_after=None):
    """Returns the result of `read(store)`; fails after `_DEADLINE_S`.

    Args:
      read: called with a client of the slow store.
      stops_after: bytes after which the store stops sending; None: never.
    """
    results = []

    async def _main():
      slow, port = _SlowStore(), fleet.free_port()
      slow.stops_after = stops_after or slow.stops_after
      clock = clock_lib.SystemClock()
      caller = http_client.HttpClient(
          connection_pool_lib.ConnectionPool(clock),
          overhead.Overhead(metrics.Instruments("r")),
      )
      store = store_lib.Store(f"127.0.0.1:{port}", caller, clock)
      async with anyio.create_task_group() as tg:
        tg.start_soon(slow.serve, port)
        await anyio.sleep(0.05)
        with anyio.fail_after(_DEADLINE_S):
          results.append(await read(store))
        tg.cancel_scope.cancel()

    anyio.run(_main)
    return results[0]

  def test_document_that_takes_long_to_transfer_is_read(self):
    """Guards against routers that never learn of a large configuration."""
    _, records = self._read(lambda store: store.get_prefix("op/"))
    document = json.loads(records[0].value)
    self.assertEqual(_ROUTES + 4, len(document["routes"]))

  def test_change_that_takes_long_to_transfer_is_read(self):
    """Guards against readers whose watches break at each large change."""
    _, events = self._read(lambda store: store.poll("op/", 1, 0.05))
    document = json.loads(events[0].record.value)
    self.assertEqual(_ROUTES + 4, len(document["routes"]))

  def test_answer_that_stops_midway_fails(self):
    """Guards against waiting for ever on a connection that went silent."""
    self.assertTrue(self._read(_expect_failure, stops_after=50_000))

  def test_answer_that_trickles_fails(self):
    """Guards against a call kept open for ever by single bytes."""
    with mock.patch.object(http_client, "_MAX_TRANSFER_S", 0.3):
      self.assertTrue(self._read(_expect_failure))


async def _expect_failure(store):
  try:
    await store.get_prefix("op/")
  except errors.KvUnknownError:
    return True
  return False
