"""Reads a process's CPU time and resident memory from /proc."""

import os
from typing import NamedTuple

_TICKS = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
  """CPU seconds (user + system) and resident set size in bytes."""

  cpu_s: float
  rss_bytes: int


def read(pid: int) -> Usage:
  """Returns the usage of process `pid` so far.

  Raises:
    OSError: the process is gone.
  """
  with open(f"/proc/{pid}/stat", encoding="ascii") as f:
    fields = f.read().rsplit(")", 1)[1].split()
  cpu = (int(fields[11]) + int(fields[12])) / _TICKS
  rss = 0
  with open(f"/proc/{pid}/status", encoding="ascii") as f:
    for line in f:
      if line.startswith("VmRSS:"):
        rss = int(line.split()[1]) * 1024
  return Usage(cpu, rss)


def read_loopback_bytes() -> int:
  """Returns bytes received on the loopback interface so far.

  Each packet counts once, with its TCP/IP headers. On a machine where
  only one fleet runs, that is the fleet's traffic.
  """
  with open("/proc/net/dev", encoding="ascii") as f:
    for line in f:
      name, _, fields = line.partition(":")
      if name.strip() == "lo":
        return int(fields.split()[0])
  return 0
