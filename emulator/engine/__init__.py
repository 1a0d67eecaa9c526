"""The engine model: batching, prefix cache, streams, orders; no sockets."""
