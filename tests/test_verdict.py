"""Tests of the error responses: body, status and headers."""

import testtools

from mustardfall import verdict


class VerdictTest(testtools.TestCase):

  def test_refusal_says_not_run_and_when_to_come_back(self):
    v = verdict.not_run("budget", 2.4)
    self.assertEqual(429, v.status)
    self.assertEqual("not_run", verdict.to_body(v)["error"]["verdict"])
    self.assertEqual("2", verdict.to_headers(v)["retry-after"])

  def test_unknown_says_may_have_run_without_retry_after(self):
    v = verdict.may_have_run("cut")
    headers = verdict.to_headers(v)
    self.assertEqual("may_have_run", headers["x-mustardfall-verdict"])
    self.assertNotIn("retry-after", headers)
