"""Compares budget policies over many days in virtual time.

A policy is a file of router settings, laid over those of the deployment.
Each is played on the same days with the same seeds, so that two policies
differ by what they do and not by the days they had.
"""

import collections
from collections.abc import Callable, Iterable
import concurrent.futures
import json
import pathlib
import statistics
from typing import Any, NamedTuple

import yaml

from mustardfall import settings
from mustardfall.bench.virtual import days
from mustardfall.bench.virtual import simulation

_ANYWHERE = {"port": 0}
"""Stands for addresses, which a day in virtual time has none of."""


class Job(NamedTuple):
  """One day to play with one policy."""

  policy: str
  config: settings.Router
  day: days.Day
  seed: int


class Played(NamedTuple):
  """What came of a job."""

  policy: str
  day: days.Day
  seed: int
  result: simulation.Result


class Figure(NamedTuple):
  """A mean over days, and its standard error."""

  mean: float
  error: float


def read_policy(
    deployed: pathlib.Path, path: pathlib.Path | None
) -> settings.Router:
  """Returns a router's settings under a policy.

  Args:
    deployed: the YAML settings of the deployment.
    path: YAML settings laid over them; None: as deployed.
  """
  fields = yaml.safe_load(deployed.read_text())
  over = yaml.safe_load(path.read_text()) if path is not None else None
  for section, values in (over or {}).items():
    merge = isinstance(values, dict) and isinstance(fields.get(section), dict)
    fields[section] = {**fields[section], **values} if merge else values
  addresses = {
      "name": "router",
      "datacentre": "dc",
      "listen": _ANYWHERE,
      "peer_listen": _ANYWHERE,
      "kv_url": "",
      "hosts_url": "",
  }
  return settings.parse({**addresses, **fields}, settings.Router, str(path))


def run(
    jobs: Iterable[Job], workers: int, note: Callable[[Played], None]
) -> list[Played]:
  """Plays all jobs on `workers` processes; `note` hears of each."""
  played = []
  with concurrent.futures.ProcessPoolExecutor(workers) as pool:
    for one in pool.map(_play, jobs, chunksize=4):
      note(one)
      played.append(one)
  return played


def _play(job: Job) -> Played:
  result = simulation.simulate(job.day, job.config, job.seed)
  return Played(job.policy, job.day, job.seed, result)


_MEASURES: dict[str, Callable[[simulation.Result], float]] = {
    "refused %": lambda r: 100 * r.refused / r.requests,
    "falsely %": lambda r: 100 * r.falsely / r.requests,
    "of it cut %": lambda r: 100 * r.falsely_cut / r.requests,
    "turned back %": lambda r: 100 * r.turned_back / r.requests,
    "lost %": lambda r: 100 * r.lost,
    "overspend": lambda r: float(r.overspend),
    "store calls": lambda r: float(sum(r.calls.values())),
    "writes": lambda r: float(r.calls.get("write", 0)),
}


def add_up(played: Iterable[Played]) -> dict[str, Figure]:
  """Returns each measure's mean and standard error over days."""
  results = [one.result for one in played]
  found = {}
  for name, measure in _MEASURES.items():
    values = [measure(result) for result in results]
    spread = statistics.stdev(values) if len(values) > 1 else 0.0
    found[name] = Figure(
        statistics.fmean(values), spread / max(1, len(values)) ** 0.5
    )
  return found


def by_trouble(played: list[Played]) -> dict[str, dict[str, Figure]]:
  """Returns the measures over the days that have each kind of trouble."""
  kinds = sorted({e.kind for one in played for e in one.day.events})
  return {
      kind: add_up(
          one
          for one in played
          if kind in {event.kind for event in one.day.events}
      )
      for kind in kinds
  }


def to_table(played: list[Played]) -> str:
  """Returns the measures per policy as a Markdown table."""
  policies = dict.fromkeys(one.policy for one in played)
  names = list(_MEASURES)
  lines = ["| policy | " + " | ".join(names) + " |"]
  lines.append("|---" * (len(names) + 1) + "|")
  for policy in policies:
    figures = add_up(one for one in played if one.policy == policy)
    cells = [
        f"{figure.mean:.2f} ± {figure.error:.2f}" for figure in figures.values()
    ]
    lines.append(f"| {policy} | " + " | ".join(cells) + " |")
  for policy in policies:
    lines.append(f"\n{policy}: " + _causes(played, policy))
  return "\n".join(lines)


def _causes(played: list[Played], policy: str) -> str:
  """Returns false refusals a day by cause, the most frequent first."""
  mine = [one.result for one in played if one.policy == policy]
  total: collections.Counter[str] = collections.Counter()
  for result in mine:
    total.update(result.causes)
  return ", ".join(
      f"{cause} {count / len(mine):.1f}" for cause, count in total.most_common()
  )


def write(played: list[Played], folder: pathlib.Path) -> list[pathlib.Path]:
  """Writes the figures, a table and plots; returns the files."""
  folder.mkdir(parents=True, exist_ok=True)
  figures = folder / "figures.json"
  figures.write_text(json.dumps(_figures(played), indent=1))
  table = folder / "table.md"
  table.write_text(to_table(played) + "\n")
  return [figures, table, *_plot(played, folder)]


def _figures(played: list[Played]) -> dict[str, Any]:
  policies = dict.fromkeys(one.policy for one in played)
  return {
      policy: {
          "all": add_up(mine := [p for p in played if p.policy == policy]),
          "by trouble": by_trouble(mine),
          "days": [
              {"day": p.day.name, "seed": p.seed, **p.result._asdict()}
              for p in mine
          ],
      }
      for policy in policies
  }


def _plot(played: list[Played], folder: pathlib.Path) -> list[pathlib.Path]:
  """Plots false refusals by second and per trouble, one line a policy."""
  try:
    from matplotlib import figure  # noqa: PLC0415  only for reports
  except ImportError:
    return []
  policies = dict.fromkeys(one.policy for one in played)
  drawing = figure.Figure(figsize=(9, 7), layout="constrained")
  over_time, per_kind = drawing.subplots(2, 1)
  for number, policy in enumerate(policies):
    mine = [one for one in played if one.policy == policy]
    last = int(max(one.day.traffic_s for one in mine))
    means = [
        sum(one.result.seconds.get(second, 0) for one in mine) / len(mine)
        for second in range(last)
    ]
    over_time.plot(range(last), means, label=policy)
    kinds = by_trouble(mine)
    places = [
        place + 0.8 * number / len(policies) for place in range(len(kinds))
    ]
    heights = [figures["falsely %"].mean for figures in kinds.values()]
    errors = [figures["falsely %"].error for figures in kinds.values()]
    width = 0.8 / len(policies)
    per_kind.bar(places, heights, width, yerr=errors, label=policy)
    per_kind.set_xticks(range(len(kinds)), list(kinds))
  over_time.set_xlabel("second of the day")
  over_time.set_ylabel("false refusals a second")
  over_time.legend()
  per_kind.set_ylabel("false refusals, % (days with the trouble)")
  path = folder / "refusals.png"
  drawing.savefig(path)
  return [path]
