"""Runs real controllers on one machine against stand-ins of the platform and hollow workers. Not part of the service.

A hollow worker speaks the worker's protocol in full over real connections; its tasks are timers. Some hundreds share
a process. ``tools/scale_run.py`` plays an experiment; ``docs/scale.md`` says how to write one and to read its results.
"""
