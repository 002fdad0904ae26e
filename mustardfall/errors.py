"""Internal exceptions; callers never see these, only verdicts."""


class Error(Exception):
  """Base of mustardfall's own exceptions."""


class SettingsError(Error):
  """A settings file is missing, unreadable or has a bad key."""


class KvUnavailableError(Error):
  """The key-value service did not answer; the write did not happen."""


class KvConflictError(KvUnavailableError):
  """Others wrote the same keys first each time; the KV itself answers."""


class KvUnknownError(Error):
  """A write was sent but no reply came: it may have taken effect."""


class PeerUnavailableError(Error):
  """Another router gave no usable answer; the call may have taken effect."""


class CatalogueConflictError(Error):
  """Another operator changed the catalogue first; nothing was written."""


class CrossedAnswerError(Error):
  """An engine sent an event of another answer; the stream must end."""


class BadRequestError(Error):
  """A caller's request is malformed; `status` is what it is told."""

  def __init__(
      self,
      reason: str,
      status: int = 400,
      retry_after_s: float | None = None,
  ) -> None:
    super().__init__(reason)
    self.status = status
    self.retry_after_s = retry_after_s


class BusyError(BadRequestError):
  """There is no room for a request that has not been read whole."""

  def __init__(self, reason: str, retry_after_s: float) -> None:
    super().__init__(reason, 503, retry_after_s)


class EndpointUnreachableError(Error):
  """No connection to an endpoint could be made: the request was not sent."""


class BrokenAnswerError(Error):
  """An endpoint's answer ended early or is not one: it may have run."""


class SilentEndpointError(BrokenAnswerError):
  """An endpoint gave no answer for too long; nothing says that it ended."""
