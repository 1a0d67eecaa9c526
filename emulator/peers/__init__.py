"""The network between daemons in one process: links, faults, stalling clocks."""
