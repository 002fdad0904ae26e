"""Tokens billed for a request: only what was delivered to the caller.

Otherwise a server that runs requests and loses their responses would use up the
budget of a team that received nothing.
"""

import types

import testtools

from mustardfall.proxy import messages
from mustardfall.proxy import request_context as request_context_lib

_USAGE = messages.Usage(prompt_tokens=900, max_output_tokens=50)


def _context(
    forwarded_events: int = 0, usage: messages.Usage | None = _USAGE, **more
):
  engine = types.SimpleNamespace(tokens_per_event=5)
  return request_context_lib.RequestContext(
      request=types.SimpleNamespace(usage=usage),
      body=b"",
      responder=None,
      route=None,
      service=types.SimpleNamespace(engine=engine),
      team=None,
      arrived_at=0.0,
      deadline=5.0,
      sequencer=types.SimpleNamespace(forwarded_events=forwarded_events),
      fingerprint="",
      **more,
  )


class UsedTest(testtools.TestCase):

  def test_lost_answer_is_not_billed_though_it_may_have_run(self):
    self.assertEqual(0, _context(may_have_run=True).used_tokens)

  def test_prompt_counts_with_the_first_event(self):
    self.assertEqual(
        905, _context(forwarded_events=1, may_have_run=True).used_tokens
    )

  def test_never_more_than_was_reserved(self):
    self.assertEqual(
        _USAGE.max_tokens,
        _context(forwarded_events=400, may_have_run=True).used_tokens,
    )

  def test_answer_in_one_piece_counts_its_prompt(self):
    self.assertEqual(900, _context(body_delivered=True).used_tokens)

  def test_plain_requests_use_nothing(self):
    self.assertEqual(0, _context(usage=None, body_delivered=True).used_tokens)
