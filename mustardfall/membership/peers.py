"""Calls from one router to another: tokens of budgets that it owns.

HTTP with JSON on the routers' own port, never the callers'. Every call
is safe to repeat (parts are named by the asker), so a lost reply is
answered by asking again or by settling the part as unused.
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
"""Posts a JSON body to a URL with a timeout in seconds, returns the answer.

Raises `errors.PeerUnavailableError` when there was no answer.
"""


class ReserveRequest(NamedTuple):
  """Asks the owner of `budget` for `least` to `want` tokens as `part`."""

  budget: str
  customer: str
  part: str
  least: int
  want: int


class ReserveReply(NamedTuple):
  """The owner's answer: a part of its grant `gid`, or 0 tokens.

  `unsure` says that the owner could not reach the KV: its answer is no
  refusal, and the asker may try the KV itself. `exhausted` says that the
  budget cannot cover the tokens, whatever comes back to it.
  """

  tokens: int
  gid: str
  unsure: bool = False
  exhausted: bool = False


class EndedPart(NamedTuple):
  """A part that has ended, and the tokens used of it."""

  part: str
  used: int


class Client:
  """Calls other routers.

  Args:
    post: makes the calls.
    config: timeouts.
  """

  def __init__(self, post: Post, config: settings.Membership) -> None:
    self._send = post
    self._config = config
    self.calls = 0

  async def _post(self, member: members.Member, path: str, body) -> dict | None:
    """Returns the answer, or None when there was none."""
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
    """Asks for a part; None when the owner gave no answer."""
    answer = await self._post(owner, RESERVE_PATH, ask._asdict())
    if answer is None:
      return None
    handed = _decode_handed(answer)
    if handed is None:
      logger.warning(
          "peer answer unreadable",
          extra={"peer": owner.life, "call": RESERVE_PATH},
      )
    return handed

  async def settle(self, owner: members.Member, ended: list[EndedPart]) -> bool:
    """Tells the owner of ended parts; returns whether it heard."""
    body = {"ended": [e._asdict() for e in ended]}
    return await self._post(owner, SETTLE_PATH, body) is not None

  async def recall(self, holder: members.Member, budget: str) -> bool:
    """Asks a holder to give idle tokens of `budget` back now."""
    body = {"budget": budget}
    return await self._post(holder, RECALL_PATH, body) is not None

  async def review(self, successor: members.Member, budget: str) -> bool:
    """Asks a router to give back what its earlier lives did not draw."""
    body = {"budget": budget}
    return await self._post(successor, REVIEW_PATH, body) is not None


def _decode_handed(answer: Any) -> ReserveReply | None:
  """Decodes an owner's answer; None where it makes no sense.

  The owner may run another version, with more fields or fewer.
  """
  if not isinstance(answer, dict):
    return None
  tokens, gid = answer.get("tokens"), answer.get("gid")
  if type(tokens) is not int or tokens < 0 or not isinstance(gid, str):
    return None
  return ReserveReply(
      tokens,
      gid,
      unsure=answer.get("unsure") is True,
      exhausted=answer.get("exhausted") is True,
  )
