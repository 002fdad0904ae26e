"""Placement in a large fleet: who waits, and where work goes.

Pattern: 180 streams a second from 195 routers to 39 engines, prompts of 1,000
to 50,000 tokens of which most share a prefix of 13,300 or 6,300. A router sends
an engine one request in half a minute, so that it knows next to nothing of the
engine's queue and speed by itself; labels of 1,000 tokens then wait behind
appraisals of 50,000 while other engines are idle.
"""

import json
import pathlib
import tempfile

import anyio
from click import testing
import testtools

from mustardfall import cli
from mustardfall import events
from mustardfall import metrics
from mustardfall import overhead
from mustardfall import settings
from mustardfall.bench.virtual import engines
from mustardfall.bench.virtual import loop as virtual
from mustardfall.membership import datagrams
from mustardfall.membership import members as members_lib
from mustardfall.membership import trackers
from mustardfall.routing import tracking

_LARGE = 195
_SEEDS = range(3)


def _play(policy: str, **day) -> list[engines.Result]:
  played = engines.Day(seconds=20.0, **day)
  return [engines.Simulation(played, policy, seed).run() for seed in _SEEDS]


def _mean(results, figure) -> float:
  return sum(figure(result) for result in results) / len(results)


class LargeFleetTest(testtools.TestCase):

  def test_few_wait_on_a_calm_day(self):
    """Guards against queues at some engines while others are idle."""
    sampled, tracked = _play("sampled"), _play("tracked")
    for kind in engines.KINDS:
      before = _mean(sampled, lambda r, k=kind.name: r.late[k])
      late = _mean(tracked, lambda r, k=kind.name: r.late[k])
      self.assertTrue(late <= before / 2, (kind.name, late, before))

  def test_largest_prompts_are_served_in_time_more_often(self):
    """Guards against the largest appraisals paying for all others."""
    before = _mean(_play("sampled"), lambda r: r.largest)
    earned = _mean(_play("tracked"), lambda r: r.largest)
    self.assertTrue(earned >= before + 0.1, (earned, before))

  def test_shared_prompts_are_read_once(self):
    """Guards against each engine reading each shared prompt."""
    again = _mean(_play("tracked"), lambda r: r.read_again)
    before = _mean(_play("sampled"), lambda r: r.read_again)
    self.assertTrue(again <= before / 2, (again, before))

  def test_slow_engines_get_little(self):
    """Guards against a queue at each engine that turned slow."""
    before = _play("sampled", slow=7)
    results = _play("tracked", slow=7)
    for kind in engines.KINDS:
      late = _mean(results, lambda r, k=kind.name: r.late[k])
      known = _mean(before, lambda r, k=kind.name: r.late[k])
      self.assertTrue(late <= known / 2, (kind.name, late, known))

  def test_rush_on_one_prefix_is_spread(self):
    """Guards against one engine taking a rush on one prompt alone."""
    hashed = _play("hashed", hot=0.3)
    results = _play("tracked", hot=0.3)
    late = _mean(results, lambda r: r.late["notice"])
    alone = _mean(hashed, lambda r: r.late["notice"])
    self.assertTrue(late <= alone / 3, (late, alone))

  def test_messages_do_not_grow_with_the_fleet(self):
    """Guards against messages of a router that grow with the others."""
    for routers in (77, 195, 760):
      day = engines.Day(
          routers=routers,
          seconds=5.0,
          kinds=tuple(
              kind._replace(per_s=kind.per_s * routers / _LARGE)
              for kind in engines.KINDS
          ),
          engines=routers // 5,
      )
      result = engines.Simulation(day, "tracked", 1).run()
      self.assertTrue(result.messages_per_s <= 16, result.messages_per_s)


class ExperimentTest(testtools.TestCase):

  def test_a_seed_is_played_and_reported(self):
    with tempfile.TemporaryDirectory() as folder:
      outcome = testing.CliRunner().invoke(
          cli.main,
          [
              *("experiment", "placement", "--policies", "tracked"),
              *("--seeds", "1", "--workers", "1", "--report", folder),
          ],
      )
      self.assertEqual(0, outcome.exit_code, outcome.output)
      rows = json.loads((pathlib.Path(folder) / "figures.json").read_text())
    self.assertEqual(3, len(rows))
    self.assertIn("calm: tracked", outcome.output)

  def test_same_seed_same_day(self):
    day = engines.Day(seconds=5.0)
    twice = [engines.Simulation(day, "tracked", 3).run() for _ in range(2)]
    self.assertEqual(twice[0], twice[1])


