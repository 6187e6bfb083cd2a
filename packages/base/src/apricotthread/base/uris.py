"""Reads hosts and paths of URIs as they are compared (RFC 3986)."""

import re
import string
import urllib.parse

# Key of an ASGI scope: the path and query of a request as they were sent.
REQUEST_TARGET = 'apricotthread.request_target'

_UNRESERVED = frozenset(string.ascii_letters + string.digits + '-._~')
_ENCODED = re.compile('%([0-9A-Fa-f]{2})')
# Left as they are; what is not ASCII is encoded as UTF-8.
_SAFE = ''.join(map(chr, range(0x21, 0x7F)))


def normalize_host(text: str) -> str:
    """Return a host as it is compared (section 3.2.2): equal for one host.

    `text` may have a port, capitals, and the dot that ends a full domain name.
    """
    text = text.strip(' \t')
    host = (
        text.partition(']')[0] + ']'
        if text.startswith('[')
        else text.partition(':')[0]
    )
    return host.lower().removesuffix('.')


def normalize_path(path: bytes | str) -> str:
    """Return a path as it is compared (section 6.2.2): equal for one path.

    Only characters that need it are percent-encoded, in capitals. Segments
    with dots stay: endpoints get the path as it was sent.
    """
    text = path if isinstance(path, str) else path.decode('latin-1')
    if '%' not in text and text.isascii():
        return text
    return _ENCODED.sub(_decode_unreserved, urllib.parse.quote(path, _SAFE))


def _decode_unreserved(match: re.Match) -> str:
    character = chr(int(match[1], 16))
    return character if character in _UNRESERVED else match[0].upper()
