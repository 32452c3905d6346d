"""The clock of a whole controller, moved by a test."""

import importlib
import pkgutil

from alderbridge import controller


def patch_now(monkeypatch, clock) -> None:
    """Have ``clock`` tell the time in every module of the controller that asks for it."""
    patched = []
    for found in pkgutil.walk_packages(controller.__path__, controller.__name__ + "."):
        module = importlib.import_module(found.name)
        if hasattr(module, "now"):
            monkeypatch.setattr(module, "now", clock)
            patched.append(found.name.rpartition(".")[2])
    assert {"process", "users_api", "workers_api", "job_queries", "health", "records"} <= set(patched)
