"""Where a request's tokens come from: own rows, the owner, or the KV.

One router per region *owns* each budget, by consistent hashing over the
routers that are up. It alone takes the budget's grants from the KV and
hands parts of them on to the others, over HTTP. So a budget's free
tokens lie in one place per region instead of in every router, which
saves KV writes and refusals of requests that the budget could cover.

Ownership is an optimisation, not a lock: a router that cannot reach the
owner takes a grant from the KV itself, and two owners at once are safe,
since each spends only what the KV granted it.
"""

import collections
from collections.abc import Callable
import logging

import anyio

from mustardfall import errors
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.budget import ceilings as ceilings_lib
from mustardfall.budget import ledger
from mustardfall.budget import policy as policy_lib
from mustardfall.budget import refusals
from mustardfall.budget import settling
from mustardfall.kv import writer as writer_lib
from mustardfall.membership import clockcheck
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers as peers_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

_NO_BUDGET = ledger.Ledger(
    limit=0, spent=0, grants={}, lost={}, lost_before=0, parts={}, ops=[]
)
"""Stands for a budget that the KV does not hold."""
_OWNER_REFUSAL_TTL_S = 0.05
"""How long an owner's refusal is repeated from memory."""
_WAIT_STEP_S = 0.05
"""Pause between two looks at a budget that ran out."""
_LOSS_WEIGHT = 6.0
"""How strongly a loss makes holders careful: one loss of a usual store, some
a tenth of a budget, brings the next to two fifths of its size."""
_LEAST_SCALE = 0.1
"""Holders never go below this: the largest requests take a tenth of a
small budget, and a grant for each would cost a write a request."""
_EXHAUSTED_S = 0.5
"""How long a budget that was found used up is believed to be."""
_BILL_S = 1.0
"""Between two reports of what grants have used. A dead router's grants are
written off but for what it reported; each report costs a write."""
_REVIEW_PAUSE_S = 0.05
"""Between two rounds of reviews."""
_CLOCK_WAIT_S = 1.5
"""How long a review waits for the clocks to be compared. Routers that lost
power together are back within a second of each other; what the clocks do
not tell by then is written off for good."""
_REVIEW_AGAIN_S = 1.0
"""A review is asked for again after this. A router that has just started
may not be reached at once; each sight of the ledger asks again."""
_REFILL_PAUSE_S = 1.0
"""Pause after a refill that the budget could not give; requests that need
tokens still ask at once."""
_STOP_ROUNDS = 3
"""Rounds in which a stopping router hands its parts back."""


def _hold_scale(found: ledger.Ledger) -> float:
  """Returns what part of the usual store of tokens to hold, 0.1 to 1.

  Where routers have died with a part of a budget they may die again, and
  each death takes what is held: three losses of all routers in a day left
  a budget with nothing, and every request after the third was refused.
  """
  lost = ledger.lost(found) / max(found["limit"], 1)
  return max(_LEAST_SCALE, 1.0 - _LOSS_WEIGHT * lost)


