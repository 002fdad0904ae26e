"""Placement in a large fleet, where each endpoint is tracked by some routers.

195 routers send 180 streams a second to 39 engines, with prompts of 1,000 to
50,000 tokens of which most share a prefix of 13,300 or 6,300. A router sends an
engine one request per half minute, so that by itself it knows almost nothing of
the engine's queue and speed. Labels of 1,000 tokens then wait behind appraisals
of 50,000 while other engines are idle.
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
    """Guards against delaying the largest appraisals for all others."""
    before = _mean(_play("sampled"), lambda r: r.largest)
    in_time = _mean(_play("tracked"), lambda r: r.largest)
    self.assertTrue(in_time >= before + 0.1, (in_time, before))

  def test_shared_prefixes_are_prefilled_once(self):
    """Guards against every engine prefilling every shared prefix."""
    again = _mean(_play("tracked"), lambda r: r.read_again)
    before = _mean(_play("sampled"), lambda r: r.read_again)
    self.assertTrue(again <= before / 2, (again, before))

  def test_slow_engines_get_little(self):
    """Guards against queues at engines that have become slow."""
    before = _play("sampled", slow=7)
    results = _play("tracked", slow=7)
    for kind in engines.KINDS:
      late = _mean(results, lambda r, k=kind.name: r.late[k])
      known = _mean(before, lambda r, k=kind.name: r.late[k])
      self.assertTrue(late <= known / 2, (kind.name, late, known))

  def test_burst_on_one_prefix_is_spread(self):
    """Guards against one engine serving a burst on one prefix alone."""
    hashed = _play("hashed", hot=0.3)
    results = _play("tracked", hot=0.3)
    late = _mean(results, lambda r: r.late["notice"])
    alone = _mean(hashed, lambda r: r.late["notice"])
    self.assertTrue(late <= alone / 3, (late, alone))

  def test_messages_do_not_grow_with_the_fleet(self):
    """Guards against a message rate per router that grows with the fleet."""
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


class LimitedEnginesTest(testtools.TestCase):
  """Nine routers before nine engines, seven of which name a limit."""

  def _play(self, **policy):
    kinds = tuple(
        kind._replace(per_s=per_s, prefixes=prefixes)
        for kind, per_s, prefixes in zip(
            engines.KINDS, (5.9, 4.4, 8.7), (201, 66, 131), strict=True
        )
    )
    day = engines.Day(
        routers=9,
        engines=9,
        datacentres=3,
        seconds=45.0,
        kinds=kinds,
        limited=7,
        sheds=False,
        **policy,
    )
    return [engines.Simulation(day, "sampled", seed).run() for seed in range(8)]

  def test_permits_go_to_requests_whose_prefix_is_cached(self):
    """Guards against prompts that are prefilled again all over the fleet."""
    spread = self._play(spares_limited=False, waits_for_cached=False)
    kept = self._play()
    again = _mean(kept, lambda r: r.read_again)
    before = _mean(spread, lambda r: r.read_again)
    self.assertTrue(again <= 0.8 * before, (again, before))
    for kind in engines.KINDS:
      late = _mean(kept, lambda r, k=kind.name: r.late[k])
      known = _mean(spread, lambda r, k=kind.name: r.late[k])
      self.assertTrue(late <= 0.85 * known, (kind.name, late, known))


class ExperimentTest(testtools.TestCase):

  def test_experiment_writes_a_report(self):
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

  def test_same_seed_gives_the_same_result(self):
    day = engines.Day(seconds=5.0)
    twice = [engines.Simulation(day, "tracked", 3).run() for _ in range(2)]
    self.assertEqual(twice[0], twice[1])


class TrackerTest(testtools.TestCase):

  def test_sent_prompts_count_at_once(self):
    tracker = tracking.Tracker()
    tracker.note_sent("i", "r1", "p", 0.5, 10.0)
    tracker.note_sent("i", "r2", "q", 0.2, 10.1)
    found = tracker.status_of("i", "p", 10.2)
    self.assertEqual((2, True), (found.in_flight, found.prefix_cached))
    self.assertAlmostEqual(0.5, found.prefill_s)
    self.assertFalse(tracker.status_of("i", "z", 10.2).prefix_cached)

  def test_requests_without_reported_end_expire(self):
    """Guards against an endpoint that looks busy after a router has crashed."""
    tracker = tracking.Tracker()
    tracker.note_sent("i", "r1", "p", 0.5, 10.0)
    found = tracker.status_of("i", "p", 40.0)
    self.assertEqual((0, 0.0, False), found[:3])

  def test_slowness_decays(self):
    """Guards against never choosing an endpoint again after it was slow."""
    tracker = tracking.Tracker()
    for number in range(5):
      tracker.note_first_token("i", 0.2, 0.7, 10.0 + number / 5)
    slow = tracker.status_of("i", "", 11.0).slowness
    self.assertTrue(slow >= 2.0, slow)
    after = tracker.status_of("i", "", 19.0).slowness
    self.assertTrue(after <= 1.2, after)

  def test_invalid_prefill_times_are_bounded(self):
    """Guards against a datagram that makes an endpoint look busy for good."""
    tracker = tracking.Tracker()
    for prefill_s in (1e12, float("inf"), float("nan"), -1e12):
      tracker.note_sent("i", f"r{prefill_s}", "p", prefill_s, 10.0)
    found = tracker.status_of("i", "p", 10.0)
    self.assertTrue(0.0 <= found.prefill_s <= 40.0, found)

  def test_failures_decay(self):
    tracker = tracking.Tracker()
    tracker.note_end("i", "r", True, 10.0)
    self.assertEqual(1.0, tracker.status_of("i", "", 10.0).failures)
    self.assertTrue(tracker.status_of("i", "", 13.0).failures < 0.1)


class _Network:
  """Delivers datagrams between routers at once, except to dead ones."""

  def __init__(self) -> None:
    self.ports = {}
    self.dead = set()

  def port(self, me: members_lib.Member) -> "_Port":
    host = me.url.removeprefix("http://").partition(":")[0]
    self.ports[host] = port = _Port(self, host)
    return port


class _Port:
  """Replaces `datagrams.Datagrams`."""

  is_open = True

  def __init__(self, network: _Network, host: str) -> None:
    self._network, self._host = network, host
    self._handlers = {}
    self.sent = 0

  def connect(self, kind, take):
    self._handlers[kind] = lambda content, sender: take(content)

  def connect_with_sender(self, kind, take):
    self._handlers[kind] = take

  def enqueue(self, kind, content, member):
    self.enqueue_to(kind, content, datagrams.host_of(member))

  def enqueue_to(self, kind, content, host):
    self.sent += 1
    if host not in self._network.dead:
      self._network.ports[host]._handlers[kind](content, self._host)


def _member(i: int) -> members_lib.Member:
  url = f"http://10.1.{i // 200}.{i % 200}:8229"
  return members_lib.Member(f"front-a-{i}", "e", url, f"dc{i % 5}", "here")


class TrackersTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.network = _Network()
    self.clock = virtual.Clock()
    self.routers = []
    everyone = [_member(i) for i in range(40)]
    for me in everyone:
      view = members_lib.Members(
          None, me, settings.Membership(), self.clock, events.Bus()
      )
      view.update(everyone)
      self.routers.append(
          trackers.Trackers(view, self.network.port(me), self.clock)
      )

  def test_requests_of_one_router_are_known_to_another(self):
    async def go():
      self.routers[0].note_sent("i-1", "p", 0.4)
      return await self.routers[7].survey(["i-1", "i-2"], "p")

    found = virtual.run(go)
    self.assertEqual(
        (1, True), (found["i-1"].in_flight, found["i-1"].prefix_cached)
    )
    self.assertAlmostEqual(0.4, found["i-1"].prefill_s, 2)
    self.assertEqual(tracking.UNKNOWN, found["i-2"])

  def test_second_tracker_answers_when_the_first_is_dead(self):
    """Guards against placing without status after a host has crashed."""

    async def go():
      first = self.routers[0]._trackers("i-1")[0]
      asker = next(r for r in self.routers if r._members.me != first)
      asker.note_sent("i-1", "p", 0.4)
      self.network.dead.add(datagrams.host_of(first))
      began = anyio.current_time()
      missed = await asker.survey(["i-1"], "p")
      waited_s = anyio.current_time() - began
      return missed, waited_s, await asker.survey(["i-1"], "p")

    missed, waited_s, found = virtual.run(go)
    self.assertEqual({}, missed)
    self.assertTrue(waited_s <= 0.03, waited_s)
    self.assertEqual(1, found["i-1"].in_flight)

  def test_invalid_datagrams_are_ignored(self):
    """Guards against an invalid datagram that ends the receiving loop."""
    view = self.routers[0]._members

    async def go():
      port = datagrams.Datagrams(
          "10.1.0.0", 0, overhead.Overhead(metrics.Instruments("r"))
      )
      trackers.Trackers(view, port, self.clock)
      for kind in (b"q", b"a", b"t"):
        for raw in (b"", b"[]", b"{}", b"3", b'["sent"]', b"[1,2,3]", b"\xff"):
          port._handle(kind + raw, "10.1.0.9")
        port._handle(kind + b"[" * 50_000, "10.1.0.9")

    virtual.run(go)
