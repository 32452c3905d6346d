"""Who leads and who takes part: views, the lease of a member in the store, and the failure detector."""
