"""Parsing and validation of published configurations; free of side effects."""

import hashlib
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from fescueflow.configuration.checks import (
    ID_PATTERN,
    INTEGER_MAX,
    VALUE_BYTES_MAX,
    Checker,
    format_value,
    join_path,
)
from fescueflow.configuration.model import Configuration, Customer, Group
from fescueflow.configuration.templates import (
    GroupKinds,
    Template,
    is_parameter_value,
    read_template,
)
from fescueflow.core import (
    CustomerId,
    GroupId,
    InvalidConfiguration,
    Revision,
    UpstreamId,
    UpstreamKind,
    ZoneId,
)

MANIFEST = "manifest"
REQUIRED_SECTIONS = ("zones", "groups", "upstreams", "templates")
CUSTOMERS_PREFIX = "customers-"
SECTION_PATTERN = re.compile(r"customers-[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
REVISION_MAX = (1 << 63) - 1
LOAD_FACTOR_DEFAULT = 1.25
LOAD_FACTOR_MAX = 100.0
# A leaving upstream may get work for 5 s. The last second is for the import, so
# exports can be requested for 4 s. A shorter nonzero time is refused because it is
# probably a mistake for a longer one.
EXPORT_TIME_MIN_MS = 4_000
EXPORT_TIME_MAX_MS = 600_000
UPSTREAM_KINDS = {kind.value: kind for kind in UpstreamKind}

ParseResult = tuple[Any, list[str]]
Templates = dict[str, Template | None]


class SectionCache:
    """Cache of the sections used by the last two parses.

    The key of a section includes its digest and all else that its parsing depends on.
    Not thread-safe.
    """

    def __init__(self) -> None:
        self._current: dict[object, ParseResult] = {}
        self._previous: dict[object, ParseResult] = {}

    def begin(self) -> None:
        """Start a parse and drop entries that the last two parses did not use."""
        self._previous, self._current = self._current, {}

    def get(self, key: object, parse: Callable[[], ParseResult]) -> ParseResult:
        """Return the parsed section, from the cache if possible."""
        found = self._current.get(key) or self._previous.get(key) or parse()
        self._current[key] = found
        return found


def read_manifest(manifest: bytes) -> Result[dict[str, str], InvalidConfiguration]:
    """Return the SHA-256 (hex) of each section that a manifest lists.

    Parameters
    ----------
    manifest : bytes
        Manifest as published (JSON).

    Returns
    -------
    Result
        Digests by section name, or all problems found.
    """
    checker = Checker(MANIFEST)
    body = checker.read_json(manifest)
    sections: dict[str, str] = {}
    if not checker.problems:
        document = checker.read_object(body, "", ("sections",))
        entries = checker.read_object(
            document.get("sections", {}), "sections", REQUIRED_SECTIONS, None
        )
        for name, digest in entries.items():
            location = join_path("sections", name)
            if name not in REQUIRED_SECTIONS and not SECTION_PATTERN.fullmatch(name):
                checker.report(location, "unknown section")
            sections[name] = checker.read_string(digest, location, DIGEST_PATTERN)
    if checker.problems:
        return Failure(InvalidConfiguration(checker.problems))
    return Success(sections)


def find_section_mismatches(
    digests: Mapping[str, str], sections: Mapping[str, bytes]
) -> Iterator[str]:
    """Yield a problem for each section that does not match the manifest."""
    for name, digest in digests.items():
        body = sections.get(name)
        if body is None:
            yield f"{name}: missing"
        elif len(body) > VALUE_BYTES_MAX:
            yield f"{name}: {len(body)} bytes, at most {VALUE_BYTES_MAX} are allowed"
        elif hashlib.sha256(body).hexdigest() != digest:
            yield f"{name}: SHA-256 is not {digest}, the digest in the manifest"
    for name in sections:
        if name not in digests:
            yield f"{name[:80]}: not listed in the manifest"


def parse_ids(section: str, key: str, body: bytes) -> ParseResult:
    """Parse a section that consists of one list of ids."""
    checker = Checker(section)
    document = checker.read_json(body)
    ids: frozenset[str] = frozenset()
    if not checker.problems:
        found = checker.read_object(document, "", (key,))
        ids = checker.read_ids(found.get(key, []), key)
    return ids, checker.problems


def parse_groups(body: bytes) -> ParseResult:
    """Parse the upstream groups by id."""
    checker = Checker("groups")
    document = checker.read_json(body)
    groups: dict[GroupId, Group] = {}
    if not checker.problems:
        for name, value in checker.read_object(document, "", (), None).items():
            groups[GroupId(name)] = read_group(checker, name, value)
    return groups, checker.problems


def read_group(checker: Checker, name: str, value: object) -> Group:
    """Return a group; its limits are numbers of requests in flight."""
    path = join_path("", name)
    if not ID_PATTERN.fullmatch(name):
        checker.report(path, f"name does not match {ID_PATTERN.pattern}")
    body = checker.read_object(
        value,
        path,
        ("kind", "warm_limit", "cold_limit"),
        ("load_factor", "export_after_leave_ms"),
    )
    kind = UpstreamKind.ENGINE
    if "kind" in body:
        kind = checker.read_choice(
            body["kind"], join_path(path, "kind"), UPSTREAM_KINDS
        )
    limits = {
        key: checker.read_integer(body[key], join_path(path, key), 1, INTEGER_MAX)
        for key in ("warm_limit", "cold_limit")
        if key in body
    }
    warm, cold = limits.get("warm_limit", 1), limits.get("cold_limit", 1)
    if len(limits) == 2 and cold > warm:
        checker.report(
            join_path(path, "cold_limit"), f"{cold} is above warm_limit {warm}"
        )
    load_factor = checker.read_number(
        body.get("load_factor", LOAD_FACTOR_DEFAULT),
        join_path(path, "load_factor"),
        1.0,
        LOAD_FACTOR_MAX,
    )
    export_ms = read_export_time(checker, path, kind, body)
    return Group(GroupId(name), kind, warm, cold, load_factor, export_ms)


def read_export_time(
    checker: Checker, path: str, kind: UpstreamKind, body: Mapping[str, object]
) -> int:
    """Return for how many ms after a leave an engine may export; 0 for never."""
    location = join_path(path, "export_after_leave_ms")
    value = body.get("export_after_leave_ms", 0)
    export_ms = checker.read_integer(value, location, 0, EXPORT_TIME_MAX_MS)
    if 0 < export_ms < EXPORT_TIME_MIN_MS:
        checker.report(
            location, f"{export_ms} is neither 0 nor at least {EXPORT_TIME_MIN_MS}"
        )
    if export_ms and kind is not UpstreamKind.ENGINE:
        checker.report(location, "only engines export cached prefixes")
    return export_ms


def parse_templates(body: bytes, groups: GroupKinds) -> ParseResult:
    """Parse the templates by name; an invalid one becomes ``None``."""
    checker = Checker("templates")
    document = checker.read_json(body)
    templates: Templates = {}
    if not checker.problems:
        for name, value in checker.read_object(document, "", (), None).items():
            templates[name] = read_template(checker, name, value, groups)
    return templates, checker.problems


def parse_customers(
    section: str, body: bytes, templates: Templates, groups: GroupKinds
) -> ParseResult:
    """Parse the customers of one section by id."""
    checker = Checker(section)
    document = checker.read_json(body)
    customers: dict[CustomerId, Customer] = {}
    if not checker.problems:
        for name, value in checker.read_object(document, "", (), None).items():
            customer = read_customer(checker, name, value, templates, groups)
            if customer is not None:
                customers[customer.id] = customer
    return customers, checker.problems


def read_customer(
    checker: Checker,
    name: str,
    value: object,
    templates: Templates,
    groups: GroupKinds,
) -> Customer | None:
    """Return a customer, ``None`` if its template or parameters are invalid."""
    path = join_path("", name)
    if not ID_PATTERN.fullmatch(name):
        checker.report(path, f"name does not match {ID_PATTERN.pattern}")
    body = checker.read_object(value, path, ("template",), ("parameters",))
    if "template" not in body:
        return None
    template_name = body["template"]
    if not isinstance(template_name, str) or template_name not in templates:
        location = join_path(path, "template")
        checker.report(location, f"unknown template {format_value(template_name)}")
        return None
    template = templates[template_name]
    if template is None:
        return None
    location = join_path(path, "parameters")
    parameters = checker.read_object(
        body.get("parameters", {}), location, sorted(template.parameters)
    )
    for key, parameter in parameters.items():
        if not is_parameter_value(parameter):
            message = (
                f"{format_value(parameter)} is not a string, integer, boolean or list "
                "of strings"
            )
            checker.report(join_path(location, key), message)
            return None
    if parameters.keys() != template.parameters:
        return None
    return template.make_customer(path, parameters, groups, checker)


def merge_customers(
    parsed: Iterator[tuple[str, dict[CustomerId, Customer]]], problems: list[str]
) -> dict[CustomerId, Customer]:
    """Return the customers of all sections; a duplicate id is a problem."""
    merged: dict[CustomerId, Customer] = {}
    seen: list[tuple[str, dict[CustomerId, Customer]]] = []
    for name, customers in parsed:
        if not merged.keys().isdisjoint(customers):
            for repeated in merged.keys() & customers.keys():
                first = next(other for other, found in seen if repeated in found)
                problems.append(f"{name}: {repeated}: also in section {first}")
        merged.update(customers)
        seen.append((name, customers))
    return merged


def parse_sections(
    digests: Mapping[str, str], sections: Mapping[str, bytes], cache: SectionCache
) -> tuple[dict[str, Any], list[str]]:
    """Return the fields of a configuration and all problems found."""
    problems: list[str] = []

    def parse(
        name: str,
        context: object,
        parse_function: Callable[..., ParseResult],
        *args: Any,
    ) -> Any:
        key = (name, digests[name], context)
        value, found = cache.get(key, lambda: parse_function(*args))
        problems.extend(found)
        return value

    withdrawn = parse("zones", 0, parse_ids, "zones", "withdrawn", sections["zones"])
    leaving = parse(
        "upstreams", 0, parse_ids, "upstreams", "leaving", sections["upstreams"]
    )
    groups = parse("groups", 0, parse_groups, sections["groups"])
    # Templates and customers depend on the ids and kinds of the groups but not on
    # their limits, so changing a limit does not parse the customers again.
    kinds = {name: group.kind for name, group in groups.items()}
    context = tuple(sorted((name, kind.value) for name, kind in kinds.items()))
    templates = parse(
        "templates", context, parse_templates, sections["templates"], kinds
    )
    dependencies = (digests["templates"], context)
    customer_args = (templates, kinds)
    names = sorted(name for name in digests if name.startswith(CUSTOMERS_PREFIX))
    bodies = ((name, sections[name]) for name in names)
    customers = merge_customers(
        (
            (
                name,
                parse(name, dependencies, parse_customers, name, body, *customer_args),
            )
            for name, body in bodies
        ),
        problems,
    )
    fields = {
        "withdrawn": frozenset(ZoneId(zone) for zone in withdrawn),
        "leaving": frozenset(UpstreamId(upstream) for upstream in leaving),
        "groups": groups,
        "customers": customers,
    }
    return fields, problems


def parse_configuration(
    revision: Revision,
    manifest: bytes,
    sections: Mapping[str, bytes],
    cache: SectionCache | None = None,
) -> Result[Configuration, InvalidConfiguration]:
    """Parse and validate a published configuration.

    Parameters
    ----------
    revision : Revision
    manifest : bytes
        Manifest as published (JSON).
    sections : mapping of str to bytes
        Section bodies by section name.
    cache : SectionCache, optional
        Sections parsed by earlier calls; affects only the cost, not the result.

    Returns
    -------
    Result
        The configuration, or all problems with their sections and paths.
    """
    if isinstance(revision, bool) or not 1 <= revision <= REVISION_MAX:
        message = (
            f"manifest: revision {format_value(revision)} is not a positive number"
        )
        return Failure(InvalidConfiguration([message]))
    manifest_result = read_manifest(manifest)
    if isinstance(manifest_result, Failure):
        return Failure(manifest_result.failure())
    digests = manifest_result.unwrap()
    problems = list(find_section_mismatches(digests, sections))
    if problems:
        return Failure(InvalidConfiguration(problems))
    cache = cache or SectionCache()
    cache.begin()
    fields, problems = parse_sections(digests, sections, cache)
    if problems:
        return Failure(InvalidConfiguration(problems))
    digest = hashlib.sha256(manifest).digest()
    return Success(Configuration(revision=revision, digest=digest, **fields))


def make_manifest(sections: Mapping[str, bytes]) -> bytes:
    """Return the manifest that lists the given sections."""
    digests = {
        name: hashlib.sha256(body).hexdigest() for name, body in sections.items()
    }
    text = '{{"sections": {{\n{}\n}}}}\n'
    lines = (f'  "{name}": "{digests[name]}"' for name in sorted(digests))
    return text.format(",\n".join(lines)).encode()


__all__ = ["SectionCache", "make_manifest", "parse_configuration", "read_manifest"]
