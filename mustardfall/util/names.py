"""Checks of names that other processes send."""

from typing import Any

_MAX_CHARS = 200
"""Limit of the length of a received name, characters."""


def check(*names: Any) -> None:
  """Checks received names.

  Raises:
    ValueError: one is no string, or too long.
  """
  for name in names:
    if not isinstance(name, str) or len(name) > _MAX_CHARS:
      raise ValueError("not a string, or too long for a name")
