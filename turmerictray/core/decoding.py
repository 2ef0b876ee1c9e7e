"""Decoding of JSON and MessagePack that other processes wrote.

Whatever the bytes hold, decoding returns a value of the expected type or raises
:class:`DecodingError`. The decoders of msgspec raise their own errors for most invalid input, but
those of the interpreter for some, for example for input that is nested too deeply.
"""

from typing import Annotated, Any, Generic, TypeVar

import msgspec

from turmerictray.core.errors import TurmerictrayError

T = TypeVar("T")

MAX_INT64 = (1 << 63) - 1
"""The largest integer that the messages between routers are sure to hold."""

Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
"""A number that grows with time, such as a revision, and is passed on to other routers."""

_MAX_DIGITS = len(str(MAX_INT64))

_ERRORS = (msgspec.MsgspecError, ValueError, ArithmeticError, RecursionError)


class DecodingError(TurmerictrayError):
    """The bytes can't be decoded as the expected type; the message says why.

    Parameters
    ----------
    reason : str
    is_valid_syntax : bool
        Whether the bytes were read, and only the value does not match the type.
    """

    def __init__(self, reason: str, is_valid_syntax: bool = False) -> None:
        super().__init__(reason)
        self.is_valid_syntax = is_valid_syntax


def decode_json(data: bytes | str, kind: type[T] | Any = Any, strict: bool = True) -> T:
    """Decode JSON as a value of the type ``kind``.

    Parameters
    ----------
    data : bytes or str
    kind : type
    strict : bool
        False also accepts numbers that are written as strings.

    Raises
    ------
    DecodingError
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=strict)
    except _ERRORS as exc:
        raise _translate(exc) from exc


def convert(value: object, kind: type[T], strict: bool = True) -> T:
    """Convert a decoded value to the type ``kind``.

    Raises
    ------
    DecodingError
    """
    try:
        return msgspec.convert(value, kind, strict=strict)
    except _ERRORS as exc:
        raise _translate(exc) from exc


class MessageDecoder(Generic[T]):
    """Decoder of messages in MessagePack; safe for use by many threads.

    Parameters
    ----------
    kind : type
        Type of the messages.
    """

    def __init__(self, kind: type[T]) -> None:
        self._decoder = msgspec.msgpack.Decoder(kind)

    def decode(self, data: bytes) -> T:
        """Decode a message.

        Raises
        ------
        DecodingError
        """
        try:
            return self._decoder.decode(data)
        except _ERRORS as exc:
            raise _translate(exc) from exc


def parse_counter(text: str) -> int | None:
    """Return the number that ``text`` spells in decimal digits, or None if it is no counter."""
    if not (text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS):
        return None
    number = int(text)
    return number if number <= MAX_INT64 else None


def _translate(exc: Exception) -> DecodingError:
    return DecodingError(str(exc), isinstance(exc, msgspec.ValidationError))
