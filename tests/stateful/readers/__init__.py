"""Random callers that read fast, slowly or not at all."""
