"""Admission: slots, queues, limits and loads of upstreams."""

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
