"""Suggests when a caller refused for lack of tokens should retry."""

_TOKENS_BACK_S = 1.5
"""Parts are given back after 1.5 s, most streams end sooner."""
_RETURN_SHARE = 0.33
"""Part of its time that a caller is told to wait; what is left is enough for
the longest answers, and callers heed no more than a third."""


def max_retry_s(store_unreachable: bool, left_s: float) -> float:
  """Returns the longest useful wait before the caller retries, seconds.

  Reservations and parts come back within a second or so. While the store is
  unavailable, only tokens that other routers hold come back, and outages last
  seconds. A caller that retries at once is only refused again, so it is told to
  wait as long as still leaves it the time for its answer.

  Args:
    store_unreachable: whether the store does not answer this router.
    left_s: the time that the caller has left, seconds.
  """
  if not store_unreachable:
    return _TOKENS_BACK_S
  return max(_TOKENS_BACK_S, left_s * _RETURN_SHARE)
