"""UDP datagrams and TCP frames between instances, authenticated."""

from fescueflow.transport.client import ConnectionPool, FrameClient, PeerFailure
from fescueflow.transport.datagrams import (
    CONTENT_BYTES_MAX,
    DatagramEndpoint,
    decode_datagram,
    encode_datagram,
)
from fescueflow.transport.keyring import Keyring
from fescueflow.transport.messages import Sender
from fescueflow.transport.network import (
    DatagramSocket,
    Network,
    SystemNetwork,
    format_address,
    parse_address,
)
from fescueflow.transport.server import FrameServer
from fescueflow.transport.tasks import Task

__all__ = [
    "CONTENT_BYTES_MAX",
    "ConnectionPool",
    "DatagramEndpoint",
    "DatagramSocket",
    "FrameClient",
    "FrameServer",
    "Keyring",
    "Network",
    "PeerFailure",
    "Sender",
    "SystemNetwork",
    "Task",
    "format_address",
    "decode_datagram",
    "parse_address",
    "encode_datagram",
]
