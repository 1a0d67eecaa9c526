"""The exceptions of decoders, for bytes that another process wrote."""

import msgspec

DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
"""What a decoder raises: also for text that is no UTF-8, and for deeply nested values."""
