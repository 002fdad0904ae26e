"""Renews all of a router's ceilings at once, with one small write.

A ceiling grows with the time since its holder was last heard of. A live holder
with little to report would thus appear to have drawn more and more. A renewal
states that at this moment all ceilings still held without their growth, and
restarts the growth from here. A later life of the router reads it to bound what
the dead life can have drawn.

Each router has its own key, so renewals do not conflict.
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
"""Pause between two reads if the store does not answer."""
_MAX_LIVES = 4
"""Number of lives whose last renewal is kept: a router that dies again before
it has reviewed its previous life leaves both to the next one."""


class Renewals(TypedDict):
  """A router's renewals as stored in the KV."""

  lives: dict[str, list[float]]
  """Life to the moment of its last renewal."""


class Renew(NamedTuple):
  """States that all ceilings of `life` hold and grow again from `moment`."""

  life: str
  moment: clock_lib.Moment


class Read(NamedTuple):
  """Changes nothing; used to read the key through the writer."""


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
  """Renews this router's ceilings and reads its earlier lives' renewals.

  Args:
    config: how often to renew.
    clock: the time source.
    life: this router's life.
    table: its allotments.
    writer: the batch writer to the KV.
    vouch: adds a clock error to a moment of this host if its clock was compared
      with other routers' clocks.
  """

  def __init__(
      self,
      config: settings.Allotment,
      clock: clock_lib.Clock,
      life: str,
      table: allotment.Table,
      writer: writer_lib.Writer,
      with_error_bound: Callable[[clock_lib.Moment], clock_lib.Moment],
  ) -> None:
    self._config = config
    self._clock = clock
    self._life = life
    self._table = table
    self._writer = writer
    self._with_error_bound = with_error_bound
    self._earlier_renewals: dict[str, clock_lib.Moment] = {}
    self._loaded = anyio.Event()
    self._unconfirmed: list[float] | None = None
    """Moment of a renewal that was not yet seen in the KV."""

  @property
  def key(self) -> str:
    """The router's key in the KV."""
    return PREFIX + self._life.rpartition(":")[0]

  def update(self, value: Renewals) -> None:
    """Updates this router's state from the value in the KV."""
    for life, moment in value["lives"].items():
      if life != self._life:
        self._earlier_renewals[life] = clock_lib.Moment(*moment)
      elif list(moment) == self._unconfirmed:
        self._unconfirmed = None
    self._loaded.set()

  async def earlier_renewals(
      self, timeout_s: float
  ) -> Mapping[str, clock_lib.Moment]:
    """Returns earlier lives' last renewals, waiting for a read of the KV."""
    if self._config.reports and not self._loaded.is_set():
      with anyio.move_on_after(timeout_s):
        await self._read_earlier()
    return self._earlier_renewals

  async def _read_earlier(self) -> None:
    """Reads the key: this life may never write a renewal of its own."""
    while not self._loaded.is_set():
      try:
        value = await self._writer.submit(self.key, Read())
      except (errors.KvUnavailableError, errors.KvUnknownError) as exc:
        logger.debug("renewals not read: %s", exc)
        await anyio.sleep(_READ_RETRY_S)
        continue
      if value is not None:
        self.update(value)
      self._loaded.set()

  def renew(self) -> None:
    """Posts a renewal if all ceilings hold and the last one is confirmed.

    A holder that was unreachable may be using more than its ceilings allowed
    without their growth; it reports that before it renews. A posted renewal may
    be written, so the growth restarts at once. Repeated posts to a store that
    does not answer would keep restarting it and block the holder from drawing
    more when it must.
    """
    table = self._table
    if self._unconfirmed is not None or not table.has_issued_ceilings:
      return
    if not table.within_issued_ceilings():
      return
    moment = self._with_error_bound(self._clock.moment())
    now = self._clock.monotonic()
    self._table.renew_ceilings(now)
    self._unconfirmed = list(moment)
    self._writer.post(self.key, Renew(self._life, moment))
