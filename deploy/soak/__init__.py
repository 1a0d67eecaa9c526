"""A randomized soak of the real programs as processes, with faults from outside.

The store, the engines and the callers live in the soak's own process, behind sockets and
proxies; the daemons are processes. Promises are checked from what callers and engines
see (`oracle`).
"""
