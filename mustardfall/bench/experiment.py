"""Compares budget policies over many days in virtual time.

A policy is a file of router settings that override those of the deployment.
All policies are simulated on the same days with the same seeds, so that
differences between their results come from the policies and not the days.
"""

import collections
from collections.abc import Callable, Iterable, Mapping
import concurrent.futures
import json
import pathlib
import statistics
from typing import Any, NamedTuple

import yaml

from mustardfall import settings
from mustardfall.bench.virtual import days
from mustardfall.bench.virtual import simulation

_UNUSED_ADDRESS = {"port": 0}
"""Placeholder for addresses, which the simulation does not use."""


class Job(NamedTuple):
  """One simulation: a day, a policy and a seed."""

  policy: str
  config: settings.Router
  day: days.Day
  seed: int


class Outcome(NamedTuple):
  """The result of a job."""

  policy: str
  day: days.Day
  seed: int
  result: simulation.Result


class Figure(NamedTuple):
  """A mean over days and its standard error."""

  mean: float
  error: float


def read_policy(
    deployed: pathlib.Path, path: pathlib.Path | None
) -> settings.Router:
  """Returns a router's settings with those of a policy applied.

  Args:
    deployed: the YAML settings of the deployment.
    path: the policy's YAML settings, or None for the deployed ones.
  """
  fields = yaml.safe_load(deployed.read_text())
  over = yaml.safe_load(path.read_text()) if path is not None else None
  for section, values in (over or {}).items():
    merge = isinstance(values, dict) and isinstance(fields.get(section), dict)
    fields[section] = {**fields[section], **values} if merge else values
  addresses = {
      "name": "router",
      "datacentre": "dc",
      "listen": _UNUSED_ADDRESS,
      "peer_listen": _UNUSED_ADDRESS,
      "kv_url": "",
      "hosts_url": "",
  }
  return settings.parse({**addresses, **fields}, settings.Router, str(path))


def run(
    jobs: Iterable[Job], workers: int, on_outcome: Callable[[Outcome], None]
) -> list[Outcome]:
  """Runs all jobs on `workers` processes; calls `on_outcome` for each."""
  outcomes = []
  with concurrent.futures.ProcessPoolExecutor(workers) as pool:
    for outcome in pool.map(_simulate, jobs):
      on_outcome(outcome)
      outcomes.append(outcome)
  return outcomes


def _simulate(job: Job) -> Outcome:
  result = simulation.simulate(job.day, job.config, job.seed)
  return Outcome(job.policy, job.day, job.seed, result)


_METRICS: dict[str, Callable[[simulation.Result], float]] = {
    "refused %": lambda r: 100 * r.refused / r.requests,
    "falsely %": lambda r: 100 * r.falsely / r.requests,
    "worst team served %": lambda r: 100 * r.worst_team_share,
    "of it cut %": lambda r: 100 * r.falsely_cut / r.requests,
    "turned back %": lambda r: 100 * r.turned_back / r.requests,
    "lost %": lambda r: 100 * r.lost,
    "overspend": lambda r: float(r.overspend),
    "store calls": lambda r: priced_calls(r.calls),
    "writes": lambda r: float(r.calls.get("write", 0)),
}
_PRICES = {"keep": 0.1}
"""Calls that one call of a kind counts as, where that is not 1."""


def priced_calls(calls: Mapping[str, int]) -> float:
  """Returns the number of calls; a renewal of a lease counts as a tenth."""
  return sum(count * _PRICES.get(kind, 1.0) for kind, count in calls.items())


def summarize(outcomes: Iterable[Outcome]) -> dict[str, Figure]:
  """Returns each metric's mean and standard error over days."""
  results = [outcome.result for outcome in outcomes]
  found = {}
  for name, metric in _METRICS.items():
    values = [metric(result) for result in results]
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    found[name] = Figure(
        statistics.fmean(values), deviation / max(1, len(values)) ** 0.5
    )
  return found


def summarize_by_event(outcomes: list[Outcome]) -> dict[str, dict[str, Figure]]:
  """Returns, for each kind of event, the metrics of the days that have it."""
  kinds = sorted({e.kind for outcome in outcomes for e in outcome.day.events})
  return {
      kind: summarize(
          outcome
          for outcome in outcomes
          if kind in {event.kind for event in outcome.day.events}
      )
      for kind in kinds
  }


