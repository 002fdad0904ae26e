"""Streams are resumed at the version that began them in fleets of any size.

In virtual time, with the product's records on all routers, while routers are
killed and datagrams are lost, late, doubled or overtake each other.
"""

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.bench.virtual import stream_fleet

_MIN_KNOWN = 0.95
_MAX_HELD_BACK_MS = 26.0
_MAX_LOOKUP_MS = 600.0
_MAX_BYTES_PER_S = 7_000


class StreamFleetTest(testtools.TestCase):

  def _play(self, seed=1, **day):
    return stream_fleet.simulate(stream_fleet.Day(**day), seed).summary()

  def _check(self, figures):
    self.assertEqual(0, figures["wrong"], figures)
    self.assertTrue(figures["begin_wait_99_ms"] <= _MAX_HELD_BACK_MS, figures)
    self.assertTrue(figures["lookup_max_ms"] <= _MAX_LOOKUP_MS, figures)
    self.assertTrue(figures["bytes_busiest_s"] <= _MAX_BYTES_PER_S, figures)

  @hypothesis.settings(max_examples=15, deadline=None)
  @hypothesis.given(
      routers=strategies.sampled_from([2, 9, 13, 25]),
      killed=strategies.sampled_from([0.0, 0.33, 0.6]),
      unheard=strategies.sampled_from([0.0, 0.25, 1.0]),
      loss=strategies.sampled_from([0.005, 0.3]),
      late=strategies.sampled_from([0.01, 0.5]),
      seed=strategies.integers(0, 1_000),
  )
  def test_no_stream_goes_on_at_another_version(
      self, routers, killed, unheard, loss, late, seed
  ):
    """Guards against a version that is known wrongly, whatever is lost."""
    self._check(
        self._play(
            seed,
            routers=routers,
            killed=killed,
            unheard=unheard,
            loss=loss,
            late=late,
            doubled=late,
            second_attempts=0.3,
        )
    )

  def test_second_attempts_are_known_where_all_datagrams_are_lost(self):
    """Guards against holders that keep the version of the first attempt."""
    day = {"loss": 0.3, "late": 0.5, "doubled": 0.5, "unheard": 1.0}
    for seed, killed in ((90, 0.6), (275, 0.6), (357, 0.33), (369, 0.33)):
      routers = 2 if seed % 2 == 0 else 9
      figures = self._play(
          seed, routers=routers, killed=killed, second_attempts=0.3, **day
      )
      self._check(figures)

  def test_small_fleet_knows_all_streams_of_killed_routers(self):
    """Guards against streams that are lost with most of a small fleet."""
    figures = self._play(routers=9, killed=0.6)
    self._check(figures)
    self.assertEqual(1.0, figures["known"], figures)

  def test_large_fleet_knows_the_streams_of_a_killed_third(self):
    """Guards against copies that are killed together with their origin."""
    figures = self._play(routers=80, seconds=6.0)
    self._check(figures)
    self.assertTrue(figures["known"] >= _MIN_KNOWN, figures)

  def test_records_do_not_grow_with_the_fleet(self):
    """Guards against traffic and memory that grow with the fleet's size."""
    small = self._play(routers=25, seconds=5.0)
    large = self._play(routers=100, seconds=5.0)
    self.assertTrue(large["bytes_s"] <= 1.2 * small["bytes_s"], large)
    self.assertTrue(large["records"] <= 1.5 * small["records"], large)
