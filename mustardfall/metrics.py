"""OpenTelemetry instruments of a router, with per-customer, per-class views.

Histograms carry the attributes `customer` and `class`, so that time to
first token and tokens per request can be read for each tenant and
class. The in-memory reader serves them at `GET /admin/metrics`.
"""

from collections.abc import Mapping
from typing import Any

from opentelemetry import metrics as api_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export as sdk_export

_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 5, 10)
"""Bounds around the callers' objectives (0.15 to 0.82 s) and deadlines."""


class Instruments:
  """The meter provider and the instruments of one router."""

  def __init__(self, router: str) -> None:
    self._reader = sdk_export.InMemoryMetricReader()
    self._provider = sdk_metrics.MeterProvider(metric_readers=[self._reader])
    self._meter = meter = self._provider.get_meter(
        "mustardfall.router", attributes={"router": router}
    )
    self.ttft = meter.create_histogram(
        "mustardfall.ttft",
        unit="s",
        description="time to first token",
        explicit_bucket_boundaries_advisory=_SECONDS,
    )
    self.duration = meter.create_histogram(
        "mustardfall.duration",
        unit="s",
        description="time to the whole answer",
        explicit_bucket_boundaries_advisory=_SECONDS,
    )
    self.tokens = meter.create_histogram(
        "mustardfall.tokens",
        unit="{token}",
        description="tokens billed per request",
    )
    self.outcomes = meter.create_counter(
        "mustardfall.requests", description="requests by outcome"
    )
    self.overrun = meter.create_counter(
        "mustardfall.overrun",
        unit="{token}",
        description="tokens that engines generated beyond a reservation",
    )

  def observe_totals(
      self, name: str, unit: str, description: str, totals: Mapping[str, int]
  ) -> None:
    """Serves running totals that are kept by kind elsewhere.

    For what is counted so often that a counter of its own would cost more
    than what it counts.
    """

    def _read(options: api_metrics.CallbackOptions):
      del options
      for kind, total in totals.items():
        yield api_metrics.Observation(total, {"kind": kind})

    self._meter.create_observable_counter(
        name, callbacks=[_read], unit=unit, description=description
    )

  def snapshot(self) -> dict[str, Any]:
    """Returns the current metric data as JSON-ready dicts."""
    data = self._reader.get_metrics_data()
    return data.to_json() if data else "{}"

  def render(self) -> str:
    """Returns the current metric data as Prometheus text."""
    data = self._reader.get_metrics_data()
    lines = []
    for resource in data.resource_metrics if data else ():
      for scope in resource.scope_metrics:
        for metric in scope.metrics:
          lines += _render_metric(metric)
    return "\n".join(lines) + "\n"

  def shutdown(self) -> None:
    """Stops the meter provider."""
    self._provider.shutdown()


def _labels(attributes: Mapping[str, Any], **more: str) -> str:
  pairs = {**attributes, **more}
  inner = ",".join(f'{k.replace(".", "_")}="{v}"' for k, v in pairs.items())
  return f"{{{inner}}}" if inner else ""


def _render_metric(metric: sdk_export.Metric) -> list[str]:
  """Returns a counter's or histogram's lines of text."""
  name = metric.name.replace(".", "_")
  lines = []
  for point in metric.data.data_points:
    if not isinstance(point, sdk_export.HistogramDataPoint):
      lines.append(f"{name}_total{_labels(point.attributes)} {point.value}")
      continue
    total = 0
    bounds = [*(f"{b:g}" for b in point.explicit_bounds), "+Inf"]
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
      total += count
      labels = _labels(point.attributes, le=bound)
      lines.append(f"{name}_bucket{labels} {total}")
    labels = _labels(point.attributes)
    lines.append(f"{name}_sum{labels} {point.sum:g}")
    lines.append(f"{name}_count{labels} {point.count}")
  return lines
