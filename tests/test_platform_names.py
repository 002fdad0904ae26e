"""The platform's wire names occur only in its adapter and in fakes of it."""

import pathlib
import re

import testtools

_ROOT = pathlib.Path(__file__).parent.parent / "mustardfall"
_ALLOWED_PACKAGES = ("platform", "emulator", "standins")
_WIRE_NAMES = re.compile(
    r"response-signature|not-executed|/-/|prompt-prefix|token-usage"
    r"|expect-instance|op/config|servers/|server-load|server-limit|request-priority"
    r"|kv-from|kv-backup|set_keys|store_revision|slo_ms|api_keys\"",
    re.IGNORECASE,
)


class NamesTest(testtools.TestCase):

  def test_wire_names_occur_only_in_the_adapter(self):
    found = []
    for path in _ROOT.rglob("*.py"):
      if path.relative_to(_ROOT).parts[0] in _ALLOWED_PACKAGES:
        continue
      for number, line in enumerate(path.read_text().splitlines(), 1):
        if _WIRE_NAMES.search(line):
          found.append(f"{path.name}:{number}: {line.strip()}")
    self.assertEqual([], found)

  def test_only_allowed_packages_import_the_adapter(self):
    for path in _ROOT.rglob("*.py"):
      if path.relative_to(_ROOT).parts[0] not in _ALLOWED_PACKAGES:
        self.assertNotIn("mustardfall.platform", path.read_text(), path)
