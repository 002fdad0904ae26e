"""The deployed program starts where nothing but its own packages is there."""

import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
import venv

import testtools

_ROOT = pathlib.Path(__file__).parent.parent
_BUILD_S = 300
_DRIVE_S = 60


class DeployTest(testtools.TestCase):

  def test_program_serves_with_only_what_the_build_installs(self):
    # Every process ended at once and callers reached nothing: a module of
    # the data path imported a package that the build does not install. On
    # a developer's machine it is there besides, so no test noticed. Here
    # the router's interpreter has nothing but the build's own packages.
    with tempfile.TemporaryDirectory() as folder:
      home = pathlib.Path(folder)
      sources = home / "sources"
      shutil.copytree(_ROOT / "mustardfall", sources / "mustardfall")
      shutil.copytree(_ROOT / "deploy", sources / "deploy")
      venv.create(home / "python", with_pip=True)
      path = f"{home / 'python' / 'bin'}:{os.environ['PATH']}"
      env = {"PATH": path, "HOME": str(home)}
      deploy = tomllib.loads((sources / "deploy/system.toml").read_text())
      self._run(deploy["build"], sources, env, _BUILD_S, shell=True)
      command = [sys.executable, "-m", "mustardfall.emulator"]
      command += [
          "--requests",
          "4",
          "--router",
          deploy["roles"]["router"]["run"],
      ]
      env["PYTHONPATH"] = str(sources / "target" / "deps")
      output = self._run(command, sources, env, _DRIVE_S)
    summary = json.loads(output.splitlines()[-1])
    self.assertEqual({"200": 4}, summary["statuses"])

  def _run(self, command, cwd, env, timeout_s, shell=False) -> str:
    done = subprocess.run(
        command,
        cwd=cwd,
        env=env,
        shell=shell,
        capture_output=True,
        text=True,
        timeout=timeout_s,
        check=False,
    )
    self.assertEqual(0, done.returncode, done.stderr)
    return done.stdout
