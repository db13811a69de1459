"""The tinrudder command: one module per subcommand."""
