"""HTTP/1.1 over Twisted transports, with h11 for the protocol itself.

klein and treq would slow down each start by their imports, which take 0.25 s of processor
time where h11 takes 0.02 s. They also hide what a proxy has to know: where a body ended,
whether bytes followed it, and whether a connection can be reused.
"""
