"""Customer templates: validation and expansion with a customer's parameters."""

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

from fescueflow.configuration.checks import (
    ID_PATTERN,
    INTEGER_MAX,
    METHOD_PATTERN,
    NAME_PATTERN,
    PATH_PATTERN,
    PLACEHOLDER_PATTERN,
    Checker,
    format_value,
    join_path,
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
PARAMETER_CHARACTERS_MAX = 1024
PRIORITIES = {priority.name.lower(): priority for priority in Priority}
AFFINITIES = {affinity.value: affinity for affinity in Affinity}
GroupKinds = Mapping[GroupId, UpstreamKind]
RouteT = TypeVar("RouteT")


class FieldReader:
    """Validates the fields of a template, before or after expansion.

    The checker decides whether placeholders are accepted.
    """

    def __init__(self, checker: Checker, groups: GroupKinds) -> None:
        self._checker = checker
        self._groups = groups

    def read_share(self, value: object, path: str) -> int:
        """Return the customer's share, an integer weight."""
        return self._checker.read_integer(value, path, 1, INTEGER_MAX)

    def read_affinity(self, value: object, path: str) -> Affinity:
        """Return what requests must share to be sent to the same upstream."""
        found: Affinity = self._checker.read_choice(value, path, AFFINITIES)
        return found

    def read_zones(self, value: object, path: str) -> frozenset[ZoneId]:
        """Return the zones that may serve the customer; empty for all zones."""
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
        read: Callable[[object, str], RouteT],
    ) -> dict[str, RouteT]:
        routes = {}
        for name, body in self._checker.read_object(value, path, (), None).items():
            location = join_path(path, name)
            if not pattern.fullmatch(name):
                self._checker.report(location, f"name does not match {pattern.pattern}")
            routes[name] = read(body, location)
        return routes

    def _read_group(self, body: dict[str, Any], path: str, kind: UpstreamKind) -> str:
        if "group" not in body:
            return ""
        location = join_path(path, "group")
        group = self._checker.read_string(body["group"], location, ID_PATTERN)
        known = self._groups.get(GroupId(group))
        if group and known is None:
            self._checker.report(location, f"unknown group {group!r}")
        elif group and known is not kind:
            self._checker.report(
                location, f"group {group!r} is not of kind {kind.value}"
            )
        return group

    def _read_idempotency_and_priority(
        self, body: dict[str, Any], path: str
    ) -> tuple[bool, Priority]:
        idempotent = body.get("idempotent", False)
        priority = body.get("priority", "standard")
        return (
            self._checker.read_boolean(idempotent, join_path(path, "idempotent")),
            self._checker.read_choice(
                priority, join_path(path, "priority"), PRIORITIES
            ),
        )

    def _read_model(self, value: object, path: str) -> ModelRoute:
        body = self._checker.read_object(
            value, path, ("group", "model", "version"), ("idempotent", "priority")
        )
        texts = {
            key: self._checker.read_string(
                body[key], join_path(path, key), NAME_PATTERN
            )
            for key in ("model", "version")
            if key in body
        }
        group = GroupId(self._read_group(body, path, UpstreamKind.ENGINE))
        model, version = texts.get("model", ""), texts.get("version", "")
        return ModelRoute(
            group, model, version, *self._read_idempotency_and_priority(body, path)
        )

    def _read_service(self, value: object, path: str) -> ServiceRoute:
        body = self._checker.read_object(value, path, ("group",), ("operations",))
        group = GroupId(self._read_group(body, path, UpstreamKind.SERVICE))
        location = join_path(path, "operations")
        entries = self._checker.read_list(body.get("operations", []), location)
        operations: dict[tuple[str, str], Operation] = {}
        for index, entry in enumerate(entries):
            entry_location = join_path(location, index)
            operation = self._read_operation(entry, entry_location)
            key = (operation.method, operation.path)
            if key in operations and "" not in key:
                self._checker.report(
                    entry_location, f"{' '.join(key)} is declared twice"
                )
            operations[key] = operation
        return ServiceRoute(group, tuple(operations.values()))

    def _read_operation(self, value: object, path: str) -> Operation:
        read = self._checker.read_string
        keys = ("idempotent", "priority")
        body = self._checker.read_object(value, path, ("method", "path"), keys)
        method = target = ""
        if "method" in body:
            method = read(body["method"], join_path(path, "method"), METHOD_PATTERN)
        if "path" in body:
            target = read(body["path"], join_path(path, "path"), PATH_PATTERN)
        return Operation(
            method, target, *self._read_idempotency_and_priority(body, path)
        )


TEMPLATE_FIELDS: dict[str, tuple[object, Callable[[FieldReader, object, str], Any]]] = {
    "share": (1, FieldReader.read_share),
    "affinity": ("chat", FieldReader.read_affinity),
    "zones": ([], FieldReader.read_zones),
    "models": ({}, FieldReader.read_models),
    "services": ({}, FieldReader.read_services),
}


