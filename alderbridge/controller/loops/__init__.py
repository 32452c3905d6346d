"""The loops of a controller: each keeps one thing up to date for as long as the process runs."""
