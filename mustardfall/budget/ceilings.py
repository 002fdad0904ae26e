"""Ceilings on how much of a grant its holder may draw until its next report.

A grant must cover an outage of the KV, so it is many times what its holder
draws between two reports. If the holder died, everything unreported would have
to be counted as used. With each report the holder therefore commits to a
*ceiling*: an upper bound on the tokens it will have drawn as a function of the
time since then. Once the holder is known to be dead, and the latest possible
time of its death is known, the tokens above the ceiling were never drawn and
return to the budget.

Only a later life of the same router on the same host makes this decision. Two
lives never run at once on a host, so the earlier one is dead.

A ceiling also has a *cap*, which it never exceeds however much time passes. The
tokens above the cap return to the budget as soon as the holder is considered
gone, even if it is only partitioned: no clock and no later life is needed.
"""

import math
from typing import NamedTuple

from mustardfall.util import clock as clock_lib

_SAME_BOOT_TOLERANCE_S = 0.25
"""Largest difference between the boot clock's and the wall clock's measure of
an interval for its two ends to be considered part of the same boot. A boot
clock restarts when its host loses power and then agrees only by chance."""
_DEFAULT_WALL_ERROR_S = 5.0
"""Assumed error of a wall clock that was not compared with others. Steps of 2.4
to 3.1 s in either direction have been observed, and one may occur between two
readings."""


class Ceiling(NamedTuple):
  """An upper bound on the use of a grant, in force until the next one.

  For `grace_s` after `issued`, at most `tokens` of the grant are in use
  (reserved, used or delegated). After that the bound grows by `rate` tokens per
  second, up to `cap` tokens.
  """

  tokens: int
  grace_s: float
  rate: float
  issued: clock_lib.Moment
  cap: float = math.inf

  def allowed_after(self, elapsed_s: float | None) -> float:
    """Returns the bound `elapsed_s` seconds after issue or renewal.

    None stands for an unknown time.
    """
    if elapsed_s is None:
      return self.cap
    beyond_s = max(0.0, elapsed_s - self.grace_s)
    return min(self.cap, self.tokens + int(self.rate * beyond_s))


def encode(ceiling: Ceiling) -> list[float]:
  """Returns a ceiling, without its cap, in the form stored in a ledger."""
  return [ceiling.tokens, ceiling.grace_s, ceiling.rate, *ceiling.issued]


def decode(raw: list[float], cap: float = math.inf) -> Ceiling:
  """Returns a ceiling from its stored form; see `encode`."""
  tokens, grace_s, rate, *issued = raw
  return Ceiling(tokens, grace_s, rate, clock_lib.Moment(*issued), cap)


def max_elapsed_s(
    issued: clock_lib.Moment, started: clock_lib.Moment
) -> float | None:
  """Returns an upper bound on the time between two moments on one host.

  Within one boot the boot clock is used; it includes the time that the host was
  suspended. After a power loss only the wall clock is left, and it may have
  been stepped. Two readings that agreed with most other routers' clocks are
  trusted up to the sum of their errors. This fails only if most hosts' clocks
  are stepped together within seconds of a power loss. The boot clock's reading
  after a power loss carries no information, as it need not start at zero.

  Returns:
    The upper bound in seconds; None if the clocks contradict each other.
  """
  boot_s = started.boot_s - issued.boot_s
  wall_s = started.wall_s - issued.wall_s
  if boot_s >= 0 and abs(boot_s - wall_s) <= _SAME_BOOT_TOLERANCE_S:
    return boot_s + _SAME_BOOT_TOLERANCE_S
  error_s = _DEFAULT_WALL_ERROR_S
  if issued.error_s is not None and started.error_s is not None:
    error_s = issued.error_s + started.error_s
  return None if wall_s + error_s < 0 else wall_s + error_s
