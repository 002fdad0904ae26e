"""The report of a bench run: ratios to the baselines, a table and a plot."""

import json
import pathlib

_BASELINES = {
    "calm": ("calm_router_grants", "calm_per_request"),
    "tight": ("tight_router_grants", "tight_per_request"),
    "router_kill": ("router_kill_router_grants",),
    "router_freeze": ("router_freeze_router_grants",),
    "overload": ("overload_fifo", "overload_engine_queue"),
}
_WEIGHTS = {
    # customer: (weight of overspend, weight of false refusals)
    "mahakama": (0.8, 0.2),
    "retourhuis": (0.2, 0.8),
}
"""Weights of the two costs, overspend and false refusals, for each customer."""


def add_ratios(runs: dict[str, dict]) -> dict[str, dict]:
  """Returns the ratios of scenarios to their baselines, if both were run."""
  out = {}
  for design, baselines in _BASELINES.items():
    for baseline in baselines:
      if design in runs and baseline in runs:
        out[f"{design} / {baseline}"] = _ratios(runs[design], runs[baseline])
  return out


def _ratios(design: dict, baseline: dict) -> dict:
  pairs = {
      key: (design[key], baseline[key])
      for key in (
          "kv_writes_per_request",
          "kv_reads_per_request",
          "router_cpu_ms_per_request",
      )
  }
  for group in design["groups"]:
    pairs[f"{group} p95 ttft"] = (
        design["groups"][group]["ttft_ms"]["p95"],
        baseline["groups"].get(group, {}).get("ttft_ms", {}).get("p95"),
    )
  return {key: round(a / b, 3) for key, (a, b) in pairs.items() if a and b}


def weigh(run: dict) -> dict[str, float]:
  """Returns each customer's weighted cost; lower is better.

  Overspend is a share of the tokens used, false refusals are a share of the
  requests.
  """
  costs = {}
  for customer, (overspend_w, refusal_w) in _WEIGHTS.items():
    groups = [g for n, g in run["groups"].items() if n.startswith(customer)]
    requests = sum(g["requests"] for g in groups) or 1
    tokens = sum(g["tokens"] for g in groups) or 1
    overspend = run["overspend_tokens"].get(customer, 0) / tokens
    refused = sum(g["false_refusals"] for g in groups) / requests
    costs[customer] = round(overspend_w * overspend + refusal_w * refused, 5)
  return costs


def to_table(runs: dict[str, dict]) -> str:
  """Returns a text table with a row per scenario, customer and class."""
  head = (
      f"{'scenario':24}{'tenant/class':24}{'req':>5}{'done':>6}{'refus':>6}"
      f"{'false':>6}{'shed':>6}{'maybe':>6}{'over':>6}{'p50':>8}{'p95':>9}"
      f"{'p99':>9}{'w/req':>7}{'r/req':>7}"
  )
  lines = [head]
  for name, run in runs.items():
    for group, g in run["groups"].items():
      customer = group.partition("/")[0]
      ttft = g["ttft_ms"]
      lines.append(
          f"{name:24}{group:24}{g['requests']:5}{g.get('completed', 0):6}"
          f"{g.get('refused', 0):6}{g['false_refusals']:6}"
          f"{g.get('shed', 0):6}{g.get('may_have_run', 0):6}"
          f"{run['overspend_tokens'].get(customer, 0):6}"
          f"{ttft['p50'] or 0:8.0f}{ttft['p95'] or 0:9.0f}"
          f"{ttft['p99'] or 0:9.0f}{run['kv_writes_per_request']:7.3f}"
          f"{run['kv_reads_per_request']:7.3f}"
      )
  return "\n".join(lines)


def write(report: dict, folder: pathlib.Path) -> list[pathlib.Path]:
  """Writes report.json, report.txt and, with matplotlib, report.png."""
  folder.mkdir(parents=True, exist_ok=True)
  written = [folder / "report.json", folder / "report.txt"]
  written[0].write_text(json.dumps(report, indent=1), encoding="utf-8")
  written[1].write_text(to_table(report["runs"]) + "\n", encoding="utf-8")
  try:
    # Optional dependency (`pip install mustardfall[bench]`), as routers do
    # not need it.
    from matplotlib import figure  # noqa: PLC0415
  except ImportError:
    return written
  written.append(folder / "report.png")
  _plot(report["runs"], figure.Figure(figsize=(12, 9))).savefig(written[-1])
  return written


def _plot(runs: dict[str, dict], fig):
  """Plots p95 time to first token, false refusals and KV writes by scenario."""
  groups = sorted({g for run in runs.values() for g in run["groups"]})
  names = list(runs)
  axes = fig.subplots(3, 1, sharex=True)
  width = 0.8 / max(1, len(groups))
  for i, group in enumerate(groups):
    bar_positions = [x + i * width for x in range(len(names))]
    found = [runs[n]["groups"].get(group) for n in names]
    p95 = [(g["ttft_ms"]["p95"] or 0) if g else 0 for g in found]
    false = [g["false_refusals"] / g["requests"] if g else 0 for g in found]
    axes[0].bar(bar_positions, p95, width, label=group)
    axes[1].bar(bar_positions, false, width, label=group)
  axes[0].set_yscale("log")
  axes[0].set_ylabel("p95 time to first token (ms)")
  axes[0].legend(fontsize=8, ncols=4)
  axes[1].set_ylabel("false refusals (share of requests)")
  middle = [x + 0.4 - width / 2 for x in range(len(names))]
  axes[2].bar(middle, [runs[n]["kv_writes_per_request"] for n in names], 0.6)
  axes[2].set_ylabel("KV writes per request")
  axes[2].set_xticks(middle, names, rotation=40, ha="right", fontsize=8)
  fig.tight_layout()
  return fig
