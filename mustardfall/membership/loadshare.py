"""Exchanges load reports (a router's requests at each endpoint) with others.

They are sent as datagrams, since a report is outdated after some ms.
"""

from collections.abc import Iterable
import itertools

import anyio

from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from mustardfall.routing import endpoints as endpoints_lib
from mustardfall.routing import loads as loads_lib
from mustardfall.util import clock as clock_lib

_MIN_INTERVAL_S = 0.008
"""Minimum time between two reports. Nine routers start some 75 streams a
second; within this time few of them choose the same endpoint without knowing of
each other."""
_HEARTBEAT_S = 0.5
"""Maximum time between two reports in a small fleet, so that a router that
sends none can be taken for dead."""
_FANOUT = 8
"""Receivers of one report in a large fleet; the others follow in turn."""
_ANSWERED_FANOUT = 2
"""The same while trackers answer. Reports to eight were a third of a router's
datagrams although only endpoints whose trackers do not answer are judged by
them."""
_FALLBACK_S = 5.0
"""Time after a query without answer in which reports go to more receivers.
Longer than a router that gave no answer is avoided (1 s), after which it is
queried again."""
_MAX_BYTES_PER_S = 1_500
"""Limit of reports sent by a router of a large fleet, whatever the fleet's
size, out of the 7 KB a second that it may send for control. In a large fleet
each endpoint has trackers; reports are the fallback when these do not
answer."""


class LoadShare:
  """Sends and receives load reports.

  Args:
    loads: makes the reports, and stores those of other routers.
    members: the routers that are up.
    datagrams: sends and receives the reports.
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
    me = members_lib.rank_key(members.me.name)
    self._next_receiver = int.from_bytes(me)
    """Position of the next receiver in the list of others. It starts at a hash
    of the name: if all routers started with the same receivers, these would get
    all reports and the rest none."""
    self._fallback_until = -float("inf")
    """Until when reports go to more receivers, monotonic seconds."""
    datagrams.connect(datagrams_lib.Kind.LOADS, self._handle_report)

  def note_unanswered(self) -> None:
    """Records that the trackers of an endpoint have not answered a query."""
    self._fallback_until = self._clock.monotonic() + _FALLBACK_S

  def mark_changed(self) -> None:
    """Records that this router's load at an endpoint has changed."""
    self._changed.set()

  def note_sent(self, endpoint: str, prefix: str) -> None:
    """Records that a prompt with `prefix` is being sent to an endpoint."""
    self._loads.note_sent(endpoint, prefix, self._clock.monotonic())
    self._changed.set()

  def update_usage(self, rows: Iterable[endpoints_lib.Row]) -> None:
    """Computes what the runs of all routers hold at `rows`."""
    self._loads.update_usage(rows, self._clock.monotonic())

  async def run(self) -> None:
    """Sends reports until cancelled."""
    while True:
      with anyio.move_on_after(_HEARTBEAT_S) as timeout:
        await self._changed.wait()
      if timeout.cancelled_caught and self._members.is_large:
        continue  # no heartbeat: each report has other receivers anyway
      self._changed = anyio.Event()
      sent_bytes = await self._send_report()
      await anyio.sleep(max(_MIN_INTERVAL_S, sent_bytes / _MAX_BYTES_PER_S))

  async def _send_report(self) -> int:
    """Sends a report; returns the bytes that count towards the limit.

    In a large fleet these are the bytes that go to `_FANOUT` receivers, also
    where there are fewer: a report has the prefixes sent since the one before,
    so that reports at longer intervals would be larger.
    """
    is_large = self._members.is_large
    now = None if is_large else self._clock.monotonic()
    raw = loads_lib.encode(self._loads.report(now))
    others = self._members.others
    if not is_large:
      await self._datagrams.send(datagrams_lib.Kind.LOADS, raw, others)
      return 0
    receivers = self._next_receivers(others)
    await self._datagrams.send(datagrams_lib.Kind.LOADS, raw, receivers)
    return len(raw) * _FANOUT

  def _next_receivers(
      self, others: list[members_lib.Member]
  ) -> list[members_lib.Member]:
    """Returns the receivers of the next report, in round-robin order."""
    is_fallback = self._clock.monotonic() < self._fallback_until
    fanout = _FANOUT if is_fallback else _ANSWERED_FANOUT
    start = self._next_receiver % len(others)
    self._next_receiver = start + fanout
    ordered = itertools.chain(others[start:], others[:start])
    return list(itertools.islice(ordered, fanout))

  def _handle_report(self, raw: bytes) -> None:
    report = loads_lib.decode(raw)
    self._loads.apply_report(report, self._clock.monotonic())
