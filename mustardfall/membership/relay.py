"""Relays documents of the store between routers.

The store may refuse some hosts and serve the others. A router that cannot
read the configuration or the list of endpoints fetches them from other
routers, so that a revoked key or a leaving endpoint becomes known everywhere
even if only some routers can read the store.

A delta that is too large for a datagram is fetched from other routers, too.
The store would return the whole document, many times as large, over a link
that also carries the host's streams to callers.
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
_FETCH_FANOUT = 2
"""Routers asked in parallel, as the store may be out of reach for one, too."""
_MAX_AGE_S = 2.5
"""Documents last known to be current longer ago are not served."""
_TIMEOUT_S = 0.4
_MAX_WAIT_S = 0.25
"""How long a request for a version that this router does not have yet waits for
it. The version usually arrives soon; without the wait the request would only be
repeated."""
_MAX_UNPACKED_BYTES = 8_388_608
"""Limit of an answer's size after decompression."""
_PACKED_CACHE_SIZE = 8
"""Packed deltas cached, since a dozen routers ask for the same one."""

_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)
"""Exceptions that decoding a malformed answer may raise."""


class Fetched(NamedTuple):
  """A document fetched from another router."""

  document: deltas.Document
  as_of: float
  """When that router last knew it to be current, in seconds of this router's
  monotonic clock."""


class Relay:
  """Serves this router's copies of documents, and fetches those of others.

  Args:
    members: the routers that are up.
    post: makes the HTTP calls.
    copies: this router's copies of the documents.
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
    self._packed_cache: collections.OrderedDict[tuple[str, str, str], str]
    self._packed_cache = collections.OrderedDict()
    """Packed deltas by document name, digest before and digest after."""

  async def serve(self, body: dict[str, Any]) -> dict[str, Any]:
    """Answers another router with the documents that were recently current.

    Args:
      body: `names` of documents; `have`, the digest of the requesting router's
        copy of each, where it has one; `want`, the announced digest of each,
        which is waited for.
    """
    have, want = body.get("have", {}), body.get("want", {})
    answer = {}
    for name in body["names"]:
      if name in want:
        await self._copies.wait_for(name, want[name], _MAX_WAIT_S)
      copy, age_s = self._copies.find(name), self._copies.age_s(name)
      if copy is None or age_s >= _MAX_AGE_S:
        continue
      answer[name] = {
          "age_s": age_s,
          **self._encode_copy(name, copy, have.get(name)),
      }
    return answer

  def _encode_copy(
      self, name: str, copy: copies_lib.Copy, have: str | None
  ) -> dict[str, Any]:
    """Returns a document, or the delta from the digest `have` if possible."""
    before = None if have is None else self._copies.find_previous(name, have)
    if copy.digest == have:
      return {"digest": have}
    if before is None:
      return {"document": copy.document}
    key = (name, before.digest, copy.digest)
    packed = self._packed_cache.get(key)
    if packed is None:
      delta = deltas.diff(before.document, copy.document)
      packed = base64.b64encode(deltas.pack(delta)).decode()
      self._packed_cache[key] = packed
      if len(self._packed_cache) > _PACKED_CACHE_SIZE:
        self._packed_cache.popitem(last=False)
    return {"change": packed, "digest": copy.digest}

  async def fetch(self, name: str) -> Fetched | None:
    """Returns the most recent copy of a document among some other routers."""
    others = self._members.others
    asked = random.sample(others, min(_FETCH_FANOUT, len(others)))
    fetched: list[Fetched] = []

    async def _fetch(member: members_lib.Member) -> None:
      answer = await self.fetch_from(member, name)
      if answer is not None:
        fetched.append(answer)

    async with anyio.create_task_group() as tasks:
      for member in asked:
        tasks.start_soon(_fetch, member)
    return max(fetched, key=lambda f: f.as_of, default=None)

  async def fetch_from(
      self, member: members_lib.Member, name: str, want: str = ""
  ) -> Fetched | None:
    """Returns one router's copy of a document, None if it sent no usable one.

    Args:
      member: the router.
      name: the document.
      want: the digest of the version to wait for; empty for any version.
    """
    copy = self._copies.find(name)
    body: dict[str, Any] = {"names": [name]}
    if copy is not None:
      body["have"] = {name: copy.digest}
    if want:
      body["want"] = {name: want}
    try:
      answer = await self._post(member.url + PATH, body, _TIMEOUT_S)
      entry = answer.get(name)
      if not entry:
        return None
      document = self._decode(name, entry)
      age_s = max(0.0, float(entry["age_s"]))
    except (errors.PeerUnavailableError, *_MALFORMED) as exc:
      logger.debug("document not fetched from %s: %r", member.life, exc)
      return None
    if document is None:
      return None
    logger.info(
        "document from another router",
        extra={
            "document": name,
            "peer": member.life,
            "age_s": round(age_s, 3),
            "part": "change" if "change" in entry else "whole",
        },
    )
    return Fetched(document, self._clock.monotonic() - age_s)

  def _decode(self, name: str, entry: dict[str, Any]) -> deltas.Document | None:
    """Returns the document in an answer, None if a delta does not apply.

    Raises:
      KeyError, TypeError, ValueError: the answer is malformed.
    """
    if "document" in entry:
      return dict(entry["document"])
    copy = self._copies.find(name)
    if copy is None:
      return None
    if entry["digest"] == copy.digest:
      return copy.document
    raw = base64.b64decode(entry["change"])
    document = deltas.apply(
        copy.document, deltas.unpack(raw, _MAX_UNPACKED_BYTES)
    )
    matches = self._copies.digest(name, document) == entry["digest"]
    return document if matches else None
