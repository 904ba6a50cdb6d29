"""Addresses of the form ``ip:port``."""

import ipaddress


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into its parts.

    Raises
    ------
    ValueError
        If the address is not an IP address and a port from 1 to 65535.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address!r} is not ip:port")
    ipaddress.ip_address(host.strip("[]"))
    return host.strip("[]"), int(port)


__all__ = ["split_address"]
