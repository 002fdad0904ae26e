"""Lets a stream go on only at the software version that began it."""

from collections.abc import Callable, Mapping
import logging

from mustardfall.membership import stream_keepers as stream_keepers_lib
from mustardfall.proxy import host_load as host_load_lib
from mustardfall.proxy import refusals
from mustardfall.proxy import request_context as request_context_lib
from mustardfall.routing import configuration
from mustardfall.routing import directory as directory_lib
from mustardfall.routing import endpoints
from mustardfall.routing import stream_holders
from mustardfall.routing import stream_records

logger = logging.getLogger(__name__)

_RECORD_MARGIN_S = 5.0
"""How long a record is kept after its caller has stopped waiting. Callers count
from when they sent the request, and the clocks of routers drift."""
_UNKNOWN_RETRY_S = 0.25
"""Longest Retry-After of streams that nobody knew. The record may have been
lost on the way here."""
_VERSION_RETRY_S = 1.0
"""The same where no endpoint of the version is listed. One that has crashed is
back after one or two seconds."""
_MAX_LIST_WAIT_S = 1.0
"""Longest wait for a list of endpoints from after a request arrived. Lists are read
twice a second."""
_LIST_WAIT_SHARE = 0.5
"""Longest such wait, as a share of the time that the request may take."""
_MIN_RUNNING_S = 1.0
"""How long the process must have been running without a standstill. Datagrams that
arrived meanwhile seem to have been sent only now, and so do the lists in them."""
_MAX_LOGGED_S = 1e6
_MAX_LOGGED_ENTRIES = 8


