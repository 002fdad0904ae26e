"""The KV stand-in served in-process, with its faults at hand."""

import httpx

from mustardfall.kv import client as kv_client
from mustardfall.standins import kv as kv_standin


def make(name: str = "test") -> tuple[kv_client.Client, kv_standin._Server]:
  """Returns a client wired to a fresh in-process stand-in, and the stand-in."""
  server = kv_standin._Server()
  transport = httpx.ASGITransport(app=kv_standin.create_app(server))
  return kv_client.Client("http://kv", name, transport=transport), server


def share(
    server: kv_standin._Server, name: str
) -> tuple[kv_client.Client, kv_standin._Server]:
  """Returns another caller's client to the same in-process stand-in."""
  transport = httpx.ASGITransport(app=kv_standin.create_app(server))
  return kv_client.Client("http://kv", name, transport=transport), server
