"""Reads the resource usage of processes and the loopback traffic from /proc."""

import os
from typing import NamedTuple

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
  """CPU time (user + system) in seconds and resident set size in bytes."""

  cpu_s: float
  rss_bytes: int


def read(pid: int) -> Usage:
  """Returns the current usage of process `pid`.

  Raises:
    OSError: the process does not exist.
  """
  with open(f"/proc/{pid}/stat", encoding="ascii") as f:
    fields = f.read().rsplit(")", 1)[1].split()
  cpu = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
  rss = 0
  with open(f"/proc/{pid}/status", encoding="ascii") as f:
    for line in f:
      if line.startswith("VmRSS:"):
        rss = int(line.split()[1]) * 1024
  return Usage(cpu, rss)


def read_loopback_bytes() -> int:
  """Returns the bytes received on the loopback interface since boot.

  Each packet counts once, including its TCP/IP headers. If nothing else uses
  the interface, this is the traffic of the fleet.
  """
  with open("/proc/net/dev", encoding="ascii") as f:
    for line in f:
      name, _, fields = line.partition(":")
      if name.strip() == "lo":
        return int(fields.split()[0])
  return 0
