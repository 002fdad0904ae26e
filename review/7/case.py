"""Rolling restart while clients are still sending the bodies of requests.

The three routers of one zone are stopped by SIGTERM and started again in turn,
twice. The clients of that zone send bookings of 100 kB, at the 0.8 Mbit/s of a
mobile uplink, on connections that they keep. The clients of the two other zones
use the model servers. Nothing else is disturbed.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import platform2  # noqa: E402

IP = "127.0.66."
ROUNDS = 2
BOOKING_CLIENTS = 57
TEXT_CLIENTS = 24
TEAMS = 10
BODY = b"b" * 100_000
SEND_S = 1.0
DEADLINE_S = 4.0
GRACE_S = 8.0


class Balancer:
  """Sends new connections to the routers of a zone that are in rotation."""

  def __init__(self, routers):
    self._routers = routers
    self._misses = dict.fromkeys(routers, 0)

  async def run(self):
    """Asks each router each second whether it is ready."""
    while True:
      for router in self._routers:
        is_ready = await router.is_ready()
        self._misses[router] = 0 if is_ready else self._misses[router] + 1
      await asyncio.sleep(1.0)

  def pick(self, rng):
    """Returns the router of a new connection."""
    ready = [r for r in self._routers if self._misses[r] < 2]
    return rng.choice(ready or self._routers)


def configuration():
  """Returns the configuration of the deployment."""
  routes = [
      platform2.route(
          "book",
          "/book/",
          "unsafe",
          service="desk",
          timeout_ms=int(DEADLINE_S * 1000),
      ),
      platform2.route("text", "/text/", "streaming", timeout_ms=10_000),
  ]
  config = platform2.configuration(5, routes)
  config["services"] = [
      {"name": "desk", "max_conns": 110, "health_path": "/health"},
      {
          "name": "pool",
          "max_conns": 370,
          "health_path": "/health",
          "engine": {"slots": 64, "kv_capacity": 400_000, "stride": 4},
      },
  ]
  config["tenants"] = [
      {"name": f"team-{n}", "api_keys": [f"key-{n}"], "prepaid": 5_000_000}
      for n in range(TEAMS)
  ]
  return config


async def case(record, folder, routers):
  """Returns whether the rule held."""
  trouble = os.environ.get("TROUBLE", "1") != "0"
  store = platform2.Store(record)
  await store.start(IP + "1")
  desk = platform2.Server(
      record, store, "i-desk", IP + "2", service="desk", work_s=0.09
  )
  muted = platform2.Muted(record)
  pool = platform2.Server(
      muted, store, "i-pool", IP + "3", service="pool", work_s=0.05
  )
  pool.events, pool.event_s = 30, 0.05
  for server in (desk, pool):
    await server.start()
  store.put("op/config", configuration())
  zones = ("zone-a", "zone-a", "zone-a", "zone-b", "zone-c")
  for number, zone in enumerate(zones):
    router = platform2.Router(
        record, folder, store, f"front-{number}", f"{IP}{10 + number}", zone
    )
    routers.append(router)
    router.start()
  for router in routers:
    await router.wait_ready()
  halls, others = Balancer(routers[:3]), Balancer(routers[3:])
  answers = {}
  stopped = asyncio.Event()

  async def use(balancer, name, path, body, send_s, pause_s, **headers):
    rng = random.Random(name)
    is_booking = path.startswith("/book/")
    client = platform2.Client(record if is_booking else muted, name)
    router = None
    count = 0
    await asyncio.sleep(rng.random())
    while not stopped.is_set():
      if client.is_open and rng.random() < 0.2:
        client.close()
      try:
        if not client.is_open:
          router = balancer.pick(rng)
          await client.open(router.front)
      except OSError:
        await asyncio.sleep(0.2)
        continue
      count += 1
      id_ = f"{name}-{count}"
      team = rng.randrange(TEAMS)
      named = {"credential": f"key-{team}", **headers}
      if "token_usage" in headers:
        named["prompt_prefix"] = f"{team:x}a1:350,{rng.getrandbits(48):x}:760"
      answer = await client.request("POST", path, id_, body, send_s, **named)
      answers[id_] = (answer, router)
      await asyncio.sleep(rng.uniform(*pause_s))

  tasks = [asyncio.ensure_future(s.heartbeat()) for s in (desk, pool)]
  tasks += [asyncio.ensure_future(b.run()) for b in (halls, others)]
  clients = [
      use(
          halls,
          f"book{n}",
          "/book/a",
          BODY,
          SEND_S,
          (0.1, 0.6),
          deadline_ms=f"{DEADLINE_S * 1000:.0f}",
      )
      for n in range(BOOKING_CLIENTS)
  ]
  clients += [
      use(
          others,
          f"text{n}",
          "/text/a",
          b"t" * 600,
          0.0,
          (0.1, 0.5),
          deadline_ms="10000",
          token_usage="1110,180",
          model="m",
      )
      for n in range(TEXT_CLIENTS)
  ]
  tasks += [asyncio.ensure_future(one) for one in clients]
  await asyncio.sleep(5.0)
  stops = []
  for _ in range(ROUNDS):
    for router in routers[:3]:
      if not trouble:
        await asyncio.sleep(6.0)
        continue
      stops.append((router, record.now()))
      router.signal(signal.SIGTERM)
      if not await router.wait_exit(GRACE_S):
        raise RuntimeError("router still running at the end of the grace time")
      router.start()
      await router.wait_ready()
      await asyncio.sleep(4.0)
  stopped.set()
  await asyncio.sleep(2.0)
  for task in tasks:
    task.cancel()
  return judge(record, desk, answers, stops)


def judge(record, desk, answers, stops):
  """Applies the rule to the bookings; returns whether it held."""
  lost = []
  for id_, (answer, router) in answers.items():
    runs = desk.runs.get(id_)
    if answer.is_complete or not runs:
      continue
    # The clients' deadline and the route's timeout were not reached, and the
    # server was not at work in the last sixth of the grace time.
    in_time = answer.ended_at - answer.sent_at < DEADLINE_S - SEND_S - 0.5
    for stopped, at in stops:
      early = answer.ended_at < at + GRACE_S * 5 / 6
      if stopped is router and at < answer.sent_at and early and in_time:
        lost.append(id_)
        record.write(
            f"LOST: {id_}, sent whole {answer.sent_at - at:.3f} s after the"
            f" SIGTERM of {router.name}, passed on {runs[0][0] - at:.3f} s"
            f" after it, connection ended {answer.ended_at - at:.3f} s after it"
        )
  record.write(f"{len(answers)} requests, {len(lost)} lost")
  return not lost


if __name__ == "__main__":
  platform2.run(case, FOLDER / "record.txt")
