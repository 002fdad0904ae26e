"""When a caller that was refused for want of tokens is asked to come back."""

_TOKENS_BACK_S = 1.5
"""Parts are given back after 1.5 s, most streams end sooner."""
_RETURN_SHARE = 0.33
"""Part of its time that a caller is kept away; what is left is enough for
the longest answers, and callers heed no more than a third."""


def max_retry_s(store_unreachable: bool, left_s: float) -> float:
  """Returns when it may be worth to ask for tokens again, at most.

  Reservations and parts come back within a second or so. While the store
  is away nothing comes but what others hold, and outages last seconds: a
  caller that returns at once is only refused again, so it is asked back
  as late as still leaves it the time for its answer.

  Args:
    store_unreachable: whether the store does not answer this router.
    left_s: the time that the caller has left, seconds.
  """
  if not store_unreachable:
    return _TOKENS_BACK_S
  return max(_TOKENS_BACK_S, left_s * _RETURN_SHARE)
