"""Consul's health API as a source of endpoints. Imported only where it is asked for."""
