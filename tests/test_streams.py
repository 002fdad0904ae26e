"""Parsing event streams, and resuming them at another endpoint."""

from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall.proxy import streams


def _bytes(ids) -> bytes:
  return b"".join(b"id: %d\ndata: x\n\n" % n for n in ids)


class SplitterTest(testtools.TestCase):

  @given(st.integers(0, 12), st.lists(st.integers(1, 30)))
  def test_chunk_boundaries_do_not_matter(self, count, chunk_sizes):
    data = _bytes(range(count))
    parser, events = streams.EventParser(), []
    for cut in chunk_sizes:
      events += parser.feed(data[:cut])
      data = data[cut:]
    events += parser.feed(data)
    self.assertEqual(list(range(count)), [event.id for event in events])
    self.assertEqual(b"", parser.incomplete)

  def test_incomplete_event_is_not_returned(self):
    parser = streams.EventParser()
    events = parser.feed(_bytes([1]) + b"id: 2\ndat")
    self.assertEqual([1], [event.id for event in events])
    self.assertEqual(b"id: 2\ndat", parser.incomplete)


class JoinerTest(testtools.TestCase):

  @given(st.integers(1, 12), st.integers(0, 12), st.integers(0, 12))
  def test_each_event_once_and_in_order(self, count, cut, overlap):
    # A stream breaks off after `cut` events, and the next endpoint repeats the
    # last `overlap` of them. The caller must get each event once.
    cut = min(cut, count)
    first = list(range(1, cut + 1))
    second = list(range(max(1, cut + 1 - overlap), count + 1))
    sequencer = streams.EventSequencer(None)
    got = []
    for number in first + second:
      event = streams.Event(number, b"")
      if sequencer.accept(event):
        got.append(number)
    self.assertEqual(list(range(1, count + 1)), got)

  def test_gap_is_an_error(self):
    sequencer = streams.EventSequencer(3)
    self.assertRaises(ValueError, sequencer.accept, streams.Event(5, b""))
