"""Catalogue entries, their YAML form and its checks.

A catalogue file looks like::

    base: 12          # optional: the revision this edit was made from
    customers:        # optional; who is not named weighs overspend
      - name: retourhuis
        weighs: false_refusals   # or overspend
    entries:
      - name: retourhuis-appraisal-t1
        customer: retourhuis
        team: t1
        class: deferrable   # or urgent
        api_key: sk-...
        model: appraisal
        tokens: 200000      # the budget bought at creation

Top-ups change the budget, not the catalogue; see `budget.ledger`.
"""

import enum
from typing import NamedTuple

import pydantic

from mustardfall import settings
from mustardfall.budget import policy

KEY = "catalogue"
"""The KV key that holds the whole catalogue as JSON."""


class Klass(enum.StrEnum):
  """How soon a caller's work must reach a model."""

  URGENT = "urgent"
  DEFERRABLE = "deferrable"


PRIORITY = {Klass.URGENT: 0, Klass.DEFERRABLE: 10}
"""Engine priority per class; lower runs first (vLLM convention)."""


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
  """What a customer weighs more; see `budget.policy`."""

  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

  name: str
  weighs: policy.Weighs


class CatalogueSpec(pydantic.BaseModel):
  """A catalogue file."""

  model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

  base: int | None = None
  customers: list[CustomerSpec] = []
  entries: list[EntrySpec]

  @pydantic.model_validator(mode="after")
  def _unique(self) -> "CatalogueSpec":
    for field in ("name", "api_key"):
      values = [getattr(e, field) for e in self.entries]
      if len(values) != len(set(values)):
        raise ValueError(f"entries: duplicate {field}")
    names = [c.name for c in self.customers]
    if len(names) != len(set(names)):
      raise ValueError("customers: duplicate name")
    return self


class Catalogue(NamedTuple):
  """The catalogue in force: its KV revision and entries by API key."""

  revision: int
  by_key: dict[str, EntrySpec]
  weighs: dict[str, policy.Weighs]

  def find(self, api_key: str) -> EntrySpec | None:
    """Returns the entry for `api_key`, or None."""
    return self.by_key.get(api_key)

  def policy_of(self, customer: str) -> policy.Policy:
    """Returns how the edge of the customer's budgets is treated."""
    weighs = self.weighs.get(customer, policy.Weighs.OVERSPEND)
    return policy.POLICIES[weighs]


EMPTY = Catalogue(revision=0, by_key={}, weighs={})


def parse(data: object, source: str = "<catalogue>") -> CatalogueSpec:
  """Checks a loaded catalogue file; raises `errors.SettingsError`."""
  return settings.parse(data, CatalogueSpec, source=source)


def build(revision: int, spec: CatalogueSpec) -> Catalogue:
  """Returns the in-force form of `spec` at `revision`."""
  return Catalogue(
      revision,
      {e.api_key: e for e in spec.entries},
      {c.name: c.weighs for c in spec.customers},
  )
