"""Instances as processes of their own."""

import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.gateway.builders import render_boot
from tests.standins.fleet import find_free_port

PORT_NAMES = ("peer_port", "callers", "ready", "directory")


def start_process(directory, store_port, stdout, grace_s, limits=""):
    """Start an instance; return the process and its ports.

    ``limits`` is the text of that section of the settings file.
    """
    ports = {name: find_free_port("127.0.0.1") for name in PORT_NAMES}
    path = Path(tempfile.mkstemp(suffix=".toml", dir=directory)[1])
    text = render_boot(store=store_port, grace_s=grace_s, **ports)
    path.write_text(f"{text}{limits}", "utf-8")
    process = subprocess.Popen(
        [sys.executable, "-m", "fescueflow.gateway"],
        stdin=subprocess.DEVNULL,
        stdout=stdout,
        stderr=subprocess.PIPE,
        env={**os.environ, "FESCUEFLOW_CONFIG": str(path)},
    )
    return process, ports


def is_listening(port):
    """Return whether connections to a port are accepted."""
    try:
        socket.create_connection(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True
