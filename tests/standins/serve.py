"""Run one instance like the released program, with a network that injects faults.

The environment variable ``STANDIN_CONTROL`` sets the UDP address of the network
control and ``STANDIN_ZONE_DELAY_MS`` the one-way delay between zones in
milliseconds. The control accepts one JSON object per datagram,
``{"op": ..., "target": ..., "value": ...}``, and responds with ``{"ok": true}``
or ``{"ok": false, "error": ...}``.
"""

import argparse
import json
import os
import socket
import sys
import threading
import time
from urllib.parse import urlsplit

from fescueflow.core import InvalidSettings
from fescueflow.settings import add_arguments, load_settings, split_address
from tests.standins.faulty_network import FaultyNetwork, LinkFaults

CONTROL_VARIABLE = "STANDIN_CONTROL"
DELAY_VARIABLE = "STANDIN_ZONE_DELAY_MS"
ORPHAN_EXIT_CODE = 3
ORPHAN_CHECK_S = 0.5


def run_command(faults, platform, command):
    """Apply one command of the network control."""
    target, value = command.get("target"), command.get("value")
    match command["op"]:
        case "cut":
            faults.cut(target)
        case "heal":
            faults.heal(target)
        case "silence":
            faults.silence(target)
        case "loss":
            faults.loss = float(value)
        case "delay":
            faults.zone_delay_s = float(value)
        case "cut_platform":
            for address in platform:
                faults.cut(address)
        case "heal_platform":
            for address in platform:
                faults.heal(address)
        case unknown:
            raise ValueError(f"unknown command {unknown}")


def serve_control(control, faults, platform):
    """Process commands until the process ends."""
    while True:
        data, sender = control.recvfrom(4096)
        try:
            run_command(faults, platform, json.loads(data))
            answer = {"ok": True}
        except (ValueError, KeyError, TypeError) as error:
            answer = {"ok": False, "error": str(error)}
        control.sendto(json.dumps(answer).encode(), sender)


def exit_with_parent(parent):
    """End this process when its parent process has ended."""
    while os.getppid() == parent:
        time.sleep(ORPHAN_CHECK_S)
    os._exit(ORPHAN_EXIT_CODE)


def start_control(settings, faults):
    address = os.environ.get(CONTROL_VARIABLE)
    if not address:
        return
    urls = (settings.configuration_url, settings.instance_list_url)
    platform = [urlsplit(url).netloc for url in urls]
    control = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    control.bind(split_address(address))
    threading.Thread(
        target=serve_control, args=(control, faults, platform), daemon=True
    ).start()
    threading.Thread(target=exit_with_parent, args=(os.getppid(),), daemon=True).start()


def main(arguments=None):
    from fescueflow.node import Node
    from fescueflow.transport import SystemNetwork

    parser = argparse.ArgumentParser(prog="tests.standins.serve")
    add_arguments(parser)
    try:
        settings = load_settings(vars(parser.parse_args(arguments)), os.environ)
    except InvalidSettings as error:
        print("\n".join(error.problems), file=sys.stderr)
        return 2
    faults = LinkFaults(split_address(settings.peer_address)[0])
    faults.zone_delay_s = float(os.environ.get(DELAY_VARIABLE, "0")) / 1000
    network = FaultyNetwork(SystemNetwork(), faults)
    network.patch_create_connection()
    start_control(settings, faults)
    return Node(settings, network=network, strict=True).run()


if __name__ == "__main__":
    sys.exit(main())
