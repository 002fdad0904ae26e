"""A wall clock is trusted only if it agrees with those of most routers.

After a loss of power, a router returns the tokens that its previous life
cannot have used in the time until then. A router whose clock was stepped back
would compute too short a time and return tokens that were used. One that
trusts no clock would return almost none, and requests that the budget covers
would be refused.
"""

import anyio
import testtools

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.membership import clockcheck
from mustardfall.membership import members as members_lib
from mustardfall.util import clock as clock_lib

_CONFIG = settings.Membership(clock_quorum=3)


class _Clock:
  """The clocks of a host whose wall clock was stepped by `step_s`."""

  def __init__(self, step_s: float = 0.0) -> None:
    self.step_s = step_s

  def moment(self) -> clock_lib.Moment:
    return clock_lib.Moment(500.0, 1_000.0 + self.step_s)


def _member(i: int) -> members_lib.Member:
  return members_lib.Member(f"r{i}", "e", f"http://r{i}", "dc", "here")


class ClockCheckTest(testtools.TestCase):

  def _check(self, own_step_s, other_steps_s, config=_CONFIG):
    """Returns a check after its first comparisons.

    Args:
      own_step_s: the step of this host's clock.
      other_steps_s: the steps of the others'; None if a router does not answer.
      config: the settings of the check.
    """

    async def _post(url, body, timeout_s):
      step_s = other_steps_s[int(url.removeprefix("http://r")[0]) - 1]
      if step_s is None:
        raise errors.PeerUnavailableError(url)
      return await clockcheck.ClockCheck(
          config, None, None, _Clock(step_s)
      ).serve(body)

    self.clock = _Clock(own_step_s)
    view = members_lib.Members(
        None, _member(0), config, clock_lib.FakeClock(), events.Bus()
    )
    view.update([_member(i) for i in range(len(other_steps_s) + 1)])
    check = clockcheck.ClockCheck(config, view, _post, self.clock)

    async def _run():
      with anyio.move_on_after(0.05):
        await check.run()

    anyio.run(_run)
    return check

  def test_clock_that_agrees_with_most_has_an_error_bound(self):
    check = self._check(0.0, [0.0, 0.01, -2.4, 0.0])
    self.assertTrue(check.agrees)
    self.assertTrue(
        check.with_error_bound(self.clock.moment()).wall_clock_agreed
    )

  def test_stepped_clock_does_not_agree(self):
    self.assertFalse(self._check(-2.4, [0.0, 0.0, 0.0, 0.0]).agrees)

  def test_minority_stepped_alike_does_not_agree(self):
    check = self._check(-2.4, [-2.4, -2.4, 0.0, 0.0, 0.0, 0.0])
    self.assertFalse(check.agrees)

  def test_minority_stepped_alike_in_a_large_fleet_does_not_agree(self):
    # Three in ten of 78 hosts are stepped alike. As only a sample is queried,
    # no sample may hold enough stepped clocks to agree with a stepped one.
    steps = [-2.4 if i % 10 < 3 else 0.0 for i in range(1, 78)]
    self.assertFalse(self._check(-2.4, steps).agrees)
    self.assertTrue(self._check(0.0, [0.0] * 77).agrees)

  def test_too_few_answers_prove_nothing(self):
    self.assertFalse(self._check(0.0, [0.0, None, None, None]).agrees)

  def test_nothing_is_compared_unless_configured(self):
    check = self._check(0.0, [0.0, 0.0, 0.0], settings.Membership())
    self.assertFalse(check.agrees)

  def test_step_invalidates_later_moments_only(self):
    check = self._check(0.0, [0.0, 0.0, 0.0])
    before = self.clock.moment()
    self.clock.step_s = 2.4
    self.assertFalse(check.agrees)
    self.assertTrue(check.with_error_bound(before).wall_clock_agreed)
    self.assertFalse(
        check.with_error_bound(self.clock.moment()).wall_clock_agreed
    )
