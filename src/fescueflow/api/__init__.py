"""HTTP API for callers and operators."""

from fescueflow.api.application import Application, make_application
from fescueflow.api.server import HttpServer

__all__ = ["Application", "HttpServer", "make_application"]
