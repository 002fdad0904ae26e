"""Compares how a large fleet places streams, over seeded days in virtual time."""

import concurrent.futures
import json
import pathlib
import statistics
from typing import NamedTuple

from mustardfall.bench.virtual import engines

DAYS = {
    "calm": engines.Day(),
    "slow engines": engines.Day(slow=7),
    "hot prefix": engines.Day(hot=0.3),
}
"""The days that are played, by name."""


class Job(NamedTuple):
  """One day to play with one policy."""

  policy: str
  day: str
  seed: int


class Played(NamedTuple):
  """What came of a job."""

  job: Job
  result: engines.Result


def run(policies: list[str], seeds: range, workers: int) -> list[Played]:
  """Plays each day with each policy on all seeds."""
  jobs = [
      Job(policy, day, seed)
      for policy in policies
      for day in DAYS
      for seed in seeds
  ]
  with concurrent.futures.ProcessPoolExecutor(workers) as pool:
    return list(pool.map(_play, jobs))


def _play(job: Job) -> Played:
  player = engines.Simulation(DAYS[job.day], job.policy, job.seed)
  return Played(job, player.run())


def _figures(result: engines.Result) -> dict[str, float]:
  """Returns a result as one table of named figures."""
  figures = {f"worth {kind}": part for kind, part in result.worth.items()}
  figures["worth largest"] = result.largest
  figures |= {f"late {kind}": part for kind, part in result.late.items()}
  figures |= {f"p99 {kind} s": time for kind, time in result.p99_s.items()}
  figures["read again"] = result.read_again
  figures["datagrams/s"] = result.messages_per_s
  return figures


def add_up(played: list[Played]) -> dict[str, dict[str, tuple[float, float]]]:
  """Returns each figure's mean and standard error, by day and policy."""
  groups: dict[str, list[dict[str, float]]] = {}
  for job, result in played:
    groups.setdefault(f"{job.day}: {job.policy}", []).append(_figures(result))
  return {
      group: {name: _mean([row[name] for row in rows]) for name in rows[0]}
      for group, rows in groups.items()
  }


def _mean(values: list[float]) -> tuple[float, float]:
  spread = statistics.stdev(values) if len(values) > 1 else 0.0
  return statistics.fmean(values), spread / len(values) ** 0.5


def to_table(played: list[Played]) -> str:
  """Returns the figures as a Markdown table, one line a day and policy."""
  found = add_up(played)
  names = list(next(iter(found.values())))
  lines = ["| day: policy | " + " | ".join(names) + " |"]
  lines.append("|---" * (len(names) + 1) + "|")
  for group, figures in found.items():
    cells = [f"{mean:.3f} ± {error:.3f}" for mean, error in figures.values()]
    lines.append(f"| {group} | " + " | ".join(cells) + " |")
  return "\n".join(lines)


def write(played: list[Played], folder: pathlib.Path) -> list[pathlib.Path]:
  """Writes the figures of each day and a table; returns the files."""
  folder.mkdir(parents=True, exist_ok=True)
  figures = folder / "figures.json"
  rows = [{**job._asdict(), **_figures(result)} for job, result in played]
  figures.write_text(json.dumps(rows, indent=1))
  table = folder / "table.md"
  table.write_text(to_table(played) + "\n")
  return [figures, table]
