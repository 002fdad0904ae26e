"""Entry points of the daemons: each builds its application and serves it."""
