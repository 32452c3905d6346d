"""The machine shard of one controller: heartbeats, worker orders, worker leases and free capacity."""
