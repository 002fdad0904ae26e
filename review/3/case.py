"""RECOVER: all processes are killed, and one machine does not come back."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
import tenant as tenant_lib  # noqa: E402

ROUTERS = 3
PREPAID = 1_500_000
BUSY_CALLERS = 12
CALM_CALLERS = 4
CALM_PAUSE_S = 0.2
FAULT_AT = 0.73
"""Part of the prepaid tokens that is used when the final fault strikes."""
DOWN_S = 1.0
RECOVERY_S = 12.0
"""`recovery_s`."""
MEASURED_S = 18.0
LEAST_SERVED = 0.25


def is_served(answer: tenant_lib.Answer) -> bool:
  """Whether a request got a complete success."""
  return answer.status == "200" and answer.is_whole


async def use_up(callers: tenant_lib.Tenant) -> None:
  """Lets many callers use most of the tokens, and all but a few stop then."""
  tasks = [
      asyncio.create_task(callers.call(number))
      for number in range(BUSY_CALLERS)
  ]
  while callers.most_used() < FAULT_AT * PREPAID:
    await asyncio.sleep(0.05)
  callers.has_ended = True
  await asyncio.gather(*tasks)
  callers.has_ended = False


async def case(record, platform, folder, routers) -> int:
  servers = await tenant_lib.start(
      record, platform, folder, routers, ROUTERS, PREPAID
  )
  if servers is None:
    return standins.NOT_RUN
  callers = tenant_lib.Tenant(record, routers, servers, PREPAID)
  await use_up(callers)
  running = [
      asyncio.create_task(callers.call(number, CALM_PAUSE_S))
      for number in range(CALM_CALLERS)
  ]
  await asyncio.sleep(3)
  before = list(callers.answers.values())
  platform.store.put("op/config", tenant_lib.configuration(2, PREPAID))
  record.write(
      f"configuration 2 is acknowledged; at most {callers.most_used()} tokens"
  )
  if standins.TROUBLE:
    await strike(record, platform, folder, routers)
  back_at = time.monotonic()
  await asyncio.sleep(RECOVERY_S + MEASURED_S)
  callers.has_ended = True
  await asyncio.gather(*running)
  for server in servers:
    server.task.cancel()
  after = [
      answer
      for answer in callers.answers.values()
      if back_at + RECOVERY_S < answer.sent_at <= back_at + RECOVERY_S + MEASURED_S
  ]
  return judge(record, callers, before, after)


async def strike(record, platform, folder, routers) -> None:
  """Kills all processes. One machine is lost for good, and another is added."""
  lost = tenant_lib.find_holder(platform, "acme")
  for router in routers:
    router.signal(signal.SIGKILL)
  for router in routers:
    router.end()
  record.write(f"all processes are killed; {lost} does not come back")
  await asyncio.sleep(DOWN_S)
  index = [router.settings["node"] for router in routers].index(lost)
  routers[index] = tenant_lib.new_router(
      ROUTERS + 1, platform, folder, bootstrap=False
  )
  for router in routers:
    router.settings["bootstrap"] = False
    router.write_settings()
    router.start()
  for router in routers:
    await router.wait_until_ready()
  record.write("the machines are back")


def judge(record, callers, before, after) -> int:
  """Compares the shares of requests that were served."""
  served_before = sum(map(is_served, before)) / len(before)
  statuses = [answer.status for answer in after]
  counts = {status: statuses.count(status) for status in sorted(set(statuses))}
  served_after = sum(map(is_served, after)) / max(1, len(after))
  fitting = sum(answer.fits for answer in after)
  lines = [
      f"before the final fault {served_before:.1%} of {len(before)} were served",
      f"later than {RECOVERY_S:.0f} s after the machines were back"
      f" {served_after:.1%} of {len(after)} were served: {counts}",
      f"of these {fitting} fitted into 97 in 100 of the prepaid tokens; at most"
      f" {callers.most_used()} of {PREPAID} tokens were used",
  ]
  for line in lines:
    record.write(line)
    print(line)
  if not after or served_before < LEAST_SERVED or fitting < len(after):
    return standins.NOT_RUN
  is_broken = served_after < LEAST_SERVED
  return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
  sys.exit(standins.run(str(FOLDER), case))
