"""Choosing endpoints and forwarding requests to them."""
