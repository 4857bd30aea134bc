"""Settings of the daemon's roles, from flags and environment variables.

Modules
-------
parsers
    Parsers that turn the text of one setting into a validated value.
reader
    Describes a setting and reads all settings of a class.
roles
    One settings class for each role.
flags
    Command-line options for the settings of a class.
reference
    Generates the documentation page that lists all settings.
"""