class Resumption:
  """Binds streams to the service and the version that began them.

  Args:
    keepers: keeps the records of streams.
    directory: provides the endpoints and the configuration.
    host_load: tells whether the process has stood still.
  """

  def __init__(
      self,
      keepers: stream_keepers_lib.StreamKeepers,
      directory: directory_lib.Directory,
      host_load: host_load_lib.HostLoad,
  ) -> None:
    self._host_load = host_load
    self._keepers = keepers
    self._directory = directory

  async def bind(
      self,
      context: request_context_lib.RequestContext,
      jitter: Callable[[float], float],
  ) -> None:
    """Binds a request that resumes a stream to what began the stream.

    Args:
      context: the request; others are left as they are.
      jitter: returns a random Retry-After from the longest one, seconds.

    Raises:
      refusals.RefusalError: no router knows what began the stream, or no
        endpoint of that version is listed.
    """
    request = context.request
    if context.route.kind is not configuration.Kind.STREAM:
      return
    if request.last_event is None and not request.resumes:
      return
    if not request.resumes:
      await self._bind_to_sole_version(context, jitter(_UNKNOWN_RETRY_S))
      return
    key = stream_holders.key_of(_team(context), request.resumes)
    lookup = await self._keepers.find(key)
    facts = {
        "resumes": request.resumes,
        "known_by": lookup.source,
        "age_s": round(lookup.age_s, 3),
        "asked": lookup.asked,
        "unanswered": lookup.unanswered,
    }
    if lookup.record is None:
      raise refusals.unknown_stream(jitter(_UNKNOWN_RETRY_S), facts)
    row = self._find_origin(context.route, lookup.record)
    if row is None:
      facts["versions"] = self._versions(context.route)
      raise refusals.version_gone(jitter(_VERSION_RETRY_S), facts)
    self._bind_to(context, lookup.record, row)
    count = len(self._directory.endpoints.of_version(row.kind, row.version))
    logger.info(
        "stream bound",
        extra={
            "request": request.id,
            "last_event": request.last_event,
            "service": row.kind,
            "version": row.version,
            "endpoints": count,
            **facts,
        },
    )

  async def _bind_to_sole_version(
      self,
      context: request_context_lib.RequestContext,
      retry_after_s: float,
  ) -> None:
    """Binds a stream of which the caller does not name the beginning.

    It is known what began it if the route leads to one service, all of whose
    endpoints have had one version for as long as the caller may have waited, until
    the request arrived: others may know of a new version earlier, begin the stream
    there and lose it.

    Raises:
      refusals.RefusalError: it is not known.
    """
    for_s = _left_s(context)
    version = await self._find_sole_version(context, for_s)
    running_s = self._host_load.running_s
    facts = {
        "resumes": "",
        "known_by": "server list",
        "for_s": round(for_s, 3),
        "list_age_s": round(min(self._directory.list_age_s, _MAX_LOGGED_S), 3),
        "running_s": round(min(running_s, _MAX_LOGGED_S), 3),
        "versions": self._versions(context.route),
    }
    if version is None:
      raise refusals.unknown_stream(retry_after_s, facts)
    context.bound_version = version
    logger.info(
        "stream bound",
        extra={
            "request": context.request.id,
            "last_event": context.request.last_event,
            "service": context.service.name,
            "version": version,
            **facts,
        },
    )

  async def _find_sole_version(
      self, context: request_context_lib.RequestContext, for_s: float
  ) -> str | None:
    """Returns the only version of a route's endpoints; None if it is not known."""
    service = context.service.name
    if len({share.service for share in context.route.split}) != 1:
      return None
    if self._directory.sole_version(service, for_s) is None:
      return None
    time_s = context.deadline - context.arrived_at
    wait_s = min(_MAX_LIST_WAIT_S, time_s * _LIST_WAIT_SHARE)
    if not await self._directory.wait_for_list(context.arrived_at, wait_s):
      return None
    if self._host_load.running_s < _MIN_RUNNING_S:
      return None
    return self._directory.sole_version(service, for_s)

  def _find_origin(
      self, route: configuration.Route, record: stream_records.StreamRecord
  ) -> endpoints.Row | None:
    """Returns an endpoint of the service and version that began a stream.

    The service may have left the configuration since the request was admitted.
    """
    services = {share.service for share in route.split}
    services &= self._services().keys()
    for row in self._directory.endpoints.rows.values():
      if row.kind not in services or row.state == "unusable":
        continue
      if stream_records.origin_of(row.kind, row.version) == record.origin:
        return row
    return None

  def _services(self) -> Mapping[str, configuration.Service]:
    config = self._directory.configuration
    return config.services if config is not None else {}

  def _versions(self, route: configuration.Route) -> list[str]:
    services = {share.service for share in route.split}
    rows = self._directory.endpoints.rows.values()
    found = {
        f"{row.kind} {row.version}" for row in rows if row.kind in services
    }
    return sorted(found)[:_MAX_LOGGED_ENTRIES]

  def _bind_to(
      self,
      context: request_context_lib.RequestContext,
      record: stream_records.StreamRecord,
      row: endpoints.Row,
  ) -> None:
    context.service = self._services()[row.kind]
    context.bound_version = row.version
    context.stream_record = record

  def note_sent(
      self, context: request_context_lib.RequestContext, row: endpoints.Row
  ) -> None:
    """Copies to other routers what begins a stream, or keeps it known.

    Called when the request has been sent to an endpoint. The copies are usually
    confirmed before the endpoint's first event arrives.
    """
    if context.route.kind is not configuration.Kind.STREAM:
      return
    if not context.route.resumable:
      return
    if context.bound_version is not None:
      self._renew(context)
      return
    origin = stream_records.origin_of(row.kind, row.version)
    earlier = context.announcement
    if earlier is not None and earlier.record.origin == origin:
      return
    record = stream_records.make_record(
        stream_holders.key_of(_team(context), context.request.id),
        origin,
        context.attempts_sent,
        _left_s(context),
    )
    context.announcement = self._keepers.announce(record, earlier)

  def _renew(self, context: request_context_lib.RequestContext) -> None:
    """Keeps the record of a resumed stream as long as its caller may wait."""
    record = context.stream_record
    if record is None or context.announcement is not None:
      return
    renewed = stream_records.make_record(
        record.key, record.origin, record.attempt, _left_s(context)
    )
    context.announcement = self._keepers.announce(renewed)

  async def begin(self, context: request_context_lib.RequestContext) -> None:
    """Binds a stream to the endpoint whose first event is to be passed on."""
    if context.bound_version is not None:
      return
    announcement = context.announcement
    if announcement is not None:
      if not await self._keepers.wait_confirmed(announcement):
        logger.warning(
            "record of stream not confirmed",
            extra={
                "request": context.request.id,
                "version": context.version,
                "try": announcement.record.attempt,
                "holders": announcement.holder_count,
                "unconfirmed": sorted(announcement.unconfirmed),
            },
        )
    context.bound_version = context.version


def _team(context: request_context_lib.RequestContext) -> str:
  return context.team.name if context.team else ""


def _left_s(context: request_context_lib.RequestContext) -> float:
  """Returns the seconds for which the caller may resume the stream."""
  wait_s = context.request.caller_timeout_s or 0.0
  return max(wait_s, context.route.timeout.total_seconds()) + _RECORD_MARGIN_S
