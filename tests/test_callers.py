"""Tests of the responses to callers and of the demo, with real processes."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import httpx

from mustardfall.bench import sample
from tests import fleetcase

_CHAT = "/v1/chat/completions"


class RefusalTest(fleetcase.FleetCase):

  def _post(self, body: str, entry=fleetcase.ENTRY, key="") -> httpx.Response:
    headers = {"authorization": f"Bearer {entry.api_key}"}
    headers |= {"idempotency-key": key} if key else {}
    headers["content-type"] = "application/json"
    url = self.routers[0] + _CHAT
    return httpx.post(url, content=body, headers=headers, timeout=20)

  def test_improper_and_hopeless_requests_are_told_so(self):
    # NaN is not JSON: status 400, not a 500 without a verdict. A request
    # larger than the budget's limit gets 402 without Retry-After. An
    # Idempotency-Key reused for another request gets 422, a retry 409.
    self.start()
    chat = '{"messages": [{"role": "user", "content": "x"}], "max_tokens": %s}'
    nan = (chat % "5").removesuffix("}") + ', "temperature": NaN}'
    answer = self._post(nan)
    self.assertEqual(400, answer.status_code)
    self.assertEqual("not_run", answer.headers["x-mustardfall-verdict"])
    answer = self._post(chat % str(10**12))
    self.assertEqual(402, answer.status_code)
    self.assertNotIn("retry-after", answer.headers)
    first = self._post(chat % "3", key="k1")
    again = self._post(chat % "3", key="k1")
    other = self._post(chat % "4", key="k1")
    self.assertEqual(
        (200, 409, 422),
        (first.status_code, again.status_code, other.status_code),
    )

  def test_hopeless_first_request_of_a_budget_is_told_so(self):
    # The first request for a budget exceeds its limit. Only the owner of the
    # budget has read its ledger; all routers must respond with 402.
    self.start(routers=3)
    chat = '{"messages": [{"role": "user", "content": "x"}], "max_tokens": %s}'
    for url in self.routers:
      headers = {"authorization": f"Bearer {fleetcase.ENTRY.api_key}"}
      answer = httpx.post(
          url + _CHAT, content=chat % str(10**12), headers=headers, timeout=20
      )
      self.assertEqual(402, answer.status_code)
      self.assertNotIn("retry-after", answer.headers)

  def test_booking_key_used_for_another_booking(self):
    self.start()
    url = self.routers[0] + "/v1/bookings"
    headers = {"authorization": f"Bearer {fleetcase.ENTRY.api_key}"}
    headers["idempotency-key"] = "b1"
    got = [
        httpx.post(url, json={"item": item}, headers=headers).status_code
        for item in ("pallet", "pallet", "lot")
    ]
    self.assertEqual(422, got[2])
    self.assertEqual(got[0], got[1])


class DemoTest(fleetcase.FleetCase):

  def test_keep_leaves_the_fleet_up_until_interrupted(self):
    # With --keep, the demo prints an address and an API key that work, and
    # runs until Ctrl-C, which stops it and prints the summary.
    root = pathlib.Path(__file__).parent.parent
    demo = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "mustardfall",
            "demo",
            "--requests",
            "20",
            "--keep",
        ],
        cwd=root,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    self.addCleanup(demo.stdout.close)
    self.addCleanup(demo.kill)
    lines = []
    while not lines or not lines[-1].startswith("Ctrl-C"):
      lines.append(demo.stdout.readline())
      self.assertTrue(lines[-1], lines)
    url = lines[0].split()[-1]
    key = sample.catalogue().entries[0].api_key
    body = {"messages": [{"role": "user", "content": "hi"}], "max_tokens": 5}
    headers = {"authorization": f"Bearer {key}"}
    answer = httpx.post(url + _CHAT, json=body, headers=headers, timeout=20)
    self.assertEqual(200, answer.status_code)
    self.assertIn(key, "".join(lines))
    time.sleep(0.2)
    demo.send_signal(signal.SIGINT)
    self.assertIn("overspend_tokens", demo.stdout.read())
    self.assertEqual(0, demo.wait(timeout=20))
