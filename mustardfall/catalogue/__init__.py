"""The operators' catalogue: an entry per API key, with its class and budget."""
