"""The `mustardfall` command: daemons, stand-ins, operator and test commands."""

import datetime
import json
import os
import pathlib
import sys
from typing import TextIO
import uuid

import anyio
import click
import yaml

from mustardfall import errors
from mustardfall import settings
from mustardfall.budget import ledger
from mustardfall.budget import whereabouts
from mustardfall.catalogue import evacuations
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client
from mustardfall.proxy import team_outcomes
from mustardfall.util import logging as log_setup

_KV_DEFAULT = os.environ.get("MUSTARDFALL_KV", "http://127.0.0.1:2379")
_kv_option = click.option(
    "--kv",
    "kv_url",
    default=_KV_DEFAULT,
    show_default=True,
    help="URL of the KV service (or set MUSTARDFALL_KV).",
)


def _load(path: str, settings_class: type):
  try:
    return settings.load(path, settings_class)
  except errors.SettingsError as exc:
    raise click.ClickException(str(exc)) from exc


@click.group()
def main() -> None:
  """mustardfall: a router fleet for prepaid token budgets."""


@main.command()
@click.option("--config", "path", required=True, type=click.Path(exists=True))
def router(path: str) -> None:
  """Runs the entry-host router daemon."""
  from mustardfall.daemons import router as daemon  # noqa: PLC0415

  config = _load(path, settings.Router)
  log_setup.setup(f"router:{config.name}", config.log_level)
  anyio.run(daemon.run, config)


@main.group()
def standin() -> None:
  """Runs a stand-in for one of the platform's systems."""


def _standin(name: str, settings_class: type, module: str) -> None:
  @standin.command(name=name)
  @click.option("--config", "path", required=True, type=click.Path(exists=True))
  def _command(path: str) -> None:
    import importlib  # noqa: PLC0415

    config = _load(path, settings_class)
    log_setup.setup(f"standin:{name}", config.log_level)
    anyio.run(importlib.import_module(module).run, config)

  _command.__doc__ = f"Runs the {name} stand-in."


_standin("kv", settings.KvStandin, "mustardfall.standins.kv")
_standin("hosts", settings.HostsStandin, "mustardfall.standins.hosts")
_standin("engine", settings.EngineStandin, "mustardfall.standins.engine")
_standin("service", settings.ServiceStandin, "mustardfall.standins.service")


async def _call_with_kv(kv_url: str, operation):
  kv = kv_client.Client(kv_url, "operator")
  try:
    return await operation(kv)
  finally:
    await kv.close()


@main.group()
def catalogue() -> None:
  """Shows and changes the catalogue."""


@catalogue.command(name="apply")
@click.argument("path", type=click.Path(exists=True))
@click.option(
    "--only",
    is_flag=True,
    help="Keep entries that the file does not name.",
)
@_kv_option
def catalogue_apply(path: str, only: bool, kv_url: str) -> None:
  """Applies a catalogue file; fails if the catalogue was changed meanwhile."""
  with open(path, encoding="utf-8") as f:
    try:
      new_catalogue = model.parse(yaml.safe_load(f), source=path)
    except errors.SettingsError as exc:
      raise click.ClickException(str(exc)) from exc
  try:
    revision = anyio.run(
        _call_with_kv, kv_url, lambda kv: store.apply(kv, new_catalogue, only)
    )
  except errors.CatalogueConflictError as exc:
    raise click.ClickException(
        f"not applied: {exc}; re-read and edit again"
    ) from exc
  except errors.KvUnavailableError as exc:
    raise click.ClickException(f"not applied: KV unavailable: {exc}") from exc
  except errors.KvUnknownError as exc:
    raise click.ClickException(
        f"may be applied: {exc}; run 'catalogue show'"
    ) from exc
  click.echo(json.dumps({"applied": True, "revision": revision}))


@catalogue.command(name="show")
@_kv_option
def catalogue_show(kv_url: str) -> None:
  """Prints the current catalogue, with its revision as `base`."""
  revision, current = anyio.run(_call_with_kv, kv_url, store.read)
  if current is None:
    raise click.ClickException(f"no catalogue in the KV at {kv_url}")
  data = current.model_dump(mode="json", by_alias=True)
  data["base"] = revision
  click.echo(yaml.safe_dump(data, sort_keys=False))


@catalogue.command(name="evacuate")
@click.argument("datacentre")
@click.option(
    "--back", is_flag=True, help="Take the data centre back into service."
)
@_kv_option
def catalogue_evacuate(datacentre: str, back: bool, kv_url: str) -> None:
  """Stops sending requests to the endpoints of DATACENTRE.

  Requests in flight there continue, and its hosts go on serving callers.
  """
  change = evacuations.take_back if back else evacuations.evacuate
  try:
    changed = anyio.run(
        _call_with_kv, kv_url, lambda kv: change(kv, datacentre)
    )
    evacuated = anyio.run(_call_with_kv, kv_url, evacuations.read)
  except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
    raise click.ClickException(
        f"{datacentre}: not confirmed: {exc}; repeat the command"
    ) from exc
  if back and not changed:
    raise click.ClickException(f"{datacentre} is not evacuated")
  click.echo(json.dumps({"evacuated": sorted(evacuated)}))


