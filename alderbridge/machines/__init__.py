"""Machines and the shard of them that one controller serves: heartbeats, orders, worker leases."""
