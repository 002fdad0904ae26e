"""The platform's headers, decoded into the data path's types."""

import math
import urllib.parse

from mustardfall import errors
from mustardfall.proxy import messages

_REQUEST_ID = b"request-id"
_DEADLINE_MS = b"deadline-ms"
_API_KEY = b"credential"
_USAGE = b"token-usage"
_PARTS = b"prompt-prefix"
_MODEL = b"model"
_LAST_EVENT = b"last-event-id"
_TEAM = b"tenant"
_ENDPOINT = b"expect-instance"
_PRIORITY = b"request-priority"
_SIGNATURE = b"response-signature"
_NOT_RUN = b"not-executed"
_LOAD = b"server-load"
_RETRY_AFTER = b"retry-after"
_MISDIRECTED = 421
_HEAD_FIELDS = 3

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
"""These concern one connection only; the body's length is set anew."""

_OURS = frozenset(
    (
        _DEADLINE_MS,
        _API_KEY,
        _LAST_EVENT,
        _TEAM,
        _ENDPOINT,
        _PRIORITY,
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
"""Set by the router alone. A caller that could set them would act as
another team, or reach another request's memory."""

_KEPT = frozenset((_REQUEST_ID, _MODEL, _USAGE, _PARTS, b"host"))
"""Never dropped because a caller lists them as of its connection: the
endpoint would run another request than the one that was admitted."""

_SINGLE = frozenset(
    (
        _REQUEST_ID,
        _DEADLINE_MS,
        _API_KEY,
        _USAGE,
        _PARTS,
        _MODEL,
        b"host",
    )
)
"""Given twice, two programs might each read another one."""


def _listed(headers: list[messages.Header]) -> set[bytes]:
  """Returns the names that the sender lists as of its connection only."""
  return {
      name.strip().lower()
      for header, value in headers
      if header == b"connection"
      for name in value.split(b",")
  }


def _passed_on(
    headers: list[messages.Header], dropped: frozenset[bytes]
) -> tuple[messages.Header, ...]:
  listed = _listed(headers) - _KEPT
  out = _HOP_BY_HOP | dropped | listed
  return tuple((name, value) for name, value in headers if name not in out)


def _number(value: bytes | None, name: str) -> float | None:
  if value is None:
    return None
  try:
    number = float(value)
  except ValueError as exc:
    raise errors.BadRequestError(f"{name} is no number") from exc
  if not math.isfinite(number) or number < 0:
    raise errors.BadRequestError(f"{name} is out of range")
  return number


def _usage(value: bytes | None) -> messages.Usage | None:
  if value is None:
    return None
  prompt, _, output = value.partition(b",")
  try:
    usage = messages.Usage(int(prompt), int(output))
  except ValueError as exc:
    raise errors.BadRequestError("token usage makes no sense") from exc
  if min(usage) < 0:
    raise errors.BadRequestError("token usage is negative")
  return usage


def _parts(value: bytes | None) -> tuple[messages.PromptPart, ...]:
  if not value:
    return ()
  try:
    pairs = (item.strip().split(":") for item in value.decode().split(","))
    return tuple(messages.PromptPart(id_, int(n)) for id_, n in pairs)
  except ValueError as exc:
    raise errors.BadRequestError("prompt parts make no sense") from exc


class Dialect:
  """The platform's headers; see `messages.Dialect`."""

  def decode_request(
      self, method: bytes, target: bytes, headers: list[messages.Header]
  ) -> messages.Request:
    """Returns what a caller sent; raises `errors.BadRequestError`."""
    found = dict(headers)
    for name in _SINGLE & found.keys():
      if sum(1 for header, _ in headers if header == name) > 1:
        raise errors.BadRequestError(f"{name.decode()} is given twice")
    if not found.get(_REQUEST_ID):
      raise errors.BadRequestError("no request id")
    deadline_ms = _number(found.get(_DEADLINE_MS), "deadline")
    last_event = _number(found.get(_LAST_EVENT), "last event id")
    path = target.decode("latin-1").partition("?")[0]
    return messages.Request(
        id=found[_REQUEST_ID].decode("latin-1"),
        method=method,
        target=target,
        authority=_authority(found.get(b"host", b"")),
        path=path,
        api_key=found.get(_API_KEY, b"").decode("latin-1"),
        caller_timeout_s=None if deadline_ms is None else deadline_ms / 1000,
        usage=_usage(found.get(_USAGE)),
        parts=_parts(found.get(_PARTS)),
        last_event=None if last_event is None else int(last_event),
        headers=_passed_on(headers, _OURS),
    )

  def encode_request(
      self, request: messages.Request, send: messages.ForwardingInfo
  ) -> list[messages.Header]:
    """Returns the headers to send to an endpoint."""
    left_ms = max(1, int(send.time_left_s * 1000))
    headers = [
        *request.headers,
        (_DEADLINE_MS, b"%d" % left_ms),
        (_ENDPOINT, send.endpoint.encode()),
    ]
    if send.team:
      headers.append((_TEAM, send.team.encode()))
    if request.usage is not None:
      headers.append((_PRIORITY, b"%d" % min(9, max(0, send.priority))))
    if send.last_event is not None:
      headers.append((_LAST_EVENT, b"%d" % send.last_event))
    return headers

  def decode_response(
      self, status: int, headers: list[messages.Header]
  ) -> messages.ResponseHead:
    """Returns the head of an endpoint's answer."""
    found = dict(headers)
    content = found.get(b"content-type", b"")
    return messages.ResponseHead(
        status=status,
        request_id=found.get(_REQUEST_ID, b"").decode("latin-1"),
        signed=_SIGNATURE in found,
        not_run=_NOT_RUN in found,
        misdirected=status == _MISDIRECTED,
        has_content_encoding=b"content-encoding" in found,
        is_event_stream=content.startswith(b"text/event-stream"),
        load=_load(found.get(_LOAD)),
        idle_timeout_s=_idle_s(found.get(b"keep-alive", b"")),
        closes_connection=b"close" in _listed(headers),
        headers=_passed_on(headers, frozenset((_LOAD,))),
    )

  def encode_refusal(
      self, request_id: str, retry_after_s: float | None
  ) -> list[messages.Header]:
    """Returns the headers of an answer of the router's own."""
    headers = []
    if request_id:
      headers.append((_REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
      headers.append((_RETRY_AFTER, f"{retry_after_s:g}".encode()))
    return headers


def _authority(value: bytes) -> str:
  host = urllib.parse.urlsplit(f"//{value.decode('latin-1')}").hostname
  return host or ""


def _load(value: bytes | None) -> messages.Load | None:
  if value is None:
    return None
  fields = value.split(b",")
  if len(fields) != _HEAD_FIELDS or not all(
      f.strip().isdigit() for f in fields
  ):
    return None
  return messages.Load(*(int(field) for field in fields))


def _idle_s(value: bytes) -> float | None:
  for item in value.split(b","):
    name, _, number = item.strip().partition(b"=")
    if name.lower() == b"timeout" and number.isdigit():
      return float(number)
  return None
