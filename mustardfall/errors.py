"""Internal exceptions; callers get a verdict instead."""


class Error(Exception):
  """Base class of mustardfall's exceptions."""


class SettingsError(Error):
  """A settings file is missing, unreadable or has an invalid key."""


class KvUnavailableError(Error):
  """The key-value service is unavailable; a write was not applied."""


class KvConflictError(KvUnavailableError):
  """Every attempt to write conflicted with a concurrent write; the KV is up.

  A subclass, because in both cases the write was not applied.
  """


class KvUnknownError(Error):
  """A write was sent but got no response: it may have been applied."""


class PeerUnavailableError(Error):
  """No valid response of another router; the call may have been applied."""


class CatalogueConflictError(Error):
  """The catalogue was changed concurrently; nothing was written."""


class MismatchedResponseError(Error):
  """An engine sent an event of another response; the stream must end."""


class RejectedRequestError(Error):
  """A caller's request is rejected with HTTP status `status`."""

  def __init__(
      self,
      reason: str,
      status: int = 400,
      retry_after_s: float | None = None,
  ) -> None:
    super().__init__(reason)
    self.status = status
    self.retry_after_s = retry_after_s


class OverloadedError(RejectedRequestError):
  """Too little memory for a request that is not yet read completely."""

  def __init__(self, reason: str, retry_after_s: float) -> None:
    super().__init__(reason, 503, retry_after_s)


class EndpointUnreachableError(Error):
  """Connecting to an endpoint failed: the request was not sent.

  Args:
    reason: what failed.
    is_refused: whether a host answered that nothing listens there.
  """

  def __init__(self, reason: str, is_refused: bool = False) -> None:
    super().__init__(reason)
    self.is_refused = is_refused


class EndpointWithheldError(EndpointUnreachableError):
  """Another router sends an endpoint nothing, since it leaves or wants rest.

  Args:
    reason: `leaving` or `resting`.
    rest_s: seconds that are left of the rest; 0 if the endpoint leaves.
  """

  def __init__(self, reason: str, rest_s: float) -> None:
    super().__init__(f"withheld by another router: {reason}")
    self.is_leaving = reason == "leaving"
    self.rest_s = rest_s


class ExitUnavailableError(Error):
  """Another router opened no tunnel: the request was not sent."""


class NoExitError(EndpointUnreachableError):
  """Neither this router nor any other it knows reaches the endpoint."""


class InvalidResponseError(Error):
  """An endpoint's response is incomplete or invalid.

  The request may have run.
  """


class ResponseTimeoutError(InvalidResponseError):
  """No data within the timeout; the request may still be running."""
