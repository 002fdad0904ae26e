"""How fast an endpoint works, learned from the times of its first tokens.

Endpoints of one service differ in speed for as long as they run, and share
their machines with other work, which slows them for moments. A load whose
largest prompts take a slow endpoint longer than their objective needs the first
figure: a prompt is then prefilled where it is still in time. The second one
changes faster than requests are placed; it is only used to tell the two apart.

The figures here are ratios of times: actual to nominal, where the nominal time
is what `placement` expects of an endpoint of nominal speed. 2 means half of the
nominal speed.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

MIN_RATIO = 0.25
MAX_RATIO = 6.0
"""Bounds on learned ratios. An endpoint that takes longer is failing rather than
slow, and is left to the count of failures and to time-outs."""
_MAX_WEIGHT_S = 2.0
"""Most that one endpoint counts in the mean of its service. Fast endpoints get
more work, so that they would count more than slow ones."""
_HALF_LIFE_S = 10.0
"""Time in which a measurement loses half of its weight. An endpoint that is no
longer chosen counts as average again after about a minute."""
_PRIOR_S = 0.25
"""Weight of the assumption that an endpoint is as fast as the average, as
nominal seconds of measured work: about one prefill of a large prompt."""
_MIN_NOMINAL_S = 0.02
"""Shorter answers say nothing of the speed: batch steps and the network
outweigh the work."""
_MAX_NOMINAL_S = 30.0
"""Longer than the prefill of any prompt that fits into an engine's memory."""
_MIN_MOMENT = 0.2
_MAX_MOMENT = 20.0
"""Bounds within which an endpoint's statement of its momentary slowdown is
believed."""


class Estimate(NamedTuple):
  """Decaying sums of the measured times of one endpoint."""

  nominal_s: float = 0.0
  """Nominal times of the measured answers."""
  actual_s: float = 0.0
  """Their actual times, less the momentary slowdown of the machine."""
  at: float = 0.0
  """When the sums were last updated, monotonic seconds."""


UNMEASURED = Estimate()


class Measurement(NamedTuple):
  """The time of one answer, and what is needed to compare it."""

  nominal_s: float
  """Time to the first token at nominal speed."""
  took_s: float
  """The actual time."""
  moment: float = 1.0
  """The machine's slowdown at that time, see `moment_of`."""


class Speed(NamedTuple):
  """What was learned of an endpoint's speed."""

  ratio: float
  """Actual to nominal time."""
  weight_s: float
  """Nominal seconds of measured work behind it; 0: nothing was measured."""


UNKNOWN_SPEED = Speed(1.0, 0.0)


def moment_of(stated: float | None) -> float:
  """Returns the momentary slowdown that an endpoint states, 1 as usual.

  Args:
    stated: its figure, 100 meaning as usual; None if it states none.
  """
  if stated is None or not math.isfinite(stated):
    return 1.0
  moment = stated / 100
  return moment if _MIN_MOMENT <= moment <= _MAX_MOMENT else 1.0


def add(estimate: Estimate, measured: Measurement, now: float) -> Estimate:
  """Returns the estimate with one more measured answer.

  Sums are kept rather than an average of ratios, so that long prompts, which
  show the speed best, count most.

  Args:
    estimate: the estimate before.
    measured: the answer; one that says nothing of the speed is left out.
    now: the current time, monotonic seconds.
  """
  nominal_s, took_s, moment = measured
  is_usable = _MIN_NOMINAL_S <= nominal_s <= _MAX_NOMINAL_S and took_s >= 0.0
  if not is_usable or not _MIN_MOMENT <= moment <= _MAX_MOMENT:
    return estimate
  ratio = min(max(took_s / moment / nominal_s, MIN_RATIO), MAX_RATIO)
  kept = _kept(estimate, now)
  return Estimate(
      estimate.nominal_s * kept + nominal_s,
      estimate.actual_s * kept + nominal_s * ratio,
      now,
  )


def speed_of(estimate: Estimate, now: float) -> Speed:
  """Returns what was learned of an endpoint's speed.

  Args:
    estimate: what was measured.
    now: the current time, monotonic seconds.
  """
  if estimate.nominal_s <= 0.0:
    return UNKNOWN_SPEED
  ratio = estimate.actual_s / estimate.nominal_s
  return Speed(ratio, estimate.nominal_s * _kept(estimate, now))


def decode(ratio: float, weight_s: float) -> Speed:
  """Returns the speed that another router has learned, if it is usable."""
  if not (MIN_RATIO <= ratio <= MAX_RATIO and 0.0 <= weight_s < math.inf):
    return UNKNOWN_SPEED
  return Speed(ratio, weight_s)


def mean_ratio(speeds: Iterable[Speed]) -> float:
  """Returns the mean ratio of endpoints, weighted by what was measured.

  Unmeasured endpoints count as this; 1 if none was measured.
  """
  total = weight = 0.0
  for speed in speeds:
    bounded_s = min(speed.weight_s, _MAX_WEIGHT_S)
    total += bounded_s * speed.ratio
    weight += bounded_s
  return (total + _PRIOR_S) / (weight + _PRIOR_S)


def ratio_of(speed: Speed, mean: float) -> float:
  """Returns an endpoint's ratio; near `mean` where little was measured.

  Args:
    speed: what was learned.
    mean: ratio of the average endpoint of its service.
  """
  measured = speed.ratio * speed.weight_s + mean * _PRIOR_S
  return measured / (speed.weight_s + _PRIOR_S)


def _kept(estimate: Estimate, now: float) -> float:
  return 0.5 ** (max(0.0, now - estimate.at) / _HALF_LIFE_S)
