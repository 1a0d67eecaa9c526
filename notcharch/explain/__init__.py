"""From a failed request's id to its cause, by the log lines of all daemons."""
