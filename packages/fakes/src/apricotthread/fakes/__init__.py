"""Test doubles for engines, workers, disks, networks and clusters."""
