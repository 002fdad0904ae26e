"""Membership: the owner of a budget, and when a router counts as gone."""

import datetime
import json

import anyio
import testtools

from mustardfall import errors
from mustardfall import events
from mustardfall import settings
from mustardfall.bench.virtual import loop as virtual
from mustardfall.kv import protocol
from mustardfall.membership import members
from mustardfall.util import clock as clock_lib


def _member(i: int, region: str = "here") -> members.Member:
  return members.Member(f"r{i}", "e", f"http://r{i}", "dc", region)


class MembersTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    config = settings.Membership(grace_s=10.0)
    self.view = members.Members(
        None, _member(0), config, self.clock, events.Bus()
    )
    self.view.update([_member(i) for i in range(8)])

  def _owners(self) -> dict[str, str]:
    return {f"b{i}": self.view.owner(f"b{i}").name for i in range(2000)}

  def test_ownership_is_spread_and_stable(self):
    # When one of eight routers leaves, only its budgets change their owner;
    # else each of the day's restarts would move all allotments.
    before = self._owners()
    self.assertEqual(8, len(set(before.values())))
    self.view.update([_member(i) for i in range(8) if i != 3])
    after = self._owners()
    moved = [b for b in before if before[b] != after[b]]
    self.assertEqual({"r3"}, {before[b] for b in moved})

  def test_restarted_router_keeps_its_budgets(self):
    # All routers restart. If owners were chosen by life, nearly every budget
    # would change its owner, and its tokens would be with the former ones.
    before = self._owners()
    again = [_member(i)._replace(epoch="f") for i in range(1, 8)]
    self.view.update([_member(0), *again])
    self.assertEqual(before, self._owners())

  def test_candidates_are_in_order_with_suspects_last(self):
    first, second, third = self.view.candidates("b")
    self.assertEqual(first, self.view.owner("b"))
    self.view.suspect(first.life)
    self.assertEqual([second, third, first], self.view.candidates("b"))
    self.assertEqual(second, self.view.owner("b"))

  def test_limited_owners_change_only_when_one_leaves(self):
    # With a limit on the number of owners, a restart of another router moves
    # no budget, and an owner that leaves is replaced by one other router.
    config = settings.Membership(owners=3)
    self.view = members.Members(
        None, _member(0), config, self.clock, events.Bus()
    )
    self.view.update([_member(i) for i in range(8)])
    before = self._owners()
    owners = set(before.values())
    self.assertEqual(3, len(owners))
    for i in range(1, 8):
      self.view.update([_member(j) for j in range(8) if j != i])
      after = self._owners()
      if f"r{i}" not in owners:
        self.assertEqual(before, after)
      else:
        self.assertEqual(1, len(set(after.values()) - owners))

  def test_budgets_are_owned_in_the_own_region(self):
    far = [_member(i, "far") for i in range(10, 20)]
    self.view.update([_member(0), _member(1), *far])
    self.assertEqual({"r0", "r1"}, set(self._owners().values()))
    self.assertEqual(2, self.view.region_count)

  def test_router_that_does_not_answer_is_suspected_for_some_time(self):
    # Its lease expires much later; until then every request on its budgets
    # would wait for a timeout.
    before = self._owners()
    self.view.suspect("r3:e")
    during = self._owners()
    self.assertNotIn("r3", during.values())
    self.clock.advance(datetime.timedelta(seconds=3))
    self.assertEqual(before, self._owners())

  def test_disconnected_router_takes_no_other_for_gone(self):
    # A router that was disconnected or paused has an old list. It must not
    # write off the grants of all others, not even right after it reconnects.
    self.view._connected_since = self.clock.monotonic()
    self.view.update([_member(i) for i in range(7)])
    self.clock.advance(datetime.timedelta(seconds=11))
    self.assertTrue(self.view.has_gone("r7:e"))
    self.assertFalse(self.view.has_gone("r6:e"))
    self.view._connected_since = None
    self.assertFalse(self.view.has_gone("r7:e"))
    self.view._connected_since = self.clock.monotonic()
    self.clock.advance(datetime.timedelta(seconds=5))
    self.assertFalse(self.view.has_gone("r7:e"))

  def test_malformed_entry_is_skipped(self):
    # Another program wrote under the routers' prefix. If the whole list were
    # rejected, each router would know only itself and own every budget.
    good = members.PREFIX + "r1"
    value = json.dumps(_member(1)._asdict()).encode()
    for raw in (b"", b"\xff", b"[]", b"{}", b"[" * 100_000):
      store = _Store(
          [
              protocol.Record("member/r0", raw, 1, 0),
              protocol.Record(good, value, 1, 0),
          ]
      )
      view = members.Members(
          store, _member(9), settings.Membership(), self.clock, events.Bus()
      )
      with testtools.ExpectedException(_ReadError):
        anyio.run(view.follow)
      self.assertEqual({"r9:e", "r1:e"}, set(view.lives))


