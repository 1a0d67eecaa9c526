"""HTTP/1.1 over Twisted transports, with h11 for the protocol itself.

klein and treq bring 0.25 s of processor time at each start (measured beside h11's
0.02 s) and hide what a relay has to know: where a body ended, whether bytes were left
over, and whether a connection may serve again.
"""
