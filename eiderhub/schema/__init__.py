"""Configuration schema: value types, units, findings and files, shared by the owners of tables and the tools."""
