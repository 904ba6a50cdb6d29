"""Builders of test data for all packages."""

import json
from pathlib import Path

from fescueflow.audit import AuditTrail
from fescueflow.configuration import make_manifest
from fescueflow.core import ListState, SystemClock
from fescueflow.invariants import Invariants
from fescueflow.membership import Member
from fescueflow.metrics import Metrics
from fescueflow.platform import ListedInstance, ListedUpstream
from fescueflow.schema import MemberState
from fescueflow.settings import Settings

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "configuration"
KEYS = "00112233445566778899aabbccddeeff"
SETTINGS = {
    "instance_id": "i1",
    "availability_zone": "a",
    "region": "r",
    "http_address": "127.0.0.1:8000",
    "peer_address": "127.0.0.1:8001",
    "configuration_url": "http://127.0.0.1:9000",
    "instance_list_url": "http://127.0.0.1:9001",
    "fleet_keys": KEYS,
}


def build_settings(instance="i1", zone="a", **changes):
    """Return unvalidated settings, with test defaults for all that is not given."""
    own = {"instance_id": instance, "availability_zone": zone}
    return Settings(**(SETTINGS | own | changes))


def build_member(instance, incarnation=1, zone="z1", **changes):
    """Return a live member that can read the instance list."""
    values = {
        "sequence": 1,
        "state": MemberState.LIVE,
        "region": "r",
        "http_address": f"http-{instance}",
        "peer_address": f"peer-{instance}-{incarnation}",
        "revision": 1,
        "adopted": (),
        "list_readable": True,
    }
    return Member(instance, incarnation, zone=zone, **(values | changes))


def build_listed_instance(settings):
    """Return the entry of a live instance in the platform's list."""
    return ListedInstance(
        settings.instance_id,
        settings.availability_zone,
        settings.region,
        settings.http_address,
        settings.peer_address,
        ListState.LIVE,
    )


def build_upstream(name="u", zone="z", address="a", region="r"):
    """Return the list entry of a live upstream of the group ``g``."""
    return ListedUpstream(name, "g", zone, region, address, ListState.LIVE)


def build_monitoring(instance="i1", incarnation=1, clock=None):
    """Return (metrics, audit, invariants); a breached invariant raises."""
    metrics = Metrics()
    audit = AuditTrail(instance, incarnation, clock or SystemClock(), 100_000)
    return metrics, audit, Invariants(metrics, audit, strict=True)


def read_example_sections():
    """Return the decoded sections of the example configuration, by name."""
    paths = sorted((EXAMPLE / "sections").glob("*.json"))
    return {path.stem: json.loads(path.read_text()) for path in paths}


def build_configuration(revision=1, **changes):
    """Return (revision, manifest bytes, section bodies by name).

    Parameters
    ----------
    revision : int
        Revision to return.
    **changes
        Section contents that replace those of the example configuration, by name
        with ``_`` for ``-`` (``customers_more={...}`` adds a section
        ``customers-more``). A dict of dicts is merged over the example's section
        per key; ``None`` removes the section; ``bytes`` are used unchanged.
    """
    contents = read_example_sections()
    for key, value in changes.items():
        name = key.replace("_", "-")
        if value is None:
            contents.pop(name, None)
        elif isinstance(value, dict) and name in contents:
            contents[name] = merge_section(contents[name], value)
        else:
            contents[name] = value
    sections = {
        name: body if isinstance(body, bytes) else json.dumps(body).encode()
        for name, body in contents.items()
    }
    return revision, make_manifest(sections), sections


def merge_section(section, change):
    """Return a section with changed entries; merge objects one level deep."""
    merged = dict(section)
    for key, value in change.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merged[key] | value
        else:
            merged[key] = value
    return merged


def build_customers(count, template="booking", prefix="customer", **parameters):
    """Return a section with ``count`` customers of a template of the example.

    ``parameters`` replace or extend those that each customer passes to its template.
    """
    values = {"version": "2026-10", "share": 1} | parameters
    return {
        f"{prefix}-{number:06d}": {"template": template, "parameters": values}
        for number in range(count)
    }
