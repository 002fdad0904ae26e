"""The data path: HTTP server for callers, and forwarding to endpoints."""
