"""Decisions of the leader: which machines to rent and return, and how each team's quota is divided among job shards."""
