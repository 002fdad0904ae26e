"""Load above capacity at plain servers, on the emulated platform."""

import collections
import random
from typing import NamedTuple
from unittest import mock

import anyio
import testtools

from mustardfall.bench import fleet
from mustardfall.membership import datagrams as datagrams_lib
from mustardfall.membership import members as members_lib
from tests import platformcase

_SERVERS = 4
_SLOTS = 4
_QUEUE = 4
"""Requests that a server queues: "a few more" than its slots."""
_WORK_S = 0.8
"""Long, so that the processor time of the test does not limit the rate."""
_CAPACITY_PER_S = _SERVERS * _SLOTS / _WORK_S
_OVERLOAD = 1.6
_ROUTERS = 6
_OBJECTIVE_S = 2.4
_DEADLINE_S = 8.0
_PLAY_S = 16.0
_WORTHS = (5.0, 1.0, 0.1)
"""Worth of an answer by rank."""
_MIN_SERVED_TOP = 0.97
_MIN_WORTH = 0.85
_MIN_USED = 0.9
_MAX_REJECTION_S = 0.1
_LOST = 0.3
"""Share of datagrams that are lost."""


class _Outcome(NamedTuple):
  status: int
  took_s: float
  has_retry_after: bool
  reason: str = ""


def _configuration() -> dict:
  config = platformcase.configuration()
  config["routes"] = [
      platformcase.route(
          f"rank{rank}",
          f"/rank{rank}/",
          "unsafe" if rank == 1 else "safe",
          priority=rank,
          slo_ms=_OBJECTIVE_S * 1000,
          timeout_ms=_DEADLINE_S * 1000,
      )
      for rank in range(len(_WORTHS))
  ]
  return config


