"""Non-idempotent requests: ids, owner tables, forwarding and handover."""

from fescueflow.requests.errors import (
    AnswerNotKept,
    decode_error,
    encode_error,
)
from fescueflow.requests.identifiers import ParsedRequestId, RequestId, RequestIdCodec
from fescueflow.requests.records import RecordState, RequestRecord
from fescueflow.requests.service import RequestExecutor, RequestService
from fescueflow.requests.table import OwnerTable

__all__ = [
    "AnswerNotKept",
    "OwnerTable",
    "ParsedRequestId",
    "RecordState",
    "RequestExecutor",
    "RequestId",
    "RequestIdCodec",
    "RequestRecord",
    "RequestService",
    "decode_error",
    "encode_error",
]
