"""Pure conversion of published bytes into a checked configuration."""

import hashlib
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from fescueflow.configuration.checks import (
    ID_PATTERN,
    LIMIT_MAX,
    VALUE_BYTES_MAX,
    Checker,
    join_path,
    show_value,
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
# Without the field a leaving engine may be asked to export for 4 s. A shorter time
# would be an easy mistake for a longer one.
EXPORT_MIN_MS = 4_000
EXPORT_MAX_MS = 600_000
KINDS = {kind.value: kind for kind in UpstreamKind}

Parsed = tuple[Any, list[str]]
Templates = dict[str, Template | None]


class SectionCache:
    """Parsed sections of the last two parses, by digest and dependencies.

    Not safe for use from several threads at the same time.
    """

    def __init__(self) -> None:
        self._current: dict[object, Parsed] = {}
        self._previous: dict[object, Parsed] = {}

    def begin(self) -> None:
        """Start a parse; what the one before the last one used is dropped."""
        self._previous, self._current = self._current, {}

    def get(self, key: object, parse: Callable[[], Parsed]) -> Parsed:
        """Return the parsed section, from the cache if it is there."""
        found = self._current.get(key) or self._previous.get(key) or parse()
        self._current[key] = found
        return found


def read_manifest(manifest: bytes) -> Result[dict[str, str], InvalidConfiguration]:
    """Return the SHA-256 (hex) of each section that a manifest names.

    Parameters
    ----------
    manifest : bytes

    Returns
    -------
    Result
        Digests by section name, or every problem found.
    """
    checker = Checker(MANIFEST)
    body = checker.read_json(manifest)
    sections: dict[str, str] = {}
    if not checker.problems:
        outer = checker.read_object(body, "", ("sections",))
        named = checker.read_object(
            outer.get("sections", {}), "sections", REQUIRED_SECTIONS, None
        )
        for name, digest in named.items():
            place = join_path("sections", name)
            if name not in REQUIRED_SECTIONS and not SECTION_PATTERN.fullmatch(name):
                checker.report(place, "unknown section")
            sections[name] = checker.read_text(digest, place, DIGEST_PATTERN)
    if checker.problems:
        return Failure(InvalidConfiguration(checker.problems))
    return Success(sections)


def find_damaged(
    digests: Mapping[str, str], sections: Mapping[str, bytes]
) -> Iterator[str]:
    """Yield a problem for each section that is not what the manifest names."""
    for name, digest in digests.items():
        body = sections.get(name)
        if body is None:
            yield f"{name}: missing"
        elif len(body) > VALUE_BYTES_MAX:
            yield f"{name}: {len(body)} bytes, at most {VALUE_BYTES_MAX} are allowed"
        elif hashlib.sha256(body).hexdigest() != digest:
            yield f"{name}: SHA-256 is not {digest} as the manifest says"
    for name in sections:
        if name not in digests:
            yield f"{name[:80]}: not named by the manifest"


def parse_ids(section: str, key: str, body: bytes) -> Parsed:
    """Return the ids of a section that holds one list."""
    checker = Checker(section)
    outer = checker.read_json(body)
    ids: frozenset[str] = frozenset()
    if not checker.problems:
        found = checker.read_object(outer, "", (key,))
        ids = checker.read_ids(found.get(key, []), key)
    return ids, checker.problems


def parse_groups(body: bytes) -> Parsed:
    """Return the upstream groups by id."""
    checker = Checker("groups")
    outer = checker.read_json(body)
    groups: dict[GroupId, Group] = {}
    if not checker.problems:
        for name, value in checker.read_object(outer, "", (), None).items():
            groups[GroupId(name)] = read_group(checker, name, value)
    return groups, checker.problems


def read_group(checker: Checker, name: str, value: object) -> Group:
    """Return a group; limits are requests in flight."""
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
        kind = checker.read_choice(body["kind"], join_path(path, "kind"), KINDS)
    limits = {
        key: checker.read_integer(body[key], join_path(path, key), 1, LIMIT_MAX)
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
    """Return how long a leaving engine may export, 0 for never."""
    place = join_path(path, "export_after_leave_ms")
    value = body.get("export_after_leave_ms", 0)
    export_ms = checker.read_integer(value, place, 0, EXPORT_MAX_MS)
    if 0 < export_ms < EXPORT_MIN_MS:
        checker.report(place, f"{export_ms} is neither 0 nor at least {EXPORT_MIN_MS}")
    if export_ms and kind is not UpstreamKind.ENGINE:
        checker.report(place, "only engines export cached prefixes")
    return export_ms


def parse_templates(body: bytes, groups: GroupKinds) -> Parsed:
    """Return the templates by name, ``None`` for one with problems."""
    checker = Checker("templates")
    outer = checker.read_json(body)
    templates: Templates = {}
    if not checker.problems:
        for name, value in checker.read_object(outer, "", (), None).items():
            templates[name] = read_template(checker, name, value, groups)
    return templates, checker.problems


def parse_customers(
    section: str, body: bytes, templates: Templates, groups: GroupKinds
) -> Parsed:
    """Return the customers of a section by id."""
    checker = Checker(section)
    outer = checker.read_json(body)
    customers: dict[CustomerId, Customer] = {}
    if not checker.problems:
        for name, value in checker.read_object(outer, "", (), None).items():
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
    """Return a customer, ``None`` if its template can't be used."""
    path = join_path("", name)
    if not ID_PATTERN.fullmatch(name):
        checker.report(path, f"name does not match {ID_PATTERN.pattern}")
    body = checker.read_object(value, path, ("template",), ("parameters",))
    if "template" not in body:
        return None
    wanted = body["template"]
    if not isinstance(wanted, str) or wanted not in templates:
        place = join_path(path, "template")
        checker.report(place, f"unknown template {show_value(wanted)}")
        return None
    template = templates[wanted]
    if template is None:
        return None
    place = join_path(path, "parameters")
    parameters = checker.read_object(
        body.get("parameters", {}), place, sorted(template.parameters)
    )
    for key, parameter in parameters.items():
        if not is_parameter_value(parameter):
            text = f"{show_value(parameter)} is no string, whole number, flag or list"
            checker.report(join_path(place, key), text)
            return None
    if parameters.keys() != template.parameters:
        return None
    return template.make_customer(path, parameters, groups, checker)


def merge_customers(
    parsed: Iterator[tuple[str, dict[CustomerId, Customer]]], problems: list[str]
) -> dict[CustomerId, Customer]:
    """Return the customers of all sections; a repeated one is a problem."""
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
    """Return the fields of a configuration and every problem found."""
    problems: list[str] = []

    def parse(
        name: str, context: object, function: Callable[..., Parsed], *args: Any
    ) -> Any:
        key = (name, digests[name], context)
        value, found = cache.get(key, lambda: function(*args))
        problems.extend(found)
        return value

    withdrawn = parse("zones", 0, parse_ids, "zones", "withdrawn", sections["zones"])
    leaving = parse(
        "upstreams", 0, parse_ids, "upstreams", "leaving", sections["upstreams"]
    )
    groups = parse("groups", 0, parse_groups, sections["groups"])
    # Templates and customers depend on the ids and kinds of the groups but not on
    # their limits, so a changed limit does not parse the customers again.
    kinds = {name: group.kind for name, group in groups.items()}
    context = tuple(sorted((name, kind.value) for name, kind in kinds.items()))
    templates = parse(
        "templates", context, parse_templates, sections["templates"], kinds
    )
    dependencies = (digests["templates"], context)
    made = (templates, kinds)
    names = sorted(name for name in digests if name.startswith(CUSTOMERS_PREFIX))
    bodies = ((name, sections[name]) for name in names)
    customers = merge_customers(
        (
            (name, parse(name, dependencies, parse_customers, name, body, *made))
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
    """Return the configuration that published bytes stand for.

    Parameters
    ----------
    revision : Revision
    manifest : bytes
    sections : mapping of str to bytes
        Bodies by section name.
    cache : SectionCache, optional
        Parsed sections of earlier calls; it changes the cost, never the result.

    Returns
    -------
    Result
        The configuration, or every problem with its section and path.
    """
    if isinstance(revision, bool) or not 1 <= revision <= REVISION_MAX:
        text = f"manifest: revision {show_value(revision)} is not a positive number"
        return Failure(InvalidConfiguration([text]))
    read = read_manifest(manifest)
    if isinstance(read, Failure):
        return Failure(read.failure())
    digests = read.unwrap()
    problems = list(find_damaged(digests, sections))
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
    """Return the manifest that names the given sections."""
    digests = {
        name: hashlib.sha256(body).hexdigest() for name, body in sections.items()
    }
    text = '{{"sections": {{\n{}\n}}}}\n'
    lines = (f'  "{name}": "{digests[name]}"' for name in sorted(digests))
    return text.format(",\n".join(lines)).encode()


__all__ = ["SectionCache", "make_manifest", "parse_configuration", "read_manifest"]
