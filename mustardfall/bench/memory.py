"""Measures the memory per row of a router's tables with tracemalloc.

Prints the bytes per catalogue entry and per allotment. These two tables grow
with the size of the catalogue and the number of budgets in use.
"""

import json
import tracemalloc

from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.catalogue import model
from mustardfall.catalogue import table as catalogue_table

_ROW_COUNT = 100_000


def _entries(n: int) -> list[model.EntrySpec]:
  return [
      model.EntrySpec(
          name=f"customer-team{i}-entry",
          customer="customer",
          team=f"team{i % 890}",
          klass="urgent" if i % 2 else "deferrable",
          api_key=f"sk-{i:012d}-abcdefghijklmnop",
          model="appraisal",
          tokens=100_000,
      )
      for i in range(n)
  ]


def measure(n: int = _ROW_COUNT) -> dict[str, float]:
  """Returns bytes per catalogue entry and per allotment row."""
  tracemalloc.start()
  base = tracemalloc.get_traced_memory()[0]
  catalogue = catalogue_table.Table()
  catalogue.replace(1, _entries(n), catalogue_table.NO_HEAD)
  per_entry = (tracemalloc.get_traced_memory()[0] - base) / n
  table = allotment.Table("router-1", settings.Allotment())
  base = tracemalloc.get_traced_memory()[0]
  for i in range(n):
    table.add(f"budget-{i}", table.new_id(), 5_000, 0.0)
    table.reserve(f"budget-{i}", 100)
  per_row = (tracemalloc.get_traced_memory()[0] - base) / n
  tracemalloc.stop()
  del catalogue
  return {
      "bytes_per_catalogue_entry": round(per_entry),
      "bytes_per_allotment": round(per_row),
  }


if __name__ == "__main__":
  print(json.dumps(measure()))
