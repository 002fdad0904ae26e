"""Stateful property test of three routers' pools on one budget.

Hypothesis drives the real pools, with the real batch writers, against
the KV stand-in: requests, ticks, lost replies between routers and from
the KV, partitions, routers taken for gone that only pause, and deaths.
After every step the engines' total stays within the limit and the ledger
bills no more than was generated; after all has healed it bills exactly
that, but for what died with a router.
"""

import json

import anyio
from anyio import from_thread
from hypothesis import settings as hsettings
from hypothesis import stateful
from hypothesis import strategies as st
import testtools

from mustardfall import settings
from mustardfall.budget import ledger
from mustardfall.budget import policy
from mustardfall.budget import pool
from mustardfall.kv import change
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import members
from mustardfall.util import clock as clock_lib
from tests import configs
from tests import kvfake

_NAMES = ("r1", "r2", "r3")
_LIMIT = 400
_POLICY = policy.Policy(margin=0.0, patience_s=0.0)
_ALLOTMENT = settings.Allotment(
    min_tokens=60, term_s=1.0, refusal_ttl_s=0.001, recall_s=0.001
)


class _World:
  """Who is up, who is taken for gone, and which calls get lost."""

  def __init__(self):
    self.pools = {}
    self.dead = set()
    self.gone = set()  # taken for gone; dead, or only paused
    self.owner = "r1"
    self.lose = ""  # "ask", "answer" or "": what happens to peer calls
    self.epochs = dict.fromkeys(_NAMES, 0)  # raised by a restart

  def member(self, name):
    epoch = f"e{self.epochs[name]}"
    return members.Member(name, epoch, f"http://{name}", "dc", "region")


class _Members:
  """Stands for `members.Members`, with a view that the test sets."""

  is_large = False

  def __init__(self, world, name):
    self._world = world
    self.me = world.member(name)

  regions = 1

  @property
  def lives(self):
    absent = self._world.gone - {self.me.name}
    up = [self._world.member(n) for n in _NAMES if n not in absent]
    return {member.life: member for member in up}

  def successor(self, life):
    member = self._world.member(life.partition(":")[0])
    known = member.life in self.lives and member.life != life
    return member if known else None

  def owner(self, _):
    return self._world.member(self._world.owner)

  def candidates(self, budget):
    owner = self.owner(budget)
    others = [self._world.member(n) for n in _NAMES if n != owner.name]
    return [owner, *others]

  def suspect(self, _):
    pass

  def has_gone(self, life):
    return life not in self.lives

  def absent_s(self, life):
    return 1.0 if self.has_gone(life) else -1.0


class _Peers:
  """Stands for `peers.Client`: calls the other pool, or loses the call."""

  def __init__(self, world):
    self._world = world

  async def _call(self, member, call):
    if member.name in self._world.dead or self._world.lose == "ask":
      return None
    answer = await call(self._world.pools[member.name])
    return None if self._world.lose == "answer" else answer

  async def reserve(self, owner, ask):
    return await self._call(owner, lambda p: p.owner.serve_ask(ask))

  async def settle(self, owner, ended):
    async def _settle(p):
      p.owner.serve_settle(ended)
      return True

    return bool(await self._call(owner, _settle))

  async def recall(self, holder, budget):
    async def _recall(p):
      await p.recaller.serve(budget)
      return True

    return bool(await self._call(holder, _recall))

  async def review(self, successor, budget):
    async def _review(p):
      await p.reviewer.serve(budget)
      return True

    return bool(await self._call(successor, _review))


class _HostClock:
  """One host's clocks: the boot clock starts anew, the wall clock steps."""

  def __init__(self, clock):
    self._clock = clock
    self.boot_s = 0.0
    self.step_s = 0.0

  def monotonic(self):
    return self._clock.monotonic()

  def moment(self):
    boot_s, wall_s, _ = self._clock.moment()
    return clock_lib.Moment(boot_s + self.boot_s, wall_s + self.step_s)

  def process_start(self):
    return self.moment()


