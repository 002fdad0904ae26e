"""Request bodies in chunks."""

import contextlib
import time

import anyio
from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall import errors
from mustardfall.proxy import chunked_bodies
from tests import httpcase

_BODY_BYTES = 17_000
_MAX_BODY_S = 0.1
"""Processor time for a body in the smallest chunks. One of 8 such bodies a second
must leave most of a processor to other callers."""


def _chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
  parts = (body[at : at + size] for at in range(0, len(body), size))
  encoded = (b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in parts)
  return b"".join(encoded) + b"0\r\n\r\n"


def _request(encoded: bytes, more: bytes = b"") -> bytes:
  head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n"
  return head + more + b"\r\n" + encoded


async def _echo(request, body, responder) -> None:
  del request
  await responder.respond(200, [], b"<" + body + b">")


class ChunkedBodyTest(testtools.TestCase):

  def _answer(self, sent: bytes) -> bytes:
    async def run():
      async with httpcase.serving(_echo) as port:
        return await httpcase.call(port, sent)

    return anyio.run(run)

  def test_body_in_small_chunks_costs_little(self):
    """Guards against callers that wait while bodies in small chunks are read."""
    for extension in (b"", b";a=b"):
      body = b"a" * _BODY_BYTES
      encoded = _chunks(body, 1, extension)
      began_s = time.process_time()
      answer = self._answer(_request(encoded, b"connection: close\r\n"))
      self.assertIn(b"<" + body + b">", answer)
      self.assertTrue(time.process_time() - began_s < _MAX_BODY_S)

  def test_blanks_in_a_chunk_header(self):
    """Guards against one chunk header that stops the process for seconds."""
    blanks = b" " * 70_000
    for header in (b"5;" + blanks, b"5" + blanks, b"5" + blanks + b";"):
      for end in (b"", b"a=b\r\nhello"):
        began_s = time.process_time()
        with contextlib.suppress(errors.RejectedRequestError):
          chunked_bodies.ChunkMerger().feed(header + end)
        self.assertTrue(time.process_time() - began_s < _MAX_BODY_S)

  def test_blanks_before_and_in_an_extension(self):
    """Guards against chunk headers that are rejected for their blanks."""
    for header in (b"5 ", b"5\t;a=b", b"5;a=b \t", b"5 ; a = b "):
      encoded = header + b"\r\nhello\r\n0\r\n\r\n"
      answer = self._answer(_request(encoded, b"connection: close\r\n"))
      self.assertIn(b"<hello>", answer)

  def test_request_after_a_body_in_chunks_is_served(self):
    """Guards against pipelined requests lost behind merged chunks."""
    last = _request(_chunks(b"two", 2), b"connection: close\r\n")
    answer = self._answer(_request(_chunks(b"one", 1)) + last)
    self.assertIn(b"<one>", answer)
    self.assertIn(b"<two>", answer)

  def test_trailers_are_skipped(self):
    """Guards against trailers taken for the next request."""
    encoded = _chunks(b"body", 3).removesuffix(b"\r\n") + b"x-a: b\r\n\r\n"
    answer = self._answer(_request(encoded, b"connection: close\r\n"))
    self.assertIn(b"<body>", answer)

  def test_invalid_chunks_are_rejected(self):
    """Guards against bodies that an endpoint would read otherwise."""
    for encoded in (
        b"1\r\nabc\r\n0\r\n\r\n",
        b"x\r\na\r\n0\r\n\r\n",
        b"1\na\r\n0\r\n\r\n",
        b"-1\r\na\r\n0\r\n\r\n",
        b"1\r\na\n0\r\n\r\n",
        b"\r\n1\r\na\r\n0\r\n\r\n",
    ):
      answer = self._answer(_request(encoded))
      self.assertTrue(answer.startswith(b"HTTP/1.1 400"), (encoded, answer))


class ChunkMergerTest(testtools.TestCase):

  @given(
      st.binary(max_size=60),
      st.integers(1, 20),
      st.lists(st.integers(1, 9), max_size=40),
      st.sampled_from([b"", b";a=b", b" ", b";x \t"]),
  )
  def test_any_pieces_give_the_same_body(self, body, size, cuts, extension):
    """Guards against bytes lost where a chunk is received in pieces."""
    encoded = _chunks(body, size, extension) + b"next"
    merger, out = chunked_bodies.ChunkMerger(), b""
    for cut in cuts:
      piece, encoded = encoded[:cut], encoded[cut:]
      out += merger.feed(piece) if piece else b""
    out += merger.feed(encoded) if encoded else b""
    merged, rest = b"", out
    while not rest.startswith(b"0\r\n"):
      length, _, rest = rest.partition(b"\r\n")
      merged += rest[: int(length, 16)]
      rest = rest[int(length, 16) + 2 :]
    self.assertEqual((body, b"0\r\n\r\nnext"), (merged, rest))

  def test_endless_chunk_header_is_rejected(self):
    """Guards against a chunk header that fills the memory."""
    merger = chunked_bodies.ChunkMerger()
    self.assertRaises(
        errors.RejectedRequestError, merger.feed, b"1;" + b"a" * 5_000
    )
