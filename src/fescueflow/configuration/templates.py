"""Customer templates: checks and expansion with a customer's parameters."""

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

from fescueflow.configuration.checks import (
    ID_PATTERN,
    LIMIT_MAX,
    METHOD_PATTERN,
    NAME_PATTERN,
    PATH_PATTERN,
    PLACEHOLDER,
    Checker,
    join_path,
    show_value,
)
from fescueflow.configuration.model import (
    Affinity,
    Customer,
    ModelRoute,
    Operation,
    ServiceRoute,
)
from fescueflow.core import CustomerId, GroupId, Priority, UpstreamKind, ZoneId

PARAMETER_PATTERN = re.compile(r"[a-z][a-z0-9_]{0,63}")
PARAMETER_LENGTH_MAX = 1024
PRIORITIES = {priority.name.lower(): priority for priority in Priority}
AFFINITIES = {affinity.value: affinity for affinity in Affinity}
GroupKinds = Mapping[GroupId, UpstreamKind]
Routing = TypeVar("Routing")


class Fields:
    """Reads the fields of a template, with or without its placeholders."""

    def __init__(self, checker: Checker, groups: GroupKinds) -> None:
        self._checker = checker
        self._groups = groups

    def read_share(self, value: object, path: str) -> int:
        """Return the customer's weight."""
        return self._checker.read_integer(value, path, 1, LIMIT_MAX)

    def read_affinity(self, value: object, path: str) -> Affinity:
        """Return what binds requests to an upstream."""
        found: Affinity = self._checker.read_choice(value, path, AFFINITIES)
        return found

    def read_zones(self, value: object, path: str) -> frozenset[ZoneId]:
        """Return the zones that serve the customer."""
        return frozenset(ZoneId(z) for z in self._checker.read_ids(value, path))

    def read_models(self, value: object, path: str) -> dict[str, ModelRoute]:
        """Return the model routes by alias."""
        return self._read_routes(value, path, NAME_PATTERN, self._read_model)

    def read_services(self, value: object, path: str) -> dict[str, ServiceRoute]:
        """Return the service routes by name."""
        return self._read_routes(value, path, ID_PATTERN, self._read_service)

    def _read_routes(
        self,
        value: object,
        path: str,
        pattern: re.Pattern[str],
        read: Callable[[object, str], Routing],
    ) -> dict[str, Routing]:
        routes = {}
        for name, body in self._checker.read_object(value, path, (), None).items():
            place = join_path(path, name)
            if not pattern.fullmatch(name):
                self._checker.report(place, f"name does not match {pattern.pattern}")
            routes[name] = read(body, place)
        return routes

    def _read_group(self, body: dict[str, Any], path: str, kind: UpstreamKind) -> str:
        if "group" not in body:
            return ""
        place = join_path(path, "group")
        group = self._checker.read_text(body["group"], place, ID_PATTERN)
        known = self._groups.get(GroupId(group))
        if group and known is None:
            self._checker.report(place, f"unknown group {group!r}")
        elif group and known is not kind:
            self._checker.report(place, f"group {group!r} is not of kind {kind.value}")
        return group

    def _read_handling(self, body: dict[str, Any], path: str) -> tuple[bool, Priority]:
        idempotent = body.get("idempotent", False)
        priority = body.get("priority", "standard")
        return (
            self._checker.read_flag(idempotent, join_path(path, "idempotent")),
            self._checker.read_choice(
                priority, join_path(path, "priority"), PRIORITIES
            ),
        )

    def _read_model(self, value: object, path: str) -> ModelRoute:
        body = self._checker.read_object(
            value, path, ("group", "model", "version"), ("idempotent", "priority")
        )
        texts = {
            key: self._checker.read_text(body[key], join_path(path, key), NAME_PATTERN)
            for key in ("model", "version")
            if key in body
        }
        group = GroupId(self._read_group(body, path, UpstreamKind.ENGINE))
        model, version = texts.get("model", ""), texts.get("version", "")
        return ModelRoute(group, model, version, *self._read_handling(body, path))

    def _read_service(self, value: object, path: str) -> ServiceRoute:
        body = self._checker.read_object(value, path, ("group",), ("operations",))
        group = GroupId(self._read_group(body, path, UpstreamKind.SERVICE))
        place = join_path(path, "operations")
        entries = self._checker.read_list(body.get("operations", []), place)
        operations: dict[tuple[str, str], Operation] = {}
        for index, entry in enumerate(entries):
            at = join_path(place, index)
            operation = self._read_operation(entry, at)
            key = (operation.method, operation.path)
            if key in operations and "" not in key:
                self._checker.report(at, f"{' '.join(key)} is declared twice")
            operations[key] = operation
        return ServiceRoute(group, tuple(operations.values()))

    def _read_operation(self, value: object, path: str) -> Operation:
        read = self._checker.read_text
        keys = ("idempotent", "priority")
        body = self._checker.read_object(value, path, ("method", "path"), keys)
        method = target = ""
        if "method" in body:
            method = read(body["method"], join_path(path, "method"), METHOD_PATTERN)
        if "path" in body:
            target = read(body["path"], join_path(path, "path"), PATH_PATTERN)
        return Operation(method, target, *self._read_handling(body, path))


