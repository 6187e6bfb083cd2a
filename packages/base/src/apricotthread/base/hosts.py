"""Reads the host of a URL or of a Host header (RFC 3986, 3.2.2)."""


def normalize_host(text: str) -> str:
    """Return a host as it is compared: all that name it are equal.

    `text` may have a port, capitals, and the dot that ends a full domain name.
    """
    text = text.strip(' \t')
    host = (
        text.partition(']')[0] + ']'
        if text.startswith('[')
        else text.partition(':')[0]
    )
    return host.lower().removesuffix('.')
