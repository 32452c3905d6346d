"""The state service: its client, the replica that a controller keeps of it, and how much it may write."""
