"""Requests whose bodies come in small chunks stop a router for all its callers.

Some clients send their bodies in chunks of one byte, as a client does that writes
its JSON piece by piece; without the trouble, in chunks of 4 KB. Others send
lookups at the same time.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

BODY_BYTES = 17_000
"""`req_bytes` of `lot-appraisal` in the site file: the mean."""
SMALL_CHUNK, LARGE_CHUNK = 1, 4_096
APPRAISALS_PER_S = 8
"""The sheet names 10.3 a second for all machines."""
LOOKUPS_PER_S = 8
SECONDS = 15
TIMEOUT_MS = 800
DEADLINE_MS = 1500
MAX_LATE_S = 0.5
MIN_COUNTED = 8


def configuration() -> dict:
  """Returns a version with a streaming and a safe route, and one tenant."""
  lookup = {
      "name": "pallet-lookup",
      "host": standins.HOST,
      "prefix": "/lookup/",
      "kind": "safe",
      "timeout_ms": TIMEOUT_MS,
      "slo_ms": 300,
      "priority": 2,
      "service": "voorraad",
      "max_attempts": 2,
      "public": False,
      "resumable": False,
  }
  appraisal = {
      **lookup,
      "name": "lot-appraisal",
      "prefix": "/appraise/",
      "kind": "streaming",
      "timeout_ms": 10_000,
      "slo_ms": 800,
      "priority": 1,
      "service": "taxateur",
      "resumable": True,
  }
  engine = {"slots": 64, "kv_capacity": 384268, "stride": 4}
  return {
      "version": 7,
      "routes": [lookup, appraisal],
      "services": [
          {"name": "voorraad", "max_conns": 110},
          {"name": "taxateur", "max_conns": 370, "engine": engine},
      ],
      "limits": {
          "max_header_bytes": 16384,
          "max_body_bytes": 4194304,
          "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000,
      },
      "tenants": [{"name": "hule930", "api_keys": [standins.KEY]}],
  }


class Server:
  """A sound server: answers lookups after 60 ms, appraisals with three events."""

  def __init__(self, id_: str, record) -> None:
    self.id = id_
    self._record = record

  async def serve(self, reader, writer) -> None:
    """Serves one connection."""
    try:
      while True:
        first, headers = await standins.read_head(reader)
        request = headers["request-id"]
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("expect-instance", self.id) != self.id:
          writer.write(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
          continue
        self._record.write(f"{self.id} runs {request} ({len(body)} bytes)")
        await asyncio.sleep(0.06)
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {request}\r\n"
            f"Response-Signature: {self.id}.{request}\r\n"
        )
        if "/appraise/" in first:
          events = "".join(f"id: {n}\ndata: lot\n\n" for n in (1, 2, 3))
          head += (
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n"
              f"{len(events):x}\r\n{events}\r\n0\r\n\r\n"
          )
        else:
          head += f"Content-Length: 800\r\n\r\n{'stock'.ljust(800)}"
        writer.write(head.encode())
        await writer.drain()
    except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError):
      pass  # the router has closed the connection, or the case ends
    finally:
      writer.close()


def encode_chunks(body: bytes, size: int) -> bytes:
  """Returns a body in chunks of `size` bytes."""
  parts = (body[at : at + size] for at in range(0, len(body), size))
  chunks = (b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
  return b"".join(chunks) + b"0\r\n\r\n"


class Clients:
  """Sends requests, each on a new connection."""

  def __init__(self, router, record) -> None:
    self._router = router
    self._record = record
    self.lookups: list[tuple[float, int]] = []
    """Seconds until the answer, and its status; 0: there was none."""
    self.appraisals: list[int] = []

  async def _request(self, request: str, raw: bytes, wait_s: float):
    """Returns the seconds until the head of the answer, and its status."""
    sent_at = self._record.now()
    status, writer = 0, None
    try:
      async with asyncio.timeout(wait_s):
        reader, writer = await asyncio.open_connection(
            *self._router.address("front")
        )
        writer.write(raw)
        sent_at = self._record.now()
        first, _ = await standins.read_head(reader)
        status = int(first.split(" ")[1])
    except (asyncio.IncompleteReadError, OSError, TimeoutError):
      pass
    finally:
      if writer is not None:
        writer.close()
    took_s = self._record.now() - sent_at
    outcome = f"status {status}" if status else "no answer"
    self._record.write(f"client: {request}: {outcome} after {took_s:.3f} s")
    return took_s, status

  async def look_up(self, number: int) -> None:
    """Sends one lookup; waits until the client's deadline."""
    request = f"lookup-{number}"
    raw = standins.encode_request(
        "GET", f"/lookup/{request}", request, DEADLINE_MS
    )
    self._record.write(f"client sends {request}")
    self.lookups.append(
        await self._request(request, raw, DEADLINE_MS / 1000)
    )

  async def appraise(self, number: int) -> None:
    """Sends one request with a body in chunks."""
    request = f"appraisal-{number}"
    size = SMALL_CHUNK if standins.TROUBLE else LARGE_CHUNK
    headers = {
        "Transfer-Encoding": "chunked",
        "Model": "m",
        "Token-Usage": "1460,80",
        "Prompt-Prefix": f"5c1e07a2:800,{number:x}:660",
    }
    raw = standins.encode_request(
        "PUT", f"/appraise/{request}", request, 10_000, headers
    ) + encode_chunks(b"a" * BODY_BYTES, size)
    self._record.write(f"client sends {request} in chunks of {size} bytes")
    _, status = await self._request(request, raw, 10)
    self.appraisals.append(status)


async def case(record, platform, temporary, routers) -> int:
  """Returns the exit code."""
  platform.store.put("op/config", configuration())
  for service, slots in (("voorraad", 6), ("taxateur", 64)):
    for number in range(3):
      server = Server(f"i-{service}-{number}", record)
      listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
      port = listening.sockets[0].getsockname()[1]
      entry = standins.server_entry(service, f"127.0.0.1:{port}", slots)
      platform.store.put(f"servers/{server.id}", entry)
  settings = standins.router_settings(1, platform.address, "127.0.0.1")
  router = standins.Router(temporary, settings)
  routers.append(router)
  router.start()
  if not await router.wait_until_ready():
    return standins.NOT_RUN
  await asyncio.sleep(4)  # in touch: running for longer than contact_ms
  clients = Clients(router, record)
  async with asyncio.TaskGroup() as tasks:
    for number in range(LOOKUPS_PER_S * SECONDS):
      tasks.create_task(clients.look_up(number))
      tasks.create_task(clients.appraise(number))
      await asyncio.sleep(1 / LOOKUPS_PER_S)
  # The rule: of the requests that are still unanswered at their route's timeout,
  # more than half have no answer 0.5 s later.
  limit_s = TIMEOUT_MS / 1000
  late = [one for one in clients.lookups if not one[1] or one[0] > limit_s]
  unanswered = [
      one for one in late if not one[1] or one[0] > limit_s + MAX_LATE_S
  ]
  served = sum(1 for _, status in clients.lookups if status == 200)
  record.write(
      f"{len(clients.lookups)} lookups, {served} answered with 200; {len(late)}"
      f" unanswered at {TIMEOUT_MS} ms, {len(unanswered)} of them 0.5 s later"
  )
  done = sum(1 for status in clients.appraisals if status == 200)
  record.write(f"{len(clients.appraisals)} appraisals, {done} served")
  is_broken = (
      len(unanswered) >= MIN_COUNTED and len(unanswered) * 2 > len(late)
  )
  record.write("CONFIG broken" if is_broken else "CONFIG held")
  return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
  sys.exit(standins.run(str(FOLDER), case))