@main.group()
def budget() -> None:
  """Shows and tops up budgets."""


@budget.command(name="show")
@click.argument("name")
@_kv_option
def budget_show(name: str, kv_url: str) -> None:
  """Prints a budget's ledger and headroom."""
  budget_ledger = anyio.run(
      _call_with_kv, kv_url, lambda kv: ledger.read(kv, name)
  )
  if budget_ledger is None:
    raise click.ClickException(f"no budget {name}")
  sums = {
      "headroom": ledger.headroom(budget_ledger),
      "lost_sum": ledger.lost(budget_ledger),
  }
  click.echo(json.dumps({**budget_ledger, **sums}))


@budget.command(name="top-up")
@click.argument("name")
@click.argument("tokens", type=click.IntRange(min=1))
@click.option(
    "--op",
    default=None,
    help="Id of the operation; a retry with the same id has no effect.",
)
@_kv_option
def budget_top_up(name: str, tokens: int, op: str | None, kv_url: str) -> None:
  """Adds TOKENS to budget NAME, exactly once."""
  op = op or f"topup:{uuid.uuid4().hex}"
  try:
    updated = anyio.run(
        _call_with_kv,
        kv_url,
        lambda kv: ledger.write(kv, name, ledger.TopUp(tokens, op)),
    )
  except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
    raise click.ClickException(
        f"top-up of {name} is not confirmed: {exc}; retry with --op {op}"
    ) from exc
  if updated is None:
    raise click.ClickException(f"no budget {name}")
  click.echo(json.dumps({"op": op, "limit": updated["limit"]}))


@budget.command(name="where")
@click.argument("name")
@click.argument(
    "logs", nargs=-1, required=True, type=click.File(errors="replace")
)
@click.option(
    "--at",
    type=click.DateTime(["%Y-%m-%d %H:%M:%S", "%Y-%m-%d %H:%M:%S.%f"]),
    help="Moment in the logs' time; default: that of the last line.",
)
def budget_where(
    name: str, logs: tuple[TextIO, ...], at: datetime.datetime | None
) -> None:
  """Prints where the tokens of budget NAME were, from the routers' LOGS."""
  lines = [line for log in logs for line in whereabouts.read_lines(log, name)]
  found = whereabouts.find(lines, at)
  if found is None:
    raise click.ClickException(f"no line of the logs shows budget {name}")
  click.echo(whereabouts.to_table(found))


@main.group()
def requests() -> None:
  """Reports on requests from the routers' logs."""


@requests.command(name="teams")
@click.argument(
    "logs", nargs=-1, required=True, type=click.File(errors="replace")
)
def requests_teams(logs: tuple[TextIO, ...]) -> None:
  """Prints how often each team was served, from the routers' LOGS."""
  responses = (
      response
      for log in logs
      for response in team_outcomes.read_responses(
          pathlib.PurePath(log.name).stem, log
      )
  )
  teams = team_outcomes.count(responses)
  if not teams:
    raise click.ClickException("no line of the logs shows a response")
  click.echo(team_outcomes.to_table(teams))


@main.command()
@click.option("--requests", "count", default=240, show_default=True)
@click.option("--seed", default=7, show_default=True)
@click.option(
    "--keep", is_flag=True, help="Keep the fleet running until Ctrl-C."
)
def demo(count: int, seed: int, keep: bool) -> None:
  """Starts a small fleet on loopback, drives a mixed load, prints a summary."""
  from mustardfall.bench import demo as demo_lib  # noqa: PLC0415

  log_setup.setup("demo", "WARNING")
  summary = anyio.run(demo_lib.run, count, seed, click.echo if keep else None)
  click.echo(json.dumps(summary))
  sys.exit(0 if summary["overspend_tokens"] == 0 else 1)


