"""Cluster membership: views, leader election, store leases and the failure detector."""
