"""Discrete-event simulation of a router fleet, in virtual time.

The simulated routers run the production pool, writer and membership code
against a store and a network that are modelled in this process. The event
loop's clock jumps to the next scheduled event, so a simulated day of fifty
seconds takes about one second. Within one process, the same seed gives the
same result.
"""
