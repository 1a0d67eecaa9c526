"""Service limits over all daemons, as leased allotments."""
