"""Log lines are bounded, and never wait for their reader."""

import json
import logging
import os

import testtools

from mustardfall.util import logging as log_setup


class BoundedHandlerTest(testtools.TestCase):

  def _logger(self, **kwargs):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    self.addCleanup(os.close, reader)
    stream = os.fdopen(writer, "w")
    self.addCleanup(stream.close)
    handler = log_setup.BoundedHandler(stream, **kwargs)
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler, reader

  def test_reader_that_stops_reading_costs_lines_not_time(self):
    # Whoever reads standard output hangs. The pipe fills up; the router
    # must go on serving, and say later how many lines are missing.
    logger, handler, _ = self._logger(max_lines_per_s=100_000)
    for _ in range(2000):
      logger.info("x" * 100)
    self.assertTrue(handler.dropped > 0)

  def test_storm_is_cut_to_the_bound(self):
    logger, handler, reader = self._logger(max_lines_per_s=10)
    for number in range(50):
      logger.info(json.dumps(number))
    lines = os.read(reader, 65_536).splitlines()
    self.assertTrue(len(lines) <= 20, len(lines))
    self.assertEqual(50 - len(lines), handler.dropped)
