"""Replaces the clock of a whole controller in a test."""

import importlib
import pkgutil

from alderbridge import controller


def patch_now(monkeypatch, clock) -> None:
    """Replaces ``now`` by ``clock`` in every module of the controller that has it."""
    patched = []
    for module_info in pkgutil.walk_packages(controller.__path__, controller.__name__ + "."):
        module = importlib.import_module(module_info.name)
        if hasattr(module, "now"):
            monkeypatch.setattr(module, "now", clock)
            patched.append(module_info.name.rpartition(".")[2])
    assert {"process", "users_api", "workers_api", "job_queries", "health", "records"} <= set(patched)
