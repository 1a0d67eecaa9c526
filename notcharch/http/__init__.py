"""HTTP/1.1 over Twisted transports, with h11 for the protocol itself.

klein and treq would slow down each start by their imports, and they hide what a proxy
has to know: where a body ended, whether bytes followed it, and whether a connection can
be reused.
"""
