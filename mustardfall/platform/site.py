"""The platform's settings file of a process, decoded into `settings`."""

import json
import pathlib
from typing import Any, NamedTuple

import yaml

from mustardfall import errors
from mustardfall import settings

SETTINGS_VARIABLE = "MUSTARDFALL_SETTINGS"
"""Environment variable with the path of the platform's settings file."""

_HOSTS = 12
"""Routers that the fleet's shared figures are divided by: today's nine and
the three that may be added. Too many divides more finely than it must;
too few would let the fleet pass its bound."""
_RETRY_SAFETY = 0.75
"""Part of the allowed retry ratio that is used: the platform counts in
sliding windows, and a burst may straddle two."""


class Site(NamedTuple):
  """What the platform tells one process."""

  router: settings.Router
  store_address: str
  ready: settings.Listen
  metrics_host: str
  grace_s: float
  """Seconds between SIGTERM and SIGKILL."""


def _listen(address: str) -> dict[str, Any]:
  host, _, port = address.rpartition(":")
  return {"host": host, "port": int(port)}


def _merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
  merged = dict(base)
  for key, value in over.items():
    both = isinstance(value, dict) and isinstance(merged.get(key), dict)
    merged[key] = _merge(merged[key], value) if both else value
  return merged


def load(path: str, own: str | None) -> Site:
  """Reads the platform's file and the router's own settings.

  Args:
    path: the platform's JSON file.
    own: a YAML file with any keys of `settings.Router`, or None.

  Raises:
    errors.SettingsError: a file is unreadable or a key is wrong.
  """
  try:
    text = pathlib.Path(path).read_text(encoding="utf-8")
    given = json.loads(text)
    tuned = {}
    if own is not None:
      tuned = yaml.safe_load(pathlib.Path(own).read_text(encoding="utf-8"))
    return decode(given, tuned or {})
  except (OSError, ValueError, KeyError, yaml.YAMLError) as exc:
    raise errors.SettingsError(f"{path}: {exc!r}") from exc


def decode(given: dict[str, Any], tuned: dict[str, Any]) -> Site:
  """Decodes the platform's fields; `tuned` goes over what follows from them."""
  listen = given["listen"]
  bounds = given.get("bounds") or {}
  store = given["platform"]["address"]
  derived = {
      "name": given["node"],
      "datacentre": given["zone"],
      "region": given["region"],
      "listen": _listen(listen["front"]),
      "peer_listen": _listen(listen["control"]),
      "first_start": bool(given.get("bootstrap")),
      "load_port": (given.get("port_range") or [0])[0],
      "kv_url": f"http://{store}",
      "hosts_url": f"http://{store}",
      "proxy": {
          "retry_ratio": bounds.get("retry_ratio", 0.2) * _RETRY_SAFETY,
          "retry_burst": bounds.get("retry_slack", 0) * _RETRY_SAFETY / _HOSTS,
      },
  }
  return Site(
      router=settings.parse(_merge(derived, tuned), settings.Router),
      store_address=store,
      ready=settings.parse(_listen(listen["ready"]), settings.Listen),
      metrics_host=given["ip"],
      grace_s=float(bounds.get("grace_s", 8)),
  )
