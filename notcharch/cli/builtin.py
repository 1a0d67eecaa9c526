"""The built-in commands: maps names to the `module:attribute` of a `CommandSpec`.

Commands are imported lazily, since a daemon would otherwise keep tens of megabytes of
unused modules in memory.
"""

BUILT_IN_COMMANDS: dict[str, str] = {
    "version": "notcharch.cli.version_command:COMMAND",
    "config": "notcharch.cli.config_command:COMMAND",
    "daemon": "notcharch.cli.daemon_command:COMMAND",
    "table": "notcharch.cli.table_command:COMMAND",
    "status": "notcharch.cli.operations_command:STATUS",
    "services": "notcharch.cli.operations_command:SERVICES",
    "engines": "notcharch.cli.operations_command:ENGINES",
    "programs": "notcharch.cli.operations_command:PROGRAMS",
    "partitions": "notcharch.cli.operations_command:PARTITIONS",
    "drain": "notcharch.cli.operations_command:DRAIN",
    "pause": "notcharch.cli.operations_command:PAUSE",
    "explain": "notcharch.cli.explain_command:COMMAND",
    "resume": "notcharch.cli.operations_command:RESUME",
}
