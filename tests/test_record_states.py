"""Stateful property test of the idempotency records.

Hypothesis sends callers' attempts with two keys through three routers, with
lost replies, outages, partitions, and crashes between claim and call and
between call and outcome. A call must be executed at most once, also when a
caller that got "not run" retries, and a stored answer must be the one that
the call gave.
"""

import anyio
from anyio import from_thread
from hypothesis import settings as hsettings
from hypothesis import stateful
from hypothesis import strategies as st

from mustardfall import errors
from mustardfall import idempotency
from mustardfall import settings
from mustardfall.kv import writer as writer_lib
from mustardfall.util import clock as clock_lib
from tests import kvfake

_ROUTERS = ("r1", "r2", "r3")
_KEYS = ("k1", "k2")
_DONE, _NOT_RUN = idempotency.State.DONE, idempotency.State.NOT_RUN


class RecordMachine(stateful.RuleBasedStateMachine):

  def __init__(self):
    super().__init__()
    self.runs = dict.fromkeys(_KEYS, 0)
    self.attempts = 0
    self.claimed = []  # (router, key, claim id) that may send the call
    self.sent = []  # the same, for calls that ran
    self.portal_cm = from_thread.start_blocking_portal()
    self.portal = self.portal_cm.__enter__()
    self.portal.call(self._set_up)

  async def _set_up(self):
    _, self.server = kvfake.make()
    self.writers = {}
    for name in _ROUTERS:
      kv, _ = kvfake.share(self.server, name)
      self.writers[name] = writer_lib.Writer(
          kv,
          settings.Writer(interval_s=0.0, linger_s=0.0),
          clock_lib.SystemClock(),
      )

  def teardown(self):
    self.portal_cm.__exit__(None, None, None)

  def _do(self, fn, *args):
    """Runs `fn` with every router's writer running."""

    async def go():
      async with anyio.create_task_group() as tg:
        for writer in self.writers.values():
          tg.start_soon(writer.run)
        try:
          return await fn(*args)
        finally:
          tg.cancel_scope.cancel()

    return self.portal.call(go)

  @stateful.rule(router=st.sampled_from(_ROUTERS), key=st.sampled_from(_KEYS))
  def claim(self, router, key):
    self.attempts += 1
    name = f"{router}:{self.attempts}"

    async def go():
      try:
        return await idempotency.claim(self.writers[router], "e", key, name)
      except errors.KvUnavailableError:
        return "not run"

    found = self._do(go)
    if found is None:
      self.claimed.append((router, key, name))
    elif found != "not run" and found["state"] == _DONE:
      assert (self.runs[key], found["answer"]) == (1, key)

  @stateful.precondition(lambda self: self.claimed)
  @stateful.rule()
  def send(self):
    router, key, name = self.claimed.pop(0)
    self.runs[key] += 1
    self.sent.append((router, key, name))

  @stateful.precondition(lambda self: self.claimed)
  @stateful.rule()
  def find_no_service(self):
    router, key, name = self.claimed.pop(0)
    self._finish(router, key, idempotency.Finish(name, _NOT_RUN))

  @stateful.precondition(lambda self: self.sent)
  @stateful.rule()
  def record(self):
    router, key, name = self.sent.pop(0)
    outcome = idempotency.Finish(name, _DONE, 200, key)
    self._finish(router, key, outcome)

  def _finish(self, router, key, outcome):
    writer = self.writers[router]
    self._do(idempotency.finish, writer, "e", key, outcome)

  @stateful.rule(router=st.sampled_from(_ROUTERS))
  def die(self, router):
    self.claimed = [c for c in self.claimed if c[0] != router]
    self.sent = [c for c in self.sent if c[0] != router]

  @stateful.rule(n=st.integers(0, 2), then_down=st.booleans())
  def lose_replies(self, n, then_down):
    faults = {"lose_replies": n, "down_after_loss": then_down, "down": False}
    self.server.change_faults(faults)

  @stateful.rule(router=st.sampled_from(_ROUTERS + (None,)))
  def partition(self, router):
    self.server.faults.blocked = frozenset([router] if router else [])

  @stateful.invariant()
  def at_most_once(self):
    claims = [key for _, key, _ in self.claimed]
    for key in _KEYS:
      assert self.runs[key] + claims.count(key) <= 1, key


RecordMachine.TestCase.settings = hsettings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestRecordStates = RecordMachine.TestCase