class _ReadError(Exception):
  """Ends a follower after its first read."""


class _Store:
  """A store that holds the routers' entries."""

  def __init__(self, records) -> None:
    self.records = records

  async def get_prefix(self, prefix):
    return 1, self.records

  async def watch(self, prefix, revision, idle_s):
    raise _ReadError
    yield


class SettlingTest(testtools.TestCase):
  """Guards against many owners of one budget after a common restart."""

  class _Store:
    """Answers every call."""

    reachable = True

    async def grant_lease(self, ttl_s):
      return 1

    async def put(self, key, value, lease):
      return 1

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _start(self, store):
    """Returns the view of a router that tried once to register."""
    view = members.Members(
        store, _member(0), settings.Membership(), self.clock, events.Bus()
    )

    async def register():
      with anyio.move_on_after(0.01):
        await view.register()

    anyio.run(register)
    return view

  def test_list_settles_after_an_outage_at_the_start(self):
    class Store:
      reachable = True

      async def grant_lease(self, ttl_s):
        raise errors.KvUnavailableError("away")

    view = self._start(Store())
    self.assertFalse(view.is_settled)
    view.set_list_current(True)
    for count in range(2, 6):
      view.update([_member(i) for i in range(count)])
      self._advance(0.2)
      self.assertFalse(view.is_settled)
    self._advance(0.3)
    self.assertTrue(view.is_settled)
    # Later changes are those of single routers.
    view.update([_member(i) for i in range(3)])
    self.assertTrue(view.is_settled)

  def test_router_that_reached_the_store_at_its_start_is_settled(self):
    self.assertTrue(self._start(self._Store()).is_settled)

  def test_list_is_stable_once_it_was_unchanged_for_a_second(self):
    # Hosts that start together register one after the other. The first ones
    # took grants of budgets that others own, half of what there was.
    view = self._start(self._Store())
    self.assertFalse(view.is_stable)
    view.set_list_current(True)
    for count in range(2, 5):
      view.update([_member(i) for i in range(count)])
      self._advance(0.5)
      self.assertFalse(view.is_stable)
    self._advance(0.6)
    self.assertTrue(view.is_stable)
    view.update([_member(i) for i in range(3)])
    self.assertTrue(view.is_stable)

  def test_routers_that_restart_in_turn_do_not_delay_grants_for_long(self):
    # During a rolling restart the list changes about every second.
    class Store:

      reachable = True

      async def grant_lease(self, ttl_s):
        raise errors.KvUnavailableError("away")

    view = self._start(Store())
    view.set_list_current(True)
    seen = []
    for count in range(16):
      view.update([_member(i) for i in range(2 + count % 2)])
      self._advance(0.3)
      seen.append((view.is_settled, view.is_stable))
    self.assertEqual((False, False), seen[5])
    self.assertEqual((True, False), seen[6])
    self.assertEqual((True, True), seen[13])