def find_placeholders(value: object) -> Iterator[str]:
    """Yield the parameter names that a template value refers to."""
    if isinstance(value, str):
        yield from PLACEHOLDER_PATTERN.findall(value)
    elif isinstance(value, list):
        for item in value:
            yield from find_placeholders(item)
    elif isinstance(value, dict):
        for item in value.values():
            yield from find_placeholders(item)


def expand_value(value: Any, parameters: Mapping[str, Any]) -> Any:
    """Return a template value with its placeholders replaced.

    A string that consists of a single placeholder becomes the parameter with its
    type, so that integers, booleans and lists can be parameters. Replaced text is not
    searched for placeholders again.
    """
    if isinstance(value, str):
        full_match = PLACEHOLDER_PATTERN.fullmatch(value)
        if full_match:
            return parameters[full_match[1]]
        return PLACEHOLDER_PATTERN.sub(lambda match: str(parameters[match[1]]), value)
    if isinstance(value, list):
        return [expand_value(item, parameters) for item in value]
    if isinstance(value, dict):
        return {key: expand_value(item, parameters) for key, item in value.items()}
    return value


class Template:
    """A valid template that customers are made from.

    Parsed fields are cached by the values of the parameters that they use, so that
    customers with the same values share them.
    """

    def __init__(
        self, name: str, parameters: frozenset[str], body: dict[str, Any]
    ) -> None:
        self.parameters = parameters
        self._name = name
        self._fields = [
            (field, body.get(field, default), read)
            for field, (default, read) in TEMPLATE_FIELDS.items()
        ]
        self._parameters_by_field = {
            field: sorted(set(find_placeholders(value)))
            for field, value, _ in self._fields
        }
        self._cache: dict[tuple[str, ...], tuple[Any, list[str]]] = {}

    def make_customer(
        self,
        customer: str,
        parameters: Mapping[str, Any],
        groups: GroupKinds,
        checker: Checker,
    ) -> Customer:
        """Return the customer; problems are reported at its location."""
        values = {}
        for field, raw_value, read in self._fields:
            # repr keeps apart values that compare equal, such as True and 1.
            key = (
                field,
                *[repr(parameters[name]) for name in self._parameters_by_field[field]],
            )
            found = self._cache.get(key)
            if found is None:
                value_checker = Checker("")
                value = expand_value(raw_value, parameters)
                found = (
                    read(FieldReader(value_checker, groups), value, field),
                    value_checker.problems,
                )
                self._cache[key] = found
            values[field], problems = found
            for problem in problems:
                message = problem.removeprefix(": ")
                checker.report(customer, f"template {self._name}: {message}")
        return Customer(id=CustomerId(customer), **values)


def read_parameter_names(checker: Checker, value: object, path: str) -> frozenset[str]:
    """Return the parameter names that a template declares."""
    names: set[str] = set()
    for index, item in enumerate(checker.read_list(value, path)):
        location = join_path(path, index)
        if not isinstance(item, str) or not PARAMETER_PATTERN.fullmatch(item):
            checker.report(
                location,
                f"{format_value(item)} does not match {PARAMETER_PATTERN.pattern}",
            )
        elif item in names:
            checker.report(location, f"{item!r} appears twice")
        else:
            names.add(item)
    return frozenset(names)


def read_template(
    checker: Checker, name: str, value: object, groups: GroupKinds
) -> Template | None:
    """Return a template, ``None`` if it has problems."""
    problems_before = len(checker.problems)
    if not ID_PATTERN.fullmatch(name):
        checker.report(join_path("", name), f"name does not match {ID_PATTERN.pattern}")
    body = checker.read_object(value, name, (), ("parameters", *TEMPLATE_FIELDS))
    location = join_path(name, "parameters")
    parameters = read_parameter_names(checker, body.get("parameters", []), location)
    placeholder_checker = Checker(checker.section, placeholders=True)
    field_reader = FieldReader(placeholder_checker, groups)
    for field, (default, read) in TEMPLATE_FIELDS.items():
        raw_value = body.get(field, default)
        read(field_reader, raw_value, join_path(name, field))
        for used in sorted(set(find_placeholders(raw_value)) - parameters):
            placeholder_checker.report(
                join_path(name, field), f"${{{used}}} is not a declared parameter"
            )
    checker.problems += placeholder_checker.problems
    if len(checker.problems) > problems_before:
        return None
    return Template(name, parameters, body)


def is_parameter_value(value: object) -> bool:
    """Return whether a value can replace a placeholder."""
    if isinstance(value, list):
        return all(isinstance(v, str) and is_parameter_value(v) for v in value)
    if isinstance(value, str):
        return len(value) <= PARAMETER_CHARACTERS_MAX
    return isinstance(value, int) and abs(value) <= INTEGER_MAX


__all__ = ["GroupKinds", "Template", "is_parameter_value", "read_template"]
