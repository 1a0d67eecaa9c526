"""The lifecycle of opaque calls: routing, admission, dispatch to an engine, and relay.

The protocols of callers and engines are adapters: this package knows no names of headers,
fields or paths.
"""
