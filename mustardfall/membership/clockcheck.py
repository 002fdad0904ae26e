"""Whether this host's wall clock agrees with those of most routers.

A later life of a router reads off the wall clock how long ago its host lost
power, for the boot clock has started anew. Wall clocks may be stepped by
seconds, on some hosts at once. One that agrees with most others when it is
read has not been.
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
_AGREE_S = 0.25
"""How far two clocks may differ and still agree. Clocks of one data centre
are within some ms, a step is two seconds or more."""
_CLOSE_S = 0.02
"""Compared again until it is known this closely; calls between routers that
have just started are slow, and tell less."""
_PAUSE_S = 0.1
"""Before the second round; each later one waits twice as long. Routers that
start together answer one after the other, and the later for being asked."""
_MOST_PAUSE_S = 0.5
"""Longest pause while clocks do not agree yet."""
_MOST_CLOSER_S = 64.0
"""Longest pause once they agree, before a closer look."""
_MOST_ASKED = 24
"""Routers asked. All of a small fleet; of a large one a sample, since calls
of all to all grow with its square."""
_SAMPLE_SHARE = 2 / 3
"""Of a sample that must agree. Were three in ten of 78 clocks stepped alike,
a sample would hold so many of them five times in a million."""
_WATCH_S = 1.0
"""Between two looks whether the own clock has been stepped."""


class ClockCheck:
  """Compares wall clocks with the other routers.

  Args:
    config: how many routers must agree; 0 compares nothing.
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
    """Wall clock less boot clock when it last agreed; a step changes it."""
    self._error_s = _AGREE_S
    """How far the clock was off most others then, at most."""
    self._agreed = anyio.Event()

  def vouch(self, moment: clock_lib.Moment) -> clock_lib.Moment:
    """Returns a moment of this process, marked if its clock agreed then."""
    if self._offset_s is None:
      return moment
    stepped_s = abs(moment.wall_s - moment.boot_s - self._offset_s)
    if stepped_s > _AGREE_S:
      return moment
    return moment._replace(error_s=self._error_s + stepped_s)

  @property
  def agrees(self) -> bool:
    """Whether the clock agrees now."""
    return self.vouch(self._clock.moment()).wall_clock_agreed

  async def wait(self, timeout_s: float) -> None:
    """Waits until the clock has agreed once, or for `timeout_s`."""
    if self._config.clock_quorum and not self._agreed.is_set():
      with anyio.move_on_after(timeout_s):
        await self._agreed.wait()

  async def run(self) -> None:
    """Compares until the clocks agree closely, and after each step again."""
    while self._config.clock_quorum:
      await self._agree()
      await self._look_closer()
    await anyio.sleep_forever()

  async def _agree(self) -> None:
    """Compares until the clocks agree."""
    pause_s = _PAUSE_S
    while not self.agrees:
      await self._compare()
      await anyio.sleep(pause_s)
      pause_s = min(2 * pause_s, _MOST_PAUSE_S)

  async def _look_closer(self) -> None:
    """Compares ever more seldom for as long as the clocks agree."""
    pause_s = due_s = _WATCH_S
    while self.agrees:
      await anyio.sleep(_WATCH_S)
      due_s -= _WATCH_S
      if due_s <= 0 and self._error_s > _CLOSE_S and self.agrees:
        await self._compare()
        pause_s = due_s = min(2 * pause_s, _MOST_CLOSER_S)

  def _sample(self) -> list[members_lib.Member]:
    """Returns the routers to ask, the same ones each time.

    Drawn anew for each look, a sample that happens to agree with a stepped
    clock would come up sooner or later.
    """
    life = self._members.me.life
    return heapq.nsmallest(
        _MOST_ASKED,
        self._members.others,
        key=lambda other: members_lib.rank(f"{life} {other.name}"),
    )

  def _needed(self, asked: int) -> int:
    """Returns how many of those asked must agree."""
    if asked == _MOST_ASKED:
      return round(_SAMPLE_SHARE * asked)
    # This router's own clock counts among the most that must agree.
    return max(self._config.clock_quorum, (asked + 1) // 2 + 1) - 1

  async def _compare(self) -> None:
    found: list[float | None] = []

    async def _ask(member: members_lib.Member) -> None:
      found.append(await self._most_off_s(member))

    async with anyio.create_task_group() as tg:
      for member in self._sample():
        tg.start_soon(_ask, member)
    near = sorted(off for off in found if off is not None and off <= _AGREE_S)
    needed = self._needed(len(found))
    if len(near) < needed:
      return
    error_s = near[needed - 1] if needed else 0.0
    if self.agrees and error_s >= self._error_s:
      return
    moment = self._clock.moment()
    self._offset_s = moment.wall_s - moment.boot_s
    self._error_s = error_s
    self._agreed.set()
    logger.info(
        "wall clock agrees",
        extra={
            "agreeing": 1 + len(near),
            "asked": len(found),
            "error_s": round(error_s, 4),
        },
    )

  async def _most_off_s(self, member: members_lib.Member) -> float | None:
    """Returns how far another router's clock is off, None: no answer.

    Its clock was read some time between the call and the answer.
    """
    timeout_s = _AGREE_S  # an older answer would say too little
    asked_s = self._clock.moment().wall_s
    try:
      answer = await self._post(member.url + PATH, {}, timeout_s)
    except errors.PeerUnavailableError as exc:
      logger.debug("clock not compared: %s", exc)
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
    """Tells another router this host's wall clock."""
    del body
    return {"wall_s": self._clock.moment().wall_s}
