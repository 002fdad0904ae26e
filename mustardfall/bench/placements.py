"""Compares policies of placing requests in a large fleet, in virtual time."""

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
"""The simulated days, by name."""


class Job(NamedTuple):
  """One simulation: a day, a policy and a seed."""

  policy: str
  day: str
  seed: int


class Outcome(NamedTuple):
  """The result of a job."""

  job: Job
  result: engines.Result


def run(policies: list[str], seeds: range, workers: int) -> list[Outcome]:
  """Simulates each day with each policy and seed."""
  jobs = [
      Job(policy, day, seed)
      for policy in policies
      for day in DAYS
      for seed in seeds
  ]
  with concurrent.futures.ProcessPoolExecutor(workers) as pool:
    return list(pool.map(_simulate, jobs))


def _simulate(job: Job) -> Outcome:
  simulation = engines.Simulation(DAYS[job.day], job.policy, job.seed)
  return Outcome(job, simulation.run())


def _figures(result: engines.Result) -> dict[str, float]:
  """Returns the figures of a result by name."""
  figures = {f"worth {kind}": part for kind, part in result.worth.items()}
  figures["worth largest"] = result.largest
  figures |= {f"late {kind}": part for kind, part in result.late.items()}
  figures |= {f"p99 {kind} s": time for kind, time in result.p99_s.items()}
  figures["read again"] = result.read_again
  figures["refused"] = result.refused
  figures["datagrams/s"] = result.messages_per_s
  return figures


def summarize(
    outcomes: list[Outcome],
) -> dict[str, dict[str, tuple[float, float]]]:
  """Returns each figure's mean and standard error, by day and policy."""
  groups: dict[str, list[dict[str, float]]] = {}
  for job, result in outcomes:
    groups.setdefault(f"{job.day}: {job.policy}", []).append(_figures(result))
  return {
      group: {
          name: _mean_and_error([row[name] for row in rows]) for name in rows[0]
      }
      for group, rows in groups.items()
  }


def _mean_and_error(values: list[float]) -> tuple[float, float]:
  deviation = statistics.stdev(values) if len(values) > 1 else 0.0
  return statistics.fmean(values), deviation / len(values) ** 0.5


def to_table(outcomes: list[Outcome]) -> str:
  """Returns the figures as a Markdown table, one row per day and policy."""
  found = summarize(outcomes)
  names = list(next(iter(found.values())))
  lines = ["| day: policy | " + " | ".join(names) + " |"]
  lines.append("|---" * (len(names) + 1) + "|")
  for group, figures in found.items():
    cells = [f"{mean:.3f} ± {error:.3f}" for mean, error in figures.values()]
    lines.append(f"| {group} | " + " | ".join(cells) + " |")
  return "\n".join(lines)


def write(outcomes: list[Outcome], folder: pathlib.Path) -> list[pathlib.Path]:
  """Writes the figures of all jobs and a table; returns the files' paths."""
  folder.mkdir(parents=True, exist_ok=True)
  figures = folder / "figures.json"
  rows = [{**job._asdict(), **_figures(result)} for job, result in outcomes]
  figures.write_text(json.dumps(rows, indent=1))
  table = folder / "table.md"
  table.write_text(to_table(outcomes) + "\n")
  return [figures, table]
