"""Message authentication codes (MACs) with the keys shared by all instances."""

import hashlib
import hmac

MAC_BYTES = 16
# Distinct prefixes prevent a MAC of one use from being valid for another.
DATA_PREFIX = b"data\0"
TEXT_PREFIX = b"text\0"


class Keyring:
    """One or two shared keys; the first one signs and all of them verify.

    Parameters
    ----------
    keys : str
        Comma-separated keys in hex digits.

    Notes
    -----
    MACs are HMAC-SHA256 (RFC 2104) truncated to 16 bytes. Two keys are set
    during key rotation.
    """

    def __init__(self, keys: str) -> None:
        self._keys = tuple(bytes.fromhex(key) for key in keys.split(","))
        self._key_ids = tuple(hashlib.sha256(key).digest()[0] for key in self._keys)
        self.key_id = self._key_ids[0]

    def sign(self, data: bytes) -> bytes:
        """Return the 16-byte MAC of the data."""
        return self._compute_mac(self._keys[0], DATA_PREFIX + data)

    def verify(self, data: bytes, mac: bytes, key_id: int | None = None) -> bool:
        """Return whether the MAC was made with one of the keys.

        Parameters
        ----------
        data : bytes
        mac : bytes
        key_id : int, optional
            Try only keys with this id; by default all keys are tried.
        """
        return any(
            hmac.compare_digest(self._compute_mac(key, DATA_PREFIX + data), mac)
            for key, candidate_id in zip(self._keys, self._key_ids, strict=True)
            if key_id is None or key_id == candidate_id
        )

    def sign_text(self, purpose: str, text: str) -> str:
        """Return the MAC of a text and its purpose as 32 hex digits.

        A MAC made for one purpose is not valid for another.
        """
        return self._compute_mac(self._keys[0], self._encode_text(purpose, text)).hex()

    def verify_text(self, purpose: str, text: str, mac: str) -> bool:
        """Return whether the MAC is valid for this text and purpose."""
        data = self._encode_text(purpose, text)
        received_mac = mac.encode("utf-8", "surrogateescape")
        return any(
            hmac.compare_digest(
                self._compute_mac(key, data).hex().encode(), received_mac
            )
            for key in self._keys
        )

    @staticmethod
    def _encode_text(purpose: str, text: str) -> bytes:
        purpose_bytes = purpose.encode()
        text_bytes = text.encode("utf-8", "surrogatepass")
        return (
            TEXT_PREFIX
            + len(purpose_bytes).to_bytes(2, "big")
            + purpose_bytes
            + text_bytes
        )

    @staticmethod
    def _compute_mac(key: bytes, data: bytes) -> bytes:
        return hmac.digest(key, data, "sha256")[:MAC_BYTES]


__all__ = ["Keyring", "MAC_BYTES"]
