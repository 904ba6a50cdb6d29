"""Validated settings of one instance."""

from fescueflow.schema import Settings
from fescueflow.settings.parser import (
    ENVIRONMENT_PREFIX,
    add_arguments,
    load_settings,
    split_address,
)

__all__ = [
    "ENVIRONMENT_PREFIX",
    "Settings",
    "add_arguments",
    "load_settings",
    "split_address",
]
