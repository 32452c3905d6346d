"""The shard of jobs that one controller owns, and the dependency graph of all jobs."""
