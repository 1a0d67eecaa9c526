"""The built-in commands, as `module:attribute` of their `CommandSpec`.

They are named, not imported, so that one command does not load all the others.
"""

BUILT_IN_COMMANDS: tuple[str, ...] = (
    "notcharch.cli.version_command:COMMAND",
    "notcharch.cli.config_command:COMMAND",
)
