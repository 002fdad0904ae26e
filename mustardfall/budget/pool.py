"""A router's share of the budgets: where a request's tokens come from.

One router per region *owns* each budget, by consistent hashing over the routers
that are up. Only the owner takes the budget's grants from the KV; it delegates
parts of them to the other routers over HTTP. A budget's free tokens are thus in
one place per region instead of in every router, which saves KV writes and
avoids refusing requests that the budget covers.

Ownership is an optimisation, not a lock. A router that cannot reach the owner
takes a grant from the KV itself, and two owners at once are safe, since each
spends only what the KV granted it.

`Pool` connects the components; each has a module of its own.
"""

import collections
from collections.abc import Callable, Iterable

from mustardfall import settings
from mustardfall.budget import acquiring
from mustardfall.budget import allotment
from mustardfall.budget import budget_view as budget_view_lib
from mustardfall.budget import granting
from mustardfall.budget import holding
from mustardfall.budget import ledger
from mustardfall.budget import ownership
from mustardfall.budget import policy as policy_lib
from mustardfall.budget import recalling
from mustardfall.budget import refusals
from mustardfall.budget import renewals
from mustardfall.budget import reviewing
from mustardfall.budget import settling
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import clockcheck
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib


class Pool:
  """A router's share of the budgets.

  Args:
    config: the router's complete settings.
    clock: the time source.
    members: the routers that are up and the owners of budgets.
    peers: calls to other routers.
    writer: the batch writer to the KV.
    policy_of: returns a customer's policy.
    limit_of: returns a budget's limit if the configuration sets it, None if the
      ledger has its own.
    clock_check: compares the wall clock with other routers' clocks, if given.
    budgets: returns the budgets that the configuration sets.
    relays: finds routers that reach the store; None: none are known.
  """

  def __init__(
      self,
      config: settings.Router,
      clock: clock_lib.Clock,
      members: members_lib.Members,
      peers: peers_lib.Client,
      writer: writer_lib.Writer,
      policy_of: Callable[[str], policy_lib.Policy],
      limit_of: Callable[[str], ledger.Limit | None] = lambda budget: None,
      clock_check: clockcheck.ClockCheck | None = None,
      budgets: Callable[[], Iterable[str]] = tuple,
      relays: acquiring.StoreRelays | None = None,
  ) -> None:
    self._config = config.allotment
    self._clock = clock
    self._members = members
    self._counts: collections.Counter[str] = collections.Counter()
    self._refusals = refusals.RefusalCache(clock)
    self._reported_at = -float("inf")
    self.table = allotment.Table(members.me.life, self._config)
    self.budget_view = budget_view_lib.BudgetView(
        self._config,
        clock,
        members,
        self.table,
        policy_of,
        limit_of,
        budgets,
    )
    self._settler = settling.Settler(self.table, members, peers, writer)
    with_error_bound = (
        clock_check.with_error_bound if clock_check is not None else _unverified
    )
    self.renewer = renewals.Renewer(
        self._config,
        clock,
        members.me.life,
        self.table,
        writer,
        with_error_bound,
    )
    self.reviewer = reviewing.Reviewer(
        clock,
        members,
        peers,
        self.budget_view,
        writer,
        clock_check,
        self.renewer,
        self._counts,
    )
    self.recaller = recalling.Recaller(
        self._config,
        clock,
        members,
        peers,
        self.table,
        self._settler,
        self.reviewer,
        self._counts,
    )
    self._granter = granting.Granter(
        self._config,
        clock,
        members,
        self.budget_view,
        self.table,
        self._refusals,
        self._settler,
        writer,
        with_error_bound,
        self._counts,
    )
    self.acquirer = acquiring.TokenAcquirer(
        self._config,
        clock,
        members,
        peers,
        self.budget_view,
        self.table,
        self._refusals,
        self._granter,
        self.recaller,
        self._settler,
        self._counts,
        relays or acquiring.NoRelays(),
    )
    self.owner = ownership.Owner(
        self._config,
        clock,
        members,
        peers,
        self.budget_view,
        self.table,
        self._refusals,
        self.acquirer,
        self._settler,
        writer,
        self._counts,
    )

  @property
  def counts(self) -> collections.Counter[str]:
    """Event counters of all components."""
    return self._counts + self._settler.counts

  async def reserve(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Reserves `tokens` for a request.

    Returns:
      The reservation. None if the budget cannot provide that many now, or
      neither the KV nor another router can be reached: the request must not
      run.
    """
    return await self.acquirer.reserve(budget, tokens, customer)

  def settle(
      self, reservation: allotment.Reservation, used: int
  ) -> allotment.Settled:
    """Ends a reservation; `used` tokens of it are billed."""
    settled = self.table.settle(reservation, used)
    ended = self.table.pop_expired_received_part(
        reservation.gid, self._clock.monotonic()
    )
    if ended is not None:
      self._settler.settle_row(ended)
    return settled

  async def settle_parts(self) -> None:
    """Settles ended parts with their owners; see `settling`."""
    await self._settler.settle_parts()

  def update_from_ledger(self, budget: str, state: ledger.Ledger) -> None:
    """Updates this router's state from a ledger that was read."""
    now = self._clock.monotonic()
    self.budget_view.update(budget, state)
    for gid in self.table.by_budget.get(budget, ()):
      self.table.grow(gid, ledger.granted(state, gid), now)
      ceiling = ledger.ceiling(state, gid)
      if ceiling is not None:
        self.table.confirm_ceiling(gid, ceiling, now)
        self._settler.confirm_ceiling(gid, ceiling)
      if gid in state["lost"]:
        # This router was unreachable and considered dead. A written-off grant
        # cannot grow: if its row stayed in use, every refill would be refused.
        self.table.rows[gid].retiring = True
    self._settler.settle_strays(budget, state, self._granter.pending_gids)
    self.reviewer.schedule(budget, state)

  def retire(self, budget: str) -> None:
    """Returns the budget's idle tokens soon, the others as requests end."""
    for row in self.table.retire(budget):
      self._settler.settle_row(row)
    self._shrink_retired()

  def _shrink_retired(self) -> None:
    for row in self.table.rows.values():
      if row.gid not in self._granter.pending_gids:
        self._settler.shrink(row)

  def tick(self, elapsed_s: float) -> None:
    """Retires rows, settles finished ones and writes off lost parts."""
    now = self._clock.monotonic()
    for row in self.table.tick(now, elapsed_s):
      self._settler.settle_row(row)
    report_s = holding.report_interval_s(
        self._config, len(self._members.lives), self.budget_view.budget_count
    )
    if now - self._reported_at >= report_s and self._config.reports:
      self._reported_at = now
      self._granter.report_usage()
      self.renewer.renew()
    self.budget_view.tick()
    self.acquirer.prefetch()
    self.owner.retire_unowned()
    self.owner.write_off_parts()
    self._shrink_retired()
    quiet_since = now - self._config.term_s
    for component in (
        self._refusals,
        self.budget_view,
        self.recaller,
        self.reviewer,
        self.acquirer,
    ):
      component.prune(quiet_since)

  async def stop(self) -> None:
    """Returns everything; called after the last request has ended.

    Parts held by other routers are recalled first. Those that are not returned
    stay granted, and their holders settle them in the ledger.
    """
    self.acquirer.stopping = True
    await self.owner.recall_parts()
    for row in self.table.clear():
      self._settler.settle_row(row)
    await self._settler.settle_parts()
    self._settler.settle_orphans()


def _unverified(moment: clock_lib.Moment) -> clock_lib.Moment:
  """Returns `moment` without a clock error, as no clocks are compared."""
  return moment