_BREAKDOWNS = {
    "false refusals": "causes",
    "store calls": "calls",
    "failed store calls": "failed_calls",
    "transactions": "transactions",
}
"""Fields of a result that are listed below the table, by title."""


def to_table(outcomes: list[Outcome]) -> str:
  """Returns the metrics of each policy as a Markdown table."""
  policies = dict.fromkeys(outcome.policy for outcome in outcomes)
  names = list(_METRICS)
  lines = ["| policy | " + " | ".join(names) + " |"]
  lines.append("|---" * (len(names) + 1) + "|")
  for policy in policies:
    figures = summarize(
        outcome for outcome in outcomes if outcome.policy == policy
    )
    cells = [
        f"{figure.mean:.2f} ± {figure.error:.2f}" for figure in figures.values()
    ]
    lines.append(f"| {policy} | " + " | ".join(cells) + " |")
  for policy in policies:
    results = [
        outcome.result for outcome in outcomes if outcome.policy == policy
    ]
    for title, field in _BREAKDOWNS.items():
      means = _format_means([getattr(result, field) for result in results])
      lines.append(f"\n{policy}, {title}: {means}")
  return "\n".join(lines)


def _format_means(counts: list[dict[str, int]]) -> str:
  """Returns the mean count of each key per day, the largest first."""
  total: collections.Counter[str] = collections.Counter()
  for count in counts:
    total.update(count)
  return ", ".join(
      f"{key} {count / len(counts):.1f}" for key, count in total.most_common()
  )


def write(outcomes: list[Outcome], folder: pathlib.Path) -> list[pathlib.Path]:
  """Writes the figures, a table and, with matplotlib, plots.

  Returns the paths of the files.
  """
  folder.mkdir(parents=True, exist_ok=True)
  figures = folder / "figures.json"
  figures.write_text(json.dumps(_figures(outcomes), indent=1))
  table = folder / "table.md"
  table.write_text(to_table(outcomes) + "\n")
  return [figures, table, *_plot(outcomes, folder)]


def _figures(outcomes: list[Outcome]) -> dict[str, Any]:
  policies = dict.fromkeys(outcome.policy for outcome in outcomes)
  return {
      policy: {
          "all": summarize(
              own_outcomes := [p for p in outcomes if p.policy == policy]
          ),
          "by trouble": summarize_by_event(own_outcomes),
          "days": [
              {"day": p.day.name, "seed": p.seed, **p.result._asdict()}
              for p in own_outcomes
          ],
      }
      for policy in policies
  }


def _plot(outcomes: list[Outcome], folder: pathlib.Path) -> list[pathlib.Path]:
  """Plots false refusals by second and by kind of event, for each policy."""
  try:
    from matplotlib import figure  # noqa: PLC0415  only for reports
  except ImportError:
    return []
  policies = dict.fromkeys(outcome.policy for outcome in outcomes)
  plot = figure.Figure(figsize=(9, 7), layout="constrained")
  over_time, per_kind = plot.subplots(2, 1)
  for number, policy in enumerate(policies):
    own_outcomes = [outcome for outcome in outcomes if outcome.policy == policy]
    last = int(max(outcome.day.traffic_s for outcome in own_outcomes))
    means = [
        sum(outcome.result.seconds.get(second, 0) for outcome in own_outcomes)
        / len(own_outcomes)
        for second in range(last)
    ]
    over_time.plot(range(last), means, label=policy)
    kinds = summarize_by_event(own_outcomes)
    places = [
        place + 0.8 * number / len(policies) for place in range(len(kinds))
    ]
    heights = [figures["falsely %"].mean for figures in kinds.values()]
    errors = [figures["falsely %"].error for figures in kinds.values()]
    width = 0.8 / len(policies)
    per_kind.bar(places, heights, width, yerr=errors, label=policy)
    per_kind.set_xticks(range(len(kinds)), list(kinds))
  over_time.set_xlabel("time (s)")
  over_time.set_ylabel("false refusals per second")
  over_time.legend()
  per_kind.set_ylabel("false refusals (% of requests, on days with the event)")
  path = folder / "refusals.png"
  plot.savefig(path)
  return [path]