class TrackerTest(testtools.TestCase):

  def test_prompts_on_their_way_are_counted_at_once(self):
    tracker = tracking.Tracker()
    tracker.note_sent("i", "r1", "p", 0.5, 10.0)
    tracker.note_sent("i", "r2", "q", 0.2, 10.1)
    found = tracker.stand("i", "p", 10.2)
    self.assertEqual((2, True), (found.in_flight, found.held))
    self.assertAlmostEqual(0.5, found.reading_s)
    self.assertFalse(tracker.stand("i", "z", 10.2).held)

  def test_what_nobody_ended_is_forgotten(self):
    """Guards against an endpoint that looks busy since a router died."""
    tracker = tracking.Tracker()
    tracker.note_sent("i", "r1", "p", 0.5, 10.0)
    found = tracker.stand("i", "p", 40.0)
    self.assertEqual((0, 0.0, False), found[:3])

  def test_slow_endpoint_gets_its_share_back(self):
    """Guards against an endpoint that is passed over for good."""
    tracker = tracking.Tracker()
    for number in range(5):
      tracker.note_first("i", 0.2, 0.7, 10.0 + number / 5)
    slow = tracker.stand("i", "", 11.0).slowness
    self.assertTrue(slow >= 2.0, slow)
    after = tracker.stand("i", "", 19.0).slowness
    self.assertTrue(after <= 1.2, after)

  def test_nonsense_of_one_router_does_not_close_an_endpoint(self):
    """Guards against an endpoint that is passed over for one datagram."""
    tracker = tracking.Tracker()
    for reading_s in (1e12, float("inf"), float("nan"), -1e12):
      tracker.note_sent("i", f"r{reading_s}", "p", reading_s, 10.0)
    found = tracker.stand("i", "p", 10.0)
    self.assertTrue(0.0 <= found.reading_s <= 40.0, found)

  def test_failures_fade(self):
    tracker = tracking.Tracker()
    tracker.note_end("i", "r", True, 10.0)
    self.assertEqual(1.0, tracker.stand("i", "", 10.0).failures)
    self.assertTrue(tracker.stand("i", "", 13.0).failures < 0.1)


class _Net:
  """Carries datagrams between routers, at once or after a pause."""

  def __init__(self) -> None:
    self.ports = {}
    self.dead = set()

  def port(self, me: members_lib.Member) -> "_Port":
    host = me.url.removeprefix("http://").partition(":")[0]
    self.ports[host] = port = _Port(self, host)
    return port


class _Port:
  """Stands for `datagrams.Datagrams`."""

  is_open = True

  def __init__(self, net: _Net, host: str) -> None:
    self._net, self._host = net, host
    self._takers = {}
    self.sent = 0

  def connect(self, kind, take):
    self._takers[kind] = lambda content, sender: take(content)

  def connect_with_sender(self, kind, take):
    self._takers[kind] = take

  def post(self, kind, content, member):
    self.post_to(kind, content, datagrams._host_of(member))

  def post_to(self, kind, content, host):
    self.sent += 1
    if host not in self._net.dead:
      self._net.ports[host]._takers[kind](content, self._host)


def _member(i: int) -> members_lib.Member:
  url = f"http://10.1.{i // 200}.{i % 200}:8229"
  return members_lib.Member(f"front-a-{i}", "e", url, f"dc{i % 5}", "here")


class TrackersTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.net = _Net()
    self.clock = virtual.Clock()
    self.routers = []
    everyone = [_member(i) for i in range(40)]
    for me in everyone:
      view = members_lib.Members(
          None, me, settings.Membership(), self.clock, events.Bus()
      )
      view.take(everyone)
      self.routers.append(
          trackers.Trackers(view, self.net.port(me), self.clock)
      )

  def test_what_one_sends_another_knows(self):
    async def go():
      self.routers[0].note_sent("i-1", "p", 0.4)
      return await self.routers[7].survey(["i-1", "i-2"], "p")

    found = virtual.run(go)
    self.assertEqual((1, True), (found["i-1"].in_flight, found["i-1"].held))
    self.assertAlmostEqual(0.4, found["i-1"].reading_s, 2)
    self.assertEqual(tracking.UNKNOWN, found["i-2"])

  def test_deputy_answers_for_a_tracker_that_is_gone(self):
    """Guards against placing blindly once a host has died."""

    async def go():
      first = self.routers[0]._trackers("i-1")[0]
      asker = next(r for r in self.routers if r._members.me != first)
      asker.note_sent("i-1", "p", 0.4)
      self.net.dead.add(datagrams._host_of(first))
      began = anyio.current_time()
      missed = await asker.survey(["i-1"], "p")
      waited_s = anyio.current_time() - began
      return missed, waited_s, await asker.survey(["i-1"], "p")

    missed, waited_s, found = virtual.run(go)
    self.assertEqual({}, missed)
    self.assertTrue(waited_s <= 0.03, waited_s)
    self.assertEqual(1, found["i-1"].in_flight)

  def test_nonsense_is_passed_over(self):
    """Guards against a datagram that ends the loop that receives them."""
    view = self.routers[0]._members

    async def go():
      port = datagrams.Datagrams(
          "10.1.0.0", 0, overhead.Overhead(metrics.Instruments("r"))
      )
      trackers.Trackers(view, port, self.clock)
      for kind in (b"q", b"a", b"t"):
        for raw in (b"", b"[]", b"{}", b"3", b'["sent"]', b"[1,2,3]", b"\xff"):
          port._take(kind + raw, "10.1.0.9")
        port._take(kind + b"[" * 50_000, "10.1.0.9")

    virtual.run(go)
