"""Relays an engine's server-sent events to the caller.

Complete events are forwarded as received; only blocks that contain the
usage or the final `[DONE]` are parsed. Parsing the event of every token
took most of a router's CPU time.
"""

from collections.abc import AsyncIterator
import json
import re

import anyio
import httpx

from mustardfall import errors

_USAGE_PATTERN = re.compile(rb'"usage"\s*:\s*\{')
"""Matches a usage object; quotes in generated text would be escaped."""
_DONE_PATTERN = re.compile(rb"^data: ?\[DONE\]", re.MULTILINE)
_ID_PATTERN = re.compile(rb'"id"\s*:\s*("[^"\\]+")')
_MAX_EVENT_BYTES = 262_144
_MAX_GAP_S = 60.0
"""Time without a complete event after which a stream is broken off."""
_EVENT_PREFIX = b"data: {"
DONE_EVENT = b"data: [DONE]\n\n"
"""The event that ends a complete stream."""


class Stream:
  """Relays the event stream of one engine response.

  Args:
    reply: the engine's open response.
    forward_usage: whether the caller asked for the usage event.
  """

  def __init__(self, reply: httpx.Response, forward_usage: bool) -> None:
    self._reply = reply
    self._forward_usage = forward_usage
    self._id: bytes | None = None
    self.usage: int | None = None
    """Total tokens, once the engine has reported them."""
    self.done = False
    """Whether the engine sent `[DONE]`."""

  async def relay(self) -> AsyncIterator[bytes]:
    """Yields blocks of complete events, without the final `[DONE]`.

    If the engine closes the connection early, iteration ends with `done`
    unset; the handler must then send an error event, or the caller would
    take the partial response for a complete one.

    Raises:
      errors.MismatchedResponseError: an event has another response's id.
      httpx.HTTPError: the connection failed.
      ValueError: an event with usage is not JSON, or its usage not a number;
        or an event is too long, or does not end.
    """
    incomplete = b""
    ends_at = anyio.current_time() + _MAX_GAP_S
    async for data in self._reply.aiter_raw():
      block, incomplete = _split(incomplete + data)
      if len(incomplete) > _MAX_EVENT_BYTES or anyio.current_time() > ends_at:
        raise ValueError(f"{len(incomplete)} bytes that are no event")
      if not block:
        continue
      ends_at = anyio.current_time() + _MAX_GAP_S
      self._check_id(block)
      if _USAGE_PATTERN.search(block) or _DONE_PATTERN.search(block):
        block = self._parse_block(block)
      if block:
        yield block
      if self.done:
        return

  def _check_id(self, block: bytes) -> None:
    """Raises an error if an event has the id of another response.

    All events of a response have the id of its first event. An engine that
    mixes up two responses would send one caller's text to another.
    """
    if self._id is None:
      found = _ID_PATTERN.search(block)
      if found is None:
        return
      self._id = found.group(1)
    if block.count(_EVENT_PREFIX) > block.count(self._id):
      raise errors.MismatchedResponseError(
          f"event without the id {self._id!r} of its response"
      )

  def _parse_block(self, block: bytes) -> bytes:
    """Sets `usage` and `done`; returns the events to forward."""
    forwarded = []
    for event in block.replace(b"\r\n", b"\n").split(b"\n\n"):
      if _DONE_PATTERN.search(event):
        self.done = True
        break
      if not event:
        continue
      if _USAGE_PATTERN.search(event) and event.startswith(_EVENT_PREFIX):
        chunk = json.loads(event[len("data: ") :])
        self.usage = int(chunk["usage"]["total_tokens"])
        if not chunk.get("choices") and not self._forward_usage:
          continue
      forwarded.append(event + b"\n\n")
    return b"".join(forwarded)


def _split(data: bytes) -> tuple[bytes, bytes]:
  """Splits `data` after its last complete event."""
  end = 0
  for separator in (b"\n\n", b"\r\n\r\n"):
    position = data.rfind(separator)
    if position >= 0:
      end = max(end, position + len(separator))
  return data[:end], data[end:]
