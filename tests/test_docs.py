"""The settings reference names every settings key."""

import pathlib

import pydantic
import testtools

from mustardfall import settings

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"


def _keys(model: type[pydantic.BaseModel], prefix: str = "") -> list[str]:
  out = []
  for name, field in model.model_fields.items():
    kind = field.annotation
    if isinstance(kind, type) and issubclass(kind, pydantic.BaseModel):
      out.extend(_keys(kind, f"{prefix}{name}.") if name != "listen" else [])
    else:
      out.append(prefix + name)
  return out


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
