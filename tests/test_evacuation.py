"""Evacuated data centres: their endpoints get no new requests."""

import json
import logging

import anyio
from click import testing
import testtools

from mustardfall import cli
from mustardfall import settings
from mustardfall.platform import documents
from mustardfall.routing import endpoints
from tests import fleetcase
from tests import platformcase

EVACUATION_KEY = "op/evacuate/dc"


def run_with_platform(test, **kwargs):
  """Runs `test(env)` on the emulated platform."""

  async def _run():
    with anyio.fail_after(30):
      async with platformcase.running(**kwargs) as env:
        await test(env)

  anyio.run(_run)


class GatewayTest(testtools.TestCase):

  def test_evacuated_endpoints_get_no_requests_until_taken_back(self):
    async def _test(env):
      def evacuated():
        return env.gateway.directory.endpoints.evacuated

      self.assertEqual(200, (await env.call("/look/a", "r1")).status)
      env.store.put(EVACUATION_KEY, {})
      await env.wait_until(lambda: evacuated() == {"dc"})
      response = await env.call("/look/a", "r2")
      self.assertEqual(503, response.status)
      self.assertIn("retry-after", response.headers)
      env.store.remove(EVACUATION_KEY)
      await env.wait_until(lambda: not evacuated())
      self.assertEqual(200, (await env.call("/look/a", "r3")).status)
      received = [r.target for r in env.servers["i-1"].received]
      self.assertEqual(2, len(received))

    run_with_platform(_test)

  def test_stream_in_flight_ends_at_its_evacuated_endpoint(self):
    async def _test(env):
      behaviour = env.servers["i-1"].behaviour
      behaviour.events, behaviour.event_interval_s = 20, 0.05
      async with env.caller() as caller:
        await caller.send("/once/a", "r1", token_usage="10,80")
        await env.wait_until(lambda: env.servers["i-1"].received)
        env.store.put(EVACUATION_KEY, {})
        directory = env.gateway.directory
        await env.wait_until(lambda: directory.endpoints.evacuated)
        response = await caller.receive()
      self.assertEqual(200, response.status)
      self.assertEqual(20, response.body.count(b"data:"))

    run_with_platform(_test)

  def test_new_version_of_the_configuration_leaves_the_evacuation(self):
    async def _test(env):
      directory = env.gateway.directory
      env.store.put(EVACUATION_KEY, "unexpected value")
      await env.wait_until(lambda: directory.endpoints.evacuated)
      env.configure(version=2)
      await env.wait_until(lambda: directory.configuration.version == 2)
      self.assertEqual({"dc"}, directory.endpoints.evacuated)

    run_with_platform(_test)

  def test_router_without_the_store_learns_of_it_from_others(self):
    # The store turns one host away. It must send nothing more to the
    # evacuated endpoints either.
    async def _test(env):
      away = await env.add_gateway("front-2")
      await env.wait_until(lambda: len(away.accounts.members.lives) == 2)
      env.store.faults.rejected_hosts.add("front-2")
      env.store.put(EVACUATION_KEY, {})
      await env.wait_until(lambda: away.directory.endpoints.evacuated)

    run_with_platform(_test)


class DecodeTest(testtools.TestCase):

  def test_zones_are_read_from_the_keys(self):
    keys = ["op/config", "op/evacuate/b", "op/evacuate/", "op/evacuate/a"]
    field = documents.encode_evacuations(keys)
    self.assertEqual({documents.EVACUATIONS_PREFIX: ["a", "b"]}, field)
    self.assertEqual({"a", "b"}, documents.decode_evacuations(field))
    self.assertEqual({}, documents.encode_evacuations(["op/config"]))
    self.assertEqual(frozenset(), documents.decode_evacuations({}))

  def test_unreadable_field_of_another_router_changes_nothing(self):
    for value in (None, "dc", [1], {"dc": 1}):
      field = {documents.EVACUATIONS_PREFIX: value}
      self.assertIsNone(documents.decode_evacuations(field))

  def test_unknown_data_centre_is_logged_and_hides_no_endpoint(self):
    table = endpoints.Table(settings.Scheduler())
    table.update(
        [
            endpoints.EndpointEntry(
                name="e", url="e:1", datacentre="dc", kind="pool", models=[]
            )
        ]
    )
    with self.assertLogs(
        "mustardfall.routing.endpoints", logging.ERROR
    ) as logs:
      table.evacuate(frozenset({"nowhere"}))
    self.assertEqual(["nowhere"], logs.records[0].datacentres)
    self.assertEqual(1, len(table.eligible("pool", "")))


class CommandTest(fleetcase.FleetCase):

  def _run(self, *arguments):
    command = ["catalogue", "evacuate", *arguments, "--kv", self.urls["kv"]]
    return testing.CliRunner().invoke(cli.main, command)

  def _status(self):
    try:
      self.client(self.routers[0]).chat.completions.create(
          model=fleetcase.ENTRY.model,
          messages=[{"role": "user", "content": "hi"}],
          max_tokens=4,
      )
    except Exception as exc:  # noqa: BLE001  any failure has a status
      return getattr(exc, "status_code", None)
    return 200

  def _wait_for(self, status):
    async def _wait():
      with anyio.fail_after(10):
        while self._status() != status:
          await anyio.sleep(0.1)

    anyio.run(_wait)

  def test_operator_evacuates_a_data_centre_and_takes_it_back(self):
    self.start()
    self.assertEqual(200, self._status())
    result = self._run("lier-a")
    self.assertEqual({"evacuated": ["lier-a"]}, json.loads(result.output))
    self._wait_for(503)
    result = self._run("lier-a", "--back")
    self.assertEqual({"evacuated": []}, json.loads(result.output))
    self._wait_for(200)
    self.assertNotEqual(0, self._run("lier-a", "--back").exit_code)
