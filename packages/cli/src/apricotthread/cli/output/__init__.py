"""What operators see on their terminal."""
