"""Stateful property test of the ledger against the fault-injecting KV.

Hypothesis drives grants, spends, settlements, top-ups, crashes, lost
replies and partitions in any order; after every step the engines'
total never exceeds the limit and the ledger never bills more than was
generated.
"""

import anyio
from hypothesis import settings as hsettings
from hypothesis import stateful
from hypothesis import strategies as st

from mustardfall import errors
from mustardfall.budget import ledger
from tests import kvfake

_ROUTERS = ("r1", "r2", "r3")


class LedgerMachine(stateful.RuleBasedStateMachine):

  def __init__(self) -> None:
    super().__init__()
    self.kvs = {}
    self.server = None
    for name in _ROUTERS + ("op",):
      kv, server = kvfake.make(name)
      if self.server is not None:  # one store, one client per caller
        kv, _ = kvfake.share(self.server, name)
      self.server = self.server or server
      self.kvs[name] = kv
    anyio.run(ledger.write, self.kvs["op"], "b", ledger.Create(50))
    self.limit = 50
    self.held = {r: {} for r in _ROUTERS}  # router -> gid -> [granted, used]
    self.generated = 0
    self.seq = 0
    self.ops = 0

  def _call(self, fn, *args):
    try:
      return anyio.run(fn, *args)
    except (errors.KvUnavailableError, errors.KvUnknownError):
      return None

  @stateful.rule(router=st.sampled_from(_ROUTERS), want=st.integers(1, 30))
  def take_grant(self, router, want):
    self.seq += 1
    gid = f"{router}:{self.seq}"
    change = ledger.Grant(gid, 1, want, 0.5)
    after = self._call(ledger.write, self.kvs[router], "b", change)
    if after and gid in after["grants"]:
      self.held[router][gid] = [after["grants"][gid], 0]

  @stateful.rule(router=st.sampled_from(_ROUTERS), n=st.integers(1, 10))
  def spend(self, router, n):
    for row in self.held[router].values():
      take = min(n, row[0] - row[1])
      row[1] += take
      self.generated += take
      return

  @stateful.rule(router=st.sampled_from(_ROUTERS))
  def settle(self, router):
    for gid, (_, used) in list(self.held[router].items()):
      # On failure the router keeps the row and settles again later.
      change = ledger.Settle(gid, used)
      self._call(ledger.write, self.kvs[router], "b", change)
      found = anyio.run(ledger.read, self.kvs["op"], "b")
      if gid not in found["grants"] and gid not in found["lost"]:
        del self.held[router][gid]

  @stateful.rule(router=st.sampled_from(_ROUTERS))
  def write_off(self, router):
    # The others take a router for gone; it may only be paused, and goes
    # on spending what it holds.
    found = anyio.run(ledger.read, self.kvs["op"], "b")
    for gid in found["grants"]:
      if ledger.holder(gid) == router:
        self._call(ledger.write, self.kvs["op"], "b", ledger.WriteOff(gid))

  @stateful.rule(router=st.sampled_from(_ROUTERS))
  def crash(self, router):
    self.held[router] = {}  # local state gone; grants stay in the ledger

  @stateful.rule(tokens=st.integers(1, 40))
  def top_up(self, tokens):
    self.ops += 1
    op = f"op{self.ops}"
    for _ in range(3):  # the operator retries with the same op id
      change = ledger.TopUp(tokens, op)
      if self._call(ledger.write, self.kvs["op"], "b", change):
        break
    found = anyio.run(ledger.read, self.kvs["op"], "b")
    if op in found["ops"]:
      self.limit += tokens

  @stateful.rule(n=st.integers(1, 2))
  def lose_replies(self, n):
    self.server.faults.lose_replies = n

  @stateful.rule(router=st.sampled_from(_ROUTERS + (None,)))
  def partition(self, router):
    self.server.faults.blocked = frozenset([router] if router else [])

  @stateful.invariant()
  def no_overspend_and_billed_once(self):
    if self.server is None:
      return
    found = anyio.run(ledger.read, self.kvs["op"], "b")
    assert found["limit"] == self.limit
    assert self.generated <= found["limit"]
    assert found["spent"] <= self.generated
    assert ledger.headroom(found) >= 0


LedgerMachine.TestCase.settings = hsettings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestLedgerStates = LedgerMachine.TestCase
