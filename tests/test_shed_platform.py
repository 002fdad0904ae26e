"""Load above capacity at plain servers, on the emulated platform."""

import collections
from typing import NamedTuple
from unittest import mock

import anyio
import testtools

from tests import platformcase

_SERVERS = 4
_SLOTS = 4
_QUEUE = 4
"""Requests that a server queues: "a few more" than its slots."""
_WORK_S = 0.4
"""Long, so that the processor time of the test does not limit the rate."""
_CAPACITY_PER_S = _SERVERS * _SLOTS / _WORK_S
_OVERLOAD = 1.6
_ROUTERS = 6
_OBJECTIVE_S = 1.2
_DEADLINE_S = 4.0
_PLAY_S = 12.0
_WORTHS = (5.0, 1.0, 0.1)
"""Worth of an answer by rank."""
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

  def __init__(self, env, routers) -> None:
    self._env = env
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
    sent_at = anyio.current_time()
    response = await self._env.call(
        f"/rank{rank}/a", id_, router, deadline_ms=str(int(_DEADLINE_S * 1000))
    )
    took_s = anyio.current_time() - sent_at
    self.outcomes[rank].append(
        _Outcome(
            response.status,
            took_s,
            "retry-after" in response.headers,
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
          routers = await env.add_routers(_ROUTERS)
          await env.wait_until(
              lambda: all(
                  r.directory.configuration.version == 2 for r in routers
              )
          )
          await test(env, routers)

    with mock.patch.dict(
        platformcase.ROUTER_SETTINGS, proxy={"load_shedding": "cost"}
    ):
      anyio.run(go)

  def _check(self, play, min_top, min_worth, seconds=_PLAY_S) -> None:
    figures = {
        "served": [round(play.served(rank), 3) for rank in range(3)],
        "worth": round(play.worth_ratio(seconds), 3),
        "statuses": collections.Counter(
            outcome.status for outcome in play.all_outcomes()
        ),
        "reasons": collections.Counter(
            (rank, outcome.status, outcome.reason)
            for rank, outcomes in play.outcomes.items()
            for outcome in outcomes
        ),
        "took": [
            [
                round(
                    sorted(
                        o.took_s for o in play.outcomes[r] if o.status == 200
                    )[int(q * play.served(r) * len(play.outcomes[r])) - 1],
                    2,
                )
                for q in (0.5, 0.9, 1)
            ]
            for r in range(3)
        ],
    }
    print(figures)
    self.assertGreaterEqual(play.served(0), min_top, figures)
    self.assertGreaterEqual(play.worth_ratio(seconds), min_worth, figures)
    self.assertEqual(0, figures["statuses"][504], figures)

  def test_rejections_cost_callers_least(self):
    """Guards against urgent requests that queue behind less urgent ones."""

    async def test(env, routers):
      await _Play(env, routers).run(1.0, overload=0.5)
      for server in env.servers.values():
        server.busy_s = 0.0
      play = _Play(env, routers)
      began_at = anyio.current_time()
      await play.run(_PLAY_S)
      took_s = anyio.current_time() - began_at
      self._check(play, 0.97, 0.85)
      busy_s = sum(server.busy_s for server in env.servers.values())
      used = busy_s / (_SERVERS * _SLOTS * took_s)
      print("used", used)
      self.assertGreaterEqual(used, 0.9)
      total = sum(play.served(rank) for rank in range(3)) / 3
      for rank in range(3):
        self.assertGreaterEqual(play.served(rank), total / 4)
      for outcome in play.all_outcomes():
        if outcome.status != 200:
          self.assertIn(outcome.status, (429, 503))
          self.assertTrue(outcome.has_retry_after)
          self.assertLessEqual(outcome.took_s, _MAX_REJECTION_S)

    self._run(test)

  def test_nothing_is_rejected_with_room_for_all(self):
    """Guards against rejections where no capacity is short."""

    async def test(env, routers):
      play = _Play(env, routers)
      await play.run(4.0, overload=0.6)
      statuses = {outcome.status for outcome in play.all_outcomes()}
      self.assertEqual({200}, statuses)

    self._run(test)
