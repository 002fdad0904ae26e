"""Client side of the platform's key-value service (etcd v3 JSON gateway)."""