class PoolMachine(stateful.RuleBasedStateMachine):

  allotment = _ALLOTMENT

  def __init__(self):
    super().__init__()
    self.world = _World()
    self.clock = clock_lib.FakeClock()
    self.open = []  # (router, reservation) in flight
    self.generated = 0
    self.died_with = 0  # tokens that only a dead router knew of
    self.portal_cm = from_thread.start_blocking_portal()
    self.portal = self.portal_cm.__enter__()
    self.portal.call(self._set_up)

  async def _set_up(self):
    self.op, self.server = kvfake.make("op")
    await ledger.write(self.op, "b", ledger.Create(_LIMIT))
    config = configs.router(allotment=self.allotment)
    self.config = config
    self.writers = {}
    self.clocks = {}
    for name in _NAMES:
      self.clocks[name] = _HostClock(self.clock)
      self._start(name)

  def _start(self, name):
    kv, _ = kvfake.share(self.server, name)
    writer = writer_lib.Writer(
        kv,
        settings.Writer(interval_s=0.0, linger_s=0.0),
        clock_lib.SystemClock(),
        lambda key, value: self._take_in(name, key, value),
    )
    self.writers[name] = writer
    self.world.pools[name] = pool.Pool(
        self.config,
        self.clocks[name],
        _Members(self.world, name),
        _Peers(self.world),
        writer,
        lambda _: _POLICY,
        lambda _: self._limit_of(name),
    )

  def _take_in(self, router, key, value):
    pool_ = self.world.pools[router]
    if key == pool_.renewer.key:
      pool_.renewer.take(value)
    else:
      pool_.sweep("b", value)

  def _limit_of(self, router):
    """Returns the limit that `router` knows; None: the ledger's own."""

  def teardown(self):
    try:
      self.portal.call(self._heal_and_check)
    finally:
      self.portal_cm.__exit__(None, None, None)

  async def _with_loops(self, fn):
    """Runs `fn` with every live router's writer and drawer running.

    What `fn` left in flight (a grant taken in the background) has a moment
    to come to its end, as in a router, whose loops go on.
    """
    up = [name for name in _NAMES if name not in self.world.dead]
    async with anyio.create_task_group() as tg:
      for name in up:
        tg.start_soon(self.writers[name].run)
        tg.start_soon(self.world.pools[name].drawer.run)
      result = await fn()
      with anyio.move_on_after(1.0):
        while any(self.world.pools[name].drawer.busy for name in up):
          await anyio.sleep(0.001)
      tg.cancel_scope.cancel()
    return result

  def _do(self, fn):
    return self.portal.call(self._with_loops, fn)

  def _up(self, router):
    return router not in self.world.dead

  @stateful.rule(router=st.sampled_from(_NAMES), tokens=st.integers(1, 80))
  def reserve(self, router, tokens):
    if not self._up(router):
      return

    async def go():
      return await self.world.pools[router].reserve("b", tokens, "c")

    found = self._do(go)
    if found is not None:
      self.open.append((router, found))

  @stateful.rule(part=st.floats(0, 1))
  def finish(self, part):
    if not self.open:
      return
    router, reservation = self.open.pop(0)
    used = int(reservation.tokens * part)
    self.generated += used
    self.world.pools[router].settle(reservation, used)

  @stateful.rule(seconds=st.sampled_from([0.1, 2.0]))
  def tick(self, seconds):
    self.clock.advance(clock_lib.datetime.timedelta(seconds=seconds))

    async def go():
      for name in _NAMES:
        if self._up(name):
          self.world.pools[name].tick(seconds)
          await self.world.pools[name].settle_parts()
          await self.world.pools[name].reviewer.review_noted()
          await self.writers[name].flush(0.05)

    self._do(go)

  @stateful.rule(owner=st.sampled_from(_NAMES))
  def change_owner(self, owner):
    self.world.owner = owner

  @stateful.rule(lose=st.sampled_from(["", "ask", "answer"]))
  def lose_peer_calls(self, lose):
    self.world.lose = lose

  @stateful.rule(n=st.integers(0, 2), then_down=st.booleans())
  def lose_kv_replies(self, n, then_down):
    faults = {"lose_replies": n, "down_after_loss": then_down, "down": False}
    self.server.change_faults(faults)

  @stateful.rule(router=st.sampled_from(_NAMES + (None,)))
  def partition(self, router):
    self.server.faults.blocked = frozenset([router] if router else [])

  @stateful.rule(router=st.sampled_from(_NAMES))
  def take_for_gone(self, router):
    self.world.gone ^= {router}

  @stateful.precondition(lambda self: not self.world.dead)
  @stateful.rule(router=st.sampled_from(_NAMES))
  def kill(self, router):
    self.world.dead.add(router)
    self.world.gone.add(router)
    # What its requests had in hand may all have been generated.
    self.generated += sum(r.tokens for n, r in self.open if n == router)
    self.open = [(n, r) for n, r in self.open if n != router]

  @stateful.invariant()
  def no_overspend_and_billed_once(self):
    found = json.loads(self.server.store.entries[b"budget/b"].value)
    in_flight = sum(r.tokens for _, r in self.open)
    assert self.generated + in_flight <= _LIMIT
    assert found["spent"] <= self.generated
    assert ledger.headroom(found) >= 0

  async def _heal_and_check(self):
    self.world.lose = ""
    self.world.gone = set(self.world.dead)
    for pool_ in self.world.pools.values():
      pool_.drawer.stopping = True  # a refill would be a grant not due yet
    self.server.change_faults({"blocked": [], "lose_replies": 0, "down": False})
    for router, reservation in self.open:
      self.generated += reservation.tokens
      self.world.pools[router].settle(reservation, reservation.tokens)

    async def go():
      for _ in range(3):
        self.clock.advance(clock_lib.datetime.timedelta(seconds=2))
        for name in _NAMES:
          if self._up(name):
            self.world.pools[name].tick(2.0)
            await self.world.pools[name].settle_parts()
            await self.world.pools[name].reviewer.review_noted()
            await self.writers[name].flush(1.0)

    await self._with_loops(go)
    found = await ledger.read(self.op, "b")
    lives = [self.world.member(n).life for n in _NAMES if self._up(n)]
    alive = [g for g in found["grants"] if ledger.holder(g) in lives]
    assert not alive, alive
    assert found["spent"] <= self.generated
    if not self.world.dead and not any(self.world.epochs.values()):
      assert found["spent"] == self.generated, (found, self.generated)
      assert ledger.headroom(found) == _LIMIT - self.generated


