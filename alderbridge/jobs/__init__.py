"""Jobs and the shard of them that one controller owns; the dependencies between jobs."""
