"""Changes to one KV value, each safe to apply again after a lost reply.

A change is a small typed value. `apply` is dispatched on its type and
returns the value to write, or None when nothing is to be written: either
the change finds its own mark (a grant id, an op id, a claim id) in the
value, so it has taken effect already, or it does not fit.
"""

import functools
import json
from typing import Any

Value = dict[str, Any]
"""A KV value as this program sees it: a JSON object."""


@functools.singledispatch
def apply(change: Any, value: Value | None) -> Value | None:
  """Returns the value after `change`, or None when nothing is written.

  Args:
    change: a change, of a type registered with this function.
    value: the value found, None when the key is absent; not modified.
  """
  raise TypeError(f"no change: {change!r}")


def encode(value: Value) -> bytes:
  """Returns `value` as it is kept in the KV."""
  return json.dumps(value, separators=(",", ":")).encode()


def decode(raw: bytes) -> Value:
  """Parses a value read from the KV."""
  return json.loads(raw)
