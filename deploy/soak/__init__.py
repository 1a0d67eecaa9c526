"""A randomized soak of the real programs as processes, with faults from outside.

The store, the engines and the callers live in the soak's own process, behind sockets and
proxies; the daemons are processes with the platform's command. Promises are checked from
what callers and engines see (`oracle`, `refusal_checks`), and from the life of each process:

- it ends only when it was told to (`ends`), and within its grace period (STOP);
- it is ready 12 s after the last cause that kept it from being so (RECOVER, `recovery`);
- while it says that it is ready, it accepts callers (READY).

With `--planned` only planned work strikes, which cuts nothing (LOST). A run's report tells
for how long its processes waited for a processor: that excuses nothing, but has to be known.
"""
