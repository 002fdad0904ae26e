"""The users' platform in small, for tests and the demo: store and servers.

It speaks the platform's published protocol over loopback, with the faults
that the platform has: outages, lost and late answers, dropped history,
servers that break off, answer late or answer twice.
"""
