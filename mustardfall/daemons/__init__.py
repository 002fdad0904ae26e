"""Thin entry points: each builds its role from settings and serves it."""
