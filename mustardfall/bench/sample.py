"""The built-in sample catalogue: two customers with ten teams each."""

from mustardfall.budget import policy
from mustardfall.catalogue import model

_MODEL_AND_CLASSES = {
    # customer: (model, classes that its teams get alternately)
    "retourhuis": ("appraisal", ("deferrable", "urgent")),
    "mahakama": ("assistant", ("urgent", "deferrable")),
}
_WEIGHS_BY_CUSTOMER = {
    "retourhuis": policy.Preference.FALSE_REFUSALS,
    "mahakama": policy.Preference.OVERSPEND,
}
TEAMS = 10


def catalogue(tokens: int = 200_000, small: int = 600) -> model.CatalogueSpec:
  """Returns the sample catalogue.

  Args:
    tokens: the limit of each team's budget.
    small: the limit of the budget of each customer's last team. It is small
      so that the demo includes refusals and shows that no tokens are
      overspent.
  """
  entries = []
  for customer, (model_name, classes) in _MODEL_AND_CLASSES.items():
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
      for name, weighs in _WEIGHS_BY_CUSTOMER.items()
  ]
  return model.CatalogueSpec(customers=customers, entries=entries)
