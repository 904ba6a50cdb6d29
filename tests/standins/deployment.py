"""Deployments of stand-ins for the upstreams and the platform, with presets."""

import os
from dataclasses import dataclass, replace

from tests.standins.configuration_service import ConfigurationServiceStandin
from tests.standins.engine import EngineOptions, EngineStandin
from tests.standins.instance_list import InstanceListStandin
from tests.standins.plain_service import PlainServiceStandin, ServiceOptions

ENGINES = "engines"
LEDGER = "ledger"
MODEL = "assistant"
# Served by the same engines as MODEL, for requests that can wait.
ARCHIVE_MODEL = "archive"

# With shorter intervals, nine idle instances use a whole processor core, and on a
# machine with two cores live instances are declared dead.
SHORT_TIMINGS = {
    "heartbeat_interval_ms": 250,
    "suspect_after_ms": 1200,
    "dead_after_ms": 2500,
    "list_interval_ms": 250,
    "list_lag_max_ms": 300,
    "share_hold_down_ms": 2000,
    "lease_ms": 1200,
    "lease_renew_ms": 350,
    "pause_limit_ms": 2000,
    "load_report_interval_ms": 200,
    "load_report_lag_ms": 300,
    "address_keep_ms": 500,
    "configuration_stale_after_ms": 1500,
    "upstream_silence_timeout_ms": 2000,
    "drain_timeout_ms": 60000,
}
DEFAULT_TIMINGS = {}
DEFAULT_LIST_LAG_S = 3.0
SHORT_LIST_LAG_S = 0.3


@dataclass(frozen=True)
class DeploymentPreset:
    """Size and limits of a deployment."""

    zone_delay_s: float = 0.003
    zones: tuple[str, ...] = ("north-a", "north-b", "north-c")
    engines: int = 6
    services: int = 3
    customers: int = 10
    warm_limit: int = 16
    cold_limit: int = 2
    export_after_leave_ms: int = 0
    engine_options: EngineOptions = EngineOptions()
    service_options: ServiceOptions = ServiceOptions()


FIRST_USER = DeploymentPreset()
SECOND_USER = replace(FIRST_USER, zone_delay_s=0.005)


def get_region(zone):
    """Return the region of a zone: ``north`` of ``north-a``."""
    return zone.rpartition("-")[0]


def make_operations():
    return [
        {"method": m, "path": p, "idempotent": i, "priority": priority}
        for m, p, i, priority in (
            ("POST", "/payouts", False, "interactive"),
            ("POST", "/bookings", False, "standard"),
            ("POST", "/quotes", True, "standard"),
            ("GET", "/archive/*", True, "lookup"),
        )
    ]


def make_template(affinity, share, priority):
    model = {
        "group": ENGINES,
        "model": "${model}",
        "version": "1",
        "idempotent": True,
        "priority": priority,
    }
    services = {LEDGER: {"group": LEDGER, "operations": make_operations()}}
    return {
        "parameters": ["model"],
        "models": {MODEL: model, ARCHIVE_MODEL: {**model, "priority": "lookup"}},
        "services": services,
        "share": share,
        "affinity": affinity,
        "zones": [],
    }


def make_customers(preset):
    """Return {customer id: template name}; the first two customers are large."""
    names = [f"customer-{number}" for number in range(preset.customers)]
    return {name: "large" if i < 2 else "small" for i, name in enumerate(names)}


def make_configuration(preset, withdrawn=(), leaving=(), warm_limit=None):
    """Return {section name: value} of a configuration."""
    limits = {
        "warm_limit": warm_limit or preset.warm_limit,
        "cold_limit": preset.cold_limit,
        "load_factor": 1.25,
    }
    customers = make_customers(preset)
    sections = {
        "zones": {"withdrawn": list(withdrawn)},
        "upstreams": {"leaving": list(leaving)},
        "groups": {
            ENGINES: {
                "kind": "engine",
                "export_after_leave_ms": preset.export_after_leave_ms,
                **limits,
            },
            LEDGER: {"kind": "service", **limits},
        },
        "templates": {
            "large": make_template("brief", 4, "interactive"),
            "small": make_template("chat", 1, "standard"),
        },
    }
    for size in ("large", "small"):
        sections[f"customers-{size}"] = {
            name: {"template": size, "parameters": {"model": "model-13b"}}
            for name, template in customers.items()
            if template == size
        }
    return sections


class Deployment:
    """Running stand-ins of the platform and of all upstreams.

    Parameters
    ----------
    preset : DeploymentPreset, optional
    list_lag_s : float, optional
        Time until a change of the instance list is visible, in seconds.

    Notes
    -----
    Loopback addresses are ``127.N.zone.host`` with N derived from the process id,
    so that test processes on one machine don't use the same addresses.
    """

    def __init__(self, preset=FIRST_USER, list_lag_s=SHORT_LIST_LAG_S):
        self.preset = preset
        self.network_part = 1 + os.getpid() % 250
        self.configuration = ConfigurationServiceStandin()
        self.instance_list = InstanceListStandin(lag_s=list_lag_s)
        self.engines = {
            f"engine-{i}": EngineStandin(
                self.make_host(i, 100 + i), self._make_engine_options()
            )
            for i in range(preset.engines)
        }
        self.services = {
            f"ledger-{i}": PlainServiceStandin(
                self.make_host(i, 200 + i), preset.service_options
            )
            for i in range(preset.services)
        }

    def _make_engine_options(self):
        return replace(self.preset.engine_options, cold_limit=self.preset.cold_limit)

    def make_host(self, number, host):
        """Return the loopback address of a host in the zone of ``number``."""
        zone = number % len(self.preset.zones)
        return f"127.{self.network_part}.{zone + 1}.{host}"

    def get_zone(self, number):
        return self.preset.zones[number % len(self.preset.zones)]

    def get_upstreams(self):
        return {**self.engines, **self.services}

    def start(self):
        """Start all stand-ins, list the upstreams and publish a configuration."""
        self.configuration.start()
        self.instance_list.start()
        for group, upstreams in ((ENGINES, self.engines), (LEDGER, self.services)):
            for number, (name, upstream) in enumerate(upstreams.items()):
                upstream.start()
                self.instance_list.add_upstream(
                    id=name,
                    group=group,
                    zone=self.get_zone(number),
                    region=get_region(self.get_zone(number)),
                    address=upstream.address,
                )
        self.instance_list.publish_now()
        self.publish()
        return self

    def publish(self, **changes):
        """Publish a configuration and return its revision."""
        return self.configuration.publish(make_configuration(self.preset, **changes))

    def stop(self):
        for standin in self._list_standins():
            standin.stop()

    def get_errors(self):
        """Return the unexpected exceptions of all stand-ins."""
        return [error for standin in self._list_standins() for error in standin.errors]

    def _list_standins(self):
        platform = (self.configuration, self.instance_list)
        return (*platform, *self.get_upstreams().values())

    def __enter__(self):
        return self.start()

    def __exit__(self, *details):
        self.stop()
