"""The build of the deployment, and its program in a clean environment."""

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
_BUILD_TIMEOUT_S = 300
_RUN_TIMEOUT_S = 60


class DeployTest(testtools.TestCase):

  def test_program_serves_with_only_the_packages_that_the_build_installs(self):
    # Guards against a module of the data path that imports a package which
    # the build does not install: every process exits at once. A developer's
    # machine has that package, so the router's interpreter here has only the
    # packages of the build.
    with tempfile.TemporaryDirectory() as folder:
      work_dir = pathlib.Path(folder)
      sources = work_dir / "sources"
      shutil.copytree(_ROOT / "mustardfall", sources / "mustardfall")
      shutil.copytree(_ROOT / "deploy", sources / "deploy")
      venv.create(work_dir / "python", with_pip=True)
      path = f"{work_dir / 'python' / 'bin'}:{os.environ['PATH']}"
      env = {"PATH": path, "HOME": str(work_dir)}
      deploy = tomllib.loads((sources / "deploy/system.toml").read_text())
      self._run(deploy["build"], sources, env, _BUILD_TIMEOUT_S, shell=True)
      self._check_compiled(sources / "mustardfall")
      command = [sys.executable, "-m", "mustardfall.emulator"]
      command += [
          "--requests",
          "4",
          "--router",
          deploy["roles"]["router"]["run"],
      ]
      env["PYTHONPATH"] = str(sources / "target" / "deps")
      output = self._run(command, sources, env, _RUN_TIMEOUT_S)
    summary = json.loads(output.splitlines()[-1])
    self.assertEqual({"200": 4}, summary["statuses"])

  def _check_compiled(self, package):
    """Guards against processes that compile the modules at each start."""
    missing = [
        source
        for source in package.rglob("*.py")
        if not pathlib.Path(
            importlib.util.cache_from_source(str(source))
        ).exists()
    ]
    self.assertEqual([], missing)

  def test_interrupted_build_is_repeated(self):
    # Guards against a deployment without packages: a build is interrupted
    # while it installs them, and the next build skips the installation since
    # the folder is newer than the list of packages. The installer here is a
    # fake that fails on its first run.
    with tempfile.TemporaryDirectory() as folder:
      work_dir = pathlib.Path(folder)
      shutil.copytree(_ROOT / "deploy", work_dir / "deploy")
      (work_dir / "bin").mkdir()
      installer = work_dir / "bin" / "python3"
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
      deploy = tomllib.loads((work_dir / "deploy/system.toml").read_text())
      env = {"PATH": f"{work_dir / 'bin'}:{os.environ['PATH']}"}
      exit_codes = [
          subprocess.run(
              deploy["build"], cwd=work_dir, env=env, shell=True, check=False
          ).returncode
          for _ in range(3)
      ]
      runs = (work_dir / "runs").read_text().splitlines()
      self.assertEqual([True, False, False], [code != 0 for code in exit_codes])
      self.assertTrue((work_dir / "target/deps/whole").exists())
      self.assertEqual(2, len(runs))

  def test_every_package_of_the_build_is_pinned(self):
    # Otherwise a new release of a package could break the deployment.
    lines = (_ROOT / "deploy/requirements.txt").read_text().splitlines()
    self.assertEqual([], [line for line in lines if "==" not in line])

  def _run(self, command, cwd, env, timeout_s, shell=False) -> str:
    completed = subprocess.run(
        command,
        cwd=cwd,
        env=env,
        shell=shell,
        capture_output=True,
        text=True,
        timeout=timeout_s,
        check=False,
    )
    self.assertEqual(0, completed.returncode, completed.stderr)
    return completed.stdout
