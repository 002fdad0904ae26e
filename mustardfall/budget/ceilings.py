"""How much of a grant its holder may draw until it reports again.

A grant bridges outages of the KV, so it is many times what its holder
draws between two reports. Were the holder to die, all that it had not
reported would have to be counted as used. So with each report the holder
promises a *ceiling*: what it will have drawn at most, by the time that has
passed since. Once it is known to be dead, and when it was dead at the
latest, whatever lies above the ceiling was never drawn and goes back to the
budget.

Only a later life of the same router on the same host judges that: no two
run at once there, so the earlier one is dead.
"""

from typing import NamedTuple

from mustardfall.util import clock as clock_lib

_SAME_BOOT_TOLERANCE_S = 0.25
"""How closely the boot clock and the wall clock must agree on the time
between two moments for both to be taken to be of one boot. A boot clock
starts anew when its host loses power, and then agrees only by chance."""
_DEFAULT_WALL_ERROR_S = 5.0
"""How far a wall clock is trusted that was not compared: steps of 2.4 to
3.1 s are known, either way, and one may come between two readings."""


class Ceiling(NamedTuple):
  """A promise of a grant's holder, in force until the next one.

  For `grace_s` from the moment it was issued no more than `tokens` of the
  grant are in use (reserved, used or handed on), after that `rate` tokens
  a second more.
  """

  tokens: int
  grace_s: float
  rate: float
  issued: clock_lib.Moment

  def allowed_after(self, elapsed_s: float) -> int:
    """Returns the most in use `elapsed_s` seconds after the promise."""
    beyond_s = max(0.0, elapsed_s - self.grace_s)
    return self.tokens + int(self.rate * beyond_s)


def encode(ceiling: Ceiling) -> list[float]:
  """Returns a ceiling as it stands in a ledger."""
  return [*ceiling[:-1], *ceiling.issued]


def decode(raw: list[float]) -> Ceiling:
  """Returns a ceiling from a ledger; see `encode`."""
  tokens, grace_s, rate, *issued = raw
  return Ceiling(tokens, grace_s, rate, clock_lib.Moment(*issued))


def max_elapsed_s(
    issued: clock_lib.Moment, started: clock_lib.Moment
) -> float | None:
  """Returns the most seconds from one moment to a later one, on one host.

  Within one boot the boot clock tells, which also counts the time that the
  host was suspended. After a loss of power only the wall clock is left, and
  it may have been stepped. Two readings that agreed with most other routers'
  clocks are trusted to the sum of what each was off: wrong only if most
  hosts' clocks are stepped together in the seconds around a loss of power.
  What the boot clock shows after it says nothing: it need not begin at zero.

  Returns:
    The most that can have passed; None when the clocks tell nothing.
  """
  boot_s = started.boot_s - issued.boot_s
  wall_s = started.wall_s - issued.wall_s
  if boot_s >= 0 and abs(boot_s - wall_s) <= _SAME_BOOT_TOLERANCE_S:
    return boot_s + _SAME_BOOT_TOLERANCE_S
  error_s = _DEFAULT_WALL_ERROR_S
  if issued.error_s is not None and started.error_s is not None:
    error_s = issued.error_s + started.error_s
  return None if wall_s + error_s < 0 else wall_s + error_s
