"""Documents of the store, passed on to routers that it turns away.

The store may refuse some hosts and serve the others. A router that cannot
read the configuration or the list of endpoints asks the others for what
they have read: a key that was revoked, or an endpoint that leaves, is
then known everywhere although the store told only some.
"""

import logging
import random
from typing import Any, NamedTuple

import anyio

from mustardfall import errors
from mustardfall.membership import copies as copies_lib
from mustardfall.membership import deltas
from mustardfall.membership import members as members_lib
from mustardfall.membership import peers
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

PATH = "/peer/documents"
_ASKED = 2
"""Other routers asked at once: one may be cut off, too."""
_FRESH_S = 2.5
"""Documents that were current longer ago are no news."""
_TIMEOUT_S = 0.4


class Fetched(NamedTuple):
  """A document that another router knows."""

  document: deltas.Document
  as_of: float
  """When that router knew it to be current, monotonic seconds of this one."""


class Relay:
  """Serves this router's copies, and asks others for theirs.

  Args:
    members: who is up.
    post: makes the calls.
    copies: what this router knows.
    clock: the time source.
  """

  def __init__(
      self,
      members: members_lib.Members,
      post: peers.Post,
      copies: copies_lib.Copies,
      clock: clock_lib.Clock,
  ) -> None:
    self._members = members
    self._post = post
    self._copies = copies
    self._clock = clock

  async def serve(self, body: dict[str, Any]) -> dict[str, Any]:
    """Answers another router with what was current lately."""
    answer = {}
    for name in body["names"]:
      copy, age_s = self._copies.find(name), self._copies.age_s(name)
      if copy is not None and age_s < _FRESH_S:
        answer[name] = {"document": copy.document, "age_s": age_s}
    return answer

  async def fetch(self, name: str) -> Fetched | None:
    """Returns a document as the freshest of some others knows it."""
    others = self._members.others
    asked = random.sample(others, min(_ASKED, len(others)))
    found: list[Fetched] = []
    async with anyio.create_task_group() as tasks:
      for member in asked:
        tasks.start_soon(self._ask, member, name, found)
    return max(found, key=lambda f: f.as_of, default=None)

  async def _ask(
      self, member: members_lib.Member, name: str, found: list[Fetched]
  ) -> None:
    """Adds what one router knows of a document."""
    try:
      answer = await self._post(
          member.url + PATH, {"names": [name]}, _TIMEOUT_S
      )
      told = answer.get(name)
      if not told:
        return
      document, age_s = dict(told["document"]), max(0.0, float(told["age_s"]))
    except (
        errors.PeerUnavailableError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as exc:
      logger.debug("no documents from %s: %r", member.life, exc)
      return
    found.append(Fetched(document, self._clock.monotonic() - age_s))
    logger.info(
        "document from another router",
        extra={
            "document": name,
            "peer": member.life,
            "age_s": round(age_s, 3),
        },
    )
