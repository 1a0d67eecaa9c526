"""Pure policies: queue order, engine choice, refusal, retention. No I/O, no clock."""
