"""Starts stand-ins and routers as separate processes on loopback ports.

Each process gets its own YAML settings file and is started with the
`mustardfall` command line, as an operator would. `Fleet.stop` sends
SIGTERM to each and waits for its exit, so that no process is left running.
"""

import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import httpx

from mustardfall import settings

RETOURHUIS_DCS = ("lier-a", "lier-b", "mechelen")
MAHAKAMA_DCS = ("upperhill", "westlands", "industrial-area")


_PORTS = range(10_240, 32_000)
"""Ports below the ephemeral range, which the system uses for outgoing
connections."""
_PORT_RNG = random.SystemRandom()
"""Apart from the global generator, which simulations seed: two test runs at once
would draw the same ports."""
_taken: set[int] = set()


def free_port() -> int:
  """Returns a TCP port on 127.0.0.1 that is free and is returned only once.

  The port is outside the ephemeral range. The system may assign an ephemeral
  port to an outgoing connection before the intended process binds it; with
  24 routers, one failed to start for this reason.
  """
  while True:
    port = _PORT_RNG.choice(_PORTS)
    if port in _taken:
      continue
    with contextlib.closing(socket.socket()) as s:
      try:
        s.bind(("127.0.0.1", port))
      except OSError:
        continue
    _taken.add(port)
    return port


@dataclasses.dataclass
class Process:
  """A started process and its URL."""

  name: str
  url: str
  popen: subprocess.Popen


class Fleet:
  """A set of processes started from settings; a context manager.

  Args:
    workdir: directory for settings files and logs; temporary if None.
  """

  def __init__(self, workdir: str | None = None) -> None:
    self._tmp = None if workdir else tempfile.TemporaryDirectory()
    self.dir = pathlib.Path(workdir or self._tmp.name)
    self.procs: dict[str, Process] = {}
    self.admin: dict[str, str] = {}
    """Maps a router's URL for callers to its URL for operators."""

  def start(self, role: list[str], name: str, config) -> Process:
    """Writes `config` as YAML and starts `mustardfall ROLE --config`."""
    path = self.dir / f"{name}.yaml"
    path.write_text(settings.dump(config), encoding="utf-8")
    log = open(self.dir / f"{name}.log", "wb")  # noqa: SIM115
    popen = subprocess.Popen(  # noqa: S603
        [sys.executable, "-m", "mustardfall", *role, "--config", str(path)],
        stdout=log,
        stderr=subprocess.STDOUT,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    url = f"http://{config.listen.host}:{config.listen.port}"
    proc = Process(name, url, popen)
    self.procs[name] = proc
    if isinstance(config, settings.Router):
      own = config.peer_listen
      self.admin[url] = f"http://{own.host}:{own.port}/admin"
    return proc

  def wait_ready(self, timeout_s: float = 20.0, path: str = "/healthz") -> None:
    """Waits until every process answers `path` with 200."""
    deadline = time.monotonic() + timeout_s
    pending = dict(self.procs)
    while pending:
      for name, proc in list(pending.items()):
        if proc.popen.poll() is not None:
          raise RuntimeError(f"{name} exited: {self.log(name)[-2000:]}")
        try:
          if httpx.get(proc.url + path, timeout=0.5).status_code == 200:
            del pending[name]
        except httpx.HTTPError:
          pass
      if time.monotonic() > deadline:
        raise TimeoutError(f"not ready: {sorted(pending)}")
      time.sleep(0.05)

  def log(self, name: str) -> str:
    """Returns the output of process `name` so far."""
    return (self.dir / f"{name}.log").read_text(errors="replace")

  def signal(self, name: str, signum: int) -> None:
    """Sends `signum` to process `name` (by its pid)."""
    self.procs[name].popen.send_signal(signum)

  def stop(self, timeout_s: float = 30.0) -> dict[str, int]:
    """Sends SIGTERM to every process and waits; returns exit codes by name."""
    for proc in self.procs.values():
      if proc.popen.poll() is None:
        proc.popen.send_signal(signal.SIGTERM)
    codes = {}
    for name, proc in self.procs.items():
      try:
        codes[name] = proc.popen.wait(timeout=timeout_s)
      except subprocess.TimeoutExpired:
        proc.popen.kill()
        codes[name] = proc.popen.wait()
    return codes

  def __enter__(self) -> "Fleet":
    return self

  def __exit__(self, *_) -> None:
    self.stop()
    if self._tmp:
      self._tmp.cleanup()


def _listen() -> settings.Listen:
  return settings.Listen(host="127.0.0.1", port=free_port())


def start_platform(
    fleet: Fleet,
    datacentres: tuple[str, ...] = RETOURHUIS_DCS,
    engine: dict[str, object] | None = None,
    hosts_lag_s: float = 0.5,
) -> dict[str, str]:
  """Starts the KV, one engine per data centre, a service and the host list.

  Args:
    fleet: the fleet to which the processes are added.
    datacentres: the data centres; each gets one engine.
    engine: settings of the engines that override the defaults.
    hosts_lag_s: delay with which the host list shows changes, in seconds.

  Returns:
    URLs by name: `kv`, `hosts`, `engine-<dc>`, `service`.
  """
  urls = {
      "kv": fleet.start(
          ["standin", "kv"], "kv", settings.KvStandin(listen=_listen())
      ).url
  }
  hosts = []
  for dc in datacentres:
    cfg = settings.EngineStandin(
        name=f"engine-{dc}",
        datacentre=dc,
        listen=_listen(),
        **(engine or {}),
    )
    proc = fleet.start(["standin", "engine"], cfg.name, cfg)
    urls[cfg.name] = proc.url
    hosts.append(
        settings.HostEntry(
            name=cfg.name,
            url=proc.url,
            datacentre=dc,
            kind="engine",
            models=list(cfg.models),
        )
    )
  svc = settings.ServiceStandin(
      name="service", datacentre=datacentres[0], listen=_listen()
  )
  urls["service"] = fleet.start(["standin", "service"], "service", svc).url
  hosts.append(
      settings.HostEntry(
          name="service",
          url=urls["service"],
          datacentre=datacentres[0],
          kind="service",
      )
  )
  hosts_cfg = settings.HostsStandin(
      listen=_listen(), lag_s=hosts_lag_s, hosts=hosts
  )
  urls["hosts"] = fleet.start(["standin", "hosts"], "hosts", hosts_cfg).url
  fleet.wait_ready()
  return urls


def router_settings(
    name: str, datacentre: str, urls: dict[str, str], **overrides
) -> settings.Router:
  """Returns settings for a router on free ports that uses the platform."""
  return settings.Router(
      name=name,
      datacentre=datacentre,
      listen=_listen(),
      peer_listen=_listen(),
      kv_url=urls["kv"],
      hosts_url=urls["hosts"],
      **overrides,
  )


def start_routers(
    fleet: Fleet,
    urls: dict[str, str],
    datacentres: tuple[str, ...],
    **overrides,
) -> list[str]:
  """Starts one router per data centre; returns their URLs (not yet ready)."""
  out = []
  for i, dc in enumerate(datacentres, 1):
    cfg = router_settings(f"router-{i}", dc, urls, **overrides)
    out.append(fleet.start(["router"], cfg.name, cfg).url)
  return out
