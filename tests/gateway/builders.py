"""Builders of test data for the gateway."""

from fescueflow.core import InstanceId, ZoneId
from fescueflow.gateway.records import PeerRecord
from fescueflow.platform import parse_boot

BOOT = """
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [{peer_port}, {peer_port}]
seed_nodes = {seeds}
bootstrap = true
heartbeat_ms = 1200
unknown_field = "ignored"
[listen_addrs]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
directory_addr = "{ip}:{directory}"
[bounds]
reuse_delay_s = 2
stable_window_ms = 3000
drain_timeout_ms = {drain_ms}
grace_period_s = {grace_s}
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 58
cold_overrun = 1.5
imbalance_factor = 2
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
reads_per_s = 2000
"""


def render_boot(**ports):
    """Return the text of a settings file."""
    defaults = {
        "name": "edge-a-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "seeds": "[]",
        "peer_port": 7001,
        "callers": 7002,
        "ready": 7003,
        "directory": 7004,
        "store": 7005,
        "grace_s": 8,
        "drain_ms": 2000,
    }
    return BOOT.format(**{**defaults, **ports})


def make_boot(**ports):
    """Return parsed settings."""
    return parse_boot(render_boot(**ports))


def make_peer(name="edge-b-1", zone="b", last_seen_at=0.0, **changes):
    """Return the record of a serving instance."""
    values = {
        "instance": InstanceId(name),
        "host": f"host-{name}",
        "callers_address": f"{name}:80",
        "zone": ZoneId(zone),
        "incarnation": 1,
        "sequence": 1,
        "is_serving": True,
        "last_seen_at": last_seen_at,
    }
    return PeerRecord(**{**values, **changes})
