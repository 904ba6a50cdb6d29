"""Encoding of the reports that instances send each other as datagrams."""

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from fescueflow.core import InstanceId, UpstreamId, ZoneId
from fescueflow.gateway.counts import CountUpdate
from fescueflow.gateway.fields import (
    NUMBER_MAX,
    decode_count,
    decode_name,
    decode_number,
)
from fescueflow.gateway.limit_codec import decode_limits, encode_limits
from fescueflow.gateway.quarantine_codec import (
    QuarantineReport,
    decode_quarantine,
    encode_quarantine,
)
from fescueflow.gateway.records import PeerRecord
from fescueflow.gateway.speed_codec import decode_speeds, encode_speeds
from fescueflow.routing import HolderUpdate, LimitUpdate, ServiceId, SpeedUpdate

# Uncompressed size of a report; several times the largest one.
REPORT_BYTES_MAX = 1 << 20
# Preset zlib dictionary: text that most reports contain.
REPORT_DICTIONARY = (
    b'{"members":[["edge-10.,"],true,0.0],false,0.0],"loads":{"i-":[1,0],"i-":[2,0],'
    b'"i-":[0,0]},"holders":[["",0.0],[],"counts":[["i-",10,0.0],["i-",20,0.1]]}'
)


@dataclass(frozen=True)
class PeerReport:
    """State that an instance reports to others; its own record comes first."""

    records: list[PeerRecord]
    loads: Mapping[UpstreamId, tuple[int, int]] = field(default_factory=dict)
    holder_updates: list[HolderUpdate] = field(default_factory=list)
    counts: list[CountUpdate] = field(default_factory=list)
    quarantine: QuarantineReport = QuarantineReport()
    limits: list[LimitUpdate] = field(default_factory=list)
    speeds: list[SpeedUpdate] = field(default_factory=list)


def encode_report(report: PeerReport, now: float) -> bytes:
    """Return the datagram of a report."""
    document: dict[str, Any] = {
        "members": [
            encode_record(r, max(0.0, now - r.last_seen_at)) for r in report.records
        ],
        # Apart from the list above, which earlier versions read with its exact length.
        "sizes": [[round(r.capacity, 1), round(r.rate, 1)] for r in report.records],
        "loads": report.loads,
        "holders": [
            [
                update.service,
                update.key,
                update.upstream,
                round(update.age_s, 2),
            ]
            for update in report.holder_updates
        ],
        "counts": [
            [
                update.upstream,
                update.count,
                round(update.age_s, 2),
            ]
            for update in report.counts
        ],
        **encode_quarantine(report.quarantine),
        **encode_limits(report.limits),
        **encode_speeds(report.speeds),
    }
    return compress_report(json.dumps(document, separators=(",", ":")).encode())


def compress_report(text: bytes) -> bytes:
    """Return the datagram that carries the text of a report.

    Notes
    -----
    Links to other zones have a few Mbit/s; larger reports would delay responses there.
    """
    compressor = zlib.compressobj(zdict=REPORT_DICTIONARY)
    return compressor.compress(text) + compressor.flush()


def decompress_report(data: bytes) -> bytes:
    """Return the text of a report.

    Raises
    ------
    ValueError
        If the datagram is malformed, truncated or too large.
    """
    decompressor = zlib.decompressobj(zdict=REPORT_DICTIONARY)
    try:
        text = decompressor.decompress(data, REPORT_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(f"malformed report: {error}") from error
    if not decompressor.eof:
        raise ValueError("the report is truncated or too large")
    return text


def encode_record(record: PeerRecord, age_s: float) -> list[Any]:
    """Return a record as a list, with the time since its last report."""
    return [
        record.instance,
        record.host,
        record.callers_address,
        record.zone,
        record.incarnation,
        record.sequence,
        record.is_serving,
        round(age_s, 2),
    ]


def decode_report(data: bytes, now: float) -> PeerReport:
    """Return the report of a datagram.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    try:
        document = json.loads(decompress_report(data))
        records = [decode_record(entry, now) for entry in document["members"]]
        # Earlier versions send no sizes.
        for index, (capacity, rate) in enumerate(document.get("sizes", [])):
            records[index] = replace(
                records[index],
                capacity=decode_number(capacity),
                rate=decode_number(rate),
            )
        loads = {
            UpstreamId(decode_name(name)): (
                decode_count(running),
                decode_count(tokens),
            )
            for name, (running, tokens) in document["loads"].items()
        }
        holder_updates = [decode_holder(entry) for entry in document["holders"]]
        # Earlier versions send no counts.
        counts = [
            CountUpdate(
                UpstreamId(decode_name(upstream)),
                decode_count(count),
                decode_number(age_s),
            )
            for upstream, count, age_s in document.get("counts", [])
        ]
        quarantine = decode_quarantine(document)
        limits = decode_limits(document)
        speeds = decode_speeds(document)
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
    ) as error:
        raise ValueError(f"malformed report: {error!r}") from error
    if not records:
        raise ValueError("the report names no instance")
    return PeerReport(
        records, loads, holder_updates, counts, quarantine, limits, speeds
    )


def decode_holder(entry: Any) -> HolderUpdate:
    """Return the holder of a prefix that was encoded as a list.

    Notes
    -----
    Reports hold up to a hundred of them, so the names are checked together.
    """
    service, key, upstream, age_s = entry
    if not (service + key + upstream).isprintable() or not age_s <= NUMBER_MAX:
        raise ValueError(f"malformed holder of a prefix: {str(entry)[:80]!r}")
    return HolderUpdate(
        ServiceId(service), key, UpstreamId(upstream), max(0.0, float(age_s))
    )


def decode_record(entry: Any, now: float) -> PeerRecord:
    """Return the record that was encoded as a list."""
    name, host, address, zone, incarnation, sequence, serving, age_s = entry
    return PeerRecord(
        InstanceId(decode_name(name)),
        decode_name(host),
        decode_name(address),
        ZoneId(decode_name(zone)),
        decode_count(incarnation),
        decode_count(sequence),
        bool(serving),
        now - decode_number(age_s),
    )


__all__ = [
    "PeerReport",
    "compress_report",
    "decode_report",
    "decompress_report",
    "encode_report",
]
