"""Log lines are limited in rate and written without blocking."""

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

  def test_full_pipe_drops_lines_instead_of_blocking(self):
    # Guards against a router that blocks because the reader of its output
    # hangs and the pipe is full. It must keep serving and count the lines.
    logger, handler, _ = self._logger(max_lines_per_s=100_000)
    for _ in range(2000):
      logger.info("x" * 100)
    self.assertTrue(handler.dropped > 0)

  def test_lines_beyond_the_rate_limit_are_dropped(self):
    logger, handler, reader = self._logger(max_lines_per_s=10)
    for number in range(50):
      logger.info(json.dumps(number))
    lines = os.read(reader, 65_536).splitlines()
    self.assertTrue(len(lines) <= 20, len(lines))
    self.assertEqual(50 - len(lines), handler.dropped)
