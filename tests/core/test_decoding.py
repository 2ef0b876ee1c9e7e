"""Decoding of what other processes wrote."""

import msgspec
import pytest

from turmerictray.core.decoding import Counter, DecodingError, MessageDecoder, convert, decode_json


class _Doc(msgspec.Struct):
    revision: Counter = 0
    share: float = 0.0


NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize("strict", [True, False])
@pytest.mark.parametrize(
    "data",
    [
        NESTED,
        b'{"other": ' + NESTED + b"}",
        b'{"other": ' + b"[" * 100_000,
        b'{"revision": ' + b"9" * 5000 + b"}",
        b'{"revision": 9223372036854775808}',
        b'{"revision": -1}',
        b'{"share": 1e999}',
        b'{"share": NaN}',
        b'{"share": [1]}',
        b'{"\xff": 1, "share": "\xfe"}',
        b"",
    ],
)
def test_invalid_json_raises_the_one_error(data, strict):
    """Guards against an error of the decoder's own that no reader expects."""
    with pytest.raises(DecodingError):
        decode_json(data, _Doc, strict)


@pytest.mark.parametrize(
    "data",
    [
        b"\x91" * 100_000,
        b"\x81\xa1z" + b"\x91" * 100_000,
        b"\x81\xa8revision\xcf" + b"\xff" * 8,
        b"\xdd\xff\xff\xff\xff",
        b"",
    ],
)
def test_invalid_message_raises_the_one_error(data):
    """Guards against a message that ends the thread which receives it."""
    with pytest.raises(DecodingError):
        MessageDecoder(_Doc).decode(data)


def test_valid_input_is_decoded():
    assert decode_json(b'{"revision": 9223372036854775807}', _Doc) == _Doc((1 << 63) - 1)
    assert MessageDecoder(_Doc).decode(b"\x81\xa8revision\x07") == _Doc(7)
    assert convert({"share": 1}, _Doc) == _Doc(0, 1.0)
    with pytest.raises(DecodingError):
        convert({"share": "1"}, _Doc)