@main.command()
@click.option(
    "--scenario",
    "names",
    multiple=True,
    help="Scenario to run (repeatable); all by default.",
)
@click.option("--list", "list_only", is_flag=True, help="List scenarios.")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--seed", default=7, show_default=True)
@click.option(
    "--slopes",
    default="",
    help="Also measure how costs grow with these router counts (3,12,24).",
)
@click.option("--out", default="bench-out", show_default=True)
def bench(
    names: tuple[str, ...],
    list_only: bool,
    seconds: float,
    seed: int,
    slopes: str,
    out: str,
) -> None:
  """Runs fault and load scenarios on real processes and writes a report."""
  from mustardfall.bench import report as report_lib  # noqa: PLC0415
  from mustardfall.bench import scenarios  # noqa: PLC0415
  from mustardfall.bench import slopes as slopes_lib  # noqa: PLC0415

  log_setup.setup("bench", "WARNING")
  if list_only:
    click.echo("\n".join(scenarios.SCENARIOS))
    return
  unknown = set(names) - set(scenarios.SCENARIOS)
  if unknown:
    raise click.ClickException(f"no such scenario: {', '.join(unknown)}")
  runs = {}
  for name in names or ([] if slopes else scenarios.SCENARIOS):
    click.echo(f"scenario: {name}", err=True)
    runs[name] = anyio.run(scenarios.run, name, seed, seconds)
    runs[name]["cost"] = report_lib.weigh(runs[name])
  report = {"seed": seed, "seconds": seconds, "runs": runs}
  report["ratios"] = report_lib.add_ratios(runs)
  if slopes:
    sizes = tuple(int(n) for n in slopes.split(","))
    report["slopes"] = anyio.run(slopes_lib.run, sizes)
  for path in report_lib.write(report, pathlib.Path(out)):
    click.echo(f"written: {path}", err=True)
  click.echo(report_lib.to_table(runs))


@main.group()
def experiment() -> None:
  """Simulates many days in virtual time to compare policies."""


@experiment.command(name="budgets")
@click.option(
    "--deployed",
    default="deploy/router.yaml",
    show_default=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Base settings of every policy.",
)
@click.option(
    "--policies",
    multiple=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="YAML file that overrides base settings, one per policy (repeatable).",
)
@click.option("--seeds", default=200, show_default=True)
@click.option("--first-seed", default=0, show_default=True)
@click.option(
    "--days",
    "days_file",
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Simulate the days of this file instead of random ones.",
)
@click.option("--workers", default=4, show_default=True)
@click.option("--report", type=click.Path(path_type=pathlib.Path))
def experiment_budgets(
    deployed: pathlib.Path,
    policies: tuple[pathlib.Path, ...],
    seeds: int,
    first_seed: int,
    days_file: pathlib.Path | None,
    workers: int,
    report: pathlib.Path | None,
) -> None:
  """Prints wrongly refused requests, lost tokens and KV calls per policy."""
  from mustardfall.bench import experiment as experiment_lib  # noqa: PLC0415
  from mustardfall.bench.virtual import days as days_lib  # noqa: PLC0415

  configs = {
      path.stem: experiment_lib.read_policy(deployed, path) for path in policies
  } or {"deployed": experiment_lib.read_policy(deployed, None)}
  seed_range = range(first_seed, first_seed + seeds)
  if days_file is None:
    seeded_days = [(days_lib.draw(seed), seed) for seed in seed_range]
  else:
    days = days_lib.load(days_file)
    seeded_days = [(day, seed) for seed in seed_range for day in days]
  jobs = [
      experiment_lib.Job(name, config, day, seed)
      for name, config in configs.items()
      for day, seed in seeded_days
  ]
  results = experiment_lib.run(jobs, workers, lambda _: None)
  if report is not None:
    for path in experiment_lib.write(results, report):
      click.echo(f"written: {path}", err=True)
  click.echo(experiment_lib.to_table(results))
  if any(outcome.result.overspend for outcome in results):
    raise click.ClickException("at least one simulation overspent a budget")


@experiment.command(name="placement")
@click.option(
    "--policies",
    multiple=True,
    default=("hashed", "two", "sampled", "tracked"),
    show_default=True,
    help="Placement policy to simulate (repeatable).",
)
@click.option("--seeds", default=200, show_default=True)
@click.option("--first-seed", default=0, show_default=True)
@click.option("--workers", default=4, show_default=True)
@click.option("--report", type=click.Path(path_type=pathlib.Path))
def experiment_placement(
    policies: tuple[str, ...],
    seeds: int,
    first_seed: int,
    workers: int,
    report: pathlib.Path | None,
) -> None:
  """Simulates a large fleet; prints worth, late first tokens and messages."""
  from mustardfall.bench import placements  # noqa: PLC0415
  from mustardfall.bench.virtual import engines  # noqa: PLC0415

  unknown = set(policies) - set(engines.POLICIES)
  if unknown:
    raise click.ClickException(f"no such policy: {', '.join(sorted(unknown))}")
  seed_range = range(first_seed, first_seed + seeds)
  results = placements.run(list(policies), seed_range, workers)
  if report is not None:
    for path in placements.write(results, report):
      click.echo(f"written: {path}", err=True)
  click.echo(placements.to_table(results))


if __name__ == "__main__":
  main()
