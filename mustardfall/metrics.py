"""OpenTelemetry instruments of a router, with per-customer, per-class views.

Histograms carry the attributes `customer` and `class`, so that time to
first token and tokens per request can be read for each tenant and
class. The in-memory reader serves them at `GET /admin/metrics`.
"""

from typing import Any

from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export as sdk_export


class Instruments:
  """The meter provider and the instruments of one router."""

  def __init__(self, router: str) -> None:
    self._reader = sdk_export.InMemoryMetricReader()
    self._provider = sdk_metrics.MeterProvider(metric_readers=[self._reader])
    meter = self._provider.get_meter(
        "mustardfall.router", attributes={"router": router}
    )
    self.ttft = meter.create_histogram(
        "mustardfall.ttft", unit="s", description="time to first token"
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

  def snapshot(self) -> dict[str, Any]:
    """Returns the current metric data as JSON-ready dicts."""
    data = self._reader.get_metrics_data()
    return data.to_json() if data else "{}"

  def shutdown(self) -> None:
    """Stops the meter provider."""
    self._provider.shutdown()
