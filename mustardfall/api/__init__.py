"""The HTTP fronts of a router: callers, other routers, operators."""
