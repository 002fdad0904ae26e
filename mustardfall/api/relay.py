"""Relays an engine's server-sent events to the caller.

Bytes are passed on as they come, in whole events; only blocks that carry
the usage or the end are parsed. Parsing every token's event cost most
of a router's processor time.
"""

from collections.abc import AsyncIterator
import json
import re

import httpx

from mustardfall import errors

_USAGE = re.compile(rb'"usage"\s*:\s*\{')
"""A usage object; in generated text the quotes would be escaped."""
_DONE = re.compile(rb"^data: ?\[DONE\]", re.MULTILINE)
_ID = re.compile(rb'"id"\s*:\s*("[^"\\]+")')
_EVENT = b"data: {"
END = b"data: [DONE]\n\n"
"""The event that ends a whole stream."""


class Stream:
  """One engine stream on its way to a caller.

  Args:
    reply: the engine's open answer.
    keep_usage: whether the caller asked for the usage event.
  """

  def __init__(self, reply: httpx.Response, keep_usage: bool) -> None:
    self._reply = reply
    self._keep_usage = keep_usage
    self._id: bytes | None = None
    self.usage: int | None = None
    """Tokens in all, once the engine has told."""
    self.done = False
    """Whether the engine ended the stream itself."""

  async def relay(self) -> AsyncIterator[bytes]:
    """Yields blocks of whole events, without the final `[DONE]`.

    A stream that the engine broke off just ends here with `done` unset:
    the caller of this must then say so to its own caller, who would
    otherwise take a part for the whole.

    Raises:
      errors.MismatchedResponseError: an event of another answer came.
      httpx.HTTPError: the connection broke.
    """
    rest = b""
    async for data in self._reply.aiter_raw():
      block, rest = _split(rest + data)
      if not block:
        continue
      self._check_id(block)
      if _USAGE.search(block) or _DONE.search(block):
        block = self._take_notes(block)
      if block:
        yield block
      if self.done:
        return

  def _check_id(self, block: bytes) -> None:
    """Refuses events that bear another answer's id.

    An engine that mixes up two answers would hand one caller another's
    text; every event of one answer has the id of its first.
    """
    if self._id is None:
      found = _ID.search(block)
      if found is None:
        return
      self._id = found.group(1)
    if block.count(_EVENT) > block.count(self._id):
      raise errors.MismatchedResponseError("event with another answer's id")

  def _take_notes(self, block: bytes) -> bytes:
    """Notes usage and end; returns the events to pass on."""
    kept = []
    for event in block.replace(b"\r\n", b"\n").split(b"\n\n"):
      if _DONE.search(event):
        self.done = True
        break
      if not event:
        continue
      if _USAGE.search(event) and event.startswith(_EVENT):
        chunk = json.loads(event[len("data: ") :])
        self.usage = int(chunk["usage"]["total_tokens"])
        if not chunk.get("choices") and not self._keep_usage:
          continue
      kept.append(event + b"\n\n")
    return b"".join(kept)


def _split(data: bytes) -> tuple[bytes, bytes]:
  """Splits off what follows the last whole event."""
  cut = 0
  for gap in (b"\n\n", b"\r\n\r\n"):
    at = data.rfind(gap)
    if at >= 0:
      cut = max(cut, at + len(gap))
  return data[:cut], data[cut:]
