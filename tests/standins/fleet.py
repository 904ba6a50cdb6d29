"""Test harness that runs a fleet of instance processes and ends all of them."""

import atexit
import http.client
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from tests.standins.deployment import SHORT_TIMINGS, get_region
from tests.standins.serve import CONTROL_VARIABLE, DELAY_VARIABLE

ROOT = Path(__file__).resolve().parents[2]
FLEET_KEYS = "5c" * 32
READY_TIMEOUT_S = 60.0
END_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 30.0
CONTROL_ATTEMPTS = 40
# Below the ports that systems give to connections and to sockets that name none.
PORTS = range(10_000, 32_000)
# In an order of its own in each process; an iterator that threads may share.
DRAWN_PORTS = itertools.cycle(random.SystemRandom().sample(PORTS, len(PORTS)))
METRIC_LINE = re.compile(r"^(\w+(?:\{[^}]*\})?) (\S+)$")


class FleetError(Exception):
    """The fleet did not reach a state that a test needs."""


def find_free_port(host, socket_types=(socket.SOCK_STREAM, socket.SOCK_DGRAM)):
    """Return a port of a loopback address that is free for TCP and UDP.

    Notes
    -----
    It is bound later. The system gives none of these ports to others meanwhile, and
    this process finds no port twice before it has found all.
    """
    for port in DRAWN_PORTS:
        with (
            socket.socket(socket.AF_INET, socket_types[0]) as first,
            socket.socket(socket.AF_INET, socket_types[-1]) as second,
        ):
            try:
                first.bind((host, port))
                second.bind((host, port))
            except OSError:
                continue
            return port
    raise AssertionError("the ports are endless")


