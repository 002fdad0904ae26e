"""Metrics of a router's control traffic."""

import testtools

from mustardfall import metrics
from mustardfall import overhead


class OverheadTest(testtools.TestCase):

  def test_totals_are_served_by_kind(self):
    instruments = metrics.Instruments("r")
    control = overhead.Overhead(instruments)
    control.record("load report sent", 200)
    control.record("load report sent", 100)
    text = instruments.render()
    self.assertIn('mustardfall_control_total{kind="load report sent"} 2', text)
    self.assertIn(
        'mustardfall_control_bytes_total{kind="load report sent"} 300', text
    )

  def test_ids_are_not_part_of_the_kind_of_a_call(self):
    self.assertEqual("/-/kv-keep", overhead.call_kind("/-/kv-keep/712"))
    self.assertEqual("/-/kv-key", overhead.call_kind("/-/kv-key?key=a/b/c"))
