"""End-to-end test with real processes and the `openai` client."""

import anyio
import testtools

from mustardfall.bench import demo


class EndToEndTest(testtools.TestCase):

  def test_demo_serves_mixed_load_without_overspend_or_crossing(self):
    summary = anyio.run(demo.run, 80, 3)
    self.assertEqual(0, summary["overspend_tokens"])
    self.assertEqual(0, summary["double_billed"])
    self.assertEqual(0, summary["crossed_answers"])
    self.assertEqual(0, summary["unclean_exits"])
    self.assertGreater(summary["completed"], summary["requests"] // 2)
