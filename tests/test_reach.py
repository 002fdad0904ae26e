"""What failed connections say of a router's reach, and how tunnels end."""

import random

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from mustardfall import errors
from mustardfall import settings
from mustardfall.bench import fleet
from mustardfall.bench.virtual import loop
from mustardfall.proxy import host_load
from mustardfall.proxy import tunnel_server
from mustardfall.proxy import tunnels
from mustardfall.routing import endpoints
from mustardfall.routing import exits
from mustardfall.routing import reach as reach_lib
from mustardfall.util import clock as clock_lib


class JudgeTest(testtools.TestCase):

  def test_one_silent_endpoint_is_no_cut(self):
    """Guards against a detour because of one endpoint that fell silent."""
    for listed in range(2, 20):
      evidence = reach_lib.Evidence(listed=listed, unreached=1)
      self.assertEqual(reach_lib.State.REACHED, reach_lib.judge(evidence))

  def test_all_endpoints_of_a_small_service_are_a_cut(self):
    """Guards against a threshold that a small service never reaches."""
    for listed in range(1, 4):
      evidence = reach_lib.Evidence(listed=listed, unreached=listed)
      self.assertEqual(reach_lib.State.CUT, reach_lib.judge(evidence))

  @hypothesis.given(strategies.integers(0, 5000), strategies.integers(0, 5000))
  def test_more_failures_never_say_less(self, listed, unreached):
    """Guards against a cut that ends because a further endpoint fails."""
    order = list(reach_lib.State)
    states = [
        order.index(reach_lib.judge(reach_lib.Evidence(listed, n)))
        for n in (unreached, unreached + 1)
    ]
    self.assertEqual(sorted(states), states)

  def test_endpoints_that_were_never_reached_are_no_cut(self):
    """Guards against a detour because of wrong entries beside sound ones."""
    for unreached in range(2, 20):
      evidence = reach_lib.Evidence(20, unreached, known=1)
      self.assertEqual(reach_lib.State.SUSPECTED, reach_lib.judge(evidence))
      evidence = evidence._replace(lost=1)
      is_cut = reach_lib.judge(evidence) is reach_lib.State.CUT
      self.assertEqual(unreached >= 4, is_cut)


class ReachTest(testtools.TestCase):

  def _reach(self, count):
    table = endpoints.Table(settings.Scheduler())
    table.update(
        [
            {
                "name": f"e{n}",
                "url": f"h:{n}",
                "datacentre": "d",
                "kind": "pool",
            }
            for n in range(count)
        ]
    )
    return reach_lib.Reach(table, clock_lib.SystemClock()), table.rows

  def test_connection_ends_the_cut(self):
    """Guards against a detour that outlasts the cut."""
    reach, rows = self._reach(9)
    for n in range(4):
      reach.note_failed(rows[f"e{n}"], "refused")
    self.assertTrue(reach.is_detoured(rows["e8"]))
    reach.note_connected(rows["e7"])
    self.assertFalse(reach.is_cut("pool"))
    self.assertFalse(reach.is_detoured(rows["e8"]))

  def test_wrong_entries_that_are_tried_in_a_row_are_no_cut(self):
    """Guards against a cut inferred from entries at which nobody ever listened."""
    reach, rows = self._reach(9)
    reach.note_connected(rows["e8"])
    for n in range(7):
      reach.note_failed(rows[f"e{n}"], "refused")
    self.assertFalse(reach.is_cut("pool"))
    self.assertTrue(reach.is_suspected("pool"))
    reach.note_failed(rows["e8"], "refused")
    self.assertTrue(reach.is_cut("pool"))

  def test_router_that_has_reached_none_is_cut(self):
    """Guards against requests that try dead paths after a start without a link."""
    reach, rows = self._reach(9)
    for n in range(4):
      reach.note_failed(rows[f"e{n}"], "refused")
    self.assertTrue(reach.is_cut("pool"))

  @hypothesis.given(strategies.integers().map(random.Random))
  def test_endpoints_reached_before_are_tried_first(self, rng):
    """Guards against a doubt that is resolved by entries that say nothing."""
    reach, rows = self._reach(20)
    for name in ("e3", "e17"):
      reach.note_connected(rows[name])
    drawn = [row.name for row in reach.draw_untried("pool", 3, rng)]
    self.assertEqual({"e3", "e17"}, set(drawn[:2]))
    self.assertEqual(3, len(set(drawn)))

  def test_failures_before_a_connection_are_no_evidence(self):
    """Guards against a cut inferred from failures that are long over."""
    reach, rows = self._reach(9)
    for n in range(3):
      reach.note_failed(rows[f"e{n}"], "refused")
    reach.note_connected(rows["e8"])
    reach.note_failed(rows["e4"], "refused")
    self.assertFalse(reach.is_cut("pool"))

  def test_endpoint_that_others_reach_stays_detoured(self):
    """Guards against direct attempts at endpoints that are cut off alone."""
    reach, rows = self._reach(9)
    reach.note_failed(rows["e0"], "refused")
    reach.note_reached_by_other(rows["e0"], "another")
    reach.note_connected(rows["e1"])
    self.assertTrue(reach.is_detoured(rows["e0"]))
    self.assertFalse(reach.is_detoured(rows["e2"]))
    reach.note_connected(rows["e0"])
    self.assertFalse(reach.is_detoured(rows["e0"]))

  def test_endpoint_listed_during_a_cut_is_tried_first(self):
    """Guards against refusals though endpoints have come back at new addresses."""
    reach, rows = self._reach(4)
    for row in list(rows.values()):
      reach.note_failed(row, "refused")
    self.assertTrue(reach.is_cut("pool"))
    entry = {"name": "new", "url": "h:9", "datacentre": "d", "kind": "pool"}
    listed = [
        {"name": r.name, "url": r.url, "datacentre": "d", "kind": "pool"}
        for r in rows.values()
    ]
    reach._table.update([*listed, entry])
    self.assertEqual(["new"], [r.name for r in reach.detoured_rows("pool")])

  def test_request_at_an_endpoint_that_has_left_ends(self):
    """Guards against a request that fails as its endpoint is not known."""
    reach, rows = self._reach(1)
    row = rows["e0"]
    reach.note_sent(row)
    row.kind = "other"
    reach.note_ended(row)

  def test_silence_without_requests_is_not_checked(self):
    """Guards against connections of idle routers."""
    self.assertEqual([], loop.run(self._silent_kinds, 0))

  def test_silence_of_waiting_requests_is_checked(self):
    """Guards against requests that wait on dead connections."""
    self.assertEqual(1, len(loop.run(self._silent_kinds, 1)))

  async def _silent_kinds(self, requests):
    table = endpoints.Table(settings.Scheduler())
    entry = {"name": "e", "url": "h:1", "datacentre": "d", "kind": "pool"}
    table.update([entry])
    reach = reach_lib.Reach(table, loop.Clock())
    for _ in range(requests):
      reach.note_sent(table.rows["e"])
    self.assertEqual([], reach.take_silent())
    await anyio.sleep(0.5)
    return reach.take_silent()