class ConfiguredPoolMachine(PoolMachine):
  """The same with limits from a configuration, and reports of use.

  The limit is changed up and down while routers hold grants; each hears of
  it when it hears of it. Between two sights of the ledger a part may be
  counted twice in what is spent (reported by its owner, and settled by its
  holder), but never in what is left: that is what routers grant from.
  """

  allotment = _ALLOTMENT.model_copy(
      update={"reports": True, "share_held": 0.3, "headroom_share": 0.5}
  )

  def __init__(self):
    self.limits = [ledger.Limit(_LIMIT, 1)]
    self.heard = dict.fromkeys(_NAMES, 0)
    super().__init__()

  def _limit_of(self, router):
    return self.limits[self.heard[router]]

  @stateful.rule(tokens=st.sampled_from([100, 250, 400]))
  def change_limit(self, tokens):
    # Never over the first limit, so that the base's checks still hold.
    version = self.limits[-1].version + 1
    self.limits.append(ledger.Limit(min(tokens, _LIMIT), version))

  @stateful.rule(router=st.sampled_from(_NAMES))
  def hear(self, router):
    if not self._up(router):
      return
    before = self._limit_of(router).tokens
    self.heard[router] = len(self.limits) - 1
    if self._limit_of(router).tokens < before:
      self.world.pools[router].retire("b")

  @stateful.invariant()
  def no_overspend_and_billed_once(self):
    found = json.loads(self.server.store.entries[b"budget/b"].value)
    in_flight = sum(r.tokens for _, r in self.open)
    assert self.generated + in_flight <= _LIMIT
    held = sum(found["grants"].values()) + ledger.lost(found)
    assert self.generated + in_flight <= found["spent"] + held

  async def _heal_and_check(self):
    self.limits.append(ledger.Limit(_LIMIT, self.limits[-1].version + 1))
    self.heard = dict.fromkeys(_NAMES, len(self.limits) - 1)
    self.server.change_faults({"blocked": [], "lose_replies": 0, "down": False})
    found = await ledger.read(self.op, "b")
    version = self.limits[-1].version
    whole = {**found, "limit": _LIMIT, "limit_version": version}
    await self.op.put(ledger.key("b"), change.encode(whole))
    await super()._heal_and_check()


