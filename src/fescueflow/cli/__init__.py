"""Command-line interface of fescueflow."""

from fescueflow.cli.program import main

__all__ = ["main"]
