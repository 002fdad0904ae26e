"""Small helpers that know nothing of the domain: clock, logging, serving."""
