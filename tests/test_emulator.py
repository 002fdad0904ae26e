"""Tests the README's command that runs a router on the emulated platform."""

import json
import pathlib
import subprocess
import sys

import testtools


class EmulatorTest(testtools.TestCase):

  def test_router_process_serves_before_the_emulated_platform(self):
    root = pathlib.Path(__file__).parent.parent
    command = [sys.executable, "-m", "mustardfall.emulator", "--requests", "8"]
    done = subprocess.run(
        command,
        cwd=root,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    self.assertEqual(0, done.returncode, done.stderr)
    summary = json.loads(done.stdout.splitlines()[-1])
    self.assertEqual({"200": 8}, summary["statuses"])
