"""Parses `Retry-After` headers (RFC 9110, section 10.2.3)."""

from collections.abc import Iterable
import datetime
import email.utils
import re

DECIMAL_NUMBER = re.compile(
    rb"([0-9]{1,30}(\.[0-9]{0,30})?|\.[0-9]{1,30})([eE][+-]?[0-9]{1,3})?"
)
"""A number that is not negative, with digits before or after the point."""


def parse(values: Iterable[bytes], date: bytes = b"") -> float | None:
  """Returns the seconds that the header names; the longest of several.

  A date counts from the date of the answer, since the clocks of sender and
  receiver may differ. Fractions of seconds are accepted.

  Args:
    values: the values of all `retry-after` headers of an answer.
    date: the value of its `date` header; empty if it has none.

  Returns:
    The seconds, which may be infinite; None if no value is usable.
  """
  answered_at = _parse_date(date)
  found = [_parse_value(value.strip(), answered_at) for value in values]
  return max((s for s in found if s is not None), default=None)


def _parse_value(
    value: bytes, answered_at: datetime.datetime | None
) -> float | None:
  if DECIMAL_NUMBER.fullmatch(value):
    return float(value)
  until = _parse_date(value)
  if until is None or answered_at is None:
    return None
  return max(0.0, (until - answered_at).total_seconds())


def _parse_date(value: bytes) -> datetime.datetime | None:
  try:
    found = email.utils.parsedate_to_datetime(value.decode("latin-1"))
  except (TypeError, ValueError, OverflowError):
    return None
  return found if found.tzinfo else found.replace(tzinfo=datetime.UTC)
