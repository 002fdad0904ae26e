"""What endpoints say of themselves in answers: that they leave, or want rest.

An answer binds the router that received it, whatever the list of endpoints says:
the list arrives later, or not at all while the store is away. An endpoint that
has said that it leaves is sent nothing more in this life, one that has asked for
rest is sent nothing until then. After a rest a router sends one request, and
twice as many after each answer, so that the endpoint is not flooded by all.
"""

import collections
from collections.abc import Callable, Iterable
import dataclasses
import logging
import random
from typing import Any, NamedTuple

from mustardfall.routing import endpoints
from mustardfall.util import clock as clock_lib
from mustardfall.util import names

logger = logging.getLogger(__name__)

MAX_FACTS_PER_DATAGRAM = 30
"""Each fact takes some 50 bytes before compression."""
_MAX_ROWS = 16_384
"""Endpoints whose statements are known; the one that was added first makes room
for another."""
_UNLISTED_S = 30.0
"""How long the statement of an endpoint that is not listed is kept. The endpoint
may not be listed yet, or not again after an outage of the store."""
_MAX_AGE_S = 86_400.0
"""Greatest age of another router's knowledge, seconds."""
_SPREAD_RATIO = 0.5
"""Longest time after the end of a rest at which a router of a very large fleet
sends its first request, relative to the rest."""
_DEFAULT_SLOTS_REQUESTS = 8
"""Assumed for endpoints whose slots are not known."""
_FIRST_CREDIT_REQUESTS = 1
_CREDIT_PER_ANSWER_REQUESTS = 2
_MIN_RETURN_S = 0.25
_RETURN_RATIO = 1.0
"""Span in which refused callers return after a rest, relative to its rest."""
_TRIAL_TIMEOUT_S = 1.0
"""How long the answer to the last request after a rest is awaited before another
one is sent."""


class NamedRest(NamedTuple):
  """The rest for which an answer asks."""

  seconds: float | None
  """None if the endpoint sent no usable value."""
  text: str
  """The value as received, shortened for the log."""


class Withheld(NamedTuple):
  """Why a request must not be sent to an endpoint now."""

  reason: str
  """`leaving`, `resting` or `recovering` (after a rest)."""
  left_s: float | None
  """Seconds until it may be sent; None: not in the endpoint's present life."""
  rest_left_s: float | None = None
  """Seconds until the endpoint's rest ends; None: it does not rest."""


@dataclasses.dataclass
class Statement:
  """What an endpoint's life has said of itself, as far as this router knows."""

  version: str
  """The version of its software, as listed then."""
  source: str
  """The request in whose answer it said so, or the router that knows of it."""
  said_at: float
  """When this router last heard of it, monotonic seconds."""
  leaving_at: float | None = None
  """When it first said that it leaves, monotonic seconds; None: it did not."""
  rest_until: float = -float("inf")
  """End of the rest that it has asked for, monotonic seconds."""
  resume_at: float = -float("inf")
  """When this router sends it a request again: then or somewhat later."""
  is_recovering: bool = False
  """Whether it has asked for rest and not answered enough requests since."""
  credit: int = 0
  """Requests that it may be sent after its rest before it answers another."""
  sent_at: float = -float("inf")
  """When it was last sent a request after its rest, monotonic seconds."""


def spread_ratio(routers: int, slots: int) -> float:
  """Returns how far the first requests after a rest are spread over time.

  Args:
    routers: the number of routers, each of which sends one.
    slots: the requests that the endpoint runs at a time.

  Returns:
    The length of the span in which they are sent, relative to the rest.
  """
  return _SPREAD_RATIO * routers / (routers + slots)


def find_reason(
    statement: Statement, now: float, leaving_use_s: float
) -> Withheld | None:
  """Returns why an endpoint is sent no request now; None if it may be.

  Args:
    statement: what the endpoint has said.
    now: the time, monotonic seconds.
    leaving_use_s: how long it is sent requests after it said that it leaves.
  """
  if statement.leaving_at is not None:
    if now - statement.leaving_at >= leaving_use_s:
      return Withheld("leaving", None)
  if now < statement.resume_at:
    return Withheld(
        "resting",
        statement.resume_at - now,
        max(0.0, statement.rest_until - now),
    )
  if not statement.is_recovering or statement.credit > 0:
    return None
  left_s = statement.sent_at + _TRIAL_TIMEOUT_S - now
  return Withheld("recovering", left_s) if left_s > 0 else None


