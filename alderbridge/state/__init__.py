"""The state service: its client, a controller's replica of it, and the limits on writes."""
