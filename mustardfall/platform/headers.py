"""Translates between the platform's headers and the types of the data path."""

import math
import re
import urllib.parse

from mustardfall import errors
from mustardfall.proxy import messages
from mustardfall.routing import rate_limits
from mustardfall.routing import statements
from mustardfall.util import numbers
from mustardfall.util import retry_after

_REQUEST_ID = b"request-id"
_DEADLINE_MS = b"deadline-ms"
_CREDENTIAL = b"credential"
_TOKEN_USAGE = b"token-usage"
_PROMPT_PREFIX = b"prompt-prefix"
_MODEL = b"model"
_LENGTH_HINT = b"length-hint"
_LAST_EVENT_ID = b"last-event-id"
_RESUMES = b"resumes"
_TENANT = b"tenant"
_EXPECT_INSTANCE = b"expect-instance"
_REQUEST_PRIORITY = b"request-priority"
_RESPONSE_SIGNATURE = b"response-signature"
_NOT_EXECUTED = b"not-executed"
_SERVER_LOAD = b"server-load"
_SERVER_LIMIT = b"server-limit"
_SERVER_BRITTLE = b"server-brittle"
_SERVER_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_TURNED_AWAY = (429, 503)
"""Statuses with which a server turns a request away and may ask for rest."""
_MISDIRECTED_REQUEST = 421
_LOAD_COUNTS = 3
"""Fields of a load that count requests and slots."""
_LOAD_COUNT = re.compile(rb"[0-9]{1,9}")
"""More digits are no load of a server, and would exceed any memory."""
_MAX_LOGGED_CHARS = 40
"""Length to which an unusable value is shortened, characters."""

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that apply to one connection only. `content-length` is among them
since the router sets it for each message that it sends."""

_NOT_FORWARDED = frozenset(
    (
        _DEADLINE_MS,
        _CREDENTIAL,
        _LAST_EVENT_ID,
        _TENANT,
        _EXPECT_INSTANCE,
        _REQUEST_PRIORITY,
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
"""Headers of callers that are not forwarded: endpoints get them from the router
only. A caller that could set them there could act as another team or access the
KV cache of another request."""

_NEVER_CONNECTION_OPTIONS = frozenset(
    (_REQUEST_ID, _MODEL, _TOKEN_USAGE, _PROMPT_PREFIX, b"host")
)
"""Headers that are forwarded even if the caller lists them in `connection`.
Without them the endpoint would run another request than the admitted one."""

_SINGLE_VALUED = frozenset(
    (
        _REQUEST_ID,
        _DEADLINE_MS,
        _CREDENTIAL,
        _TOKEN_USAGE,
        _PROMPT_PREFIX,
        _MODEL,
        _LAST_EVENT_ID,
        _RESUMES,
        b"host",
    )
)
"""Headers that must not be repeated: the router and the endpoint might each use
another one of the values."""


def _connection_options(headers: list[messages.Header]) -> set[bytes]:
  """Returns the header names that the sender lists in `connection`."""
  return {
      name.strip().lower()
      for header, value in headers
      if header == b"connection"
      for name in value.split(b",")
  }


def _forwardable(
    headers: list[messages.Header], dropped: frozenset[bytes]
) -> tuple[messages.Header, ...]:
  options = _connection_options(headers) - _NEVER_CONNECTION_OPTIONS
  removed = _HOP_BY_HOP | dropped | options
  return tuple((name, value) for name, value in headers if name not in removed)


def _parse_number(value: bytes | None, name: str) -> float | None:
  if value is None:
    return None
  if not retry_after.DECIMAL_NUMBER.fullmatch(value):
    raise errors.RejectedRequestError(f"{name} is no number")
  number = float(value)
  if not math.isfinite(number):
    raise errors.RejectedRequestError(f"{name} is out of range")
  return number


def _parse_hint(value: bytes | None) -> float | None:
  """Returns an estimate of tokens; None if it is unusable."""
  if value is None or not retry_after.DECIMAL_NUMBER.fullmatch(value.strip()):
    return None
  return float(value)


def _parse_usage(value: bytes | None) -> messages.Usage | None:
  if value is None:
    return None
  prompt, _, output = value.partition(b",")
  try:
    return messages.Usage(
        numbers.parse_count(prompt), numbers.parse_count(output)
    )
  except ValueError as exc:
    raise errors.RejectedRequestError("token usage makes no sense") from exc


def _parse_prompt_parts(value: bytes | None) -> tuple[messages.PromptPart, ...]:
  if not value:
    return ()
  try:
    pairs = (item.strip().split(b":") for item in value.split(b","))
    return tuple(
        messages.PromptPart(id_.decode("ascii"), numbers.parse_count(count))
        for id_, count in pairs
    )
  except ValueError as exc:
    raise errors.RejectedRequestError("prompt parts make no sense") from exc


class Dialect:
  """Header translation for the platform; implements `messages.Dialect`."""

  def decode_request(
      self, method: bytes, target: bytes, headers: list[messages.Header]
  ) -> messages.Request:
    """Decodes the head of a caller's request.

    Raises:
      errors.RejectedRequestError: a header is missing, repeated or invalid.
    """
    by_name = dict(headers)
    for name in _SINGLE_VALUED & by_name.keys():
      if sum(1 for header, _ in headers if header == name) > 1:
        raise errors.RejectedRequestError(f"{name.decode()} is given twice")
    if not by_name.get(_REQUEST_ID):
      raise errors.RejectedRequestError("no request id")
    deadline_ms = _parse_number(by_name.get(_DEADLINE_MS), "deadline")
    last_event = _parse_number(by_name.get(_LAST_EVENT_ID), "last event id")
    path = target.decode("latin-1").partition("?")[0]
    return messages.Request(
        id=by_name[_REQUEST_ID].decode("latin-1"),
        method=method,
        target=target,
        authority=_parse_authority(by_name.get(b"host", b"")),
        path=path,
        api_key=by_name.get(_CREDENTIAL, b"").decode("latin-1"),
        caller_timeout_s=None if deadline_ms is None else deadline_ms / 1000,
        usage=_parse_usage(by_name.get(_TOKEN_USAGE)),
        parts=_parse_prompt_parts(by_name.get(_PROMPT_PREFIX)),
        last_event=None if last_event is None else int(last_event),
        headers=_forwardable(headers, _NOT_FORWARDED),
        resumes=by_name.get(_RESUMES, b"").decode("latin-1"),
        model=by_name.get(_MODEL, b"").decode("latin-1"),
        output_hint=_parse_hint(by_name.get(_LENGTH_HINT)),
    )

  def encode_request(
      self, request: messages.Request, send: messages.ForwardingInfo
  ) -> list[messages.Header]:
    """Returns the headers to send to an endpoint."""
    left_ms = max(1, int(send.time_left_s * 1000))
    headers = [
        *request.headers,
        (_DEADLINE_MS, b"%d" % left_ms),
        (_EXPECT_INSTANCE, send.endpoint.encode()),
    ]
    if send.team:
      headers.append((_TENANT, send.team.encode()))
    if request.usage is not None:
      headers.append((_REQUEST_PRIORITY, b"%d" % min(9, max(0, send.priority))))
    if send.last_event is not None:
      headers.append((_LAST_EVENT_ID, b"%d" % send.last_event))
    return headers

  def decode_response(
      self, status: int, headers: list[messages.Header]
  ) -> messages.ResponseHead:
    """Decodes the head of an endpoint's answer."""
    by_name = dict(headers)
    content = by_name.get(b"content-type", b"")
    return messages.ResponseHead(
        status=status,
        request_id=by_name.get(_REQUEST_ID, b"").decode("latin-1"),
        signed=_RESPONSE_SIGNATURE in by_name,
        not_run=_NOT_EXECUTED in by_name,
        misdirected=status == _MISDIRECTED_REQUEST,
        has_content_encoding=b"content-encoding" in by_name,
        is_event_stream=content.startswith(b"text/event-stream"),
        load=_parse_load(by_name.get(_SERVER_LOAD)),
        rate_limit=_parse_rate_limit(headers),
        brittle=_parse_brittle(headers),
        idle_timeout_s=_parse_idle_timeout_s(by_name.get(b"keep-alive", b"")),
        closes_connection=b"close" in _connection_options(headers),
        headers=_forwardable(headers, frozenset((_SERVER_LOAD,))),
        leaving=_is_leaving(headers),
        rest=_parse_rest(headers) if status in _TURNED_AWAY else None,
    )

  def encode_refusal(
      self, request_id: str, retry_after_s: float | None
  ) -> list[messages.Header]:
    """Returns the headers of an answer that the router itself generates."""
    headers = []
    if request_id:
      headers.append((_REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
      headers.append((_RETRY_AFTER, f"{retry_after_s:g}".encode()))
    return headers


def _parse_authority(value: bytes) -> str:
  host = urllib.parse.urlsplit(f"//{value.decode('latin-1')}").hostname
  return host or ""


def _parse_load(value: bytes | None) -> messages.Load | None:
  if value is None:
    return None
  """Returns the load that a server reports; None if it is unusable.

  Fields after the known ones are ignored. An unusable fourth field leaves the
  others as they are.
  """
  counts, rest = value.split(b",")[:_LOAD_COUNTS], value.split(b",")
  if len(counts) < _LOAD_COUNTS or not all(
      _LOAD_COUNT.fullmatch(field.strip()) for field in counts
  ):
    return None
  moment = None
  if len(rest) > _LOAD_COUNTS:
    text = rest[_LOAD_COUNTS].strip()
    if retry_after.DECIMAL_NUMBER.fullmatch(text):
      moment = float(text)
  return messages.Load(*(int(field) for field in counts), moment)


def _parse_rate_limit(
    headers: list[messages.Header],
) -> rate_limits.NamedRate | None:
  named = _parse_decimal(headers, _SERVER_LIMIT)
  if named is not None and named.per_s == 0.0:
    return named._replace(per_s=None)
  return named


def _parse_brittle(
    headers: list[messages.Header],
) -> rate_limits.NamedRate | None:
  named = _parse_decimal(headers, _SERVER_BRITTLE)
  if named is None or named.per_s is None:
    return named
  return named._replace(per_s=min(named.per_s + 1, rate_limits.MAX_PER_S))


def _parse_decimal(
    headers: list[messages.Header], header: bytes
) -> rate_limits.NamedRate | None:
  """Returns a header's number, which may be 0; None if the header is absent."""
  values = {value.strip() for name, value in headers if name == header}
  if not values:
    return None
  text = b",".join(sorted(values))
  shortened = text.decode("latin-1")[:_MAX_LOGGED_CHARS]
  if not retry_after.DECIMAL_NUMBER.fullmatch(text):
    return rate_limits.NamedRate(None, shortened)
  number = float(text)
  is_usable = 0.0 <= number <= rate_limits.MAX_PER_S
  return rate_limits.NamedRate(number if is_usable else None, shortened)


def _values(headers: list[messages.Header], name: bytes) -> list[bytes]:
  """Returns the values of a header that may be a list or repeated."""
  joined = b",".join(value for header, value in headers if header == name)
  return [value.strip() for value in joined.split(b",") if value.strip()]


def _is_leaving(headers: list[messages.Header]) -> bool:
  values = _values(headers, _SERVER_LEAVING)
  return any(
      value.lower() == b"true" or (value.isdigit() and value.strip(b"0"))
      for value in values
  )


def _parse_rest(
    headers: list[messages.Header],
) -> statements.NamedRest | None:
  """Returns the rest for which `retry-after` asks; None without the header."""
  raw = [value for name, value in headers if name == _RETRY_AFTER]
  if not raw:
    return None
  date = dict(headers).get(b"date", b"")
  text = b", ".join(raw).decode("latin-1")[:_MAX_LOGGED_CHARS]
  return statements.NamedRest(retry_after.parse(raw, date), text)


def _parse_idle_timeout_s(value: bytes) -> float | None:
  for item in value.split(b","):
    name, _, number = item.strip().partition(b"=")
    if name.lower() == b"timeout" and number.isdigit():
      return float(number)
  return None
