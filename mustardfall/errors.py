"""Internal exceptions; callers never see these, only verdicts."""


class Error(Exception):
  """Base of mustardfall's own exceptions."""


class SettingsError(Error):
  """A settings file is missing, unreadable or has a bad key."""


class KvUnavailableError(Error):
  """The key-value service did not answer; the write did not happen."""


class KvUnknownError(Error):
  """A write was sent but no reply came: it may have taken effect."""


class CatalogueRaceLostError(Error):
  """Another operator changed the catalogue first; nothing was written."""


class CrossedAnswerError(Error):
  """An engine sent an event of another answer; the stream must end."""