def fetch(address, path, timeout_s=READ_TIMEOUT_S):
    """Return (status, body) of a GET request."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def parse_metrics(text):
    """Return {series: value} of metrics in the Prometheus text format."""
    lines = (METRIC_LINE.match(line) for line in text.splitlines())
    return {found[1]: float(found[2]) for found in lines if found}


@dataclass
class FleetInstance:
    """One instance of the fleet and its process.

    ``starts`` counts how often the process was started.
    """

    id: str
    zone: str
    host: str
    http_address: str
    peer_address: str
    control_address: str
    log_path: Path
    process: subprocess.Popen | None = None
    frozen: bool = False
    starts: int = field(default=0)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Instances that run as processes in the zones of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Started deployment.
    count : int, optional
        Number of instances.
    timings : mapping of str to int, optional
        Settings of the instances that differ from their defaults.

    Attributes
    ----------
    module : str
        Module that runs one instance; subclasses may replace it.
    """

    module = "tests.standins.serve"

    def __init__(self, deployment, count=9, timings=SHORT_TIMINGS):
        self.deployment = deployment
        self.timings = dict(timings)
        self.directory = Path(tempfile.mkdtemp(prefix="fescueflow-fleet-"))
        self.instances = {}
        for number in range(count):
            instance = self._make_instance(number)
            self.instances[instance.id] = instance
        atexit.register(self.stop)

    def _make_instance(self, number):
        host = self.deployment.make_host(number, 1 + number)
        ports = set()
        while len(ports) < 3:
            ports.add(find_free_port(host))
        addresses = [f"{host}:{port}" for port in ports]
        name = f"instance-{number}"
        zone = self.deployment.get_zone(number)
        return FleetInstance(name, zone, host, *addresses, self.directory / name)

    def start(self):
        """Start all instances, add them to the instance list and wait until ready."""
        for instance in self.instances.values():
            self._launch(instance)
            self._register(instance)
        self.deployment.instance_list.publish_now()
        try:
            self.wait_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def _register(self, instance):
        self.deployment.instance_list.add_instance(
            id=instance.id,
            zone=instance.zone,
            region=get_region(instance.zone),
            http_address=instance.http_address,
            peer_address=instance.peer_address,
        )

    def _make_flags(self, instance):
        values = {
            "instance_id": instance.id,
            "availability_zone": instance.zone,
            "region": get_region(instance.zone),
            "http_address": instance.http_address,
            "peer_address": instance.peer_address,
            "configuration_url": self.deployment.configuration.url,
            "instance_list_url": self.deployment.instance_list.url,
            "fleet_keys": FLEET_KEYS,
            **self.timings,
        }
        for name, value in values.items():
            yield from ("--" + name.replace("_", "-"), str(value))

    def make_command(self):
        """Return the command that runs one instance, without its settings."""
        return [sys.executable, "-m", self.module]

    def make_environment(self, instance):
        """Return the environment of an instance's process."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("FESCUEFLOW_")
        }
        environment[CONTROL_VARIABLE] = instance.control_address
        delay_ms = self.deployment.preset.zone_delay_s * 1000
        environment[DELAY_VARIABLE] = f"{delay_ms:g}"
        environment["PYTHONPATH"] = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
        return environment

    def _launch(self, instance):
        with open(instance.log_path, "ab") as log:
            instance.process = subprocess.Popen(
                [*self.make_command(), *self._make_flags(instance)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=self.make_environment(instance),
            )
        instance.frozen = False
        instance.starts += 1

    def wait_ready(self, ids=None, timeout_s=READY_TIMEOUT_S):
        """Wait until the instances respond to ``/readyz`` with 200.

        Raises
        ------
        FleetError
            If an instance ends or is not ready in time.
        """
        end = time.monotonic() + timeout_s
        for name in list(ids or self.instances):
            instance = self.instances[name]
            while not self.is_ready(name):
                if not instance.is_running():
                    raise FleetError(f"{name} ended:\n{self.read_log(name)[-4000:]}")
                if time.monotonic() > end:
                    raise FleetError(
                        f"{name} is not ready after {timeout_s} s:\n"
                        f"{self.read_log(name)[-4000:]}"
                    )
                time.sleep(0.05)

    def is_ready(self, name):
        try:
            return fetch(self.instances[name].http_address, "/readyz", 1)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def kill(self, name):
        """Kill an instance; it disappears from the instance list after the lag."""
        instance = self.instances[name]
        instance.process.kill()
        instance.process.wait(END_TIMEOUT_S)
        self.deployment.instance_list.remove(name)

    def freeze(self, name):
        """Suspend an instance with SIGSTOP; it stays in the instance list."""
        self.instances[name].process.send_signal(signal.SIGSTOP)
        self.instances[name].frozen = True

    def thaw(self, name):
        self.instances[name].process.send_signal(signal.SIGCONT)
        self.instances[name].frozen = False

    def begin_terminate(self, name):
        """Start a graceful shutdown and mark the instance as leaving."""
        self.deployment.instance_list.mark_leaving(name)
        self.instances[name].process.terminate()

    def terminate(self, name, timeout_s=END_TIMEOUT_S):
        """Shut an instance down gracefully and return its exit code."""
        self.begin_terminate(name)
        return self.finish_terminate(name, timeout_s)

    def finish_terminate(self, name, timeout_s=END_TIMEOUT_S):
        code = self.instances[name].process.wait(timeout_s)
        self.deployment.instance_list.remove(name)
        return code

    def restart(self, name, wait=True):
        """Start a stopped instance again with the same addresses."""
        instance = self.instances[name]
        if instance.is_running():
            raise FleetError(f"{name} is still running")
        self._launch(instance)
        self._register(instance)
        if wait:
            self.wait_ready([name])

    def order(self, name, op, target=None, value=None):
        """Send one command to an instance's network control.

        Repeats the datagram until the instance acknowledges it.

        Raises
        ------
        FleetError
            If the command fails or is not acknowledged.
        """
        host, _, port = self.instances[name].control_address.rpartition(":")
        data = json.dumps({"op": op, "target": target, "value": value}).encode()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as control:
            control.settimeout(0.25)
            for _ in range(CONTROL_ATTEMPTS):
                control.sendto(data, (host, int(port)))
                try:
                    answer = json.loads(control.recv(4096))
                except (TimeoutError, ConnectionError):
                    continue
                if not answer["ok"]:
                    raise FleetError(f"{name}: {op}: {answer['error']}")
                return
        raise FleetError(f"{name}: no answer to {op}")

    def cut(self, left, right):
        """Cut the link between two sets of instances."""
        for a in left:
            for b in right:
                self.order(a, "cut", self.instances[b].host)
                self.order(b, "cut", self.instances[a].host)

    def heal(self):
        """Remove all cuts and the datagram loss of all running instances."""
        for instance in self.get_running():
            self.order(instance.id, "heal")

    def set_loss(self, fraction):
        for instance in self.get_running():
            self.order(instance.id, "loss", value=fraction)

    def cut_platform(self, names):
        for name in names:
            self.order(name, "cut_platform")

    def get_running(self):
        """Return the instances that are running and not suspended."""
        return [i for i in self.instances.values() if i.is_running() and not i.frozen]

    def get_zone(self, zone):
        return [i.id for i in self.instances.values() if i.zone == zone]

    def get_addresses(self):
        return [instance.http_address for instance in self.instances.values()]

    def read_metrics(self, name):
        body = fetch(self.instances[name].http_address, "/metrics")[1]
        return parse_metrics(body.decode())

    def read_status(self, name):
        return json.loads(fetch(self.instances[name].http_address, "/v1/status")[1])

    def read_audit(self, name, after=0):
        path = f"/v1/audit?after={after}"
        return fetch(self.instances[name].http_address, path)[1].decode()

    def read_configuration(self, name):
        path = "/v1/configuration"
        return json.loads(fetch(self.instances[name].http_address, path)[1])

    def count_breaches(self):
        """Return {instance: {series: count}} of the invariant breach metrics.

        Instances without a breach are left out.
        """
        found = {}
        for instance in self.get_running():
            metrics = self.read_metrics(instance.id)
            series = {k: v for k, v in metrics.items() if "invariant_breaches" in k}
            found.update({instance.id: series} if any(series.values()) else {})
        return found

    def read_log(self, name):
        path = self.instances[name].log_path
        return path.read_text(errors="replace") if path.exists() else ""

    def wait_until(self, condition, timeout_s, what):
        """Wait until a condition is true.

        Raises
        ------
        FleetError
            If it is not true in time; ``what`` describes it in the message.
        """
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise FleetError(f"timed out after {timeout_s} s: {what}")
            time.sleep(0.05)

    def stop(self):
        """Kill all processes of this fleet and remove their logs."""
        atexit.unregister(self.stop)
        running = [i for i in self.instances.values() if i.is_running()]
        for instance in running:
            instance.process.kill()
        with ThreadPoolExecutor(max(1, len(running))) as pool:
            list(pool.map(lambda i: i.process.wait(END_TIMEOUT_S), running))
        shutil.rmtree(self.directory, ignore_errors=True)

    def __enter__(self):
        return self.start()

    def __exit__(self, *details):
        self.stop()
