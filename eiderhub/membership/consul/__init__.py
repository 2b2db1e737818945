"""Consul's health API as a source of endpoint lists. Imported only where the operator's file enables it."""
