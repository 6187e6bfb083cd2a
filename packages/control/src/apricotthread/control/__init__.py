"""Replicated state: storage, election, log, agreed state and claims."""
