"""Settings files are validated on load, and errors name the key."""

import pathlib
import tempfile

import testtools

from mustardfall import errors
from mustardfall import settings


class SettingsTest(testtools.TestCase):

  def _write(self, text: str) -> pathlib.Path:
    folder = tempfile.TemporaryDirectory()
    self.addCleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "s.yaml"
    path.write_text(text)
    return path

  def test_unknown_key_is_named(self):
    path = self._write("listen: {port: 1}\nbogus: 3\n")
    exc = self.assertRaises(
        errors.SettingsError, settings.load, path, settings.KvStandin
    )
    self.assertIn("bogus", str(exc))

  def test_invalid_nested_value_is_named_with_its_path(self):
    path = self._write(
        "name: r\ndatacentre: d\nlisten: {port: 1}\nkv_url: u\n"
        "hosts_url: h\nallotment: {term_s: -1}\n"
    )
    exc = self.assertRaises(
        errors.SettingsError, settings.load, path, settings.Router
    )
    self.assertIn("allotment.term_s", str(exc))

  def test_round_trip(self):
    config = settings.KvStandin(listen=settings.Listen(port=5))
    path = self._write(settings.dump(config))
    self.assertEqual(config, settings.load(path, settings.KvStandin))
