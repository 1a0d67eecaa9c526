"""The built-in commands, as `module:attribute` of their `CommandSpec`.

They are named, not imported, so that one command does not load all the others.
"""

BUILT_IN_COMMANDS: tuple[str, ...] = (
    "notcharch.cli.version_command:COMMAND",
    "notcharch.cli.config_command:COMMAND",
    "notcharch.cli.daemon_command:COMMAND",
    "notcharch.cli.table_command:COMMAND",
    "notcharch.cli.operations_command:STATUS",
    "notcharch.cli.operations_command:SERVICES",
    "notcharch.cli.operations_command:ENGINES",
    "notcharch.cli.operations_command:PROGRAMS",
    "notcharch.cli.operations_command:PARTITIONS",
    "notcharch.cli.operations_command:DRAIN",
    "notcharch.cli.operations_command:PAUSE",
    "notcharch.cli.operations_command:RESUME",
)
