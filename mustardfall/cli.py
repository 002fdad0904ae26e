"""The `mustardfall` command: daemons, stand-ins and operator commands."""

import json
import os
import pathlib
import sys
import uuid

import anyio
import click
import yaml

from mustardfall import errors
from mustardfall import settings
from mustardfall.budget import ledger
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from mustardfall.kv import client as kv_client
from mustardfall.util import logging as log_setup

_KV_DEFAULT = os.environ.get("MUSTARDFALL_KV", "http://127.0.0.1:2379")
_kv_option = click.option(
    "--kv",
    "kv_url",
    default=_KV_DEFAULT,
    show_default=True,
    help="URL of the KV service (or set MUSTARDFALL_KV).",
)


def _load(path: str, kind: type):
  try:
    return settings.load(path, kind)
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


def _standin(name: str, kind: type, module: str) -> None:
  @standin.command(name=name)
  @click.option("--config", "path", required=True, type=click.Path(exists=True))
  def _command(path: str) -> None:
    import importlib  # noqa: PLC0415

    config = _load(path, kind)
    log_setup.setup(f"standin:{name}", config.log_level)
    anyio.run(importlib.import_module(module).run, config)

  _command.__doc__ = f"Runs the {name} stand-in."


_standin("kv", settings.KvStandin, "mustardfall.standins.kv")
_standin("hosts", settings.HostsStandin, "mustardfall.standins.hosts")
_standin("engine", settings.EngineStandin, "mustardfall.standins.engine")
_standin("service", settings.ServiceStandin, "mustardfall.standins.service")


async def _with_kv(kv_url: str, fn):
  kv = kv_client.Client(kv_url, "operator")
  try:
    return await fn(kv)
  finally:
    await kv.close()


@main.group()
def catalogue() -> None:
  """Reads and changes the catalogue."""


@catalogue.command(name="apply")
@click.argument("path", type=click.Path(exists=True))
@click.option(
    "--only",
    is_flag=True,
    help="Leave what the file does not name alone.",
)
@_kv_option
def catalogue_apply(path: str, only: bool, kv_url: str) -> None:
  """Applies a catalogue file; a lost race is reported, not overwritten."""
  with open(path, encoding="utf-8") as f:
    try:
      spec = model.parse(yaml.safe_load(f), source=path)
    except errors.SettingsError as exc:
      raise click.ClickException(str(exc)) from exc
  try:
    revision = anyio.run(
        _with_kv, kv_url, lambda kv: store.apply(kv, spec, only)
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
  """Prints the catalogue in force, with its revision as `base`."""
  revision, spec = anyio.run(_with_kv, kv_url, store.read)
  if spec is None:
    raise click.ClickException("no catalogue")
  data = spec.model_dump(mode="json", by_alias=True)
  data["base"] = revision
  click.echo(yaml.safe_dump(data, sort_keys=False))


@main.group()
def budget() -> None:
  """Reads and tops up budgets."""


@budget.command(name="show")
@click.argument("name")
@_kv_option
def budget_show(name: str, kv_url: str) -> None:
  """Prints a budget's ledger and headroom."""
  found = anyio.run(_with_kv, kv_url, lambda kv: ledger.read(kv, name))
  if found is None:
    raise click.ClickException(f"no budget {name}")
  sums = {"headroom": ledger.headroom(found), "lost_sum": ledger.lost(found)}
  click.echo(json.dumps({**found, **sums}))


@budget.command(name="top-up")
@click.argument("name")
@click.argument("tokens", type=click.IntRange(min=1))
@click.option(
    "--op", default=None, help="Op id; a retry with the same id is a no-op."
)
@_kv_option
def budget_top_up(name: str, tokens: int, op: str | None, kv_url: str) -> None:
  """Adds TOKENS to budget NAME, exactly once."""
  op = op or f"topup:{uuid.uuid4().hex}"
  try:
    after = anyio.run(
        _with_kv,
        kv_url,
        lambda kv: ledger.write(kv, name, ledger.TopUp(tokens, op)),
    )
  except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
    raise click.ClickException(
        f"not known to be applied: {exc}; retry with --op {op}"
    ) from exc
  if after is None:
    raise click.ClickException(f"no budget {name}")
  click.echo(json.dumps({"op": op, "limit": after["limit"]}))


@main.command()
@click.option("--requests", "count", default=240, show_default=True)
@click.option("--seed", default=7, show_default=True)
@click.option(
    "--keep", is_flag=True, help="Leave the fleet up until Ctrl-C, for trying."
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
    help="Run only these (repeatable); the default is all.",
)
@click.option("--list", "list_only", is_flag=True, help="List scenarios.")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--seed", default=7, show_default=True)
@click.option(
    "--slopes",
    default="",
    help="Also measure the capacity slopes at these router counts (3,12,24).",
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
  """Runs fault and load scenarios on real processes; writes a report."""
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
  """Plays many days in virtual time to compare policies."""


@experiment.command(name="budgets")
@click.option(
    "--deployed",
    default="deploy/router.yaml",
    show_default=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Settings that every policy starts from.",
)
@click.option(
    "--policies",
    multiple=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="YAML files laid over them, one a policy (repeatable).",
)
@click.option("--seeds", default=200, show_default=True)
@click.option("--first-seed", default=0, show_default=True)
@click.option(
    "--days",
    "days_file",
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Plays the days of this file, not drawn ones.",
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
  """Prints false refusals, lost tokens and store calls per policy."""
  from mustardfall.bench import experiment as experiment_lib  # noqa: PLC0415
  from mustardfall.bench.virtual import days as days_lib  # noqa: PLC0415

  configs = {
      path.stem: experiment_lib.read_policy(deployed, path) for path in policies
  } or {"deployed": experiment_lib.read_policy(deployed, None)}
  numbers = range(first_seed, first_seed + seeds)
  if days_file is None:
    played = [(days_lib.draw(seed), seed) for seed in numbers]
  else:
    found = days_lib.load(days_file)
    played = [(day, seed) for seed in numbers for day in found]
  jobs = [
      experiment_lib.Job(name, config, day, seed)
      for name, config in configs.items()
      for day, seed in played
  ]
  results = experiment_lib.run(jobs, workers, lambda _: None)
  if report is not None:
    for path in experiment_lib.write(results, report):
      click.echo(f"written: {path}", err=True)
  click.echo(experiment_lib.to_table(results))
  if any(one.result.overspend for one in results):
    raise click.ClickException("a budget was overspent")


@experiment.command(name="placement")
@click.option(
    "--policies",
    multiple=True,
    default=("hashed", "two", "sampled", "tracked"),
    show_default=True,
    help="How endpoints are chosen (repeatable).",
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
  """Prints worth, late first tokens and messages of a large fleet."""
  from mustardfall.bench import placements  # noqa: PLC0415
  from mustardfall.bench.virtual import engines  # noqa: PLC0415

  unknown = set(policies) - set(engines.POLICIES)
  if unknown:
    raise click.ClickException(f"no such policy: {', '.join(sorted(unknown))}")
  numbers = range(first_seed, first_seed + seeds)
  played = placements.run(list(policies), numbers, workers)
  if report is not None:
    for path in placements.write(played, report):
      click.echo(f"written: {path}", err=True)
  click.echo(placements.to_table(played))


if __name__ == "__main__":
  main()
