"""OpenTelemetry instruments of a router.

Histograms carry the attributes `customer` and `class`, so that time to first
token and tokens per request are reported for each customer and class. They are
read with an in-memory reader and served at `GET /admin/metrics`.
"""

from collections.abc import Mapping
from typing import Any

from opentelemetry import metrics as api_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export as sdk_export

_LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 5, 10)
"""Upper bounds of the histogram buckets, chosen to cover the callers' latency
objectives (0.15 to 0.82 s) and their deadlines."""


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
        explicit_bucket_boundaries_advisory=_LATENCY_BUCKETS_S,
    )
    self.duration = meter.create_histogram(
        "mustardfall.duration",
        unit="s",
        description="time to the whole answer",
        explicit_bucket_boundaries_advisory=_LATENCY_BUCKETS_S,
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
    """Exports running totals as a counter with the attribute `kind`.

    For events so frequent that an instrument's `add` would cost more than the
    event itself: the caller counts them in `totals`, which is read only when
    the metrics are.

    Args:
      name: the metric's name.
      unit: the metric's unit.
      description: the metric's description.
      totals: totals by kind; the caller keeps updating it.
    """

    def _read(options: api_metrics.CallbackOptions):
      del options
      for kind, total in totals.items():
        yield api_metrics.Observation(total, {"kind": kind})

    self._meter.create_observable_counter(
        name, callbacks=[_read], unit=unit, description=description
    )

  def snapshot(self) -> dict[str, Any]:
    """Returns the current metric data in the JSON form of OpenTelemetry."""
    data = self._reader.get_metrics_data()
    return data.to_json() if data else "{}"

  def render(self) -> str:
    """Returns the current metric data in the Prometheus text format."""
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


def _labels(attributes: Mapping[str, Any], **extra: str) -> str:
  pairs = {**attributes, **extra}
  inner = ",".join(f'{k.replace(".", "_")}="{v}"' for k, v in pairs.items())
  return f"{{{inner}}}" if inner else ""


def _render_metric(metric: sdk_export.Metric) -> list[str]:
  """Returns the lines of a counter or histogram in the Prometheus format."""
  name = metric.name.replace(".", "_")
  lines = []
  for point in metric.data.data_points:
    if not isinstance(point, sdk_export.HistogramDataPoint):
      lines.append(f"{name}_total{_labels(point.attributes)} {point.value}")
      continue
    cumulative = 0
    bounds = [*(f"{b:g}" for b in point.explicit_bounds), "+Inf"]
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
      cumulative += count
      labels = _labels(point.attributes, le=bound)
      lines.append(f"{name}_bucket{labels} {cumulative}")
    labels = _labels(point.attributes)
    lines.append(f"{name}_sum{labels} {point.sum:g}")
    lines.append(f"{name}_count{labels} {point.count}")
  return lines
