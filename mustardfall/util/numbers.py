"""Numbers in text of other programs.

`int` and `float` also take other digits than 0 to 9, signs, underscores and white
space. Another program that reads the same text may not, or may read another number.
"""

import re

_COUNT = re.compile(rb"[0-9]{1,15}")


def parse_count(text: bytes) -> int:
  """Returns a number of at most 15 decimal digits.

  Raises:
    ValueError: the text is anything else.
  """
  if not _COUNT.fullmatch(text):
    raise ValueError(f"not a number of 0 to 15 digits: {text[:40]!r}")
  return int(text)
