"""Standing queues at all engines, and which requests are refused then."""

import testtools

from mustardfall.bench.virtual import engines
from mustardfall.routing import overload

_OBJECTIVE_S = 0.8


def _forecast(wait_s, prefill_s=0.1, priority=0):
  return overload.Forecast(wait_s, wait_s + prefill_s, _OBJECTIVE_S, priority)


class DetectorTest(testtools.TestCase):

  def _run(self, waits, priority=0, prefill_s=0.1):
    """Asks for a request each 0.1 s; returns whether each was admitted."""
    detector = overload.Detector()
    return [
        detector.retry_after_s(_forecast(wait_s, prefill_s, priority), n / 10)
        is None
        for n, wait_s in enumerate(waits)
    ]

  def test_queue_of_a_moment_refuses_nobody(self):
    """Guards against refusals in a burst that passes by itself."""
    self.assertEqual([True] * 9, self._run([3.0] * 5 + [0.1] + [3.0] * 3))

  def test_standing_queue_refuses_those_that_would_be_late(self):
    """Guards against queues in which every answer is late."""
    admitted = self._run([2.0] * 20)
    self.assertTrue(all(admitted[:5]))
    self.assertFalse(any(admitted[6:]))

  def test_requests_in_time_are_admitted_while_queues_stand(self):
    admitted = self._run([2.0] * 10 + [0.5] * 5)
    self.assertTrue(all(admitted[10:]))

  def test_queue_stands_until_it_has_drained(self):
    """Guards against a queue that is filled up again as soon as it is short."""
    self.assertFalse(self._run([2.0] * 10 + [0.15, 2.0])[-1])
    self.assertTrue(self._run([2.0] * 10 + [0.05, 2.0])[-1])

  def test_less_urgent_routes_are_refused_first(self):
    waits = [2.0] * 10 + [0.5]
    self.assertTrue(self._run(waits, priority=0)[-1])
    self.assertFalse(self._run(waits, priority=3)[-1])

  def test_long_prompts_are_admitted_at_idle_engines(self):
    """Guards against refusing prompts that take longer than the objective."""
    self.assertEqual([True] * 20, self._run([0.0] * 20, prefill_s=1.5))

  def test_retry_comes_when_the_queue_is_shorter(self):
    detector = overload.Detector()
    retries = [
        detector.retry_after_s(_forecast(2.0), n / 10) for n in range(10)
    ]
    self.assertAlmostEqual(2.1 - 0.8, retries[-1])


class OverloadedEnginesTest(testtools.TestCase):
  """Nine engines, of which six name a limit; the rest is overloaded."""

  def _play(self, sheds):
    kinds = tuple(
        kind._replace(per_s=per_s, prefixes=prefixes)
        for kind, per_s, prefixes in zip(
            engines.KINDS, (12.0, 9.0, 17.0), (201, 66, 131), strict=True
        )
    )
    day = engines.Day(
        routers=9,
        engines=9,
        datacentres=3,
        seconds=30.0,
        kinds=kinds,
        limited=6,
        sheds=sheds,
    )
    return [engines.Simulation(day, "sampled", s).run() for s in range(6)]

  def test_more_is_earned_if_some_are_refused(self):
    """Guards against an overload in which nearly all answers are late."""
    all_admitted, shed = self._play(False), self._play(True)
    for kind in engines.KINDS:
      before = sum(r.worth[kind.name] for r in all_admitted)
      earned = sum(r.worth[kind.name] for r in shed)
      self.assertTrue(earned >= 1.1 * before, (kind.name, earned, before))

  def test_nobody_is_refused_without_overload(self):
    day = engines.Day(
        routers=9, engines=9, datacentres=3, seconds=30.0, sheds=True
    )
    kinds = tuple(k._replace(per_s=k.per_s / 10) for k in day.kinds)
    day = day._replace(kinds=kinds)
    result = engines.Simulation(day, "sampled", 1).run()
    self.assertEqual(0, result.refused)
