"""Prepaid token budgets: the KV ledger and a router's allotments."""
