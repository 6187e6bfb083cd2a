"""Publishes the fleet's state to entries and collects what they observe."""
