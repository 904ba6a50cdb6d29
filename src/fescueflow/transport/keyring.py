"""Message authentication with the fleet's keys."""

import hashlib
import hmac

MAC_BYTES = 16
# Different prefixes keep a MAC of one use from being valid for another.
DATA_PREFIX = b"data\0"
TEXT_PREFIX = b"text\0"


class Keyring:
    """One or two fleet keys; the first one signs, all of them verify.

    Parameters
    ----------
    keys : str
        Comma-separated keys in hex digits.

    Notes
    -----
    MACs are HMAC-SHA256 (RFC 2104) truncated to 16 bytes. Two keys are given
    while the fleet changes from one key to the other.
    """

    def __init__(self, keys: str) -> None:
        self._keys = tuple(bytes.fromhex(key) for key in keys.split(","))
        self._ids = tuple(hashlib.sha256(key).digest()[0] for key in self._keys)
        self.key_id = self._ids[0]

    def sign(self, data: bytes) -> bytes:
        """Return the MAC of the data, 16 bytes."""
        return self._compute(self._keys[0], DATA_PREFIX + data)

    def verify(self, data: bytes, mac: bytes, key_id: int | None = None) -> bool:
        """Return whether the MAC was made with one of the keys.

        Parameters
        ----------
        data : bytes
        mac : bytes
        key_id : int, optional
            Only keys with this id are tried, by default all keys.
        """
        return any(
            hmac.compare_digest(self._compute(key, DATA_PREFIX + data), mac)
            for key, identifier in zip(self._keys, self._ids, strict=True)
            if key_id is None or key_id == identifier
        )

    def sign_text(self, purpose: str, text: str) -> str:
        """Return the MAC of a text as 32 hex digits.

        A MAC made for one purpose is not valid for another.
        """
        return self._compute(self._keys[0], self._join(purpose, text)).hex()

    def verify_text(self, purpose: str, text: str, mac: str) -> bool:
        """Return whether the MAC of a text was made for this purpose."""
        data = self._join(purpose, text)
        given = mac.encode("utf-8", "surrogateescape")
        return any(
            hmac.compare_digest(self._compute(key, data).hex().encode(), given)
            for key in self._keys
        )

    @staticmethod
    def _join(purpose: str, text: str) -> bytes:
        name = purpose.encode()
        body = text.encode("utf-8", "surrogatepass")
        return TEXT_PREFIX + len(name).to_bytes(2, "big") + name + body

    @staticmethod
    def _compute(key: bytes, data: bytes) -> bytes:
        return hmac.digest(key, data, "sha256")[:MAC_BYTES]


__all__ = ["Keyring", "MAC_BYTES"]
