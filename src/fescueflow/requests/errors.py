"""Encoding of errors as answers between instances."""

import json

from fescueflow import core
from fescueflow.core import Outcome, OutcomeUnknown, RequestError, describe_error
from fescueflow.schema import Header, SubmitAnswer

ERROR_HEADER = "Fescueflow-Error"


class AnswerNotKept(RequestError):
    """The request ran, but its answer was too large to keep for repeats."""

    status = 410
    type = "answer_not_kept"
    default_outcome = Outcome.RAN


def collect_error_types() -> dict[str, type[RequestError]]:
    """Return the error classes that instances exchange, by ``type``."""
    known = [getattr(core.errors, name) for name in core.errors.__all__]
    classes: list[type[RequestError]] = [AnswerNotKept]
    classes += [c for c in known if isinstance(c, type) and issubclass(c, RequestError)]
    return {c.type: c for c in classes}


ERROR_TYPES = collect_error_types()


def encode_error(error: RequestError) -> SubmitAnswer:
    """Return an error as an answer to another instance."""
    return SubmitAnswer(
        status=error.status,
        headers=[Header(ERROR_HEADER, error.type)],
        body=json.dumps(describe_error(error)).encode(),
    )


def decode_error(answer: SubmitAnswer) -> RequestError | None:
    """Return the error in an answer, ``None`` for an upstream's answer.

    Notes
    -----
    An error that can't be decoded becomes ``OutcomeUnknown``, which makes no claim
    about whether the request ran.
    """
    if not any(header.name == ERROR_HEADER for header in answer.headers):
        return None
    try:
        fields = json.loads(answer.body)["error"]
        return ERROR_TYPES[fields["type"]](
            fields["message"],
            Outcome(fields["outcome"]),
            fields["retry_after_ms"],
            fields["address"],
        )
    except (ValueError, KeyError, TypeError):
        return OutcomeUnknown("the owner's error could not be read")


def remove_error_header(answer: SubmitAnswer) -> SubmitAnswer:
    """Return an upstream's answer without the header that marks errors.

    Otherwise an upstream could forge an error of the owner.
    """
    kept = [h for h in answer.headers if h.name.lower() != ERROR_HEADER.lower()]
    return SubmitAnswer(status=answer.status, headers=kept, body=answer.body)


__all__ = [
    "AnswerNotKept",
    "decode_error",
    "encode_error",
    "remove_error_header",
]
