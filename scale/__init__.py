"""Scale tests: real controllers on one machine with a simulated platform and hollow workers. Not part of the service.

A hollow worker speaks the full worker protocol over real connections, but its tasks are timers; several hundred share
a process. ``tools/scale_run.py`` runs an experiment; ``docs/scale.md`` describes the experiment files and results.
"""
