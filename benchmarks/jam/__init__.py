"""A model of crowded tiers in virtual time: does a short trigger leave the fleet jammed, and for how long?"""