class RestartedPoolMachine(ConfiguredPoolMachine):
  """The same, where routers die again and again, and start anew.

  What a dead life held above its promise goes back to the budget, judged by
  the next life of the router with clocks that step and start anew. A life
  may have drawn up to its promise in an outage and died unheard.
  """

  allotment = _ALLOTMENT.model_copy(
      update={
          "reports": True,
          "share_held": 0.6,
          "headroom_share": 0.9,
          "request_tokens": 20,
          "term_s": 30.0,
      }
  )

  @stateful.initialize(draws=st.lists(st.integers(1, 60), max_size=6))
  def hold_much(self, draws):
    # The grant taken without having seen the ledger is small, the next not.
    for tokens in (1, 1, *draws):
      self.reserve("r1", tokens)

  async def _heal_and_check(self):
    term = clock_lib.datetime.timedelta(seconds=self.allotment.term_s)
    self.clock.advance(term)  # every grant is due to go back
    await super()._heal_and_check()

  @stateful.rule(
      router=st.sampled_from(_NAMES),
      down_s=st.sampled_from([0.0, 0.5, 4.0]),
      power=st.booleans(),
  )
  def restart(self, router, down_s, power):
    if self._up(router):
      self.kill(router)
    self.clock.advance(clock_lib.datetime.timedelta(seconds=down_s))
    if power:
      self.clocks[router].boot_s = -self.clock.monotonic()
    self.world.epochs[router] += 1
    self.world.dead.discard(router)
    self.world.gone.discard(router)
    self._start(router)
    self.reserve(router, 1)  # a sight of the ledger
    self.tick(0.1)

  @stateful.rule(
      router=st.sampled_from(_NAMES), step_s=st.sampled_from([-2.4, 0.0, 2.4])
  )
  def step_clock(self, router, step_s):
    self.clocks[router].step_s = step_s


class ReportTest(testtools.TestCase):

  def test_report_does_not_take_back_what_a_grant_is_asked_for(self):
    # A request waits for its grant when the time to report comes. The report
    # promised less, and later, so it stood: 429, the tokens being there.
    machine = RestartedPoolMachine()
    self.addCleanup(machine.portal_cm.__exit__, None, None, None)
    machine.reserve("r1", 20)
    machine.finish(1.0)
    served = []

    async def go():
      pool_ = machine.world.pools["r1"]
      writer = machine.writers["r1"]

      async def ask():
        served.append(await pool_.reserve("b", 120, "c"))

      submit = writer.submit

      async def submit_late(key, asked):
        machine.clock.advance(clock_lib.datetime.timedelta(seconds=1.5))
        pool_.tick(1.5)  # while the grant is on its way
        return await submit(key, asked)

      writer.submit = submit_late
      async with anyio.create_task_group() as tg:
        tg.start_soon(ask)

    machine._do(go)
    self.assertIsNotNone(served[0])


PoolMachine.TestCase.settings = hsettings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
TestPoolStates = PoolMachine.TestCase
ConfiguredPoolMachine.TestCase.settings = PoolMachine.TestCase.settings
TestConfiguredPoolStates = ConfiguredPoolMachine.TestCase
RestartedPoolMachine.TestCase.settings = PoolMachine.TestCase.settings
TestRestartedPoolStates = RestartedPoolMachine.TestCase
