"""The simulated network: faults between hosts and of the store."""

import collections
import dataclasses

import anyio

from mustardfall import errors

_PEER_CALL_S = 0.003
"""Duration of a call between routers, including its processing."""
_CONNECTION_REFUSED_S = 0.002
"""Time until a connection to a port that nobody listens on is refused."""


@dataclasses.dataclass
class Network:
  """The active faults. They are counted, as several may overlap."""

  cut_from_store: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Hosts that cannot reach the store; their calls time out."""
  refused_by_store: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Hosts whose calls the store refuses at once."""
  cut_from_peers: collections.Counter[str] = dataclasses.field(
      default_factory=collections.Counter
  )
  """Hosts that cannot reach any other host."""
  silent: int = 0
  """Number of active outages in which the store does not respond."""
  busy: int = 0
  """Number of active outages in which the store refuses all calls."""
  latency_factor: float = 1.0
  """Factor on the store's usual latency."""
  lost_write_share: float = 0.0
  """Share of writes that the store applies, but whose reply is lost."""
  max_late_s: float = 0.0
  """Maximum delay after which those writes are applied."""
  powered_off: set[str] = dataclasses.field(default_factory=set)

  def reaches_store(self, host: str) -> bool:
    """Whether calls of `host` reach the store."""
    return not self.silent and not self.cut_from_store[host]

  def is_refused(self, host: str) -> bool:
    """Whether the store refuses the calls of `host`."""
    return bool(self.busy or self.refused_by_store[host])

  async def call_peer(
      self, caller: str, called: str, is_listening: bool, timeout_s: float
  ) -> None:
    """Simulates the duration and the failure of a call to another host.

    Raises:
      errors.PeerUnavailableError: the host is unreachable or refuses the
        connection.
    """
    unreachable = self.cut_from_peers[caller] or self.cut_from_peers[called]
    if unreachable or called in self.powered_off:
      await anyio.sleep(timeout_s)
      raise errors.PeerUnavailableError(f"no answer from {called}")
    if not is_listening:
      await anyio.sleep(_CONNECTION_REFUSED_S)
      raise errors.PeerUnavailableError(f"connection refused by {called}")
    await anyio.sleep(_PEER_CALL_S)
