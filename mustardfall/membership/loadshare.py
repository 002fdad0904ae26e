"""Tells other routers by datagram what this one has at the endpoints.

Datagrams, since a report is worth something for some ms only.
"""

import itertools

import anyio

from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from mustardfall.routing import loads as loads_lib
from mustardfall.util import clock as clock_lib

_PACE_S = 0.008
"""Least time between two reports. Nine routers send some 75 streams a second;
within this time few of them pick the same endpoint unknown to each other."""
_QUIET_S = 0.5
"""In a small fleet a report is sent at least this often, so that silence means
death."""
_TOLD_AT_ONCE = 8
"""Routers of a larger fleet told by one report, all in turn."""
_BYTES_PER_S = 1_500
"""Told by a router of a larger fleet, at most, whatever its size: of the 7 KB
a second that it may spend on control. There each endpoint is tracked by one
router, and this is what is known when that one gives no answer."""


class LoadShare:
  """Sends and receives reports of loads.

  Args:
    loads: makes the reports, and takes in others'.
    members: who is up.
    datagrams: carries the reports.
    clock: the time source.
  """

  def __init__(
      self,
      loads: loads_lib.Loads,
      members: members_lib.Members,
      datagrams: datagrams_lib.Datagrams,
      clock: clock_lib.Clock,
  ) -> None:
    self._loads = loads
    self._members = members
    self._datagrams = datagrams
    self._clock = clock
    self._changed = anyio.Event()
    me = members_lib.rank(members.me.name)
    self._turn = int.from_bytes(me)
    """Where in the list of others the next report goes on. Not all begin at
    the same one: it would hear from all, and the rest from nobody."""
    datagrams.connect(datagrams_lib.Kind.LOADS, self._take)

  def note(self) -> None:
    """Notes that what this router has at an endpoint has changed."""
    self._changed.set()

  def note_sent(self, endpoint: str, prefix: str) -> None:
    """Notes that a prompt with `prefix` is being sent to an endpoint."""
    self._loads.note_sent(endpoint, prefix, self._clock.monotonic())
    self._changed.set()

  async def run(self) -> None:
    """Tells others until cancelled."""
    while True:
      with anyio.move_on_after(_QUIET_S) as quiet:
        await self._changed.wait()
      if quiet.cancelled_caught and self._members.is_large:
        continue  # the next report reaches others than the one before did
      self._changed = anyio.Event()
      told_bytes = await self._tell()
      await anyio.sleep(max(_PACE_S, told_bytes / _BYTES_PER_S))

  async def _tell(self) -> int:
    """Tells others; returns the bytes that count for the bound."""
    raw = loads_lib.encode(self._loads.report())
    others = self._members.others
    if not self._members.is_large:
      await self._datagrams.tell(datagrams_lib.Kind.LOADS, raw, others)
      return 0
    told = self._next(others)
    await self._datagrams.tell(datagrams_lib.Kind.LOADS, raw, told)
    return len(raw) * len(told)

  def _next(self, others: list[members_lib.Member]) -> list[members_lib.Member]:
    """Returns the routers whose turn it is."""
    begin = self._turn % len(others)
    self._turn = begin + _TOLD_AT_ONCE
    ordered = itertools.chain(others[begin:], others[:begin])
    return list(itertools.islice(ordered, _TOLD_AT_ONCE))

  def _take(self, raw: bytes) -> None:
    report = loads_lib.decode(raw)
    self._loads.apply_report(report, self._clock.monotonic())