def retry_after_s(
    reasons: Iterable[Withheld], max_unknown_s: float, draw: float
) -> float:
  """Returns when a caller may return that no endpoint takes now, seconds.

  Callers return one by one, not before this router sends requests again, and
  not later than a rest's length after its end.

  Args:
    reasons: why requests are withheld from each endpoint.
    max_unknown_s: the longest time where no endpoint says when.
    draw: a random number from 0 to 1.
  """
  timed = [reason for reason in reasons if reason.left_s is not None]
  if not timed:
    return max_unknown_s * (1 + draw) / 2
  first = min(timed, key=lambda reason: reason.left_s)
  earliest_s, rest_s = first.left_s, first.rest_left_s
  if rest_s is None:
    rest_s = earliest_s
  latest_s = max(earliest_s + _MIN_RETURN_S, (1 + _RETURN_RATIO) * rest_s)
  return earliest_s + draw * (latest_s - earliest_s)


class Table:
  """Statements by endpoint.

  Args:
    clock: the time source.
    is_listed: returns whether an endpoint's life is in the list of endpoints.
    max_rest_s: longest rest that is granted, seconds.
    router_count: returns the number of routers that are up.
    rng: draws the times at which requests are sent again after a rest.
  """

  def __init__(
      self,
      clock: clock_lib.Clock,
      is_listed: Callable[[str], bool],
      max_rest_s: float,
      router_count: Callable[[], int],
      rng: random.Random | None = None,
  ) -> None:
    self._clock = clock
    self._is_listed = is_listed
    self._max_rest_s = max_rest_s
    self._router_count = router_count
    self._random = rng or random.Random()
    self._rows: collections.OrderedDict[str, Statement]
    self._rows = collections.OrderedDict()
    self._unusable: collections.OrderedDict[str, str]
    self._unusable = collections.OrderedDict()
    """The last value of each endpoint that names an unusable one."""
    self.counts: collections.Counter[str] = collections.Counter()
    """Statements and withheld requests, by kind."""

  def find(self, row: endpoints.Row) -> Statement | None:
    """Returns what an endpoint has said in its present life, None if nothing.

    A list that does not say when the endpoint's process was started cannot show
    that it is another one.
    """
    statement = self._rows.get(row.life) or self._rows.get(row.name)
    if statement is None or statement.version not in ("", row.version):
      return None
    return statement

  def is_leaving(self, row: endpoints.Row) -> bool:
    """Whether an endpoint leaves, by its own statement or the list."""
    statement = self.find(row)
    said = statement is not None and statement.leaving_at is not None
    return said or row.state == "leaving"

  def reason_against(
      self, row: endpoints.Row, leaving_use_s: float = 0.0
  ) -> Withheld | None:
    """Returns why an endpoint must be sent no request now, by its statement.

    Args:
      row: the endpoint.
      leaving_use_s: see `find_reason`.
    """
    statement = self.find(row)
    if statement is None:
      return None
    return find_reason(statement, self._clock.monotonic(), leaving_use_s)

  def is_withheld(self, row: endpoints.Row) -> bool:
    """Whether an endpoint must be sent no request now, by its statement."""
    return bool(self._rows) and self.reason_against(row) is not None

  def note_leaving(
      self, row: endpoints.Row, request: str, status: int, list_age_s: float
  ) -> bool:
    """Records that an endpoint said in an answer that it leaves.

    Returns:
      Whether this was not known yet.
    """
    statement = self._statement_of(row, request)
    if statement.leaving_at is not None:
      return False
    statement.leaving_at = self._clock.monotonic()
    self.counts["said leaving"] += 1
    extra = {
        "endpoint": row.life,
        "address": row.url,
        "request": request,
        "status": status,
        "list_state": row.state,
        "list_age_s": round(list_age_s, 3),
    }
    logger.info("endpoint says that it leaves", extra=extra)
    return True

  def note_rest(
      self, row: endpoints.Row, request: str, status: int, rest: NamedRest
  ) -> bool:
    """Records that an endpoint turned a request away and asked for rest.

    A later answer extends a rest and does not shorten it.

    Returns:
      Whether the rest ends later than was known.
    """
    if rest.seconds is None:
      self._log_unusable(row, request, rest.text)
      return False
    rest_s = min(rest.seconds, self._max_rest_s)
    before = self.find(row)
    is_over = before is None or self._clock.monotonic() >= before.rest_until
    if rest_s <= 0 and is_over:
      return False
    statement = self._statement_of(row, request)
    extended = self._extend_rest(statement, rest_s, row.slots)
    self.counts["asked for rest"] += 1
    now = self._clock.monotonic()
    extra = {
        "endpoint": row.life,
        "address": row.url,
        "request": request,
        "status": status,
        "value": rest.text,
        "is_capped": rest_s < rest.seconds,
        "rest_s": round(statement.rest_until - now, 3),
        "resume_s": round(statement.resume_at - now, 3),
        "list_state": row.state,
    }
    logger.info("endpoint asks for rest", extra=extra)
    return extended

  def _extend_rest(
      self, statement: Statement, rest_s: float, slots: int
  ) -> bool:
    """Lets a rest end in `rest_s` if it would end earlier."""
    now = self._clock.monotonic()
    if now + rest_s <= statement.rest_until:
      return False
    spread = spread_ratio(
        self._router_count(), slots or _DEFAULT_SLOTS_REQUESTS
    )
    later_s = self._random.random() * spread * rest_s
    statement.rest_until = now + rest_s
    statement.resume_at = max(
        statement.resume_at, statement.rest_until + later_s
    )
    statement.is_recovering = True
    statement.credit = _FIRST_CREDIT_REQUESTS
    return True

  def _statement_of(self, row: endpoints.Row, source: str) -> Statement:
    """Returns the statement of an endpoint's life, a new one if needed."""
    statement = self.find(row)
    now = self._clock.monotonic()
    if statement is None:
      statement = Statement(row.version, source, now)
      self._add(row.life, statement)
    statement.source, statement.said_at = source, now
    return statement

  def _add(self, endpoint: str, statement: Statement) -> None:
    self._rows[endpoint] = statement
    _drop_oldest(self._rows)

  def _log_unusable(self, row: endpoints.Row, request: str, text: str) -> None:
    if self._unusable.get(row.life) == text:
      return
    self._unusable[row.life] = text
    _drop_oldest(self._unusable)
    self.counts["unusable"] += 1
    extra = {"endpoint": row.life, "request": request, "value": text}
    logger.error("statement of endpoint unusable", extra=extra)

  def note_sent(self, row: endpoints.Row) -> None:
    """Records that a request is sent to an endpoint."""
    statement = self.find(row)
    if statement is None or not statement.is_recovering:
      return
    statement.credit = max(0, statement.credit - 1)
    statement.sent_at = self._clock.monotonic()

  def note_accepted(self, row: endpoints.Row, sent_at: float) -> None:
    """Records that an endpoint answered a request and did not turn it away.

    Args:
      row: the endpoint.
      sent_at: when the request was sent, monotonic seconds.
    """
    statement = self.find(row)
    if statement is None or not statement.is_recovering:
      return
    if sent_at < statement.resume_at:
      return
    statement.credit += _CREDIT_PER_ANSWER_REQUESTS
    if statement.credit >= (row.slots or _DEFAULT_SLOTS_REQUESTS):
      statement.is_recovering = False
      rested_s = self._clock.monotonic() - statement.rest_until
      extra = {"endpoint": row.life, "after_s": round(rested_s, 3)}
      logger.info("endpoint recovered from its rest", extra=extra)

  def describe(self, row: endpoints.Row) -> dict[str, Any]:
    """Returns what is known of an endpoint's statement, for the log."""
    statement, now = self.find(row), self._clock.monotonic()
    if statement is None:
      return {"said_s": None, "list_state": row.state}
    leaving_at = statement.leaving_at
    return {
        "said_s": round(now - statement.said_at, 3),
        "said_in": statement.source,
        "leaving_s": None if leaving_at is None else round(now - leaving_at, 3),
        "rest_left_s": round(max(0.0, statement.rest_until - now), 3),
        "is_recovering": statement.is_recovering,
        "credit": statement.credit,
        "list_state": row.state,
    }

  def keys(self) -> list[str]:
    """Returns the endpoints that others have to know of; see `gossip.Table`."""
    rows = self._rows.items()
    return [key for key, row in rows if row.leaving_at is not None]

  def fact(self, key: str) -> list[Any]:
    """Returns what is told of an endpoint; see `gossip.Table`.

    A rest concerns only the router that was asked for it; `rest_fact` tells it
    to the router through which the request was sent.
    """
    return self._fact(key, 0.0)

  def rest_fact(self, row: endpoints.Row) -> list[Any] | None:
    """Returns the same with the rest that is left; None if nothing is known."""
    statement = self.find(row)
    if statement is None:
      return None
    left_s = statement.rest_until - self._clock.monotonic()
    key = row.life if row.life in self._rows else row.name
    return self._fact(key, max(0.0, left_s))

  def _fact(self, key: str, rest_s: float) -> list[Any]:
    """Returns id, version, age of leaving (-1: it stays) and rest, seconds."""
    statement, now = self._rows.get(key), self._clock.monotonic()
    if statement is None:
      return [key, "", -1.0, 0.0]
    leaving_at = statement.leaving_at
    age_s = -1.0 if leaving_at is None else round(now - leaving_at, 3)
    return [key, statement.version, age_s, round(rest_s, 3)]

  def apply(self, fact: list[Any]) -> None:
    """Applies what another router knows of an endpoint.

    Raises:
      TypeError, ValueError: `fact` is malformed.
    """
    endpoint, version, age_s, rest_s = fact
    names.check(endpoint, version)
    age_s, rest_s = float(age_s), float(rest_s)
    if not (-1 <= age_s <= _MAX_AGE_S and 0 <= rest_s <= self._max_rest_s):
      raise ValueError(f"out of range: {fact}")
    is_outdated = age_s > _UNLISTED_S and not self._is_listed(endpoint)
    if (age_s < 0 and not rest_s) or is_outdated:
      return
    now = self._clock.monotonic()
    statement = self._rows.get(endpoint)
    if statement is None or statement.version not in ("", version):
      statement = Statement(version, "another router", now)
      self._add(endpoint, statement)
    if age_s >= 0 and statement.leaving_at is None:
      statement.leaving_at = now - age_s
      extra = {"endpoint": endpoint, "said_s": round(age_s, 3)}
      logger.info("endpoint leaves, says another router", extra=extra)
    if rest_s and self._extend_rest(statement, rest_s, 0):
      extra = {"endpoint": endpoint, "rest_s": round(rest_s, 3)}
      logger.info("endpoint asked for rest through this router", extra=extra)

  def note_told(
      self, row: endpoints.Row, is_leaving: bool, rest_s: float
  ) -> None:
    """Records what another router says of an endpoint that is listed."""
    age_s = 0.0 if is_leaving else -1.0
    self.apply([row.life, row.version, age_s, min(rest_s, self._max_rest_s)])

  def prune(self) -> None:
    """Forgets statements that are over or of endpoints that have gone."""
    now = self._clock.monotonic()
    for endpoint, statement in list(self._rows.items()):
      if self._is_listed(endpoint):
        if statement.leaving_at is None and not statement.is_recovering:
          del self._rows[endpoint]
      elif now - max(statement.said_at, statement.resume_at) > _UNLISTED_S:
        del self._rows[endpoint]


def _drop_oldest(rows: collections.OrderedDict) -> None:
  while len(rows) > _MAX_ROWS:
    rows.popitem(last=False)
