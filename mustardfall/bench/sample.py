"""The embedded sample catalogue: both customers of the brief, 10 teams each."""

from mustardfall.budget import policy
from mustardfall.catalogue import model

_CUSTOMERS = {
    # customer: (model, classes of its teams in turn)
    "retourhuis": ("appraisal", ("deferrable", "urgent")),
    "mahakama": ("assistant", ("urgent", "deferrable")),
}
_WEIGHS = {
    "retourhuis": policy.Preference.FALSE_REFUSALS,
    "mahakama": policy.Preference.OVERSPEND,
}
TEAMS = 10


def catalogue(tokens: int = 200_000, small: int = 600) -> model.CatalogueSpec:
  """Returns the sample catalogue.

  Args:
    tokens: each team's budget.
    small: the budget of each customer's last team, kept small so that
      the demo meets refusals and proves they do not overspend.
  """
  entries = []
  for customer, (model_name, classes) in _CUSTOMERS.items():
    for team in range(1, TEAMS + 1):
      entries.append(
          model.EntrySpec(
              name=f"{customer}-t{team}",
              customer=customer,
              team=f"t{team}",
              klass=classes[team % 2],
              api_key=f"sk-{customer}-t{team}-demo",
              model=model_name,
              tokens=small if team == TEAMS else tokens,
          )
      )
  customers = [
      model.CustomerSpec(name=name, weighs=weighs)
      for name, weighs in _WEIGHS.items()
  ]
  return model.CatalogueSpec(customers=customers, entries=entries)
