"""The platform's wire names stand in its adapter only."""

import pathlib
import re

import testtools

_ROOT = pathlib.Path(__file__).parent.parent / "mustardfall"
_ALLOWED = ("platform", "emulator", "standins")
_NAMES = re.compile(
    r"response-signature|not-executed|/-/|prompt-prefix|token-usage"
    r"|expect-instance|op/config|servers/|server-load|request-priority"
    r"|kv-from|kv-backup|set_keys|store_revision|slo_ms|api_keys\"",
    re.IGNORECASE,
)


class NamesTest(testtools.TestCase):

  def test_no_wire_name_outside_the_adapter(self):
    found = []
    for path in _ROOT.rglob("*.py"):
      if path.relative_to(_ROOT).parts[0] in _ALLOWED:
        continue
      for number, line in enumerate(path.read_text().splitlines(), 1):
        if _NAMES.search(line):
          found.append(f"{path.name}:{number}: {line.strip()}")
    self.assertEqual([], found)

  def test_the_adapter_is_imported_by_nothing_else(self):
    for path in _ROOT.rglob("*.py"):
      if path.relative_to(_ROOT).parts[0] not in _ALLOWED:
        self.assertNotIn("mustardfall.platform", path.read_text(), path)
