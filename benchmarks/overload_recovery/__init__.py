"""A simulation of overloaded tiers in virtual time: whether and when a fleet recovers after a short trigger."""
