"""Days of a router fleet's budgets in virtual time, on the real code.

Routers, each with its real pool, writer and membership, draw on budgets
through a store and a network that live in this process. The event loop's
clock jumps to the next thing that is due, so a day of fifty seconds takes
about one, and a seed repeats it exactly.
"""
