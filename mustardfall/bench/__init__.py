"""The load and experiment tool: fleets on loopback, workloads, reports."""
