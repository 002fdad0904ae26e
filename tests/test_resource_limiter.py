"""Tests of how a host's descriptors and memory are divided."""

import os

import anyio
import testtools

from mustardfall import settings
from mustardfall.proxy import resource_limiter

_OWN_FILES = 40
"""Descriptors of the process itself, the store and other routers."""
_TUNNELS = 32
"""Connections for tunnels of which no head was received."""
_REFUSED_RATIO = 1.25
"""Connections that are refused with a response, as a multiple of the limit."""


class MemoryTest(testtools.TestCase):

  def test_host_without_a_stated_limit(self):
    """Guards against responses that take all of the host's memory."""

    async def run():
      limiter = resource_limiter.new_caller_limiter(settings.Limits())
      pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
      self.assertTrue(limiter.max_bytes <= pages / 2, limiter.max_bytes)

    anyio.run(run)


class DescriptorShareTest(testtools.TestCase):

  def test_all_services_at_their_limits(self):
    """Guards against limits that add up to more descriptors than there are."""

    async def run():
      for files in (600, 4100, 16_000):
        limits = settings.Limits(files=files)
        callers = resource_limiter.new_caller_limiter(limits).max_connections
        internal = sum(
            resource_limiter.new_internal_limiter(limits, share).max_connections
            for share in (
                resource_limiter.ROUTERS_SHARE,
                resource_limiter.READINESS_SHARE,
                resource_limiter.METRICS_SHARE,
            )
        )
        used = (callers + internal) * _REFUSED_RATIO + callers
        self.assertTrue(used + _TUNNELS + _OWN_FILES <= files, (files, used))

    anyio.run(run)
