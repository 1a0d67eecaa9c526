"""The service table: schema, validation, publication, merging and replication."""
