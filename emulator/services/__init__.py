"""Models of the log service, the machine list, the weight store and the tools."""
