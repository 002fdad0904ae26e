"""Helpers independent of the domain: clock, logging, serving, sockets."""
