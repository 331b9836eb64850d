"""Ed25519 keys and signatures of publishes.

The signed bytes are a prefix and the msgpack map of all fields except the signature, keys sorted.
This holds for all record formats, so that an older release can verify the signature of a record of
a newer format.
"""

import base64
import binascii
import functools

import msgspec
from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from buckthornstage import errors
from buckthornstage.document import schema

PUBLIC_KEY_BYTES = 32
# Domain separation: keeps these signatures from being valid for another use of the key.
SIGNED_PREFIX = b"buckthornstage publish\n"

_ENCODER = msgspec.msgpack.Encoder(order="sorted")


def generate_key() -> ed25519.Ed25519PrivateKey:
    """Returns a new private key."""
    return ed25519.Ed25519PrivateKey.generate()


def public_key_text(key: ed25519.Ed25519PrivateKey) -> str:
    """Public key of `key` as written in section `teams`: base64 of the 32 raw bytes."""
    return base64.b64encode(key.public_key().public_bytes_raw()).decode("ascii")


@functools.lru_cache(maxsize=1_024)
def parse_public_key(text: str) -> ed25519.Ed25519PublicKey:
    """Parses a base64 public key; raises DocumentError if it is invalid."""
    try:
        raw = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.DocumentError(f"the public key {text!r} is not base64") from error
    if len(raw) != PUBLIC_KEY_BYTES or base64.b64encode(raw).decode("ascii") != text:
        raise errors.DocumentError(
            f"the public key {text!r} is not the base64 of 32 bytes; copy what keygen printed"
        )
    return ed25519.Ed25519PublicKey.from_public_bytes(raw)


def private_key_pem(key: ed25519.Ed25519PrivateKey) -> bytes:
    """Private key as unencrypted PKCS #8 PEM."""
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def load_private_key(pem: bytes) -> ed25519.Ed25519PrivateKey:
    """Parses the PEM of `private_key_pem`; raises DocumentError if it is invalid."""
    try:
        key = serialization.load_pem_private_key(pem, password=None)
    except (ValueError, TypeError, exceptions.UnsupportedAlgorithm) as error:
        raise errors.DocumentError(
            "the private key is not readable PEM without a password"
        ) from error
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise errors.DocumentError("the private key is not an Ed25519 key; make one with keygen")
    return key


def signed_bytes(fields: dict[str, msgspec.Raw]) -> bytes:
    """Bytes that the signature of a record with these encoded fields covers."""
    return SIGNED_PREFIX + _ENCODER.encode(
        {name: value for name, value in fields.items() if name != "signature"}
    )


def sign(publish: schema.Publish, key: ed25519.Ed25519PrivateKey) -> schema.Publish:
    """Returns the publish with the signature of `key`."""
    fields = msgspec.msgpack.decode(schema.encode_record(publish), type=dict[str, msgspec.Raw])
    return msgspec.structs.replace(publish, signature=key.sign(signed_bytes(fields)))


def verify(message: bytes, signature: bytes, keys: tuple[str, ...]) -> bool:
    """Whether `signature` of `message` is valid under one of the public keys (base64)."""
    return any(_verify_one(message, signature, key) for key in keys)


def _verify_one(message: bytes, signature: bytes, key_text: str) -> bool:
    try:
        parse_public_key(key_text).verify(signature, message)
    except (exceptions.InvalidSignature, errors.DocumentError):
        return False
    return True
