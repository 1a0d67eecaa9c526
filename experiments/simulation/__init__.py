"""Programs, engines and a scheduling policy on virtual time, with measurements."""
