"""Adapter to the users' platform: translates only, all decisions are elsewhere.

The platform's names for headers, fields and keys occur in this package only,
where they are decoded into the types that the rest of the program uses.
"""
