"""Decoding and encoding of the platform's headers."""

from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall import errors
from mustardfall.platform import headers
from mustardfall.proxy import messages

_BASE = [(b"host", b"Shop.example:80"), (b"request-id", b"r1")]


def _decode(*extra):
  return headers.Dialect().decode_request(b"POST", b"/a/b?c", [*_BASE, *extra])


class RequestTest(testtools.TestCase):

  def test_fields(self):
    request = _decode(
        (b"deadline-ms", b"1500"),
        (b"token-usage", b"1460,80"),
        (b"prompt-prefix", b"5c1e:800,91bd:410"),
        (b"last-event-id", b"12"),
        (b"credential", b"key"),
    )
    self.assertEqual(
        ("shop.example", "/a/b"), (request.authority, request.path)
    )
    self.assertEqual(b"/a/b?c", request.target)
    self.assertEqual(1.5, request.caller_timeout_s)
    self.assertEqual(messages.Usage(1460, 80), request.usage)
    self.assertEqual([("5c1e", 800), ("91bd", 410)], list(request.parts))
    self.assertEqual(("key", 12), (request.api_key, request.last_event))

  def test_hop_by_hop_headers_are_not_forwarded(self):
    request = _decode(
        (b"connection", b"x-mine, model, keep-alive"),
        (b"x-mine", b"1"),
        (b"model", b"m"),
        (b"te", b"trailers"),
        (b"x-other", b"2"),
    )
    names = {name for name, _ in request.headers}
    self.assertEqual({b"host", b"request-id", b"model", b"x-other"}, names)

  def test_invalid_values_are_rejected(self):
    for name, value in (
        (b"deadline-ms", b"soon"),
        (b"deadline-ms", b"nan"),
        (b"deadline-ms", b"-1"),
        (b"token-usage", b"12"),
        (b"token-usage", b"-5,7"),
        (b"token-usage", b"1_0,7"),
        (b"token-usage", b"+5,7"),
        (b"token-usage", "\u0661,7".encode()),
        (b"token-usage", b"9" * 30 + b",7"),
        (b"prompt-prefix", "ab:\u0661\u0662".encode()),
        (b"prompt-prefix", b"ab:1_000"),
        (b"prompt-prefix", b"ab:-1"),
        (b"deadline-ms", b"1_000"),
        (b"last-event-id", b"1_0"),
        (b"prompt-prefix", b"abc"),
        (b"request-id", b"again"),
    ):
      self.assertRaises(errors.RejectedRequestError, _decode, (name, value))

  @given(st.floats(0.001, 100), st.integers(0, 20), st.none() | st.integers(0))
  def test_forwarded_headers(self, left_s, priority, last):
    request = _decode((b"token-usage", b"10,20"), (b"tenant", b"forged"))
    send = messages.ForwardingInfo("i-1", "acme", left_s, priority, last)
    sent = dict(headers.Dialect().encode_request(request, send))
    self.assertEqual(b"acme", sent[b"tenant"])
    self.assertTrue(1 <= int(sent[b"deadline-ms"]) <= max(1, left_s * 1000))
    self.assertTrue(0 <= int(sent[b"request-priority"]) <= 9)
    self.assertEqual(last is not None, b"last-event-id" in sent)


class AnswerTest(testtools.TestCase):

  def _decode(self, status=200, *extra):
    return headers.Dialect().decode_response(status, [*extra])

  def test_not_run_only_if_the_server_says_so(self):
    # A request answered with 503 but without this header may have run. If it
    # counted as not run, it would be repeated and a booking made twice.
    self.assertFalse(self._decode(503).not_run)
    self.assertTrue(self._decode(503, (b"not-executed", b"1")).not_run)
    self.assertTrue(self._decode(421).misdirected)

  def test_load_and_connection_headers(self):
    answer = self._decode(
        200, (b"server-load", b"3,1,8"), (b"keep-alive", b"timeout=5, max=9")
    )
    self.assertEqual(messages.Load(3, 1, 8), answer.load)
    self.assertEqual(5.0, answer.idle_timeout_s)
    self.assertIsNone(self._decode(200, (b"server-load", b"x")).load)
    self.assertTrue(
        self._decode(200, (b"connection", b"Close")).closes_connection
    )


