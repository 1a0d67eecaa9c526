"""Line ends of event streams: LF, CRLF or CR (the HTML standard, 9.2.6)."""


def with_line_feeds(text: bytes) -> bytes:
    """Return a text with every line end replaced by LF."""
    if b"\r" not in text:
        return text
    return text.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
