"""Background loops of a controller, which run for the lifetime of the process."""
