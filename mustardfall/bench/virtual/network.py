"""Who reaches whom, and what state the store is in."""

import collections
import dataclasses

import anyio

from mustardfall import errors

_PEER_S = 0.003
"""A call between routers, there and back, and the work on it."""
_REFUSED_S = 0.002
"""Time to hear that no process listens."""


@dataclasses.dataclass
class Network:
  """The faults in force. Each is counted, as several may overlap."""

  from_store: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Hosts without a way to the store: calls hang."""
  refused: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Hosts that the store turns away at once."""
  from_peers: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Hosts without a way to any other."""
  silent: int = 0
  """Store outages in which it answers nothing."""
  busy: int = 0
  """Store outages in which it turns everybody away."""
  slow_x: float = 1.0
  """Times its usual that the store takes."""
  lose: float = 0.0
  """Share of the store's writes that are done and not answered."""
  late_s: float = 0.0
  """How much later than asked those are done, at most."""
  powered_off: set[str] = dataclasses.field(default_factory=set)

  def reaches_store(self, host: str) -> bool:
    """Whether the store hears `host`."""
    return not self.silent and not self.from_store[host]

  def is_refused(self, host: str) -> bool:
    """Whether the store turns `host` away."""
    return bool(self.busy or self.refused[host])

  async def call_peer(
      self, caller: str, called: str, listens: bool, timeout_s: float
  ) -> None:
    """Takes as long as a call to another host.

    Raises:
      errors.PeerUnavailableError: no answer.
    """
    cut = self.from_peers[caller] or self.from_peers[called]
    if cut or called in self.powered_off:
      await anyio.sleep(timeout_s)
      raise errors.PeerUnavailableError("no answer")
    if not listens:
      await anyio.sleep(_REFUSED_S)
      raise errors.PeerUnavailableError("refused")
    await anyio.sleep(_PEER_S)
