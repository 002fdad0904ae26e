"""The adapter to the users' platform: it translates, and decides nothing.

The platform's names stand in this folder only. What they mean is decoded
here once into the program's own types.
"""
