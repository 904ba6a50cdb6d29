"""Admission control: slots, queues, limits and loads of upstreams.

The home of an upstream is the instance that grants its slots. A request may start
only with a slot.
"""

from fescueflow.admission.reader import HttpLoadReader
from fescueflow.admission.service import AdmissionService
from fescueflow.admission.slots import (
    LoadEvent,
    LoadReader,
    LoadReport,
    Slot,
    SlotDemand,
    SlotRefused,
    UpstreamStatus,
)

__all__ = [
    "AdmissionService",
    "HttpLoadReader",
    "LoadEvent",
    "LoadReader",
    "LoadReport",
    "Slot",
    "SlotDemand",
    "SlotRefused",
    "UpstreamStatus",
]
