"""Injects scheduled faults into a running fleet and records their times."""

import subprocess
import threading
import time
from collections import Counter
from contextlib import nullcontext
from dataclasses import dataclass

from tests.soak.schedule import INSTANCE_KINDS
from tests.standins.configuration_service import PlatformMode
from tests.standins.faults import Fault
from tests.standins.fleet import FleetError

METRICS_TIMEOUT_S = 1.0
FLAP_COUNT = 3
DRAIN_TIMEOUT_S = 25.0


@dataclass
class FaultSpan:
    """A fault with its actual start and end, in monotonic seconds."""

    fault: object
    began_at: float
    ended_at: float = float("inf")
    note: str = ""

    def overlaps(self, start, end, slack_s=0.0):
        """Return whether the fault, extended by ``slack_s``, overlaps an interval."""
        return self.began_at <= end and start <= self.ended_at + slack_s


class FaultInjector:
    """Injects each fault on its own thread.

    Parameters
    ----------
    deployment : Deployment
    fleet : Fleet
    publisher : ConfigurationPublisher
    schedule : list of ScheduledFault

    Attributes
    ----------
    spans : list of FaultSpan
    shutdowns : list of tuple
        ``(instance, requested_at, ended_at, exit code)`` of graceful shutdowns.
    errors : list of str
        Faults that could not be injected.
    invariant_breaches : Counter
        Counts of the metric ``invariant_breaches`` of instances that were ended,
        by instance and series.
    listed_upstreams : dict
        Entries of the platform's list by upstream, without their state.
    """

    def __init__(self, deployment, fleet, publisher, schedule):
        self.deployment, self.fleet = deployment, fleet
        self.publisher, self.schedule = publisher, schedule
        self.spans, self.shutdowns, self.errors = [], [], []
        self.invariant_breaches = Counter()
        self.lock = threading.Lock()
        self.instance_locks = {name: threading.Lock() for name in fleet.instances}
        self.threads = []
        self.listed_upstreams = self._read_listed_upstreams()

    def _read_listed_upstreams(self):
        entries = self.deployment.instance_list.get_visible()["upstreams"]
        return {
            entry["id"]: {k: v for k, v in entry.items() if k != "state"}
            for entry in entries
        }

    def run(self):
        """Start every fault at its time and wait until all have ended."""
        self.started_at = time.monotonic()
        for fault in self.schedule:
            time.sleep(max(0.0, self.started_at + fault.start_s - time.monotonic()))
            thread = threading.Thread(
                target=self._inject_in_turn, args=(fault,), daemon=True
            )
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join(60.0)
        self.errors += [
            f"{t.name} is still running" for t in self.threads if t.is_alive()
        ]

    def _inject_in_turn(self, fault):
        # A drain may outlast the fault's planned end; the instance's next fault waits.
        serial = fault.kind in INSTANCE_KINDS
        with self.instance_locks[fault.targets[0]] if serial else nullcontext():
            self._inject(fault)

    def _inject(self, fault):
        span = FaultSpan(fault, time.monotonic())
        with self.lock:
            self.spans.append(span)
        name = fault.kind.name.lower()
        try:
            revert = getattr(self, f"_begin_{name}")(fault, span)
            time.sleep(max(0.0, self.started_at + fault.end_s - time.monotonic()))
            if revert is not None:
                revert()
        except (FleetError, OSError, subprocess.TimeoutExpired) as error:
            with self.lock:
                self.errors.append(f"{fault}: {error!r}")
        finally:
            span.ended_at = time.monotonic()

    def _send_command(self, names, op, target=None, value=None):
        """Send a network command to those instances that run and are not frozen."""
        for name in names:
            instance = self.fleet.instances[name]
            if instance.is_running() and not instance.frozen:
                try:
                    self.fleet.order(name, op, target, value)
                except FleetError:
                    if instance.is_running() and not instance.frozen:
                        raise

    def _begin_instance_kill(self, fault, span):
        (name,) = fault.targets
        self._collect_breaches(name)
        self.fleet.kill(name)
        return lambda: self.fleet.restart(name, wait=False)

    def _collect_breaches(self, name):
        """Read an instance's breach counters, which end with its process."""
        try:
            metrics = self.fleet.read_metrics(name)
        except OSError:
            return
        for series, count in metrics.items():
            if "invariant_breaches" in series and count:
                with self.lock:
                    self.invariant_breaches[f"{name} {series}"] += int(count)

    def _begin_graceful_restart(self, fault, span):
        (name,) = fault.targets
        requested_at = time.monotonic()
        self._collect_breaches(name)
        self.fleet.begin_terminate(name)
        exit_code = self.fleet.finish_terminate(name, DRAIN_TIMEOUT_S)
        with self.lock:
            self.shutdowns.append((name, requested_at, time.monotonic(), exit_code))
        return lambda: self.fleet.restart(name, wait=False)

    def _begin_instance_freeze(self, fault, span):
        (name,) = fault.targets
        self.fleet.freeze(name)
        return lambda: self.fleet.thaw(name)

    def _begin_link_cut(self, fault, span):
        left, right = fault.targets
        hosts = {n: self.fleet.instances[n].host for n in fault.targets}
        self._send_command([left], "cut", hosts[right])
        self._send_command([right], "cut", hosts[left])

        def heal():
            self._send_command([left], "heal", hosts[right])
            self._send_command([right], "heal", hosts[left])

        return heal

    def _begin_zone_partition(self, fault, span):
        (zone,) = fault.targets
        zones = self.deployment.preset.zones
        prefix = {
            z: f"127.{self.deployment.network_part}.{number + 1}."
            for number, z in enumerate(zones)
        }
        inside = self.fleet.get_zone(zone)
        outside = [n for n in self.fleet.instances if n not in inside]
        others = [prefix[z] for z in zones if z != zone]

        def set_partition(op):
            for target in others:
                self._send_command(inside, op, target)
            self._send_command(outside, op, prefix[zone])
            if fault.value:
                self._send_command(inside, f"{op}_platform")

        set_partition("cut")
        return lambda: set_partition("heal")

    def _begin_platform_cut(self, fault, span):
        self._send_command(fault.targets, "cut_platform")
        return lambda: self._send_command(fault.targets, "heal_platform")

    def _begin_datagram_loss(self, fault, span):
        names = list(self.fleet.instances)
        self._send_command(names, "loss", value=fault.value)
        return lambda: self._send_command(names, "loss", value=0.0)

    def _begin_silent_connections(self, fault, span):
        left, right = fault.targets
        self._send_command([left], "silence", self.fleet.instances[right].host)

    def _get_upstream(self, fault):
        return self.deployment.get_upstreams()[fault.targets[0]]

    def _begin_engine_restart(self, fault, span):
        self._get_upstream(fault).restart()

    def _begin_engine_cold(self, fault, span):
        self._get_upstream(fault).turn_cold()

    def _begin_engine_fault(self, fault, span):
        upstream = self._get_upstream(fault)
        upstream.faults.set(Fault(fault.value), parameter=3)
        return upstream.faults.clear

    _begin_service_fault = _begin_engine_fault

    def _set_mode(self, standin, mode):
        standin.set_mode(mode)
        return lambda: standin.set_mode(PlatformMode.NORMAL)

    def _begin_configuration_outage(self, fault, span):
        return self._set_mode(self.deployment.configuration, PlatformMode.OUTAGE)

    def _begin_configuration_stale(self, fault, span):
        return self._set_mode(self.deployment.configuration, PlatformMode.STALE)

    def _begin_list_outage(self, fault, span):
        return self._set_mode(self.deployment.instance_list, PlatformMode.OUTAGE)

    def _begin_list_stale(self, fault, span):
        return self._set_mode(self.deployment.instance_list, PlatformMode.STALE)

    def _begin_list_lag(self, fault, span):
        host = self.fleet.instances[fault.targets[0]].host
        instance_list = self.deployment.instance_list
        instance_list.set_reader_lag(host, fault.value)
        return lambda: instance_list.set_reader_lag(host, instance_list.lag_s)

    def _begin_upstream_leave(self, fault, span):
        instance_list, (name,) = self.deployment.instance_list, fault.targets
        instance_list.mark_leaving(name)
        return lambda: instance_list.mark_leaving(name, False)

    def _begin_upstream_flap(self, fault, span):
        instance_list, (name,) = self.deployment.instance_list, fault.targets
        for _ in range(FLAP_COUNT):
            instance_list.remove(name)
            time.sleep(0.2)
            instance_list.add_upstream(**self.listed_upstreams[name])
            time.sleep(0.2)

    def _begin_limit_change(self, fault, span):
        base = self.deployment.preset.warm_limit
        self.publisher.publish(warm_limit=fault.value[0])
        return lambda: self.publisher.publish(warm_limit=base)

    def _begin_concurrent_publications(self, fault, span):
        self.publisher.publish_concurrently(fault.value)
        return self.publisher.publish

    def _begin_zone_withdrawal(self, fault, span):
        self.publisher.change_set("withdrawn", add=fault.targets)
        return lambda: self.publisher.change_set("withdrawn", remove=fault.targets)

    def _begin_upstream_leave_published(self, fault, span):
        self.publisher.change_set("leaving", add=fault.targets)
        return lambda: self.publisher.change_set("leaving", remove=fault.targets)

    def _begin_invalid_revision(self, fault, span):
        self.publisher.publish_invalid()

    def heal_all(self):
        """Revert all faults, restart ended instances and publish the base values."""
        for instance in self.fleet.instances.values():
            if instance.frozen:
                self.fleet.thaw(instance.id)
            if not instance.is_running():
                self.fleet.restart(instance.id, wait=False)
        for upstream in self.deployment.get_upstreams().values():
            upstream.faults.clear()
        self.fleet.wait_ready()
        for instance in self.fleet.get_running():
            self.fleet.order(instance.id, "heal")
            self.fleet.order(instance.id, "heal_platform")
        self.publisher.publish(
            withdrawn=set(),
            leaving=set(),
            warm_limit=self.deployment.preset.warm_limit,
        )
