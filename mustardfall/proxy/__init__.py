"""The data path: an HTTP server for callers and an HTTP client for endpoints."""
