"""Issues permits for requests to limited endpoints, and asks others for them.

A permit for an endpoint whose slots are bounded comes with a lease of one, which
its holder renews until the request ends.

An endpoint's permits are issued by one router, see `routing.issuing`. The
others ask it by datagram before they send a request. A router that gets no
answer sends no request to that endpoint, and after some time only as many as its
part of what uncertain issuers may issue: an answer of the endpoint shows whether
its limit has ended.
"""

from collections.abc import Iterable
import json
import logging
import math
from typing import NamedTuple

import anyio

from mustardfall import metrics
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from mustardfall.routing import issuing
from mustardfall.routing import limited_endpoints
from mustardfall.routing import retries
from mustardfall.routing import slot_leases
from mustardfall.util import clock as clock_lib
from mustardfall.util import names

logger = logging.getLogger(__name__)

_ANSWER_TIMEOUT_S = 0.04
"""How long to wait for an issuer's answer. One usually takes 1 to 5 ms, and
some 15 ms on a busy host of half a core."""
_SILENCE_RETRY_S = 1.0
"""How long an issuer that gave no answer is not asked again."""
_ALONE_AFTER_S = 2.0
"""How long an issuer must be silent until a router issues its own permits."""
_UNSETTLED_RETRY_S = 0.5
"""How long a router is not asked that does not take itself for the issuer, or
does not know the other routers yet."""
_MIN_ASKS_PER_S = 20.0
"""Questions per second, of all routers, that an issuer answers for an endpoint
with a low rate. Those who ask without success wait the longer the more they
are."""
_QUESTIONS_PER_ENDED_LEASE = 30.0
"""Questions for each slot that becomes free, so that none is free for long."""
_MAX_RENEWED_LEASES = 60
"""Leases that are named in one datagram."""
_MIN_RETRY_S = 0.02
_MAX_RETRY_S = 10.0
"""The shortest and the longest of these waits."""
_FOLLOW_INTERVAL_S = 2.0
"""Interval between two rounds in which routers name themselves to issuers."""
_FOLLOWER_S = 5.0
"""How long a router counts as a follower after it was last heard from."""
_MAX_FOLLOWED_ISSUERS = 10
"""Issuers to which a router names itself in a round; the others follow."""
_MAX_FOLLOWED_ENDPOINTS = 40
"""Endpoints named in one datagram."""
_MAX_BUCKETS = 16_384
"""Endpoints for which this router issues permits."""
_BUCKET_LIFETIME_S = 60.0
"""An endpoint whose permits were not asked for so long is forgotten."""


class Permit(NamedTuple):
  """An issuer's answer."""

  wait_s: float | None
  """Seconds after which the request may be sent; None: it must not be sent."""
  retry_s: float
  """If refused: seconds after which to ask again."""
  issuer: str
  """The router's name; empty if none could be asked."""
  share: float
  """The share of the endpoint's rate and slots that the issuer issues."""
  lease: int = 0
  """The number of the leased slot; 0: none was needed."""

  @property
  def is_granted(self) -> bool:
    """Whether the request may be sent."""
    return self.wait_s is not None


class _Issued:
  """What an issuer knows of one endpoint.

  Args:
    now: the current time, monotonic seconds.
  """

  def __init__(self, now: float) -> None:
    self.bucket = issuing.Bucket(now)
    self.used_at = now
    self.followers: dict[str, float] = {}
    """When routers were last heard from, by their address."""
    self.was_certain: bool | None = None
    self.leases = slot_leases.SlotLeases()
    self.refused: list[float] = []
    """When permits were refused in the last second."""


