"""The life of one opaque call: routed, admitted, sent to an engine, relayed, finished.

The callers' and the engines' dialects are adapters; nothing here knows the names of
headers, fields or paths.
"""
