"""Reads the bytes of the settings file.

Imports only the standard library's cheapest modules, so that the file can be read before
the imports of a daemon, which take 0.3 s.
"""

import errno
import os
import stat

FILE_VARIABLE = "NOTCHARCH_NODE_FILE"
MAX_FILE_BYTES = 1024 * 1024
"""Larger files are rejected; settings have a few kilobytes."""


def try_read(path: str) -> bytes | OSError:
    """Return the content of a regular file, or why it can't be read."""
    try:
        # Opening a named pipe would otherwise block until it has a writer.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as error:
        return error
    except ValueError:
        return OSError(errno.EINVAL, "not a path", path)
    try:
        return _read_regular(descriptor, path)
    except OSError as error:
        return OSError(error.errno, error.strerror, path)
    finally:
        os.close(descriptor)


def _read_regular(descriptor: int, path: str) -> bytes | OSError:
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        return OSError(errno.EINVAL, "not a regular file", path)
    content = b""
    while part := os.read(descriptor, MAX_FILE_BYTES):
        content += part
        if len(content) > MAX_FILE_BYTES:
            return OSError(errno.EFBIG, "too large", path)
    return content
