"""Serves the KV stand-in in-process, so that tests can inject its faults."""

import contextlib

import anyio
import httpx

from mustardfall import settings
from mustardfall.kv import client as kv_client
from mustardfall.kv import writer as writer_lib
from mustardfall.standins import kv as kv_standin
from mustardfall.util import clock as clock_lib


def make(name: str = "test") -> tuple[kv_client.Client, kv_standin.Server]:
  """Returns a client of a new in-process stand-in, and the stand-in."""
  return share(kv_standin.Server(), name)


def share(
    server: kv_standin.Server, name: str
) -> tuple[kv_client.Client, kv_standin.Server]:
  """Returns another client of the same in-process stand-in."""
  transport = httpx.ASGITransport(app=kv_standin.create_app(server))
  return kv_client.Client("http://kv", name, transport=transport), server


@contextlib.asynccontextmanager
async def writing(kv: kv_client.Client):
  """Runs a batch writer that does not pause between batches on `kv`."""
  config = settings.Writer(interval_s=0.0, linger_s=0.0)
  writer = writer_lib.Writer(kv, config, clock_lib.SystemClock())
  async with anyio.create_task_group() as tg:
    tg.start_soon(writer.run)
    yield writer
    tg.cancel_scope.cancel()
