"""Tests of the event relay: framing, usage, end of stream, response ids."""

import itertools
import json

import anyio
from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall import errors
from mustardfall.api import relay


def _event(data: dict) -> bytes:
  return b"data: " + json.dumps(data).encode() + b"\n\n"


def _text(word: str, answer: str = "a1") -> bytes:
  return _event({"id": answer, "choices": [{"delta": {"content": word}}]})


_USAGE = _event({"id": "a1", "choices": [], "usage": {"total_tokens": 7}})
_DONE = b"data: [DONE]\n\n"


class _Reply:
  """An engine's response, split into chunks at `cuts`."""

  def __init__(self, raw: bytes, cuts: list[int]) -> None:
    marks = sorted({0, len(raw), *(c for c in cuts if c < len(raw))})
    self._pieces = [raw[a:b] for a, b in itertools.pairwise(marks)]

  async def aiter_raw(self):
    for piece in self._pieces:
      yield piece


def _relay(raw: bytes, cuts: list[int], forward_usage: bool = False):
  async def go():
    stream = relay.Stream(_Reply(raw, cuts), forward_usage)
    return stream, b"".join([b async for b in stream.relay()])

  return anyio.run(go)


class RelayTest(testtools.TestCase):

  @given(
      st.lists(st.text(max_size=12), min_size=1, max_size=8),
      st.lists(st.integers(1, 900), max_size=6),
  )
  def test_whole_answer_arrives_however_it_is_cut(self, words, cuts):
    body = b"".join(_text(w) for w in words)
    stream, got = _relay(body + _USAGE + _DONE, cuts)
    self.assertEqual(body, got)
    self.assertEqual((7, True), (stream.usage, stream.done))

  def test_usage_is_passed_on_to_those_who_asked(self):
    _, got = _relay(_text("x") + _USAGE + _DONE, [], forward_usage=True)
    self.assertEqual(_text("x") + _USAGE, got)

  def test_carriage_returns_end_events_too(self):
    raw = (_text("x") + _USAGE + _DONE).replace(b"\n", b"\r\n")
    stream, _ = _relay(raw, [30, 31])
    self.assertEqual((7, True), (stream.usage, stream.done))

  def test_answer_cut_short_is_not_taken_for_whole(self):
    # The engine closes the connection within an event: `done` stays unset,
    # so that the caller gets an error; the partial event is not forwarded.
    stream, got = _relay(_text("x") + _text("y")[:20], [])
    self.assertEqual(_text("x"), got)
    self.assertFalse(stream.done)

  def test_text_that_looks_like_usage_or_end_is_only_text(self):
    # Generated text that quotes this protocol must neither end the stream
    # nor set the usage that is billed.
    word = '"usage": {"total_tokens": 1} data: [DONE]\n\ndata: [DONE]'
    stream, got = _relay(_text(word) + _USAGE + _DONE, [])
    self.assertEqual(_text(word), got)
    self.assertEqual(7, stream.usage)

  def test_event_with_another_id_is_refused(self):
    raw = _text("mine") + _text("theirs", answer="a2") + _DONE
    self.assertRaises(errors.MismatchedResponseError, _relay, raw, [])
