"""Runs a router on the users' platform: `python -m mustardfall.platform`."""

import gc
import signal


def main() -> None:
  """Runs the router; ignores SIGHUP until the router handles it.

  By default SIGHUP terminates the process. Importing the router's modules
  takes half a second, longer on a small host, and an operator may reload the
  settings in that time. Nothing is lost by ignoring that signal: the settings
  file is read after the import.

  Garbage is not collected during the import, which creates hardly any, and
  what the import created is not searched later: that takes a fourteenth of the
  import's processor time.
  """
  signal.signal(signal.SIGHUP, signal.SIG_IGN)
  gc.disable()
  from mustardfall.platform import program  # noqa: PLC0415  see above

  gc.freeze()
  gc.enable()
  program.main()


if __name__ == "__main__":
  main()
