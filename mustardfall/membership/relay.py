"""Documents of the store, passed on from router to router.

The store may refuse some hosts and serve the others. A router that cannot
read the configuration or the list of endpoints asks the others for what
they have read: a key that was revoked, or an endpoint that leaves, is
then known everywhere although the store told only some.

A change that no datagram holds is asked for, too. Read from the store it would
come as the whole document, many times as long, and each host's link has to
carry that beside its callers' streams.
"""

import base64
import collections
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
_HOLD_S = 0.25
"""How long a question is held by a router that does not know the wanted version
yet; it is about to, and would only be asked again."""
_MOST_BYTES = 8_388_608
"""Of what an answer unpacks to."""
_PACKED_KEPT = 8
"""Changes kept as they were told last; a dozen routers ask for the same one."""

_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)
"""What decoding an answer that makes no sense may raise."""


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
    self._packed: collections.OrderedDict[tuple[str, str, str], str]
    self._packed = collections.OrderedDict()
    """What was told by name, version before and version after."""

  async def serve(self, body: dict[str, Any]) -> dict[str, Any]:
    """Answers another router with what was current lately.

    Args:
      body: `names` of documents; `have`, the asker's version of each, where it
        has one; `want`, the version it was told of, which is waited for.
    """
    have, want = body.get("have", {}), body.get("want", {})
    answer = {}
    for name in body["names"]:
      if name in want:
        await self._copies.wait_for(name, want[name], _HOLD_S)
      copy, age_s = self._copies.find(name), self._copies.age_s(name)
      if copy is None or age_s >= _FRESH_S:
        continue
      answer[name] = {"age_s": age_s, **self._tell(name, copy, have.get(name))}
    return answer

  def _tell(
      self, name: str, copy: copies_lib.Copy, have: str | None
  ) -> dict[str, Any]:
    """Returns a document, or what has changed of the asker's version."""
    before = None if have is None else self._copies.find_earlier(name, have)
    if copy.digest == have:
      return {"digest": have}
    if before is None:
      return {"document": copy.document}
    key = (name, before.digest, copy.digest)
    packed = self._packed.get(key)
    if packed is None:
      change = deltas.diff(before.document, copy.document)
      packed = base64.b64encode(deltas.pack(change)).decode()
      self._packed[key] = packed
      if len(self._packed) > _PACKED_KEPT:
        self._packed.popitem(last=False)
    return {"change": packed, "digest": copy.digest}

  async def fetch(self, name: str) -> Fetched | None:
    """Returns a document as the freshest of some others knows it."""
    others = self._members.others
    asked = random.sample(others, min(_ASKED, len(others)))
    found: list[Fetched] = []

    async def _ask(member: members_lib.Member) -> None:
      answer = await self.fetch_from(member, name)
      if answer is not None:
        found.append(answer)

    async with anyio.create_task_group() as tasks:
      for member in asked:
        tasks.start_soon(_ask, member)
    return max(found, key=lambda f: f.as_of, default=None)

  async def fetch_from(
      self, member: members_lib.Member, name: str, want: str = ""
  ) -> Fetched | None:
    """Returns what one router knows of a document, None if that is no news.

    Args:
      member: the router.
      name: the document.
      want: the version to wait for there; empty: whatever it has.
    """
    copy = self._copies.find(name)
    body: dict[str, Any] = {"names": [name]}
    if copy is not None:
      body["have"] = {name: copy.digest}
    if want:
      body["want"] = {name: want}
    try:
      answer = await self._post(member.url + PATH, body, _TIMEOUT_S)
      told = answer.get(name)
      if not told:
        return None
      document = self._read(name, told)
      age_s = max(0.0, float(told["age_s"]))
    except (errors.PeerUnavailableError, *_MALFORMED) as exc:
      logger.debug("no documents from %s: %r", member.life, exc)
      return None
    if document is None:
      return None
    logger.info(
        "document from another router",
        extra={
            "document": name,
            "peer": member.life,
            "age_s": round(age_s, 3),
            "part": "change" if "change" in told else "whole",
        },
    )
    return Fetched(document, self._clock.monotonic() - age_s)

  def _read(self, name: str, told: dict[str, Any]) -> deltas.Document | None:
    """Returns the document that an answer tells, None if it does not fit.

    Raises:
      KeyError, TypeError, ValueError: the answer makes no sense.
    """
    if "document" in told:
      return dict(told["document"])
    copy = self._copies.find(name)
    if copy is None:
      return None
    if told["digest"] == copy.digest:
      return copy.document
    raw = base64.b64decode(told["change"])
    document = deltas.apply(copy.document, deltas.unpack(raw, _MOST_BYTES))
    is_right = self._copies.digest(name, document) == told["digest"]
    return document if is_right else None
