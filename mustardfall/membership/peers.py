"""Calls between routers, to share the tokens of budgets.

They are HTTP with JSON on the routers' own port, which callers do not use.
Every call is idempotent (the requesting router names the parts), so after a
lost reply it asks again, or settles the part as unused.
"""

from collections.abc import Awaitable, Callable
import logging
from typing import Any, NamedTuple

from mustardfall import errors
from mustardfall import settings
from mustardfall.membership import members

logger = logging.getLogger(__name__)

RESERVE_PATH = "/peer/reserve"
SETTLE_PATH = "/peer/settle"
RECALL_PATH = "/peer/recall"
REVIEW_PATH = "/peer/review"


Post = Callable[[str, dict[str, Any], float], Awaitable[dict[str, Any]]]
"""Posts a JSON body to a URL with a timeout in seconds; returns the answer.

Raises `errors.PeerUnavailableError` if there was no answer.
"""


class ReserveRequest(NamedTuple):
  """Requests `least` to `want` tokens of `budget` from its owner.

  `part` is the id of the part of a grant to be returned.
  """

  budget: str
  customer: str
  part: str
  least: int
  want: int


class ReserveReply(NamedTuple):
  """The owner's answer: the tokens of a part of its grant `gid`, or 0.

  `unsure` means that the owner could not reach the KV: its answer is not a
  refusal, and the requesting router may try the KV itself. `exhausted` means
  that the budget cannot cover the tokens even if all unused ones are returned.
  """

  tokens: int
  gid: str
  unsure: bool = False
  exhausted: bool = False
  facts: dict[str, Any] | None = None
  """What the owner knows of the budget, for the log of a refusal; see
  `budget_view.BudgetSnapshot`."""


class EndedPart(NamedTuple):
  """A part that is no longer drawn from, and the tokens used of it."""

  part: str
  used: int


class Client:
  """Calls other routers.

  Args:
    post: makes the HTTP calls.
    config: timeouts.
  """

  def __init__(self, post: Post, config: settings.Membership) -> None:
    self._send = post
    self._config = config
    self.calls = 0

  async def _post(self, member: members.Member, path: str, body) -> dict | None:
    """Returns the answer, or None if there was none."""
    self.calls += 1
    try:
      return await self._send(
          member.url + path, body, self._config.peer_timeout_s
      )
    except errors.PeerUnavailableError as exc:
      logger.info(
          "peer call failed",
          extra={"peer": member.life, "call": path, "error": str(exc)},
      )
      return None

  async def reserve(
      self, owner: members.Member, ask: ReserveRequest
  ) -> ReserveReply | None:
    """Requests a part; None if the owner gave no valid answer."""
    answer = await self._post(owner, RESERVE_PATH, ask._asdict())
    if answer is None:
      return None
    reply = _decode_reply(answer)
    if reply is None:
      logger.warning(
          "peer answer unreadable",
          extra={"peer": owner.life, "call": RESERVE_PATH},
      )
    return reply

  async def settle(self, owner: members.Member, ended: list[EndedPart]) -> bool:
    """Reports ended parts to the owner; returns whether it answered."""
    body = {"ended": [e._asdict() for e in ended]}
    return await self._post(owner, SETTLE_PATH, body) is not None

  async def recall(self, holder: members.Member, budget: str) -> bool:
    """Asks a holder to return idle tokens of `budget`; whether it answered."""
    body = {"budget": budget}
    return await self._post(holder, RECALL_PATH, body) is not None

  async def review(self, successor: members.Member, budget: str) -> bool:
    """Asks a router to return tokens of `budget` that its earlier lives held.

    These are tokens that were not drawn. Returns whether it answered.
    """
    body = {"budget": budget}
    return await self._post(successor, REVIEW_PATH, body) is not None


def _decode_reply(answer: Any) -> ReserveReply | None:
  """Decodes an owner's answer; None if it is malformed.

  The owner may run another version, with more fields or fewer.
  """
  if not isinstance(answer, dict):
    return None
  tokens, gid = answer.get("tokens"), answer.get("gid")
  if type(tokens) is not int or tokens < 0 or not isinstance(gid, str):
    return None
  facts = answer.get("facts")
  return ReserveReply(
      tokens,
      gid,
      unsure=answer.get("unsure") is True,
      exhausted=answer.get("exhausted") is True,
      facts=facts if isinstance(facts, dict) else None,
  )
