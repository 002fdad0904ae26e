"""HTTP APIs of a router, for callers, other routers and operators."""
