"""Renews all of a router's promises at once, with one small write.

A promise allows more the longer its holder is not heard of, so a holder that
is well but has little to report seems to have drawn more and more. A renewal
says: at this moment every promise still held, and counts anew from here. A
later life of the router reads it when it judges what the dead one can have
drawn.

Each router has a key of its own, so renewals meet no conflicts.
"""

from collections.abc import Callable, Mapping
import logging
from typing import NamedTuple, TypedDict

import anyio

from mustardfall import errors
from mustardfall import settings
from mustardfall.budget import allotment
from mustardfall.kv import change as change_lib
from mustardfall.kv import writer as writer_lib
from mustardfall.util import clock as clock_lib

logger = logging.getLogger(__name__)

PREFIX = "renewal/"
_READ_RETRY_S = 0.1
"""Between two reads of a store that did not answer."""
_MAX_LIVES = 4
"""Earlier lives whose last renewal is kept: a router that dies again before
it has judged the life before leaves both to the next."""


class Renewals(TypedDict):
  """A router's value in the KV."""

  lives: dict[str, list[float]]
  """Life to the moment of its last renewal."""


class Renew(NamedTuple):
  """Says that all promises of `life` hold, and count anew from `moment`."""

  life: str
  moment: clock_lib.Moment


class Read(NamedTuple):
  """Changes nothing; its writer reads what is there."""


@change_lib.apply.register
def _(change: Read, value: Renewals | None) -> Renewals | None:
  del change, value
  return None


@change_lib.apply.register
def _(change: Renew, value: Renewals | None) -> Renewals | None:
  lives = dict(value["lives"]) if value is not None else {}
  before = lives.pop(change.life, None)
  if before is not None and before[0] >= change.moment.boot_s:
    return None
  lives[change.life] = list(change.moment)
  while len(lives) > _MAX_LIVES:
    del lives[next(iter(lives))]
  return Renewals(lives=lives)


class Renewer:
  """Renews this router's promises, and knows its earlier lives' renewals.

  Args:
    config: how often to renew.
    clock: the time source.
    life: this router's life.
    table: its allotments.
    writer: the batch writer to the KV.
    vouch: marks a moment of this host as agreed, if it is.
  """

  def __init__(
      self,
      config: settings.Allotment,
      clock: clock_lib.Clock,
      life: str,
      table: allotment.Table,
      writer: writer_lib.Writer,
      vouch: Callable[[clock_lib.Moment], clock_lib.Moment],
  ) -> None:
    self._config = config
    self._clock = clock
    self._life = life
    self._table = table
    self._writer = writer
    self._vouch = vouch
    self._earlier_renewals: dict[str, clock_lib.Moment] = {}
    self._loaded = anyio.Event()
    self._unconfirmed: list[float] | None = None
    """The moment of a renewal that was not heard of yet."""

  @property
  def key(self) -> str:
    """The key in the KV."""
    return PREFIX + self._life.rpartition(":")[0]

  def update(self, value: Renewals) -> None:
    """Takes in what the KV holds."""
    for life, moment in value["lives"].items():
      if life != self._life:
        self._earlier_renewals[life] = clock_lib.Moment(*moment)
      elif list(moment) == self._unconfirmed:
        self._unconfirmed = None
    self._loaded.set()

  async def earlier_renewals(
      self, timeout_s: float
  ) -> Mapping[str, clock_lib.Moment]:
    """Returns the last renewals of earlier lives, as far as known by then."""
    if self._config.reports and not self._loaded.is_set():
      with anyio.move_on_after(timeout_s):
        await self._read_earlier()
    return self._earlier_renewals

  async def _read_earlier(self) -> None:
    """Reads them: this life may never have a promise of its own to renew."""
    while not self._loaded.is_set():
      try:
        found = await self._writer.submit(self.key, Read())
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.debug("renewals not read: %s", exc)
        await anyio.sleep(_READ_RETRY_S)
        continue
      if found is not None:
        self.update(found)
      self._loaded.set()

  def renew(self) -> None:
    """Renews soon, if all promises hold and the last renewal was heard of.

    A holder that was out of touch may have drawn more than it had promised
    at first; it reports that before it renews. A renewal that is sent may
    stand, so the holder counts from it at once. Sent again and again into a
    silent store, they would keep it from drawing more when it must.
    """
    table = self._table
    if self._unconfirmed is not None or not table.has_issued_ceilings:
      return
    if not table.within_issued_ceilings():
      return
    moment = self._vouch(self._clock.moment())
    now = self._clock.monotonic()
    self._table.renew_ceilings(now)
    self._unconfirmed = list(moment)
    self._writer.post(self.key, Renew(self._life, moment))
