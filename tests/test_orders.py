"""Orders to engines that check fencing tokens, and to engines that don't."""

import time

import httpx

from mustardfall.catalogue import model
from mustardfall.catalogue import store
from tests import fleetcase

_ENGINE = "engine-lier-a"


class OrderTest(fleetcase.FleetCase):

  def _place(self, *models: str) -> int:
    placement = model.PlacementSpec(engine=_ENGINE, models=list(models))
    spec = model.CatalogueSpec(placements=[placement], entries=[])
    return self.call_kv(lambda kv: store.apply(kv, spec, partial=True))

  def _loaded(self) -> set[str]:
    reply = httpx.get(self.urls[_ENGINE] + "/v1/models")
    return {m["id"] for m in reply.json()["data"]}

  def _order_late(self, revision: int, name: str) -> int:
    """Sends the order that a paused router would send when it resumes."""
    return httpx.post(
        self.urls[_ENGINE] + "/orders",
        json={"order": "load", "model": name},
        headers={"fencing-token": str(revision)},
    ).status_code

  def test_late_order_is_refused_or_undone(self):
    # Operators place a model, then replace it by another. A router that was
    # paused in between resumes and sends its old order. An engine that checks
    # the token refuses the order; one that ignores it executes the order,
    # which is undone within two rounds.
    for honours in (True, False):
      self.start(routers=2, engine={"honours_fencing": honours}, orders_s=0.3)
      old = self._place("appraisal", "adapter-1")
      self.wait_until(lambda: self._loaded() == {"appraisal", "adapter-1"})
      self._place("appraisal", "adapter-2")
      self.wait_until(lambda: self._loaded() == {"appraisal", "adapter-2"})
      self.assertEqual(409 if honours else 200, self._order_late(old, "old"))
      time.sleep(1.5)
      self.assertEqual({"appraisal", "adapter-2"}, self._loaded())
      self.fleet.stop()

  def test_router_with_an_outdated_catalogue_sends_no_order(self):
    # A router is cut off from the KV while the operators replace a model. Its
    # catalogue is out of date, so it must not send orders.
    self.start(orders_s=0.3, engine={"honours_fencing": False})
    self._place("appraisal", "adapter-1")
    self.wait_until(lambda: "adapter-1" in self._loaded())
    self.inject("kv", blocked=["router-1"])
    revision = self._place("appraisal", "adapter-2")
    self._order_late(revision, "adapter-2")  # from a router that is not cut off
    before = self.standin_stats(_ENGINE)["orders"]
    time.sleep(1.0)
    self.assertEqual(before, self.standin_stats(_ENGINE)["orders"])
    self.inject("kv", blocked=[])
    self.wait_until(lambda: self._loaded() == {"appraisal", "adapter-2"})
