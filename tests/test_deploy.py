"""The deployed program starts where nothing but its own packages is there."""

import importlib.util
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
      self._check_compiled(sources / "mustardfall")
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

  def _check_compiled(self, package):
    """Guards against processes that compile the program at each start."""
    missing = [
        source
        for source in package.rglob("*.py")
        if not pathlib.Path(
            importlib.util.cache_from_source(str(source))
        ).exists()
    ]
    self.assertEqual([], missing)

  def test_build_that_was_cut_is_made_anew(self):
    # No process started: a build was cut while it moved packages into place,
    # and the next one found the folder newer than the list and passed over
    # it. The installer is a stand-in that is cut at its first run.
    with tempfile.TemporaryDirectory() as folder:
      home = pathlib.Path(folder)
      shutil.copytree(_ROOT / "deploy", home / "deploy")
      (home / "bin").mkdir()
      installer = home / "bin" / "python3"
      installer.write_text(
          "#!/bin/sh\n"
          '[ "$2" = pip ] || exit 0\n'
          "echo run >> runs\n"
          'while [ "$1" != --target ]; do shift; done\n'
          'mkdir -p "$2" && touch "$2/half"\n'
          "[ $(wc -l < runs) -gt 1 ] || exit 1\n"
          'touch "$2/whole"\n'
      )
      installer.chmod(0o755)
      deploy = tomllib.loads((home / "deploy/system.toml").read_text())
      env = {"PATH": f"{home / 'bin'}:{os.environ['PATH']}"}
      codes = [
          subprocess.run(
              deploy["build"], cwd=home, env=env, shell=True, check=False
          ).returncode
          for _ in range(3)
      ]
      runs = (home / "runs").read_text().splitlines()
      self.assertEqual([True, False, False], [code != 0 for code in codes])
      self.assertTrue((home / "target/deps/whole").exists())
      self.assertEqual(2, len(runs))

  def test_every_package_of_the_build_has_one_version(self):
    # A release of tomorrow must not stop a start that worked today.
    lines = (_ROOT / "deploy/requirements.txt").read_text().splitlines()
    self.assertEqual([], [line for line in lines if "==" not in line])

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
