"""The command line: one module for each group of commands, imported only when a command of it runs."""