class Permits:
  """Issues permits, and asks other issuers for them.

  Args:
    members: the routers that are up.
    datagrams: carries questions and answers.
    limits: the limited endpoints that this router knows.
    instruments: exports counters.
    clock: the time source.
  """

  def __init__(
      self,
      members: members_lib.Members,
      datagrams: datagrams_lib.Datagrams,
      limits: limited_endpoints.LimitedEndpoints,
      instruments: metrics.Instruments,
      clock: clock_lib.Clock,
  ) -> None:
    self._members = members
    self._datagrams = datagrams
    self._limits = limits
    self._clock = clock
    self._fleet_size = retries.FleetSize(clock, lambda: len(members.lives))
    self._issued: dict[str, _Issued] = {}
    self._issuers: dict[str, str | None] = {}
    """The issuer of each endpoint, for the list of routers in `_names`."""
    self._names: tuple[str, ...] = ()
    self._questions: dict[int, _Question] = {}
    self._next_id = 0
    self._held: dict[str, dict[str, set[int]]] = {}
    """Numbers of the leases that this router holds, by issuer and endpoint."""
    self._silent_since: dict[str, float] = {}
    """Since when issuers have given no answer, by name."""
    self._alone: dict[str, issuing.Bucket] = {}
    """Permits of endpoints whose issuer is silent."""
    self._next_followed = 0
    self._counts = {"granted": 0, "refused": 0, "unanswered": 0, "issued": 0}
    instruments.observe_totals(
        "mustardfall.permits", "", "permits by outcome", self._counts
    )
    datagrams.connect_with_sender(
        datagrams_lib.Kind.PERMIT_ASK, self._handle_question
    )
    datagrams.connect_with_sender(
        datagrams_lib.Kind.PERMIT_ANSWER, self._handle_answer
    )
    datagrams.connect_with_sender(
        datagrams_lib.Kind.LEASES, self._handle_leases
    )
    datagrams.connect_with_sender(
        datagrams_lib.Kind.FOLLOW, self._handle_follow
    )

  async def acquire(
      self, limit: limited_endpoints.LimitedEndpoint, max_wait_s: float
  ) -> Permit:
    """Returns a permit for one request, or a refusal.

    Args:
      limit: the endpoint and its rate.
      max_wait_s: the longest wait until the request may be sent.
    """
    permit = await self._ask(limit, max_wait_s)
    if permit.lease:
      held = self._held.setdefault(permit.issuer, {})
      held.setdefault(limit.endpoint, set()).add(permit.lease)
    self._counts["granted" if permit.is_granted else "refused"] += 1
    return permit

  def abandon(self, endpoint: str, permit: Permit) -> None:
    """Renews a lease no longer; it expires some seconds later."""
    held = self._held.get(permit.issuer, {})
    numbers = held.get(endpoint, set())
    numbers.discard(permit.lease)
    if not numbers:
      held.pop(endpoint, None)

  def end(self, endpoint: str, permit: Permit) -> None:
    """Ends the lease of a request that is no longer in flight."""
    self.abandon(endpoint, permit)
    limit = self._limits.find_life(endpoint)
    current = self._issuer_of(limit) if limit is not None else None
    for issuer in {permit.issuer, current or permit.issuer}:
      self._send_leases(issuer, endpoint, [permit.lease], is_end=True)

  def _send_leases(
      self, issuer: str, endpoint: str, numbers: list[int], is_end: bool
  ) -> None:
    """Ends leases, or renews them."""
    if issuer == self._members.me.name:
      self._update_leases("", endpoint, numbers, is_end)
      return
    member = self._members.find(issuer)
    if member is not None:
      content = json.dumps([endpoint, numbers, is_end]).encode()
      # An end that is lost blocks a slot for seconds; a renewal follows anyway.
      for _ in range(2 if is_end else 1):
        self._datagrams.enqueue(datagrams_lib.Kind.LEASES, content, member)

  def _update_leases(
      self, holder: str, endpoint: str, numbers: list[int], is_end: bool
  ) -> None:
    now = self._clock.monotonic()
    if is_end:
      issued = self._issued.get(endpoint)
      if issued is not None:
        issued.leases.end(holder, numbers, now)
    else:
      self._issued_of(endpoint, now).leases.renew(holder, numbers, now)

  def _handle_leases(self, raw: bytes, sender: str) -> None:
    endpoint, numbers, is_end = json.loads(raw)
    names.check(endpoint)
    numbers = [int(number) for number in numbers[:_MAX_RENEWED_LEASES]]
    self._update_leases(sender, endpoint, numbers, is_end is True)

  def _renew_leases(self) -> None:
    """Renews the leases of requests in flight, at whoever issues them now."""
    for issuer, by_endpoint in list(self._held.items()):
      for endpoint, numbers in by_endpoint.items():
        limit = self._limits.find_life(endpoint)
        current = self._issuer_of(limit) if limit is not None else None
        ordered = sorted(numbers)
        for start in range(0, len(ordered), _MAX_RENEWED_LEASES):
          part = ordered[start : start + _MAX_RENEWED_LEASES]
          self._send_leases(current or issuer, endpoint, part, is_end=False)
      if not by_endpoint:
        del self._held[issuer]

  async def _ask(
      self, limit: limited_endpoints.LimitedEndpoint, max_wait_s: float
  ) -> Permit:
    name = self._issuer_of(limit)
    if name is None or not self._members.was_listed:
      return Permit(None, _UNSETTLED_RETRY_S, "", 0.0)
    self._next_id += 1
    id_ = self._next_id
    if name == self._members.me.name:
      return self._issue(limit, max_wait_s, "", id_)
    member = self._members.find(name)
    if member is None:
      return Permit(None, _SILENCE_RETRY_S, name, 0.0)
    if not self._datagrams.is_open:
      return self._issue_alone(limit, name, max_wait_s)
    question = _Question(name)
    self._questions[id_] = question
    try:
      content = json.dumps([id_, *limit, max_wait_s]).encode()
      self._datagrams.enqueue(datagrams_lib.Kind.PERMIT_ASK, content, member)
      with anyio.move_on_after(_ANSWER_TIMEOUT_S):
        await question.answered.wait()
    finally:
      del self._questions[id_]
    if question.permit is None:
      self._counts["unanswered"] += 1
      return self._issue_alone(limit, name, max_wait_s)
    self._silent_since.pop(name, None)
    self._alone.pop(limit.endpoint, None)
    return question.permit

  def _issue_alone(
      self,
      limit: limited_endpoints.LimitedEndpoint,
      issuer: str,
      max_wait_s: float,
  ) -> Permit:
    """Issues a permit of an endpoint whose issuer does not answer.

    The issuer does not count this router as a follower then, so that the shares
    of all uncertain issuers still add up to the same.
    """
    now = self._clock.monotonic()
    silent_s = now - self._silent_since.setdefault(issuer, now)
    if silent_s < _ALONE_AFTER_S:
      return Permit(None, _SILENCE_RETRY_S, issuer, 0.0)
    share = issuing.share(False, 1, self._fleet_size.peak())
    rate = share * min(limit.per_s, limit.slots or math.inf)
    bucket = self._alone.setdefault(limit.endpoint, issuing.Bucket(now))
    wait_s = bucket.take(rate, max_wait_s, now, False)
    if wait_s is None:
      return Permit(None, _SILENCE_RETRY_S, issuer, share)
    extra = {
        "endpoint": limit.endpoint,
        "issuer": issuer,
        "silent_s": round(silent_s, 3),
        "share": round(share, 3),
    }
    logger.info("permit issued without the issuer", extra=extra)
    return Permit(wait_s, 0.0, self._members.me.name, share)

  def is_issuer_of(self, limit: limited_endpoints.LimitedEndpoint) -> bool:
    """Whether this router issues an endpoint's permits."""
    return self._issuer_of(limit) == self._members.me.name

  def _issuer_of(self, limit: limited_endpoints.LimitedEndpoint) -> str | None:
    """Returns the name of an endpoint's issuer in the list of routers."""
    if self._members.names is not self._names:
      self._names = self._members.names
      self._issuers.clear()
    if limit.endpoint not in self._issuers:
      self._issuers[limit.endpoint] = issuing.issuer(
          limit.endpoint,
          limit.datacentre,
          (
              issuing.Candidate(member.name, member.datacentre)
              for member in self._members.lives.values()
          ),
      )
    return self._issuers[limit.endpoint]

  def _issue(
      self,
      limit: limited_endpoints.LimitedEndpoint,
      max_wait_s: float,
      follower: str,
      number: int,
  ) -> Permit:
    """Issues a permit, or refuses one, as the endpoint's issuer.

    Args:
      limit: the endpoint, and the limit that the follower knows.
      max_wait_s: the longest wait until the request may be sent.
      follower: the address of the router that asks; empty for this one.
      number: its number of the question, and of the lease.
    """
    me = self._members.me.name
    if not (self.is_issuer_of(limit) and self._members.is_stable):
      return Permit(None, _UNSETTLED_RETRY_S, me, 0.0)
    now = self._clock.monotonic()
    issued = self._issued_of(limit.endpoint, now)
    issued.followers[follower] = issued.used_at = now
    share = self._share(issued, limit, now)
    known = self._limits.find_life(limit.endpoint)
    per_s = min(limit.per_s, known.per_s) if known is not None else limit.per_s
    is_certain = issued.was_certain is True
    slots = limit.slots or (known.slots if known is not None else 0)
    listed_s = now - self._limits.listed_at(limit.endpoint)
    most = slot_leases.capacity(slots, share, listed_s)
    has_slot = not slots or issued.leases.acquire(follower, number, most, now)
    wait_s = None
    if has_slot:
      wait_s = issued.bucket.take(per_s * share, max_wait_s, now, is_certain)
    if wait_s is not None:
      self._counts["issued"] += 1
      return Permit(wait_s, 0.0, me, share, number if slots else 0)
    if slots and has_slot:
      issued.leases.end(follower, [number], now)
    issued.refused = [at for at in issued.refused if now - at < 1.0] + [now]
    retry_s = issued.bucket.wait_s(per_s * share, now, is_certain)
    asks_per_s = per_s
    if not has_slot:
      asks_per_s = _QUESTIONS_PER_ENDED_LEASE * issued.leases.ended_per_s(now)
    retry_s += len(issued.refused) / max(_MIN_ASKS_PER_S, asks_per_s)
    return Permit(None, min(retry_s, _MAX_RETRY_S), me, share)

  def _issued_of(self, endpoint: str, now: float) -> _Issued:
    issued = self._issued.get(endpoint)
    if issued is None:
      if len(self._issued) >= _MAX_BUCKETS:
        del self._issued[next(iter(self._issued))]
      issued = self._issued[endpoint] = _Issued(now)
    return issued

  def _share(
      self,
      issued: _Issued,
      limit: limited_endpoints.LimitedEndpoint,
      now: float,
  ) -> float:
    """Returns the share of the rate that this router may issue."""
    is_certain = self._members.is_certain
    recent = [at for at in issued.followers.values() if now - at < _FOLLOWER_S]
    fleet = self._fleet_size.peak()
    share = issuing.share(is_certain, len(recent), fleet)
    if is_certain is not issued.was_certain:
      issued.was_certain = is_certain
      extra = {
          "endpoint": limit.endpoint,
          "per_s": limit.per_s,
          "share": round(share, 3),
          "certain": is_certain,
          "followers": len(recent),
          "routers": fleet,
      }
      logger.info("issues permits", extra=extra)
    return share

  def _handle_question(self, raw: bytes, sender: str) -> None:
    id_, endpoint, datacentre, per_s, slots, max_wait_s = json.loads(raw)
    names.check(endpoint, datacentre)
    limit = limited_endpoints.LimitedEndpoint(
        endpoint, datacentre, float(per_s), max(0, int(slots))
    )
    if not (0 < limit.per_s < math.inf and 0 <= float(max_wait_s) < math.inf):
      raise ValueError(f"out of range: {per_s}, {max_wait_s}")
    permit = self._issue(limit, float(max_wait_s), sender, int(id_))
    content = json.dumps([int(id_), *permit, endpoint]).encode()
    self._datagrams.enqueue_to(
        datagrams_lib.Kind.PERMIT_ANSWER, content, sender
    )

  def _handle_answer(self, raw: bytes, sender: str) -> None:
    fields = json.loads(raw)
    id_, wait_s, retry_s, issuer, share, lease, endpoint = fields
    question = self._questions.get(id_)
    if question is None or question.issuer != issuer:
      # The answer is late: the question has timed out, and nobody uses the slot.
      if lease:
        content = json.dumps([endpoint, [lease], True]).encode()
        self._datagrams.enqueue_to(datagrams_lib.Kind.LEASES, content, sender)
      return
    if wait_s is not None:
      wait_s = min(max(0.0, float(wait_s)), issuing.MAX_PROMISE_S)
    retry_s = min(max(_MIN_RETRY_S, float(retry_s)), _MAX_RETRY_S)
    lease = int(lease)
    question.permit = Permit(wait_s, retry_s, issuer, float(share), lease)
    question.answered.set()

  def _handle_follow(self, raw: bytes, sender: str) -> None:
    now = self._clock.monotonic()
    for endpoint in json.loads(raw):
      names.check(endpoint)
      issued = self._issued.get(endpoint)
      if issued is not None:
        issued.followers[sender] = now

  async def run(self) -> None:
    """Names this router to the issuers of limited endpoints until cancelled."""
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(self._follow_issuers)
      while True:
        await anyio.sleep(slot_leases.RENEWAL_INTERVAL_S)
        self._renew_leases()

  async def _follow_issuers(self) -> None:
    while True:
      await anyio.sleep(_FOLLOW_INTERVAL_S)
      self._prune()
      await self._follow()

  async def _follow(self) -> None:
    endpoints_by_issuer: dict[str, list[str]] = {}
    for limit in self._limits.all():
      issuer = self._issuer_of(limit)
      if issuer is not None and issuer != self._members.me.name:
        endpoints_by_issuer.setdefault(issuer, []).append(limit.endpoint)
    for name in self._next_issuers(sorted(endpoints_by_issuer)):
      member = self._members.find(name)
      if member is not None:
        followed = endpoints_by_issuer[name][:_MAX_FOLLOWED_ENDPOINTS]
        content = json.dumps(followed).encode()
        await self._datagrams.send(datagrams_lib.Kind.FOLLOW, content, [member])

  def _next_issuers(self, issuers: list[str]) -> Iterable[str]:
    """Returns the issuers of this round, in round-robin order."""
    if len(issuers) <= _MAX_FOLLOWED_ISSUERS:
      return issuers
    start = self._next_followed % len(issuers)
    self._next_followed = start + _MAX_FOLLOWED_ISSUERS
    return (issuers[start:] + issuers[:start])[:_MAX_FOLLOWED_ISSUERS]

  def _prune(self) -> None:
    """Forgets endpoints whose permits were not asked for, and followers."""
    now = self._clock.monotonic()
    for endpoint in list(self._alone):
      if self._limits.find_life(endpoint) is None:
        del self._alone[endpoint]
    for endpoint, issued in list(self._issued.items()):
      if now - issued.used_at >= _BUCKET_LIFETIME_S:
        del self._issued[endpoint]
      for follower, at in list(issued.followers.items()):
        if now - at >= _FOLLOWER_S:
          del issued.followers[follower]


class _Question:
  """A question that waits for its answer.

  Args:
    issuer: the name of the router that was asked.
  """

  def __init__(self, issuer: str) -> None:
    self.issuer = issuer
    self.answered = anyio.Event()
    self.permit: Permit | None = None
