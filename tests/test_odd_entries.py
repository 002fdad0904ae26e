"""Odd entries among those of the servers, before routers in their own processes."""

import base64
import json

import anyio
import testtools

from mustardfall.bench import fleet
from mustardfall.emulator import server as server_lib
from tests import processcase

_DEPTH = 100_000
_LIST_S = 3.0
"""Longest time until a change of the list is followed."""
_ODD_FIELDS = {
    "address": (
        None,
        80,
        "",
        "127.0.0.1",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:65536",
        "127.0.0.1:99999999999999999999",
        "127.0.0.1:\u0661\u0662",
        "127.0.0.1:80\r\nx: y",
        "127.0.0.256:80",
        "[::1]:80",
        "\ud800:80",
        ["a"],
        {},
    ),
    "service": (None, 3, ["pool"], {}, "x" * 70_000),
    "zone": (None, 1, [], "\x00"),
    "version": (None, 1, {}, "v\n2"),
    "slots": (None, -1, 0, 1.5, "8", 10**400, float("nan"), float("inf")),
    "state": (None, 1, "unheard-of", []),
    "cold_left_ms": (None, -1, 10**30, "x", float("-inf")),
    "seq": (None, -1, 10**400, "x", []),
    "born": (None, -1, 10**400, float("nan"), "x"),
}
_ODD_TEXTS = (
    b"",
    b"null",
    b"[]",
    b"{",
    b"\xff\xfe",
    b"9" * 5_000,
    b"1e999",
    b"[" * _DEPTH,
    b'{"a":' * _DEPTH,
    b"[" * _DEPTH + b"]" * _DEPTH,
)
_ODD_KEYS = (
    "servers/",
    "servers//",
    "servers/a/b",
    "servers/..",
    "servers/ ",
    "servers/\x00",
    "servers/\u00e9",
    "servers/a\r\nx: y",
    "servers/" + "x" * 3_000,
)


def _entries(sound: dict) -> dict[str, str]:
  """Returns odd entries by key, in base64 but for two of them."""
  values = [json.dumps(sound | {"extra": 10**400}).encode(), *_ODD_TEXTS]
  for field, odd in _ODD_FIELDS.items():
    values += [json.dumps(sound | {field: value}).encode() for value in odd]
    without = {k: v for k, v in sound.items() if k != field}
    values.append(json.dumps(without).encode())
  entries = {f"servers/odd-{n:03}": value for n, value in enumerate(values)}
  entries |= dict.fromkeys(_ODD_KEYS, values[0])
  encoded = {k: base64.b64encode(v).decode() for k, v in entries.items()}
  return encoded | {"servers/text-1": "\u00e9", "servers/text-2": "a"}


class OddEntriesTest(testtools.TestCase):

  async def _find_unserved(self, env, name: str, count: int) -> list[str]:
    """Returns the log of those requests to both routers that are not served."""
    logs = []
    for number in range(count):
      for router in env.routers:
        id_ = f"{name}-{number}-{router.settings['node']}"
        response = await env.call("/look/a", id_, router)
        if response.status != 200:  # noqa: PLR2004
          lines = router.log.splitlines()
          logs += [f"{response.status}", *(x for x in lines if id_ in x)]
      await anyio.sleep(0.05)
    return logs

  async def _wait_until_used(self, env, id_: str) -> None:
    """Makes requests until a server has received one."""
    server = env.servers[id_]
    with anyio.fail_after(_LIST_S):
      while not server.received:
        await self._find_unserved(env, id_, 1)

  def _run(self, play) -> None:
    async def go():
      with anyio.fail_after(90):
        async with processcase.running_pair() as env:
          for number in range(2, 5):
            env.add_server(f"i-{number}", "v1")
          await play(env)
          for router in env.routers:
            self.assertTrue(router.is_running, router.log[-4000:])
            self.assertNotIn("loop failed", router.log)
            self.assertNotIn("Traceback", router.log)

    anyio.run(go)

  def test_odd_entries_all_at_once(self):
    """Guards against entries that end routers or keep the list from them."""

    async def play(env):
      sound = server_lib.make_registration(f"127.0.0.1:{fleet.free_port()}")
      for key, value in _entries(sound).items():
        env.store.put_encoded(key, value)
      self.assertEqual([], await self._find_unserved(env, "beside", 20))
      await env.routers[0].stop()
      env.routers[0].start()
      await env.routers[0].wait_until_ready()
      self.assertEqual([], await self._find_unserved(env, "restarted", 20))
      env.add_server("i-new", "v1")
      for id_ in ("i-1", "i-2", "i-3", "i-4"):
        env.list_server(id_, env.servers[id_].port, "v1", "draining")
      await self._wait_until_used(env, "i-new")

    self._run(play)

  def test_entries_at_which_nobody_listens(self):
    """Guards against routers that take themselves for cut off from all servers."""

    async def play(env):
      for number in range(14):
        address = f"127.0.0.1:{fleet.free_port()}"
        entry = server_lib.make_registration(address)
        env.store.put(f"servers/dead-{number:02}", entry)
      self.assertEqual([], await self._find_unserved(env, "dead", 40))
      address = f"127.0.0.1:{fleet.free_port()}"
      env.store.put("servers/dead-x", server_lib.make_registration(address))
      self.assertEqual([], await self._find_unserved(env, "more", 40))

    self._run(play)
