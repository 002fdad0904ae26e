"""Runs a router on the users' platform: `python -m mustardfall.platform`."""

import signal


def main() -> None:
  """Runs the router; ignores SIGHUP until the router handles it.

  By default SIGHUP terminates the process. Importing the router's modules
  takes half a second, longer on a small host, and an operator may reload the
  settings in that time. Nothing is lost by ignoring that signal: the settings
  file is read after the import.
  """
  signal.signal(signal.SIGHUP, signal.SIG_IGN)
  from mustardfall.platform import program  # noqa: PLC0415  see above

  program.main()


if __name__ == "__main__":
  main()
