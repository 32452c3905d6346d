"""Routes requests to handlers by method and path."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from alderbridge.controller import responses
from alderbridge.controller.responses import Handled, Responder

JOB_PATH_PREFIX = "/v1/jobs/"


class Route(NamedTuple):
    """The handler of a fixed path; it receives the request's body."""

    method: str
    handler: Callable[[bytes, Responder], Handled]


class JobRoute(NamedTuple):
    """The handler of a path below a job; it receives the job's id."""

    method: str
    handler: Callable[[str, Responder], Handled]


class Router:
    """Calls the handler of each request; 404 or 405 if there is none.

    ``routes``: by path. ``job_routes``: by what follows the id in ``/v1/jobs/ID/...``; empty for the job itself.
    """

    def __init__(self, routes: Mapping[str, Route], job_routes: Mapping[str, JobRoute]) -> None:
        """The arguments are described at the class."""
        self.routes = routes
        self.job_routes = job_routes

    def handle(self, method: str, target: str, body: bytes, reply: Responder) -> Handled:
        """Serve one request; the query string of ``target`` is ignored."""
        route = self.routes.get(target)  # paths without a query string, as of heartbeats, need no split
        if route is None:
            path = target.split("?", 1)[0]
            route = self.routes.get(path)
        if route is not None:
            allowed, handler = route
            return handler(body, reply) if method == allowed else responses.method_not_allowed(allowed)
        if path.startswith(JOB_PATH_PREFIX):
            return self._handle_job(method, path, reply)
        return responses.error(404, "no such path")

    def _handle_job(self, method: str, path: str, reply: Responder) -> Handled:
        job, _, action = path[len(JOB_PATH_PREFIX) :].partition("/")
        route = self.job_routes.get(action)
        if route is None:
            return responses.error(404, "no such path")
        return route.handler(job, reply) if method == route.method else responses.method_not_allowed(route.method)
