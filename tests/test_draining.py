"""Tests of the decision which requests a stopping router still serves."""

import testtools

from mustardfall.proxy import draining

_SCHEDULE = draining.Schedule(notice_s=3.0, end_s=7.0)
_READING = draining.Stage.READING
_READ = draining.Stage.READ
_SENT = draining.Stage.SENT
_SERVE = draining.Action.SERVE
_REFUSE = draining.Action.REFUSE


def _decide(stage, elapsed_s, head_read_s, longest_s, usual_s, is_closed=False):
  state = draining.RequestState(
      stage, head_read_s, draining.Need(longest_s, usual_s)
  )
  stop = draining.Stop(elapsed_s, _SCHEDULE, is_closed)
  return draining.decide(stop, state)


class DecideTest(testtools.TestCase):

  def test_router_that_does_not_stop(self):
    need = draining.Need(60.0, 1.0)
    for stage, action in (
        (_READING, _SERVE),
        (_READ, _SERVE),
        (_SENT, draining.Action.WAIT),
    ):
      state = draining.RequestState(stage, 0.0, need)
      self.assertEqual(action, draining.decide(None, state))

  def test_request_that_may_not_end_in_time(self):
    """Guards against requests passed on late in the grace and then cut off."""
    for elapsed_s, head_read_s, longest_s, usual_s, action in (
        (0.1, 0.1, 10.0, 1.0, _SERVE),
        (2.9, 2.9, 10.0, 1.0, _SERVE),
        (3.1, 3.1, 10.0, 1.0, _REFUSE),
        (3.1, 3.1, 3.8, 1.0, _SERVE),
        (6.9, 6.9, 0.2, 0.2, _REFUSE),
        (6.9, 6.9, 0.05, 0.05, _SERVE),
        (7.0, 7.0, 0.0, 0.0, _REFUSE),
    ):
      for stage in (_READING, _READ):
        found = _decide(stage, elapsed_s, head_read_s, longest_s, usual_s)
        self.assertEqual(action, found, (elapsed_s, longest_s, stage))

  def test_upload_that_began_in_time(self):
    """Guards against uploads refused although there is time to serve them."""
    for elapsed_s, head_read_s, action in (
        (4.0, 2.9, _SERVE),
        (4.0, -2.0, _SERVE),
        (6.0, 2.9, _SERVE),
        (6.1, 2.9, _REFUSE),
        (4.0, 3.1, _REFUSE),
    ):
      for stage in (_READING, _READ):
        found = _decide(stage, elapsed_s, head_read_s, 10.0, 1.0)
        self.assertEqual(action, found, (elapsed_s, head_read_s, stage))

  def test_request_after_the_last_one(self):
    """Guards against requests that draw on budgets as these are returned."""
    for stage in (_READING, _READ):
      for longest_s in (0.0, 1.0):
        found = _decide(stage, 3.5, 3.5, longest_s, 0.0, is_closed=True)
        self.assertEqual(_REFUSE, found)

  def test_request_at_an_endpoint(self):
    """Guards against giving up responses that there is time to wait for."""
    for elapsed_s, action in (
        (0.0, draining.Action.WAIT),
        (6.9, draining.Action.WAIT),
        (7.0, draining.Action.GIVE_UP),
    ):
      self.assertEqual(action, _decide(_SENT, elapsed_s, -1.0, 99.0, 1.0))
