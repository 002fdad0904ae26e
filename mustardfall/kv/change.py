"""Changes to one KV value, each safe to apply again after a lost reply.

A change is a small typed value. `apply` dispatches on its type and returns
the value to write, or None when there is nothing to write: either the value
already contains the change's id (a grant id, an op id, a claim id), so it
has taken effect before, or the change is not applicable to the value.
"""

import functools
import json
from typing import Any

Value = dict[str, Any]
"""A KV value as this program sees it: a JSON object."""


@functools.singledispatch
def apply(change: Any, value: Value | None) -> Value | None:
  """Returns the value after `change`, or None when there is nothing to write.

  Args:
    change: a change, of a type registered with this function.
    value: the current value, None when the key is absent; not modified.
  """
  raise TypeError(f"no change is registered for the type of {change!r}")


def encode(value: Value) -> bytes:
  """Returns `value` as the bytes stored in the KV."""
  return json.dumps(value, separators=(",", ":")).encode()


def decode(raw: bytes) -> Value:
  """Parses a value read from the KV."""
  return json.loads(raw)
