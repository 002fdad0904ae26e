"""Settings of routers under test."""

from mustardfall import settings


def router(**overrides) -> settings.Router:
  """Returns settings of a router whose KV and host list are unreachable."""
  listen = settings.Listen(port=0)
  fields = {
      "name": "r",
      "datacentre": "dc",
      "listen": listen,
      "peer_listen": listen,
      "kv_url": "http://127.0.0.1:1",
      "hosts_url": "http://127.0.0.1:1",
  }
  return settings.Router(**(fields | overrides))