class RegistrationTest(testtools.TestCase):

  class _Store:
    """Grants leases, and refuses the first writes."""

    reachable = True

    def __init__(self, refusals: int) -> None:
      self.refusals = refusals
      self.keys: dict[str, int] = {}
      self.leases = 0

    async def grant_lease(self, ttl_s):
      self.leases += 1
      return self.leases

    async def keep_alive(self, lease):
      return 8

    async def put(self, key, value, lease):
      if self.refusals:
        self.refusals -= 1
        raise errors.KvUnavailableError("busy")
      self.keys[key] = lease

  def _register(self, store, seconds):
    """Runs a router's registration in virtual time."""

    async def register():
      view = members.Members(
          store,
          _member(0),
          settings.Membership(ttl_s=8),
          virtual.Clock(),
          events.Bus(),
      )
      with anyio.move_on_after(seconds):
        await view.register()

    virtual.run(register)

  def test_refused_registration_is_repeated(self):
    """Guards against a router that holds a lease but is never in the list."""
    store = self._Store(refusals=2)
    self._register(store, 5.0)
    self.assertEqual(["member/r0"], list(store.keys))

  def _renewals(self, unreachable_from_s, seconds):
    """Returns when a router renewed its lease, seconds after its start."""
    renewed_at = []

    class Store(self._Store):

      @property
      def reachable(self):
        return anyio.current_time() < unreachable_from_s

      async def keep_alive(self, lease):
        renewed_at.append(anyio.current_time())
        return await super().keep_alive(lease)

    self._register(Store(refusals=0), seconds)
    return renewed_at

  def test_lease_is_renewed_early_once_the_store_is_unreachable(self):
    """Guards against dearer calls that find out that the store is back."""
    early = self._renewals(unreachable_from_s=1.0, seconds=1.7)
    self.assertTrue(early)
    self.assertTrue(early[0] <= 1.6, early)

  def test_lease_is_renewed_thrice_per_term_while_the_store_answers(self):
    """Guards against renewals at each look whether the store is reachable."""
    self.assertEqual(3, len(self._renewals(float("inf"), seconds=8.5)))

  def test_router_that_has_left_does_not_register_again(self):
    """Guards against a stopped router that others ask for tokens."""

    class Store(self._Store):

      async def revoke_lease(self, lease):
        self.keys.clear()

    store = Store(refusals=0)

    async def leave():
      view = members.Members(
          store,
          _member(0),
          settings.Membership(ttl_s=8),
          virtual.Clock(),
          events.Bus(),
      )
      async with anyio.create_task_group() as tg:
        tg.start_soon(view.register)
        await anyio.sleep(2.5)
        await view.leave()
        await anyio.sleep(3.0)
        tg.cancel_scope.cancel()

    virtual.run(leave)
    self.assertEqual((1, {}), (store.leases, store.keys))

  def test_router_that_is_missing_from_a_later_list_registers_again(self):
    """Guards against an entry that a late write ties to an expired lease."""
    store = self._Store(refusals=0)

    async def lose_entry():
      view = members.Members(
          store,
          _member(0),
          settings.Membership(ttl_s=8),
          virtual.Clock(),
          events.Bus(),
      )
      async with anyio.create_task_group() as tg:
        tg.start_soon(view.register)
        await anyio.sleep(3.0)
        view.update([_member(1)], anyio.current_time())
        await anyio.sleep(6.0)
        tg.cancel_scope.cancel()

    virtual.run(lose_entry)
    self.assertEqual(2, store.leases)


class CertaintyTest(testtools.TestCase):

  def setUp(self):
    super().setUp()
    self.clock = clock_lib.FakeClock()
    self.store = RegistrationTest._Store(refusals=0)
    self.view = members.Members(
        self.store,
        _member(0),
        settings.Membership(ttl_s=8),
        self.clock,
        events.Bus(),
    )

  def _register(self):
    async def register():
      with anyio.move_on_after(0.01):
        await self.view.register()

    anyio.run(register)

  def _advance(self, seconds):
    self.clock.advance(datetime.timedelta(seconds=seconds))

  def _list(self, age_s=0.0):
    as_of = self.clock.monotonic() - age_s
    self.view.update([_member(i) for i in range(3)], as_of)

  def test_only_long_registered_routers_with_a_recent_list_are_certain(self):
    self._list()
    self.assertFalse(self.view.is_certain)
    self._register()
    self._advance(5.9)
    self._list()
    self.assertFalse(self.view.is_certain)
    self._advance(0.2)
    self.assertTrue(self.view.is_certain)

  def test_router_with_an_old_list_is_not_certain(self):
    """Guards against a router that was cut off and missed who joined."""
    self._register()
    self._advance(6.5)
    self._list(age_s=5.1)
    self.assertFalse(self.view.is_certain)
    self._list(age_s=1.0)
    self.assertTrue(self.view.is_certain)

  def test_router_whose_lease_may_have_expired_is_not_certain(self):
    """Guards against a router that others have replaced unknown to it."""
    self._register()
    self._advance(7.9)
    self._list()
    self.assertTrue(self.view.is_certain)
    self._advance(0.2)
    self._list()
    self.assertFalse(self.view.is_certain)