class _Play:
  """Callers of all ranks that send requests at a steady rate."""

  def __init__(self, env, routers, retries: int = 0) -> None:
    self._env = env
    self._retries = retries
    """How often a rejected caller returns."""
    self._routers = routers
    self.outcomes: dict[int, list[_Outcome]] = collections.defaultdict(list)

  async def run(self, seconds: float, overload: float = _OVERLOAD) -> None:
    interval_s = 1 / (overload * _CAPACITY_PER_S)
    began_at = anyio.current_time()
    async with anyio.create_task_group() as tg:
      for number in range(int(seconds / interval_s)):
        router = self._routers[number % len(self._routers)]
        # Each router gets requests of each rank.
        rank = (number // len(self._routers) + number) % len(_WORTHS)
        tg.start_soon(self._call, rank, f"r{began_at}-{number}", router)
        due_at = began_at + (number + 1) * interval_s
        await anyio.sleep(max(0.0, due_at - anyio.current_time()))

  async def _call(self, rank, id_, router) -> None:
    due_at = anyio.current_time() + _DEADLINE_S
    for tries in range(self._retries + 1):
      sent_at = anyio.current_time()
      left_s = due_at - sent_at
      response = await self._env.call(
          f"/rank{rank}/a",
          f"{id_}-{tries}",
          router,
          deadline_ms=str(int(left_s * 1000)),
      )
      retry_after_s = response.headers.get("retry-after")
      if retry_after_s is None or float(retry_after_s) > left_s / 3:
        break
      if tries < self._retries:
        await anyio.sleep(float(retry_after_s))
    self.outcomes[rank].append(
        _Outcome(
            response.status,
            anyio.current_time() - sent_at,
            retry_after_s is not None,
            response.body.decode() if response.status != 200 else "",
        )
    )

  def served(self, rank: int) -> float:
    """Returns the share of a rank's requests answered within the deadline."""
    outcomes = self.outcomes[rank]
    in_time = [
        o for o in outcomes if o.status == 200 and o.took_s <= _DEADLINE_S
    ]
    return len(in_time) / len(outcomes)

  def worth_ratio(self, seconds: float) -> float:
    """Returns the worth relative to that of perfect knowledge."""
    room = _CAPACITY_PER_S * seconds
    best = got = 0.0
    for rank, worth in enumerate(_WORTHS):
      count = len(self.outcomes[rank])
      best += worth * min(count, room)
      room = max(0.0, room - count)
      got += worth * self.served(rank) * count
    return got / best

  def all_outcomes(self) -> list[_Outcome]:
    return [o for outcomes in self.outcomes.values() for o in outcomes]


def _is_dropped(rng: random.Random):
  """Returns a handler of datagrams that loses some of them."""
  handle = datagrams_lib.Datagrams._handle

  def _handle(self, raw, sender):
    if rng.random() >= _LOST:
      handle(self, raw, sender)

  return _handle


class PlainOverloadTest(testtools.TestCase):

  def _run(self, test) -> None:
    async def go():
      with anyio.fail_after(60):
        async with platformcase.running(
            servers=tuple(f"i-{n}" for n in range(_SERVERS))
        ) as env:
          env.store.put("op/config", _configuration() | {"version": 2})
          for server in env.servers.values():
            server.behaviour.slots = _SLOTS
            server.behaviour.queue = _QUEUE
            server.behaviour.response_delay_s = _WORK_S
          port = fleet.free_port()
          routers = await env.add_routers(_ROUTERS, (port,))
          await env.wait_until(
              lambda: all(
                  r.directory.configuration.version == 2 for r in routers
              )
          )
          await _Play(env, routers).run(1.0, overload=0.5)
          for server in env.servers.values():
            server.busy_s = 0.0
          await test(env, routers, port)

    with mock.patch.dict(
        platformcase.ROUTER_SETTINGS, proxy={"load_shedding": "cost"}
    ):
      anyio.run(go)

  def _check(self, play: _Play) -> None:
    outcomes = play.all_outcomes()
    figures = {
        "served": [round(play.served(rank), 3) for rank in range(3)],
        "worth": round(play.worth_ratio(_PLAY_S), 3),
        "statuses": collections.Counter(
            (rank, outcome.status, outcome.reason)
            for rank, outcomes in play.outcomes.items()
            for outcome in outcomes
        ),
    }
    print(figures)
    self.assertTrue(play.served(0) >= _MIN_SERVED_TOP, figures)
    self.assertTrue(play.worth_ratio(_PLAY_S) >= _MIN_WORTH, figures)
    self.assertNotIn(504, [outcome.status for outcome in outcomes], figures)
    served_share = [o.status for o in outcomes].count(200) / len(outcomes)
    for rank in range(3):
      self.assertTrue(play.served(rank) >= served_share / 4, figures)

  def test_rejections_cost_callers_least(self):
    """Guards against urgent requests that queue behind less urgent ones."""

    async def test(env, routers, port):
      play = _Play(env, routers)
      began_at = anyio.current_time()
      await play.run(_PLAY_S)
      took_s = anyio.current_time() - began_at
      self._check(play)
      busy_s = sum(server.busy_s for server in env.servers.values())
      used = busy_s / (_SERVERS * _SLOTS * took_s)
      print("used", used)
      self.assertTrue(used >= _MIN_USED, used)
      for outcome in play.all_outcomes():
        if outcome.status != 200:
          self.assertEqual((503, True), outcome[:3:2], outcome)
          self.assertTrue(outcome.took_s <= _MAX_REJECTION_S, outcome)

    self._run(test)

  def test_callers_that_return_do_not_go_first(self):
    """Guards against rejected callers that return before there is room."""

    async def test(env, routers, port):
      play = _Play(env, routers, retries=1)
      await play.run(_PLAY_S)
      self._check(play)

    self._run(test)

  def test_lost_datagrams(self):
    """Guards against decisions that need each report of other routers."""
    rng = random.Random(1)

    async def test(env, routers, port):
      with mock.patch.object(
          datagrams_lib.Datagrams, "_handle", _is_dropped(rng)
      ):
        play = _Play(env, routers)
        await play.run(_PLAY_S)
      self._check(play)

    self._run(test)

  def test_fleet_with_trackers(self):
    """Guards against a fleet whose routers know endpoints by trackers only."""
    with mock.patch.object(members_lib, "MAX_SMALL_FLEET", _ROUTERS - 2):

      async def test(env, routers, port):
        self.assertTrue(all(r.trackers.is_used for r in routers))
        play = _Play(env, routers)
        await play.run(_PLAY_S)
        self._check(play)

      self._run(test)

  def test_restarted_router(self):
    """Guards against a router without knowledge that admits all ranks."""

    async def test(env, routers, port):
      play = _Play(env, routers)

      async def restart():
        await anyio.sleep(_PLAY_S / 3)
        killed = routers.pop(0)
        env.kill(killed)
        name, host = killed.config.name, killed.config.listen.host
        router = await env.add_gateway(name, host=host, port_range=(port,))
        routers.append(router)

      async with anyio.create_task_group() as tg:
        tg.start_soon(restart)
        await play.run(_PLAY_S)
      self._check(play)

    self._run(test)

  def test_nothing_is_rejected_with_room_for_all(self):
    """Guards against rejections where no capacity is short."""

    async def test(env, routers, port):
      play = _Play(env, routers)
      await play.run(_PLAY_S / 2, overload=0.6)
      statuses = {outcome.status for outcome in play.all_outcomes()}
      self.assertEqual({200}, statuses)

    self._run(test)
