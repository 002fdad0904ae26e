"""Emulator of the target platform's store and servers, for tests and demos.

It implements the platform's published protocol on loopback and can inject
the platform's faults: outages, lost and delayed responses, compacted watch
history, and servers that reset connections, respond late or respond twice.
"""