class Pool:
  """A router's share of the budgets.

  Args:
    config: the router's settings, whole.
    clock: the time source.
    members: who is up and owns what.
    peers: calls to other routers.
    writer: the batch writer to the KV.
    policy_of: returns a customer's policy.
    limit_of: returns a budget's limit where the configuration sets it,
      None where the ledger keeps its own.
    clock_check: vouches for the wall clock, if anything does.
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
  ) -> None:
    self._config = config.allotment
    self._clock = clock
    self._members = members
    self._peers = peers
    self._writer = writer
    self._policy_of = policy_of
    self._limit_of = limit_of
    self.table = allotment.Table(members.me.life, config.allotment)
    self._settler = settling.Settler(self.table, members, peers, writer)
    self._started = clock.moment()
    self._clock_check = clock_check
    self._counts: collections.Counter[str] = collections.Counter()
    self._locks: dict[str, anyio.Lock] = {}
    self._demand: collections.Counter[str] = collections.Counter()
    """Tokens that waiting requests need, per budget."""
    self._refusals = refusals.Refusals(clock)
    self._recalled_at: dict[str, float] = {}
    self._asking: set[str] = set()
    """Grants asked of the KV whose answer is still out."""
    self._low: dict[str, str] = {}
    """Budgets that run low, and their customers."""
    self._low_event = anyio.Event()
    self._seen: dict[str, ledger.Ledger] = {}
    """Ledgers as last seen."""
    self._exhausted: dict[str, tuple[int, float]] = {}
    """Budgets found used up: for how many tokens, and until when."""
    self._refill_at: dict[str, float] = {}
    """When a budget that could not give may be refilled again."""
    self._blind: set[str] = set()
    """Budgets whose first grant was taken without knowing their ledger."""
    self._billed_at = -float("inf")
    self._reviews: set[tuple[str, str]] = set()
    """Budgets with grants of dead routers, and those routers' later lives."""
    self._review_event = anyio.Event()
    self._asked_reviews: dict[str, float] = {}
    """When a review was last asked for, by grant."""
    self._stopping = False

  @property
  def counts(self) -> collections.Counter[str]:
    """What happened so far."""
    return self._counts + self._settler.counts

  async def reserve(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Sets `tokens` aside for a request.

    Returns:
      The reservation, or None when the budget, or the way to it, cannot
      give that many now: the request must not run.
    """
    found = self.table.reserve(budget, tokens)
    if found is None:
      return await self._wait(budget, tokens, customer)
    self._look_ahead(budget, customer)
    return found

  def _look_ahead(self, budget: str, customer: str) -> None:
    """Has the budget refilled if it will soon run short here."""
    table = self.table
    if table.running_low(budget) or table.nears_ceiling(budget):
      self._note_low(budget, customer)

  def _note_low(self, budget: str, customer: str) -> None:
    """Has the budget refilled in the background."""
    self._low[budget] = customer
    self._low_event.set()

  def is_exhausted(self, budget: str, tokens: int) -> bool:
    """Whether the budget was just found unable to cover `tokens`.

    Then no waiting helps: not even all that is reserved or held would
    cover them, should it come back unused.
    """
    least, until = self._exhausted.get(budget, (0, -float("inf")))
    return tokens >= least and self._clock.monotonic() < until

  def _note_exhausted(self, budget: str, tokens: int) -> None:
    until = self._clock.monotonic() + _EXHAUSTED_S
    self._exhausted[budget] = (tokens, until)

  def _most_left(self, budget: str, margin: float) -> int | None:
    """Returns the most tokens that the budget could still give, if known."""
    found = self._seen.get(budget)
    if found is None:
      return None
    left = ledger.headroom(found) - int(found["limit"] * margin)
    limit = self._limit_of(budget)
    if limit is not None and limit.version > found.get("limit_version", 0):
      left += limit.tokens - found["limit"]
    for gid, tokens in found["grants"].items():
      row = self.table.rows.get(gid)
      left += tokens if row is None else max(row.may_return, 0)
    for gid, tokens in found["lost"].items():
      if ledger.ceiling(found, gid) is not None:
        left += tokens  # not reviewed yet
    return left

  async def _wait(
      self, budget: str, tokens: int, customer: str
  ) -> allotment.Reservation | None:
    """Gets tokens, for as long as the customer's policy has patience."""
    patience_s = self._policy_of(customer).patience_s
    deadline = self._clock.monotonic() + patience_s
    self._demand[budget] += tokens
    try:
      while True:
        if not self._refusals.repeat(budget, tokens):
          await self._fetch(budget, tokens, customer)
        found = self.table.reserve(budget, tokens)
        if found is not None:
          return found
        now = self._clock.monotonic()
        hopeless = self._refusals.lasts_s(budget) > patience_s
        hopeless = hopeless or self.is_exhausted(budget, tokens)
        if now >= deadline or hopeless or self._stopping:
          return None
        await anyio.sleep(_WAIT_STEP_S)
    finally:
      self._demand[budget] -= tokens
      if not self._demand[budget]:
        del self._demand[budget]

  async def _fetch(self, budget: str, tokens: int, customer: str) -> None:
    """Gets an allotment of at least `tokens`, unless one is there now."""
    async with self._locks.setdefault(budget, anyio.Lock()):
      self.table.look(budget, self._clock.monotonic())
      done = self.table.has_room(budget, tokens)
      if done or self._stopping or self._refusals.repeat(budget, tokens):
        return
      demand = max(tokens, self._demand.get(budget, 0))
      # Shielded: a caller that leaves now must not leave tokens behind
      # that were granted in answer but recorded nowhere.
      with anyio.CancelScope(shield=True):
        owner = self._owner(budget)
        if owner is not None:
          want = self.table.want_part(budget, demand)
          if await self._ask_owner(owner, budget, tokens, want, customer):
            return
        # In an owner's place only what is needed now: a store of tokens
        # here would lie idle once the owner answers again.
        want = demand if owner else self.table.want(budget, demand)
        await self._take_grant(budget, tokens, want, customer, owner is None)

  def _owner(self, budget: str) -> members_lib.Member | None:
    """Returns the other router to draw through; None: the KV itself."""
    if not self._config.owned:
      return None
    owner = self._members.owner(budget)
    return None if owner.life == self._members.me.life else owner

  async def _ask_owner(
      self,
      owner: members_lib.Member,
      budget: str,
      least: int,
      want: int,
      customer: str,
  ) -> bool:
    """Asks the owner for a part; returns whether its answer is final."""
    part = self.table.new_gid()
    ask = peers_lib.Ask(budget, customer, part, least, want)
    answer = await self._peers.reserve(owner, ask)
    if answer is None:
      # The owner may have handed the part on and its answer got lost.
      # Settled as unused, it goes back; no request ever drew on it.
      self._counts["owner_unreachable"] += 1
      self._members.suspect(owner.life)
      unused = allotment.Row(budget, part, 0, 0.0, owner.life)
      self._settler.queue_ended(unused)
      return False
    if answer.tokens:
      self._counts["parts"] += 1
      now = self._clock.monotonic()
      self.table.add(budget, part, answer.tokens, now, owner.life, answer.gid)
      self._refusals.end(budget)
    elif not answer.unsure:
      # Short: the owner knows best, and answers from its own memory.
      self._refusals.note(budget, least, _OWNER_REFUSAL_TTL_S)
      if answer.exhausted:
        self._note_exhausted(budget, least)
    return not answer.unsure

  async def _take_grant(
      self,
      budget: str,
      least: int,
      want: int,
      customer: str,
      owns: bool = True,
  ) -> bool:
    """Takes a grant from the KV; returns whether the KV answered."""
    raised = await self._raise_ceiling(budget, least)
    if raised is not None:
      return raised
    margin = self._policy_of(customer).margin
    blind = budget not in self._seen
    found = await self._grant_once(budget, least, want, margin, owns)
    if found is None:
      return False
    if self.table.has_room(budget, least):
      if owns and blind:
        # Taken before the ledger was known, so small: filled up now, not
        # with the next request, which may come when the store is away.
        self._blind.add(budget)
        self._note_low(budget, customer)
      return True
    called_back = await self._recall(budget, found)
    if called_back and not self.table.has_room(budget, least):
      await self._grant_once(budget, least, want, margin, owns)
    if not self.table.has_room(budget, least):
      self._refusals.note(budget, least, self._config.refusal_ttl_s)
      left = self._most_left(budget, margin)
      if left is not None and left < least:
        self._note_exhausted(budget, least)
    return True

  async def _raise_ceiling(self, budget: str, least: int) -> bool | None:
    """Promises anew, so that `least` tokens of what is granted may be drawn.

    Returns:
      Whether the KV answered; None: this grant has not so many left.
    """
    row = self.table.growing(budget)
    if row is None or not row.promises or row.undrawn < least:
      return None
    ceiling = self._promise(budget, row, least)
    if ceiling is None:
      return None
    self._asking.add(row.gid)
    try:
      await self._settler.report_now(row, ceiling)
    except errors.KvUnavailableError:
      self.table.withdraw(row.gid, ceiling, self._clock.monotonic())
      return False
    except errors.KvUnknownError:
      return False
    finally:
      self._asking.discard(row.gid)
    self._counts["ceilings_raised"] += 1
    return True

  def _promise(
      self, budget: str, row: allotment.Row | None, least: int
  ) -> ceilings_lib.Ceiling | None:
    """Returns a new promise for a row, noted there as sent."""
    limit = self._limit_of(budget)
    if limit is None or not self._config.reports:
      return None
    ceiling = self.table.promise(
        budget,
        0 if row is None else row.drawn,
        least,
        limit.tokens,
        self._left(budget, row, limit),
        self._vouch(self._clock.moment()),
    )
    if row is not None:
      self.table.issue(row.gid, ceiling, self._clock.monotonic())
    return ceiling

  def _left(
      self, budget: str, row: allotment.Row | None, limit: ledger.Limit
  ) -> int:
    """Returns what is not in use of a budget, as far as this router knows."""
    found = self._seen.get(budget)
    free = limit.tokens if found is None else ledger.headroom(found)
    return max(0, free) + (0 if row is None else row.undrawn)

  def _share(self) -> float:
    """Returns the part of a budget's headroom that a grant may take.

    An owner draws for its whole region, so it may take the region's part.
    Grants that shrink with the headroom would leave many rows with a rest
    too small for any request: at the edge of a budget, false refusals.
    """
    if self._config.owned:
      return 1.0 / self._members.regions
    return self._config.headroom_share

  async def _grant_once(
      self,
      budget: str,
      least: int,
      want: int,
      margin: float,
      owns: bool = True,
  ) -> ledger.Ledger | None:
    """Asks the KV for one grant; None when the KV gave no answer."""
    limit = self._limit_of(budget)
    if owns:
      want = max(least, self._hold(budget, want, limit))
    row = self.table.growing(budget)
    base = row.granted if row is not None else 0
    gid = row.gid if row is not None else self.table.new_gid()
    asked_at = self._clock.monotonic()
    ceiling = self._promise(budget, row, least)
    change = ledger.Grant(
        gid, least, want, self._share(), margin, limit, base, ceiling
    )
    self._asking.add(gid)
    try:
      after = await self._writer.submit(ledger.key(budget), change)
    except errors.KvUnavailableError:
      self._counts["grant_failures"] += 1
      if ceiling is not None:
        self.table.withdraw(gid, ceiling, self._clock.monotonic())
      return None
    except errors.KvUnknownError:
      self._counts["grant_failures"] += 1
      if row is None:
        # It may have landed: settled as unused, it goes back. Should it
        # land later still, `sweep` finds it in the ledger. A row that
        # grows needs none of that: the ledger's next sight shows it.
        self._settler.settle_row(allotment.Row(budget, gid, 0, 0.0))
      return None
    finally:
      self._asking.discard(gid)
    if after is None:
      return _NO_BUDGET
    granted = ledger.granted(after, gid)
    logger.info(
        "grant asked",
        extra={
            "budget": budget,
            "gid": gid,
            "least": least,
            "want": want,
            "before": base,
            "granted": granted,
            "limit": after["limit"],
            "headroom": ledger.headroom(after),
        },
    )
    if granted > base:
      self._note_grant(budget, gid, granted, new=row is None)
    if ceiling is not None:
      self._note_promise(gid, after, ceiling, asked_at, new=row is None)
    return after

  def _note_promise(
      self,
      gid: str,
      after: ledger.Ledger,
      ceiling: ceilings_lib.Ceiling,
      asked_at: float,
      new: bool,
  ) -> None:
    """Notes what became of a promise that went with a grant."""
    now = self._clock.monotonic()
    stands = ledger.ceiling(after, gid)
    if stands is None or stands.issued < ceiling.issued:
      self.table.withdraw(gid, ceiling, now)
    elif new:
      self.table.issue(gid, ceiling, asked_at)

  def _hold(self, budget: str, want: int, limit: ledger.Limit | None) -> int:
    """Returns how much to ask for, given what is held and what is left.

    What a router holds bridges an outage of the store, and is lost with
    the router. Of a budget that runs out it holds a share only, so that a
    death near the end does not take all that is left.
    """
    if limit is None:
      return want
    held = self.table.at_risk(budget)
    found = self._seen.get(budget)
    scale = _LEAST_SCALE if found is None else _hold_scale(found)
    least = self._config.least_share * scale
    want = max(want, int(limit.tokens * least))
    if found is not None:
      left = ledger.headroom(found) + held
      want = min(want, int(left * self._config.headroom_share * scale))
    return want - held

  def _note_grant(self, budget: str, gid: str, granted: int, new: bool) -> None:
    self._counts["grants"] += 1
    now = self._clock.monotonic()
    if new:
      self.table.add(budget, gid, granted, now)
    else:
      # A row that was settled meanwhile stays so: its settlement, in the
      # same batch or a later one, gives the growth back with the rest.
      self.table.grow(gid, granted, now)
    self._refusals.end(budget)

  async def _recall(self, budget: str, found: ledger.Ledger) -> bool:
    """Calls idle tokens back from whoever holds them; whether any may be.

    A refusal while others hold idle tokens is a false one. At most one
    recall per budget and `recall_s`, so that a used-up budget does not
    cost the fleet a message storm.
    """
    now = self._clock.monotonic()
    last = self._recalled_at.get(budget, -float("inf"))
    if now - last < self._config.recall_s:
      return False
    self._recalled_at[budget] = now
    me = self._members.me.life
    lives = {ledger.holder(gid) for gid in found["grants"]}
    lives |= self.table.holders(budget)
    holders = [
        self._members.lives[life]
        for life in lives - {me}
        if life in self._members.lives
    ]
    reviews = self._find_reviews(budget, found)
    self._counts["recalls"] += len(holders)
    async with anyio.create_task_group() as tg:
      for holder in holders:
        tg.start_soon(self._peers.recall, holder, budget)
      for life, _ in reviews:
        tg.start_soon(self._review_one, life, budget)
    return bool(holders or reviews)

  def settle(
      self, reservation: allotment.Reservation, used: int
  ) -> allotment.Settled:
    """Ends a reservation; `used` tokens of it are billed."""
    self._refusals.forgive(reservation.budget)
    settled = self.table.settle(reservation, used)
    ended = self.table.end_part(reservation.gid, self._clock.monotonic())
    if ended is not None:
      self._settler.settle_row(ended)
    return settled

  # What other routers ask of this one.

  async def serve_ask(self, ask: peers_lib.Ask) -> peers_lib.Handed:
    """Hands a part of an owned budget on to another router."""
    handed = self._hand_on(ask)
    if handed.tokens:
      self._look_ahead(ask.budget, ask.customer)
    if handed.tokens or self._stopping:
      return handed._replace(unsure=not handed.tokens)
    if self._refusals.repeat(ask.budget, ask.least):
      return handed
    answered = True
    async with self._locks.setdefault(ask.budget, anyio.Lock()):
      self.table.look(ask.budget, self._clock.monotonic())
      if not self.table.has_room(ask.budget, ask.least):
        want = max(self.table.want(ask.budget, ask.least), ask.want)
        with anyio.CancelScope(shield=True):
          answered = await self._take_grant(
              ask.budget, ask.least, want, ask.customer
          )
    handed = self._hand_on(ask)
    if handed.tokens:
      return handed
    exhausted = self.is_exhausted(ask.budget, ask.least)
    return handed._replace(unsure=not answered, exhausted=exhausted)

  def _hand_on(self, ask: peers_lib.Ask) -> peers_lib.Handed:
    share = self._config.part_share
    size, gid = self.table.hand_on(
        ask.budget, ask.part, ask.least, ask.want, share
    )
    return peers_lib.Handed(size, gid)

  def serve_settle(self, ended: list[peers_lib.Ended]) -> None:
    """Takes ended parts back from another router."""
    for part in ended:
      budget = self.table.budget_of(part.part)
      if budget is not None:
        self._refusals.forgive(budget)
      self._settler.take_back(part)

  async def settle_parts(self) -> None:
    """Settles ended parts with their owners; see `settling`."""
    await self._settler.settle_parts()

  def sweep(self, budget: str, found: ledger.Ledger) -> None:
    """Takes in what a ledger shows of this router's grants, and others'."""
    now = self._clock.monotonic()
    self._seen[budget] = found
    for gid in self.table.by_budget.get(budget, ()):
      self.table.grow(gid, ledger.granted(found, gid), now)
      ceiling = ledger.ceiling(found, gid)
      if ceiling is not None:
        self.table.confirm(gid, ceiling, now)
        self._settler.confirm(gid, ceiling)
      if gid in found["lost"]:
        # Taken for dead while it was cut off. A grant that is written off
        # cannot grow: left in use, every refill would be refused.
        self.table.rows[gid].retiring = True
    self._settler.sweep(budget, found, self._asking)
    reviews = self._find_reviews(budget, found)
    if reviews:
      self._reviews |= reviews
      self._review_event.set()

  def _find_reviews(
      self, budget: str, found: ledger.Ledger
  ) -> set[tuple[str, str]]:
    """Returns who can give back what dead routers held of a budget."""
    reviews = set()
    now = self._clock.monotonic()
    for gid in found.get("ceilings", {}):
      member = self._members.successor(ledger.holder(gid))
      asked_at = self._asked_reviews.get(gid, -float("inf"))
      if member is not None and now - asked_at >= _REVIEW_AGAIN_S:
        self._asked_reviews[gid] = now
        reviews.add((member.life, budget))
    return reviews

  async def review(self) -> None:
    """Has what dead routers held of budgets given back, until cancelled."""
    while True:
      await self._review_event.wait()
      self._review_event = anyio.Event()
      await self.review_noted()
      await anyio.sleep(_REVIEW_PAUSE_S)

  async def review_noted(self) -> None:
    """Has the grants of dead routers reviewed that were seen so far."""
    reviews, self._reviews = self._reviews, set()
    async with anyio.create_task_group() as tg:
      for life, budget in reviews:
        tg.start_soon(self._review_one, life, budget)

  async def _review_one(self, life: str, budget: str) -> None:
    if life == self._members.me.life:
      await self._review_own(budget)
      return
    member = self._members.lives.get(life)
    if member is not None:
      await self._peers.review(member, budget)

  def _vouch(self, moment: clock_lib.Moment) -> clock_lib.Moment:
    check = self._clock_check
    return moment if check is None else check.vouch(moment)

  async def serve_review(self, budget: str) -> None:
    """Gives back what earlier lives of this router did not draw.

    At once, or soon when the clocks have not been compared yet: a caller
    does not wait for that.
    """
    if self._clock_check is None or self._clock_check.agrees:
      await self._review_own(budget)
      return
    self._reviews.add((self._members.me.life, budget))
    self._review_event.set()

  async def _review_own(self, budget: str) -> None:
    if self._clock_check is not None:
      await self._clock_check.wait(_CLOCK_WAIT_S)
    me = self._members.me.life
    started = self._vouch(self._started)
    change = ledger.Reclaim(me, started)
    before = self._seen.get(budget)
    try:
      after = await self._writer.submit(ledger.key(budget), change)
    except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
      logger.info(
          "grants not reviewed", extra={"budget": budget, "error": str(exc)}
      )
      return
    self._counts["reviews"] += 1
    for gid in ledger.predecessors(before, me) if before and after else ():
      promise = ledger.ceiling(before, gid)
      logger.info(
          "grant of an earlier life reviewed",
          extra={
              "budget": budget,
              "gid": gid,
              "held": before["grants"].get(gid) or before["lost"].get(gid),
              "billed": ledger.billed(before, gid),
              "promise": promise[:-1],
              "elapsed_s": ceilings_lib.most_elapsed_s(promise.issued, started),
              "lost": after["lost"].get(gid),
              "headroom": ledger.headroom(after),
          },
      )

  def retire(self, budget: str) -> None:
    """Gives the budget's idle tokens back, soon; the rest as they end."""
    for row in self.table.retire(budget):
      self._settler.settle_row(row)

  async def serve_recall(self, budget: str) -> None:
    """Gives idle tokens of `budget` back before answering."""
    with anyio.CancelScope(shield=True):
      async with anyio.create_task_group() as tg:
        for row in self.table.retire(budget):
          tg.start_soon(self._settler.settle_now, row)
      await self._settler.settle_parts()

  # Systems, run over the tables.

  def tick(self, elapsed_s: float) -> None:
    """Ages rows, settles finished ones, writes off what is gone."""
    now = self._clock.monotonic()
    for row in self.table.tick(now, elapsed_s):
      self._settler.settle_row(row)
    if now - self._billed_at >= _BILL_S and self._config.reports:
      self._billed_at = now
      for row in self.table.rows.values():
        # Not while a higher promise is on its way: this one would be the
        # later, take the place of that one in the ledger, and have the
        # request refused for which that one was made.
        if row.gid not in self._asking and self._settler.owes_report(row):
          self._settler.report(row, self._promise(row.budget, row, 0))
    self._return_unowned()
    self._write_off_parts()
    self._forget(now - self._config.term_s)

  def _return_unowned(self) -> None:
    """Retires grants of budgets that another router owns by now.

    Owners change when routers come and go. The next owner takes a grant of
    its own; what stayed here would lie idle, out of its reach. While the
    KV is away nothing can be given back, and idle tokens may be needed.
    """
    if not self._config.owned or self._writer.away:
      return
    for row in self.table.rows.values():
      if not row.source and self._owner(row.budget) is not None:
        row.retiring = True

  def _write_off_parts(self) -> None:
    rows = self.table.rows.values()
    for life in {p.holder for r in rows for p in r.parts.values()}:
      if not self._members.has_gone(life):
        continue
      for part in self.table.parts_held_by(life):
        self._counts["parts_written_off"] += 1
        self.table.write_off(part)

  def _forget(self, before: float) -> None:
    """Drops what was noted of budgets that are quiet since `before`."""
    self._refusals.forget(before)
    for noted in (self._recalled_at, self._refill_at, self._asked_reviews):
      for budget, at in list(noted.items()):
        if at < before:
          del noted[budget]
    for budget, (_, until) in list(self._exhausted.items()):
      if until < before:
        del self._exhausted[budget]
    for budget in self._seen.keys() - self.table.rate.keys():
      del self._seen[budget]
    for budget, lock in list(self._locks.items()):
      if not lock.locked() and budget not in self.table.by_budget:
        del self._locks[budget]

  async def refill(self) -> None:
    """Refills budgets before they run out, until cancelled."""
    while True:
      await self._low_event.wait()
      self._low_event = anyio.Event()
      low, self._low = self._low, {}
      async with anyio.create_task_group() as tg:
        for budget, customer in low.items():
          tg.start_soon(self._refill_one, budget, customer)
      await anyio.sleep(_WAIT_STEP_S)

  async def _refill_one(self, budget: str, customer: str) -> None:
    async with self._locks.setdefault(budget, anyio.Lock()):
      now = self._clock.monotonic()
      blind = budget in self._blind
      self._blind.discard(budget)
      if self.table.nears_ceiling(budget) and not self._stopping:
        await self._raise_ceiling(budget, 0)
      if self._stopping or not (blind or self.table.running_low(budget)):
        return
      if now < self._refill_at.get(budget, -float("inf")):
        return
      owner = self._owner(budget)
      size = self.table.want if owner is None else self.table.want_part
      want = size(budget, 1)
      least = max(1, want // 4) if owner is not None else 1
      if self._refusals.repeat(budget, least):
        return
      if owner is not None:
        await self._ask_owner(owner, budget, least, want, customer)
        return
      margin = self._policy_of(customer).margin
      await self._grant_once(budget, least, want, margin)
      if self.table.running_low(budget):
        self._refill_at[budget] = now + _REFILL_PAUSE_S

  async def stop(self) -> None:
    """Hands everything back; called after the last request has ended.

    Parts still with other routers are called back first; what does not
    come back stays granted, and its holders settle it in the ledger.
    """
    self._stopping = True
    for _ in range(_STOP_ROUNDS):
      out = {
          (row.budget, part.holder)
          for row in self.table.rows.values()
          for part in row.parts.values()
      }
      if not out:
        break
      async with anyio.create_task_group() as tg:
        for budget, life in out:
          holder = self._members.lives.get(life)
          if holder is not None:
            tg.start_soon(self._peers.recall, holder, budget)
      await anyio.sleep(_WAIT_STEP_S)
    for row in self.table.clear():
      self._settler.settle_row(row)
    await self._settler.settle_parts()
    self._settler.settle_orphans()
