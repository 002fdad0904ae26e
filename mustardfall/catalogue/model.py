"""The schema of catalogue files and its validation.

A catalogue file looks like::

    base: 12          # optional: the revision this edit was made from
    customers:        # optional; the default for a customer is overspend
      - name: retourhuis
        weighs: false_refusals   # or overspend
    placements:       # optional; other engines are not managed
      - engine: engine-lier-a
        models: [appraisal]
    entries:
      - name: retourhuis-appraisal-t1
        customer: retourhuis
        team: t1
        class: deferrable   # or urgent
        api_key: sk-...
        model: appraisal
        tokens: 200000      # the initial budget

Top-ups change the budget, not the catalogue; see `budget.ledger`.
"""

import enum

import pydantic

from mustardfall import settings
from mustardfall.budget import policy


class Klass(enum.StrEnum):
  """The priority class of an entry's requests."""

  URGENT = "urgent"
  DEFERRABLE = "deferrable"


PRIORITY = {Klass.URGENT: 0, Klass.DEFERRABLE: 10}
"""The priority sent to engines per class; lower runs first, as in vLLM."""


class EntrySpec(pydantic.BaseModel):
  """One catalogue entry as written by operators."""

  model_config = pydantic.ConfigDict(
      extra="forbid", frozen=True, populate_by_name=True
  )

  name: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]*$")
  customer: str
  team: str
  klass: Klass = pydantic.Field(alias="class")
  api_key: str = pydantic.Field(min_length=8)
  model: str
  tokens: int = pydantic.Field(ge=0)


class CustomerSpec(pydantic.BaseModel):
  """Whether overspend or false refusals weigh more, see `budget.policy`."""

  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

  name: str
  weighs: policy.Preference


class PlacementSpec(pydantic.BaseModel):
  """The models that an engine should have loaded, see `routing.orders`."""

  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

  engine: str
  models: list[str] = pydantic.Field(min_length=1)


class CatalogueSpec(pydantic.BaseModel):
  """A catalogue file."""

  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

  base: int | None = None
  customers: list[CustomerSpec] = []
  placements: list[PlacementSpec] = []
  entries: list[EntrySpec]

  @pydantic.model_validator(mode="after")
  def _check_unique(self) -> "CatalogueSpec":
    for field in ("name", "api_key"):
      values = [getattr(e, field) for e in self.entries]
      if len(values) != len(set(values)):
        raise ValueError(f"entries: duplicate {field}")
    for field, names in (
        ("customers", [c.name for c in self.customers]),
        ("placements", [p.engine for p in self.placements]),
    ):
      if len(names) != len(set(names)):
        raise ValueError(f"{field}: duplicate name")
    return self


def parse(data: object, source: str = "<catalogue>") -> CatalogueSpec:
  """Validates the parsed content of a catalogue file.

  Raises:
    errors.SettingsError: the content is not a valid catalogue.
  """
  return settings.parse(data, CatalogueSpec, source=source)