class RateLimitHeaderTest(testtools.TestCase):

  def _decode(self, *values):
    limits = [(b"server-limit", value) for value in values]
    return headers.Dialect().decode_response(200, limits).rate_limit

  def test_decimal_numbers_are_read(self):
    for text, rate in ((b"1", 1.0), (b" 1.25 ", 1.25), (b".5", 0.5)):
      self.assertEqual(rate, self._decode(text).per_s)
    self.assertIsNone(self._decode())

  def test_unusable_values_are_recognised(self):
    """Guards against a limit that stops all requests, or allows any number."""
    for text in (b"0", b"0.0", b"-1", b"1e9", b"inf", b"nan", b"", b"soon"):
      found = self._decode(text)
      self.assertIsNone(found.per_s, text)
      self.assertEqual(text.decode(), found.text)

  def test_contradictory_values_are_unusable(self):
    self.assertIsNone(self._decode(b"1", b"5").per_s)
    self.assertEqual(5.0, self._decode(b"5", b"5").per_s)

  def test_long_values_are_shortened_for_the_log(self):
    self.assertEqual(40, len(self._decode(b"9" * 8000).text))

  @given(st.binary(max_size=60))
  def test_any_value_is_decoded(self, value):
    found = self._decode(value)
    self.assertTrue(found.per_s is None or 0 < found.per_s <= 1e6)


class StatementTest(testtools.TestCase):

  def _decode(self, status, *fields):
    return headers.Dialect().decode_response(status, list(fields))

  def _rest_s(self, *values, date=None, status=503):
    fields = [(b"retry-after", value) for value in values]
    if date is not None:
      fields.append((b"date", date))
    rest = self._decode(status, *fields).rest
    return rest.seconds if rest is not None else None

  def test_server_that_leaves(self):
    for status in (200, 421, 500, 503):
      for value in (b"1", b" 1", b"1, 1", b"01", b"true"):
        head = self._decode(status, (b"server-leaving", value))
        self.assertTrue(head.leaving, (status, value))
    for value in (b"", b"0", b"no", b"-1", b"\xb2", b"nan"):
      self.assertFalse(self._decode(200, (b"server-leaving", value)).leaving)
    self.assertFalse(self._decode(200).leaving)

  def test_rest_of_a_server_that_turns_requests_away(self):
    self.assertEqual(3.0, self._rest_s(b"3"))
    self.assertEqual(0.25, self._rest_s(b" 0.25 "))
    self.assertEqual(0.0, self._rest_s(b"0"))
    self.assertEqual(5.0, self._rest_s(b"2", b"5", b"x"))
    self.assertEqual(2.0, self._rest_s(b"2", status=429))
    self.assertIsNone(self._decode(200, (b"retry-after", b"3")).rest)
    self.assertIsNone(self._decode(503).rest)

  def test_rest_until_a_date_counts_from_the_answer(self):
    """Guards against a rest that hangs on the clocks of two hosts."""
    date = b"Fri, 04 Dec 2026 10:00:00 GMT"
    until = b"Fri, 04 Dec 2026 10:00:07 GMT"
    self.assertEqual(7.0, self._rest_s(until, date=date))
    self.assertEqual(0.0, self._rest_s(date, date=until))
    self.assertIsNone(self._rest_s(until))

  @given(st.binary(max_size=50))
  def test_any_rest_is_decoded(self, value):
    """Guards against an answer that is lost for its Retry-After."""
    rest = self._decode(503, (b"retry-after", value), (b"date", value)).rest
    self.assertTrue(rest.seconds is None or rest.seconds >= 0, rest)

  def test_unusable_rests_are_recognised(self):
    for value in (b"", b"soon", b"-3", b"nan", b"inf", b"0x3", b"3 s"):
      self.assertIsNone(self._rest_s(value), value)
    self.assertTrue(self._rest_s(b"1e999") > 1e300)
