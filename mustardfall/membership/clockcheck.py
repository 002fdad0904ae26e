"""Checks whether this host's wall clock agrees with those of most routers.

After a loss of power the boot clock restarts, so a router computes from the
wall clock how long its host was down. Wall clocks may be stepped by seconds,
on several hosts at once. A clock that agrees with most others at the time of
reading is assumed not to have been stepped.
"""

import heapq
import logging

import anyio

from mustardfall import errors
from mustardfall import settings
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

PATH = "/peer/clock"
_MAX_DIFFERENCE_S = 0.25
"""Maximum difference between two clocks that agree. Clocks of one data centre
are within some ms of each other; a step is two seconds or more."""
_TARGET_ERROR_S = 0.02
"""The comparison is repeated until the error bound is this small. Calls between
routers that have just started are slow and give a larger bound."""
_FIRST_PAUSE_S = 0.1
"""Pause before the second comparison; it doubles after each one. Routers that
start together respond slowly, and more calls slow them down further."""
_MAX_PAUSE_S = 0.5
"""Longest pause while the clocks do not agree."""
_MAX_REFINE_PAUSE_S = 64.0
"""Longest pause between comparisons that refine the error bound."""
_MAX_SAMPLE = 24
"""Maximum number of routers queried: all of a small fleet, a sample of a large
one, as calls from all to all grow with the square of its size."""
_SAMPLE_QUORUM = 2 / 3
"""Share of a sample that must agree. If three in ten of 78 clocks were stepped
alike, a sample would hold that many of them five times in a million."""
_STEP_CHECK_INTERVAL_S = 1.0
"""Interval between checks whether the own clock was stepped."""


class ClockCheck:
  """Compares this host's wall clock with those of other routers.

  Args:
    config: how many routers must agree; 0 disables the comparison.
    members: the routers that are up.
    post: makes calls to them.
    clock: this host's clocks.
  """

  def __init__(
      self,
      config: settings.Membership,
      members: members_lib.Members,
      post: peers_lib.Post,
      clock: clock_lib.Clock,
  ) -> None:
    self._config = config
    self._members = members
    self._post = post
    self._clock = clock
    self._offset_s: float | None = None
    """Wall clock minus boot clock at the last agreement; a step changes it."""
    self._error_s = _MAX_DIFFERENCE_S
    """Upper bound of the difference from most other clocks at that time."""
    self._agreed = anyio.Event()

  def with_error_bound(self, moment: clock_lib.Moment) -> clock_lib.Moment:
    """Returns `moment` with the error bound of the wall clock, if it is known.

    Args:
      moment: read by this process. Without agreement, or after a step of the
        clock, it is returned unchanged.
    """
    if self._offset_s is None:
      return moment
    stepped_s = abs(moment.wall_s - moment.boot_s - self._offset_s)
    if stepped_s > _MAX_DIFFERENCE_S:
      return moment
    return moment._replace(error_s=self._error_s + stepped_s)

  @property
  def agrees(self) -> bool:
    """Whether the wall clock agrees with most others now."""
    return self.with_error_bound(self._clock.moment()).wall_clock_agreed

  async def wait(self, timeout_s: float) -> None:
    """Waits for the first agreement, for at most `timeout_s`."""
    if self._config.clock_quorum and not self._agreed.is_set():
      with anyio.move_on_after(timeout_s):
        await self._agreed.wait()

  async def run(self) -> None:
    """Compares until the error bound is small, and again after each step."""
    while self._config.clock_quorum:
      await self._reach_agreement()
      await self._refine()
    await anyio.sleep_forever()

  async def _reach_agreement(self) -> None:
    """Compares until the clocks agree."""
    pause_s = _FIRST_PAUSE_S
    while not self.agrees:
      await self._compare()
      await anyio.sleep(pause_s)
      pause_s = min(2 * pause_s, _MAX_PAUSE_S)

  async def _refine(self) -> None:
    """Compares at growing intervals for as long as the clocks agree."""
    pause_s = due_s = _STEP_CHECK_INTERVAL_S
    while self.agrees:
      await anyio.sleep(_STEP_CHECK_INTERVAL_S)
      due_s -= _STEP_CHECK_INTERVAL_S
      if due_s <= 0 and self._error_s > _TARGET_ERROR_S and self.agrees:
        await self._compare()
        pause_s = due_s = min(2 * pause_s, _MAX_REFINE_PAUSE_S)

  def _sample(self) -> list[members_lib.Member]:
    """Returns the routers to query, the same ones each time.

    If each comparison drew a new sample, one that agrees with a stepped clock
    would come up sooner or later.
    """
    life = self._members.me.life
    return heapq.nsmallest(
        _MAX_SAMPLE,
        self._members.others,
        key=lambda other: members_lib.rank_key(f"{life} {other.name}"),
    )

  def _quorum(self, asked: int) -> int:
    """Returns how many of the `asked` routers must agree."""
    if asked == _MAX_SAMPLE:
      return round(_SAMPLE_QUORUM * asked)
    # This router's own clock counts towards the majority.
    return max(self._config.clock_quorum, (asked + 1) // 2 + 1) - 1

  async def _compare(self) -> None:
    differences_s: list[float | None] = []

    async def _query(member: members_lib.Member) -> None:
      differences_s.append(await self._max_difference_s(member))

    async with anyio.create_task_group() as tg:
      for member in self._sample():
        tg.start_soon(_query, member)
    agreeing_s = sorted(
        each_s
        for each_s in differences_s
        if each_s is not None and each_s <= _MAX_DIFFERENCE_S
    )
    quorum = self._quorum(len(differences_s))
    if len(agreeing_s) < quorum:
      return
    error_s = agreeing_s[quorum - 1] if quorum else 0.0
    if self.agrees and error_s >= self._error_s:
      return
    moment = self._clock.moment()
    self._offset_s = moment.wall_s - moment.boot_s
    self._error_s = error_s
    self._agreed.set()
    logger.info(
        "wall clock agrees",
        extra={
            "agreeing": 1 + len(agreeing_s),
            "asked": len(differences_s),
            "error_s": round(error_s, 4),
        },
    )

  async def _max_difference_s(self, member: members_lib.Member) -> float | None:
    """Returns an upper bound of another clock's difference, None: no answer.

    The other clock was read at some time between the call and the answer.
    """
    timeout_s = _MAX_DIFFERENCE_S  # a slower answer cannot prove agreement
    asked_s = self._clock.moment().wall_s
    try:
      answer = await self._post(member.url + PATH, {}, timeout_s)
    except errors.PeerUnavailableError as exc:
      logger.debug("clock of another router not compared: %s", exc)
      return None
    answered_s = self._clock.moment().wall_s
    try:
      read_s = float(answer["wall_s"])
    except (KeyError, TypeError, ValueError) as exc:
      logger.warning(
          "peer answer unreadable",
          extra={"peer": member.life, "call": PATH, "error": repr(exc)},
      )
      return None
    return max(abs(read_s - asked_s), abs(read_s - answered_s))

  async def serve(self, body: dict) -> dict:
    """Answers another router with this host's wall clock."""
    del body
    return {"wall_s": self._clock.moment().wall_s}