PARTS: dict[str, tuple[object, Callable[[Fields, object, str], Any]]] = {
    "share": (1, Fields.read_share),
    "affinity": ("chat", Fields.read_affinity),
    "zones": ([], Fields.read_zones),
    "models": ({}, Fields.read_models),
    "services": ({}, Fields.read_services),
}


def find_placeholders(value: object) -> Iterator[str]:
    """Yield the parameter names that a template value uses."""
    if isinstance(value, str):
        yield from PLACEHOLDER.findall(value)
    elif isinstance(value, list):
        for item in value:
            yield from find_placeholders(item)
    elif isinstance(value, dict):
        for item in value.values():
            yield from find_placeholders(item)


def expand_value(value: Any, parameters: Mapping[str, Any]) -> Any:
    """Return a template value with its placeholders replaced.

    A text that is one placeholder takes the parameter with its type, so that
    numbers, truth values and lists can be parameters. Replaced text is not
    searched for placeholders again.
    """
    if isinstance(value, str):
        whole = PLACEHOLDER.fullmatch(value)
        if whole:
            return parameters[whole[1]]
        return PLACEHOLDER.sub(lambda match: str(parameters[match[1]]), value)
    if isinstance(value, list):
        return [expand_value(item, parameters) for item in value]
    if isinstance(value, dict):
        return {key: expand_value(item, parameters) for key, item in value.items()}
    return value


class Template:
    """A checked template that makes customers.

    Parsed parts are kept by the values of the parameters that they use, so that
    customers with the same values share them.
    """

    def __init__(
        self, name: str, parameters: frozenset[str], body: dict[str, Any]
    ) -> None:
        self.parameters = parameters
        self._name = name
        self._parts = [
            (part, body.get(part, default), read)
            for part, (default, read) in PARTS.items()
        ]
        self._uses = {
            part: sorted(set(find_placeholders(value)))
            for part, value, _ in self._parts
        }
        self._parsed: dict[tuple[str, ...], tuple[Any, list[str]]] = {}

    def make_customer(
        self,
        customer: str,
        parameters: Mapping[str, Any],
        groups: GroupKinds,
        checker: Checker,
    ) -> Customer:
        """Return the customer; problems are reported at its place."""
        values = {}
        for part, raw, read in self._parts:
            key = (part, *[repr(parameters[name]) for name in self._uses[part]])
            found = self._parsed.get(key)
            if found is None:
                inner = Checker("")
                value = expand_value(raw, parameters)
                found = (read(Fields(inner, groups), value, part), inner.problems)
                self._parsed[key] = found
            values[part], problems = found
            for problem in problems:
                text = problem.removeprefix(": ")
                checker.report(customer, f"template {self._name}: {text}")
        return Customer(id=CustomerId(customer), **values)


def read_parameter_names(checker: Checker, value: object, path: str) -> frozenset[str]:
    """Return the parameter names that a template declares."""
    names: set[str] = set()
    for index, item in enumerate(checker.read_list(value, path)):
        place = join_path(path, index)
        if not isinstance(item, str) or not PARAMETER_PATTERN.fullmatch(item):
            checker.report(
                place, f"{show_value(item)} does not match {PARAMETER_PATTERN.pattern}"
            )
        elif item in names:
            checker.report(place, f"{item!r} appears twice")
        else:
            names.add(item)
    return frozenset(names)


def read_template(
    checker: Checker, name: str, value: object, groups: GroupKinds
) -> Template | None:
    """Return a template, ``None`` if it has problems."""
    before = len(checker.problems)
    if not ID_PATTERN.fullmatch(name):
        checker.report(join_path("", name), f"name does not match {ID_PATTERN.pattern}")
    body = checker.read_object(value, name, (), ("parameters", *PARTS))
    place = join_path(name, "parameters")
    parameters = read_parameter_names(checker, body.get("parameters", []), place)
    lenient = Checker(checker.section, placeholders=True)
    fields = Fields(lenient, groups)
    for part, (default, read) in PARTS.items():
        raw = body.get(part, default)
        read(fields, raw, join_path(name, part))
        for used in sorted(set(find_placeholders(raw)) - parameters):
            lenient.report(
                join_path(name, part), f"${{{used}}} is not a declared parameter"
            )
    checker.problems += lenient.problems
    if len(checker.problems) > before:
        return None
    return Template(name, parameters, body)


def is_parameter_value(value: object) -> bool:
    """Return whether a value can replace a placeholder."""
    if isinstance(value, list):
        return all(isinstance(v, str) and is_parameter_value(v) for v in value)
    if isinstance(value, str):
        return len(value) <= PARAMETER_LENGTH_MAX
    return isinstance(value, int) and abs(value) <= LIMIT_MAX


__all__ = ["GroupKinds", "Template", "is_parameter_value", "read_template"]
