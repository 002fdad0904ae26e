"""Finds routers that reach the store while this router does not.

They are found as exits to endpoints are, see `exits`.
"""

from collections.abc import Callable

from mustardfall.membership import exits as exits_lib
from mustardfall.membership import members as members_lib

QUESTION = "/store"
"""What routers are asked whether they reach it. Services have no names with a
slash, so that it is not the name of one."""


class StoreRelays:
  """Routers that reach the store; implements `acquiring.StoreRelays`.

  Args:
    exits: returns what asks other routers and knows those that answered.
    datacentre: this router's own; routers there are named first.
  """

  def __init__(
      self, exits: Callable[[], exits_lib.Exits], datacentre: str
  ) -> None:
    self._exits = exits
    self._datacentre = datacentre

  async def find(self) -> list[members_lib.Member]:
    """Returns routers that reach the store, in the order to try them."""
    return await self._exits().find(QUESTION, self._datacentre)

  def drop(self, life: str, reason: str) -> None:
    """Stops naming a router until it is asked again: it did not reach it."""
    self._exits().forget(QUESTION, life, reason)
