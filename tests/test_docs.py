"""The settings reference documents every settings key."""

import pathlib

import pydantic
import testtools

from mustardfall import settings

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"


def _keys(model: type[pydantic.BaseModel], prefix: str = "") -> list[str]:
  keys = []
  for name, field in model.model_fields.items():
    field_type = field.annotation
    if isinstance(field_type, type) and issubclass(
        field_type, pydantic.BaseModel
    ):
      keys.extend(
          _keys(field_type, f"{prefix}{name}.") if name != "listen" else []
      )
    else:
      keys.append(prefix + name)
  return keys


class SettingsPageTest(testtools.TestCase):

  def test_every_key_is_on_the_page(self):
    page = _PAGE.read_text(encoding="utf-8")
    for model in (
        settings.Router,
        settings.HostsStandin,
        settings.EngineStandin,
        settings.ServiceStandin,
        settings.KvStandin,
    ):
      for key in _keys(model):
        self.assertIn(f"`{key}`", page, f"{model.__name__}.{key}")