class ExitOrderTest(testtools.TestCase):

  @hypothesis.given(strategies.integers().map(random.Random))
  def test_old_answers_are_not_relied_on(self, rng):
    """Guards against requests sent to an exit that has gone."""
    known = [
        exits.Exit("old", "d", 0, exits.MAX_AGE_S + 0.1),
        exits.Exit("new", "d", 50, 0.1),
    ]
    ordered = exits.order(known, frozenset("d"), rng)
    self.assertEqual(["new"], [exit_.life for exit_ in ordered])

  @hypothesis.given(strategies.integers().map(random.Random))
  def test_busy_exits_come_first_seldom(self, rng):
    """Guards against routers that all choose the same exit."""
    known = [exits.Exit(f"r{n}", "d", n * 10, 0.1) for n in range(4)]
    first = [exits.order(known, frozenset(), rng)[0].life for _ in range(300)]
    self.assertTrue(first.count("r0") > first.count("r3"))
    self.assertTrue(first.count("r0") < 300)


class LagTest(testtools.TestCase):

  def _mean_s(self, *late_s):
    mean_s = 0.0
    for one_s in late_s:
      mean_s = host_load.smooth_lag_s(mean_s, one_s)
    return mean_s

  def test_one_late_timer_does_not_make_an_exit_refuse(self):
    """Guards against callers refused because of a moment without processor."""
    self.assertTrue(self._mean_s(0.5) < tunnel_server._MAX_LAG_S)
    halts = [0.0, 0.08] * 50
    self.assertTrue(self._mean_s(*halts) < tunnel_server._MAX_LAG_S)

  def test_busy_exit_refuses_within_a_second(self):
    """Guards against tunnels that make an exit's own callers wait."""
    self.assertTrue(self._mean_s(*[0.3] * 10) > tunnel_server._MAX_LAG_S)


class TunnelStreamTest(testtools.TestCase):

  async def _received(self, *sent: bytes):
    """Returns what a tunnel's end receives of bytes sent by an exit."""
    port = fleet.free_port()
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )

    async def _serve(stream):
      async with stream:
        await stream.receive()
        for data in sent:
          await stream.send(data)

    async with listener, anyio.create_task_group() as tasks:
      tasks.start_soon(listener.serve, _serve)
      stream = await tunnels.connect(f"127.0.0.1:{port}", "h:1", "r1", 1.0)
      received = bytearray()
      async with stream:
        async for data in stream:
          received += data
      tasks.cancel_scope.cancel()
    return bytes(received)

  def test_frames_are_joined(self):
    """Guards against bytes of frames that reach the response."""
    frames = tunnels.encode_frame(b"abc") + tunnels.encode_frame(b"d" * 70_000)
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    data = anyio.run(
        self._received,
        head + frames[:5],
        tunnels.CLOSING_FRAME[:0] + frames[5:],
        tunnels.CLOSING_FRAME + tunnels.END_FRAME,
    )
    self.assertEqual(b"abc" + b"d" * 70_000, data)

  def test_reset_does_not_look_like_an_end(self):
    """Guards against a response cut off by a reset that looks complete."""
    head = b"HTTP/1.1 200 OK\r\n\r\n" + tunnels.encode_frame(b"abc")
    raised = self._raised(head)
    self.assertIsInstance(raised, anyio.BrokenResourceError)

  def test_refusals_say_whether_the_request_may_go_elsewhere(self):
    """Guards against an exit's trouble that is taken for the endpoint's."""
    refused = (
        b"HTTP/1.1 %s\r\nmustardfall-reason: %s\r\ncontent-length: 0\r\n\r\n"
    )
    raised = self._raised(refused % (b"503 X", b"full"))
    self.assertIsInstance(raised, errors.ExitUnavailableError)
    raised = self._raised(refused % (b"502 X", b"refused"))
    self.assertIsInstance(raised, errors.EndpointUnreachableError)
    self.assertTrue(raised.is_refused)

  def _raised(self, sent):
    """Returns the error with which a tunnel ends."""
    with self.assertRaises(ExceptionGroup) as context:
      anyio.run(self._received, sent)
    return context.exception.exceptions[0]
